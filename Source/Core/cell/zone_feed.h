// Keeps a CellCore's set of evacuated zones as the store has it, and logs the
// changes. Operators write and delete one key for each evacuated zone. Used by
// CellOwner.
//
// The set comes from the store alone. While the store cannot be read, the last
// known set applies; until it has been read once, the core starts nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "cell/cell_core.h"
#include "cell/prefix_feed.h"
#include "common/logger.h"

namespace mustardslip {

struct ZoneFeedOptions {
  // Prefix of the operators' keys; empty for none: nothing is read or watched.
  std::string m_prefix;
  // Nothing may start in a zone later than this after the store acknowledged
  // its key.
  std::int64_t m_evacuate_ms = 5'000;
  // The zone that a key names, or "".
  std::function<std::string(const std::string& key)> m_decode_key;
  // Zones that may have no VM, by the settings.
  std::set<std::string> m_known_zones;

  bool Enabled() const { return !m_prefix.empty(); }
};

// How long one watch of the prefix waits. The bound covers a watch that was cut
// off right after the key was written, the list that follows it, a repetition
// of that list, and kStartWindowMs. Each call is billed, so the wait is not
// shorter than that needs.
inline std::int64_t ZoneWatchMs(std::int64_t evacuate_ms) {
  constexpr std::int64_t kCallsInBound = 4;
  constexpr std::int64_t kMinWatchMs = 250;
  constexpr std::int64_t kMaxWatchMs = 10'000;
  return std::clamp(evacuate_ms / kCallsInBound, kMinWatchMs, kMaxWatchMs);
}

template <AsyncStore Store, TimerLoop Loop>
class ZoneFeed {
 public:
  // Calls `on_changed` after each change of the core's zones.
  ZoneFeed(Store& store, Loop& loop, CellCore& core, ZoneFeedOptions options,
           std::function<void()> on_changed)
      : m_core(core),
        m_options(std::move(options)),
        m_on_changed(std::move(on_changed)),
        m_feed(store, loop, m_options.m_prefix,
               ZoneWatchMs(m_options.m_evacuate_ms), Handlers()) {
    m_core.AwaitZones();
  }

  ZoneFeed(const ZoneFeed&) = delete;
  ZoneFeed& operator=(const ZoneFeed&) = delete;

  void Start() { m_feed.Start(); }

  // The VM list has been read: from now on it is known which zones have VMs.
  void OnVmsListed() {
    if (std::exchange(m_vms_listed, true)) {
      return;
    }
    for (const std::string& zone : m_core.EvacuatedZones()) {
      LogChange(zone, true);
    }
  }

 private:
  typename PrefixFeed<Store, Loop>::Handlers Handlers() {
    typename PrefixFeed<Store, Loop>::Handlers handlers;
    handlers.m_on_item = [this](const StoreItem& item) {
      SetEvacuated(m_options.m_decode_key(item.m_key), true);
    };
    handlers.m_on_deleted = [this](const std::string& key) {
      SetEvacuated(m_options.m_decode_key(key), false);
    };
    handlers.m_on_listed = [this](const std::set<std::string>& keys) {
      OnListed(keys);
    };
    return handlers;
  }

  void SetEvacuated(const std::string& zone, bool evacuated) {
    const bool known = m_core.EvacuatedZones().count(zone) != 0;
    // Without a name the key names no zone; VMs without a zone stay in use.
    if (zone.empty() || known == evacuated) {
      return;
    }
    m_core.OnZoneEvacuated(zone, evacuated);
    if (m_vms_listed) {
      LogChange(zone, evacuated);
    }
    m_on_changed();
  }

  // Zones whose key was deleted while the prefix could not be watched are in
  // use again.
  void OnListed(const std::set<std::string>& keys) {
    std::set<std::string> listed;
    for (const std::string& key : keys) {
      listed.insert(m_options.m_decode_key(key));
    }
    const std::set<std::string> before = m_core.EvacuatedZones();
    for (const std::string& zone : before) {
      if (listed.count(zone) == 0) {
        SetEvacuated(zone, false);
      }
    }
    m_core.OnZonesListed();
    m_on_changed();
  }

  // Requires that the VM list has been read.
  void LogChange(const std::string& zone, bool evacuated) const {
    const ZoneUse use = m_core.UseOfZone(zone);
    const bool known = use.m_known || m_options.m_known_zones.count(zone) != 0;
    if (!known && evacuated) {
      Log(LogLevel::kWarning, LogCategory::kCell, "zone_unknown",
          {{"zone", zone}});
    }
    if (known) {
      Log(LogLevel::kInfo, LogCategory::kCell,
          evacuated ? "zone_evacuated" : "zone_restored",
          {{"zone", zone}, {"vms", use.m_vms}, {"runs", use.m_runs}});
    }
  }

  CellCore& m_core;
  const ZoneFeedOptions m_options;
  const std::function<void()> m_on_changed;
  bool m_vms_listed = false;
  PrefixFeed<Store, Loop> m_feed;
};

}  // namespace mustardslip
