// Which daemon owns the cell: one record in the store, under a lease.
//
// A daemon takes the record when it is absent, or when it knows that the
// process in it is dead (its address refuses connections, or another process
// answers there). Nothing depends on that knowledge being right: the record's
// revision fences the log, and the fence of each VM stops what an earlier owner
// still sends.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/async_store.h"
#include "cell/owner_log.h"
#include "cell/prefix_feed.h"
#include "cell/timer_loop.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

struct OwnerRecord {
  // One life of one daemon.
  std::string m_instance;
  // "host:port" for other daemons.
  std::string m_address;
  // The owner's processor time, in thousandths of a core.
  std::int64_t m_power_millis = 0;
  // Of the record in the store; the owner's fence at the VMs.
  Revision m_revision = 0;

  bool operator==(const OwnerRecord&) const = default;
};

inline std::string EncodeOwner(const OwnerRecord& owner) {
  return nlohmann::json{{"instance", owner.m_instance},
                        {"address", owner.m_address},
                        {"power_millis", owner.m_power_millis}}
      .dump();
}

// nullopt for a value that is no owner record.
inline std::optional<OwnerRecord> DecodeOwner(const StoreItem& item) {
  const auto json = nlohmann::json::parse(item.m_value, nullptr, false);
  if (!json.is_object() || !json.contains("instance") ||
      !json.contains("address") || !json["instance"].is_string() ||
      !json["address"].is_string()) {
    return std::nullopt;
  }
  std::int64_t power_millis = 0;
  if (json.contains("power_millis") &&
      json["power_millis"].is_number_integer()) {
    power_millis = json["power_millis"];
  }
  return OwnerRecord{json["instance"], json["address"], power_millis,
                     item.m_revision};
}

struct OwnershipOptions {
  std::string m_instance;
  std::string m_address;
  // How long the store keeps the record of a silent owner.
  std::int64_t m_lease_ms = 2'000;
  // Processor time of this daemon, in thousandths of a core: daemons with less
  // than earlier owners had wait before they take a free record, since loading
  // the log and serving the cell takes all that a small one has.
  std::int64_t m_power_millis = 0;
  // Waited as well, so that not all daemons write at once.
  std::int64_t m_spread_ms = 0;
};

template <AsyncStore Store, TimerLoop Loop>
class Ownership {
 public:
  struct Handlers {
    // This daemon owns the cell now.
    std::function<void(const OwnerRecord&)> m_on_acquired;
    // It no longer does.
    std::function<void()> m_on_lost;
    // Another daemon owns it, or nobody (nullopt).
    std::function<void(const std::optional<OwnerRecord>&)> m_on_owner;
  };

  Ownership(Store& store, Loop& loop, OwnershipOptions options,
            Handlers handlers)
      : m_store(store),
        m_loop(loop),
        m_options(std::move(options)),
        m_handlers(std::move(handlers)),
        m_feed(store, loop, std::string(kOwnerKey), kWatchMs, FeedHandlers()) {}

  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  void Start() { m_feed.Start(); }

  bool Owns() const { return m_owned.has_value(); }

  // The process in the record of this revision is known to be dead.
  void OnOwnerDead(Revision revision) {
    if (m_known && m_known->m_revision == revision && !m_owned) {
      m_dead_revision = revision;
      BecomeCandidate(CandidacyDelayMs());
    }
  }

  // The owner of this revision asks for a successor. Tried once, and only for a
  // short time and by daemons that reach the store: where it is down for all,
  // the owner stays.
  void OnOwnerYields(Revision revision) {
    if (!m_known || m_known->m_revision != revision || m_owned ||
        m_feed.Failing()) {
      return;
    }
    m_dead_revision = revision;
    m_yielded_revision = revision;
    BecomeCandidate(CandidacyDelayMs());
    Later(kYieldValidMs, [this, revision] {
      if (m_dead_revision == revision && !m_owned) {
        m_dead_revision = 0;
      }
    });
  }

  // Reads the record: true if it is still this daemon's, in which case no other
  // daemon has owned the cell up to the moment of this call. Calls that come
  // while a read is open share the next one.
  void Verify(std::function<void(bool)> done) {
    m_verifications.push_back(std::move(done));
    if (!m_verifying) {
      ReadRecord();
    }
  }

  // The log found another owner.
  void OnSuperseded() { Lose("superseded"); }

  // Gives the cell up, so that another daemon takes it at once, and takes it no
  // more.
  void Resign() {
    m_resigned = true;
    if (m_owned) {
      Lose("resigned");
    }
    if (m_lease != 0) {
      m_store.EndLease(m_lease, [](Result<bool>) {});
      m_lease = 0;
    }
  }

  // Steady clock at which the last renewal that the store confirmed was sent.
  std::int64_t LastConfirmedMs() const { return m_confirmed_ms; }

 private:
  static constexpr std::int64_t kWatchMs = 3'000;
  static constexpr std::int64_t kRetryMs = 100;
  // Renewals in one lease.
  static constexpr std::int64_t kRenewalsPerLease = 4;
  static constexpr int kMostOpenRenewals = 4;
  static constexpr std::int64_t kCommitTimeoutMs = 600;
  static constexpr std::int64_t kYieldValidMs = 900;
  static constexpr std::int64_t kMillisPerCore = 1'000;
  static constexpr std::int64_t kMsPerMissingCore = 500;
  // Expected of an owner before the first one is known.
  static constexpr std::int64_t kUsualPowerMillis = 500;

  typename PrefixFeed<Store, Loop>::Handlers FeedHandlers() {
    typename PrefixFeed<Store, Loop>::Handlers handlers;
    handlers.m_on_item = [this](const StoreItem& item) {
      if (item.m_key == kOwnerKey) {
        OnRecord(item);
      }
    };
    handlers.m_on_deleted = [this](const std::string& key) {
      if (key == kOwnerKey) {
        OnAbsent();
      }
    };
    handlers.m_on_listed = [this](const std::set<std::string>& keys) {
      if (keys.count(std::string(kOwnerKey)) == 0) {
        OnAbsent();
      }
    };
    return handlers;
  }

  void OnRecord(const StoreItem& item) {
    // A list that was overtaken by this daemon's own write.
    if (item.m_revision < m_newest_revision) {
      return;
    }
    m_newest_revision = item.m_revision;
    auto owner = DecodeOwner(item);
    if (!owner) {
      Log(LogLevel::kError, LogCategory::kMembership, "owner_record_unreadable",
          {{"revision", item.m_revision}});
      // No process stands behind it; its revision is what a successor replaces.
      m_known = OwnerRecord{"", "", 0, item.m_revision};
      m_dead_revision = item.m_revision;
      BecomeCandidate(CandidacyDelayMs());
      return;
    }
    m_known = owner;
    m_reference_millis =
        std::max(m_reference_millis.value_or(0), owner->m_power_millis);
    if (m_owned) {
      if (owner->m_revision != m_owned->m_revision) {
        Lose("another_owner");
      }
      return;
    }
    if (owner->m_instance == m_options.m_instance) {
      // This daemon's own write, whose answer is still on its way or was lost.
      if (m_lease != 0 && !m_resigned) {
        Acquire(owner->m_revision);
      }
      return;
    }
    m_handlers.m_on_owner(m_known);
    if (owner->m_address == m_options.m_address) {
      // An earlier life at this address.
      OnOwnerDead(owner->m_revision);
    }
  }

  void OnAbsent() {
    if (m_owned) {
      Lose("record_gone");
      return;
    }
    m_known.reset();
    m_handlers.m_on_owner(std::nullopt);
    BecomeCandidate(CandidacyDelayMs());
  }

  std::int64_t CandidacyDelayMs() const {
    const std::int64_t missing = std::max<std::int64_t>(
        0, m_reference_millis.value_or(kUsualPowerMillis) -
               m_options.m_power_millis);
    return missing * kMsPerMissingCore / kMillisPerCore + m_options.m_spread_ms;
  }

  void BecomeCandidate(std::int64_t delay_ms) {
    if (m_candidate || m_resigned) {
      return;
    }
    m_candidate = true;
    Later(delay_ms, [this] { Grant(); });
  }

  bool StillFree() const {
    return !m_known || m_known->m_revision == m_dead_revision;
  }

  void EndCandidacy() {
    m_candidate = false;
    if (m_lease != 0) {
      m_store.EndLease(m_lease, [](Result<bool>) {});
      m_lease = 0;
    }
  }

  void Grant() {
    if (m_owned || m_resigned || !StillFree()) {
      EndCandidacy();
      return;
    }
    m_store.GrantLease(m_options.m_lease_ms, m_guard.Wrap([this](auto lease) {
      if (!lease) {
        if (m_known && m_known->m_revision == m_yielded_revision) {
          EndCandidacy();  // The owner asks again if it needs a successor.
          return;
        }
        m_store_was_away = true;
        Later(kRetryMs, [this] { Grant(); });
        return;
      }
      m_lease = *lease;
      m_confirmed_ms = m_loop.Now().m_steady_ms;
      if (std::exchange(m_store_was_away, false)) {
        // It may be back for all at the same moment.
        Later(CandidacyDelayMs(), [this] { Write(); });
        return;
      }
      Write();
    }));
  }

  void Write() {
    if (m_owned || !StillFree()) {
      EndCandidacy();
      return;
    }
    StoreTransaction transaction;
    transaction.m_expected = {
        {std::string(kOwnerKey), m_known ? m_known->m_revision : 0}};
    transaction.m_puts = {
        {std::string(kOwnerKey),
         EncodeOwner({m_options.m_instance, m_options.m_address,
                      m_options.m_power_millis, 0}),
         m_lease}};
    m_store.Commit(
        transaction, kCommitTimeoutMs,
        m_guard.Wrap([this](auto answer) { OnWritten(std::move(answer)); }));
  }

  void OnWritten(Result<CommitAnswer> answer) {
    if (m_owned) {
      return;
    }
    if (!answer) {
      if (answer.error().Code() == ErrorCode::kNotFound) {
        m_lease = 0;
      }
      // The same write again: its condition tells whether the first one was
      // carried out.
      Later(kRetryMs, [this] { m_lease == 0 ? Grant() : Write(); });
      return;
    }
    if (answer->m_committed) {
      Acquire(answer->m_revision);
      return;
    }
    m_candidate = false;
    for (const StoreItem& item : answer->m_current) {
      if (item.m_key == kOwnerKey && item.m_revision != 0) {
        OnRecord(item);
      }
    }
    if (!m_owned && m_lease != 0) {
      EndCandidacy();
    }
    if (answer->m_current.empty() && !m_owned) {
      OnAbsent();
    }
  }

  void Acquire(Revision revision) {
    m_candidate = false;
    m_newest_revision = std::max(m_newest_revision, revision);
    m_owned = OwnerRecord{m_options.m_instance, m_options.m_address,
                          m_options.m_power_millis, revision};
    m_known = m_owned;
    Log(LogLevel::kInfo, LogCategory::kMembership, "cell_acquired",
        {{"revision", revision}});
    m_handlers.m_on_acquired(*m_owned);
    Renew(m_lease);
  }

  // Sent at a steady rate: an answer that is lost must not cost the lease.
  void Renew(LeaseId lease) {
    if (!m_owned || lease != m_lease) {
      return;
    }
    if (m_open_renewals < kMostOpenRenewals) {
      SendRenewal(lease);
    }
    Later(m_options.m_lease_ms / kRenewalsPerLease,
          [this, lease] { Renew(lease); });
  }

  void SendRenewal(LeaseId lease) {
    ++m_open_renewals;
    const std::int64_t sent_ms = m_loop.Now().m_steady_ms;
    m_store.KeepLease(lease, m_guard.Wrap([this, lease, sent_ms](auto kept) {
      --m_open_renewals;
      if (!m_owned || lease != m_lease) {
        return;
      }
      if (kept) {
        m_confirmed_ms = std::max(m_confirmed_ms, sent_ms);
      } else if (kept.error().Code() == ErrorCode::kNotFound) {
        m_lease = 0;
        Lose("lease_ended");
      }
    }));
  }

  void ReadRecord() {
    m_verifying = true;
    auto asked = std::make_shared<std::vector<std::function<void(bool)>>>();
    asked->swap(m_verifications);
    m_store.List(std::string(kOwnerKey), "",
                 m_guard.Wrap([this, asked](Result<ItemPage> page) {
                   m_verifying = false;
                   const bool own = page && IsOwn(*page);
                   if (!m_verifications.empty()) {
                     ReadRecord();
                   }
                   for (const auto& done : *asked) {
                     done(own);
                   }
                 }));
  }

  bool IsOwn(const ItemPage& page) const {
    return m_owned &&
           std::any_of(page.m_items.begin(), page.m_items.end(),
                       [&](const StoreItem& item) {
                         return item.m_key == kOwnerKey &&
                                item.m_revision == m_owned->m_revision;
                       });
  }

  void Lose(const char* reason) {
    if (!m_owned) {
      return;
    }
    Log(LogLevel::kWarning, LogCategory::kMembership, "cell_lost",
        {{"revision", m_owned->m_revision}, {"reason", reason}});
    const Revision own = m_owned->m_revision;
    m_owned.reset();
    m_handlers.m_on_lost();
    if (m_resigned) {
      return;
    }
    if (m_known && m_known->m_revision == own) {
      // The record of this daemon, which it will not use again.
      m_dead_revision = own;
      BecomeCandidate(kRetryMs);
    } else {
      m_handlers.m_on_owner(m_known);
    }
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_loop.After(ms, m_guard.Wrap(std::move(task)));
  }

  Store& m_store;
  Loop& m_loop;
  const OwnershipOptions m_options;
  const Handlers m_handlers;
  CallbackGuard m_guard;
  std::optional<OwnerRecord> m_owned;
  // The record in the store, as far as known.
  std::optional<OwnerRecord> m_known;
  Revision m_newest_revision = 0;
  // The revision of a record whose process is known to be dead.
  Revision m_dead_revision = 0;
  // The revision of the record whose owner asked for a successor.
  Revision m_yielded_revision = 0;
  // The most processor time that an owner had, of those that were seen.
  std::optional<std::int64_t> m_reference_millis;
  bool m_candidate = false;
  // The last attempt to take the cell failed.
  bool m_store_was_away = false;
  bool m_resigned = false;
  LeaseId m_lease = 0;
  // Callers that wait for the next read of the record.
  std::vector<std::function<void(bool)>> m_verifications;
  bool m_verifying = false;
  // Renewals that are not answered yet.
  int m_open_renewals = 0;
  std::int64_t m_confirmed_ms = 0;
  PrefixFeed<Store, Loop> m_feed;
};

}  // namespace mustardslip
