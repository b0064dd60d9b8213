// Keeps a daemon's configuration current: one waiting watch on the head, reads
// of changed chunks, the roster, and the exchange of freshness with peers.
//
// Never goes to a lower revision. The pure decisions are in freshness_core.h.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "common/clock.h"
#include "common/logger.h"
#include "common/random_id.h"
#include "configuration/configuration_snapshot.h"
#include "configuration/configuration_store.h"
#include "configuration/freshness_core.h"
#include "configuration/head_store.h"

namespace mustardslip {

struct WatcherOptions {
  // Host and port where this daemon listens for peers.
  std::string m_address;
  // One call pends for this time; a proof is renewed after it.
  Milliseconds m_watch_limit{2'000};
  // Pause after a failed call, so that a store that refuses is not flooded.
  Milliseconds m_retry_pause{200};
};

// A configuration together with the decision whether its keys are in force.
struct CurrentConfiguration {
  std::shared_ptr<const Configuration> m_configuration;  // Never null.
  FreshnessVerdict m_verdict;
};

// Thread-safe. The store and the clock must outlive the watcher.
template <KeyValueStore Store, Clock ClockType = SystemClock>
class ConfigurationWatcher {
 public:
  using ChangeCallback =
      std::function<void(std::shared_ptr<const Configuration>)>;

  ConfigurationWatcher(Store& store, WatcherOptions options,
                       const ClockType& clock, ChangeCallback on_change = {})
      : m_store(store),
        m_options(std::move(options)),
        m_clock(clock),
        m_on_change(std::move(on_change)),
        m_id(RandomHexId()),
        m_core(m_id, m_options.m_address),
        m_current(std::make_shared<const Configuration>()) {}

  ~ConfigurationWatcher() { Stop(); }

  ConfigurationWatcher(const ConfigurationWatcher&) = delete;
  ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }

  // Waits for the pending watch, at most its limit.
  void Stop() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  // Ends the honouring of keys and takes this daemon off the roster. Call after
  // the last request is finished.
  void Leave() {
    {
      const std::lock_guard lock(m_mutex);
      m_core.Leave();
    }
    Stop();
    SwapRoster();
  }

  // One round: a watch (or a first read), loading, and the roster. True if the
  // store answered. Start() runs it in a loop.
  bool Step() {
    const bool answered = m_since ? WatchOnce() : ReadOnce();
    if (answered) {
      SwapRoster();
    }
    return answered;
  }

  std::shared_ptr<const Configuration> Current() const {
    const std::lock_guard lock(m_mutex);
    return m_current;
  }

  // The configuration with the verdict for it; keys may be honoured only if the
  // verdict says so.
  CurrentConfiguration CurrentWithVerdict() const {
    const std::lock_guard lock(m_mutex);
    return {m_current, m_core.Verdict(m_clock.Now())};
  }

  bool IsFresh(TimePoint now) const {
    const std::lock_guard lock(m_mutex);
    return m_core.Verdict(now).MayHonourKeys();
  }

  // True if this daemon holds a configuration at least as high as any peer's
  // that it has heard of.
  bool IsReady() const {
    const std::lock_guard lock(m_mutex);
    return m_core.HeldRevision() > 0 &&
           m_core.HeldRevision() >= m_core.HighestRevision();
  }

  // The highest revision that this daemon or a peer knows.
  ConfigurationRevision HighestRevision() const {
    const std::lock_guard lock(m_mutex);
    return m_core.HighestRevision();
  }

  // True if the store has answered with an older head than before.
  bool StoreReverted() const {
    const std::lock_guard lock(m_mutex);
    return m_core.StoreReverted();
  }

  // --- Between daemons. `Id()` names this process to its peers. Each daemon
  // asks each roster member every 500 ms and passes the answer on. ---

  const std::string& Id() const { return m_id; }

  std::vector<RosterMember> Roster() const {
    const std::lock_guard lock(m_mutex);
    return m_core.Head().m_head.m_roster;
  }

  FreshnessQuery MakeQuery(const std::string& peer) {
    const std::lock_guard lock(m_mutex);
    return m_core.MakeQuery(peer, m_clock.Now());
  }

  FreshnessReport Answer(const FreshnessQuery& query) {
    const std::lock_guard lock(m_mutex);
    return m_core.OnQuery(query, m_clock.Now());
  }

  // `asked_at`: this daemon's time before the query was sent. True if the peer
  // has a higher head, whose snapshot helps if the store is out of reach.
  bool LearnFromPeer(const std::string& peer, const FreshnessReport& report,
                     TimePoint asked_at) {
    const std::lock_guard lock(m_mutex);
    m_core.OnReport(peer, report, asked_at, m_clock.Now());
    return report.m_known_head_version > m_core.Head().m_version ||
           report.m_revision > m_core.HeldRevision();
  }

  void OnMemberGone(const std::string& member) {
    const std::lock_guard lock(m_mutex);
    m_core.OnMemberGone(member);
  }

  ConfigurationSnapshot Snapshot() const {
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
  }

  // Takes over a peer's higher head and configuration. Errors: kInternal for a
  // damaged snapshot.
  Result<void> AdoptSnapshot(const ConfigurationSnapshot& snapshot) {
    auto versioned = CheckSnapshot(snapshot);
    if (!versioned) {
      return tl::unexpected(versioned.error());
    }
    auto loaded = ConfigurationStore<Store>(m_store).LoadAt(*versioned,
                                                            snapshot.m_chunks);
    if (!loaded) {
      return tl::unexpected(loaded.error());
    }
    {
      const std::lock_guard lock(m_mutex);
      m_core.OnPeerHead(*versioned, m_clock.Now());
    }
    Publish(std::move(*loaded));
    return {};
  }

  // --- Operators. ---

  // Applies a change; errors as for ConfigurationStore::Apply and
  // FreshnessCore::BeginApply.
  Result<AppliedChange> Apply(ConfigurationRevision base,
                              const ConfigurationFiles& files) {
    const std::lock_guard apply_lock(m_apply_mutex);
    const TimePoint asked_at = m_clock.Now();
    bool begun = false;
    auto applied = ConfigurationStore<Store>(m_store).Apply(
        base, files, [&](const VersionedHead& head) -> Result<void> {
          const std::lock_guard lock(m_mutex);
          if (begun) {
            m_core.EndApply(/*unresolved=*/false);
          }
          m_core.OnHead(head, asked_at, m_clock.Now());
          auto permitted = m_core.BeginApply(head);
          begun = permitted.has_value();
          return permitted;
        });
    FinishApply(applied, begun, asked_at);
    if (!applied && applied.error().Code() == ErrorCode::kConflict) {
      LearnHead();
    }
    return applied;
  }

 private:
  // Reads the head that won a race, so that its revision can be reported.
  void LearnHead() {
    const TimePoint asked_at = m_clock.Now();
    const auto head = HeadStore<Store>(m_store).Read();
    const std::lock_guard lock(m_mutex);
    if (head) {
      m_core.OnHead(*head, asked_at, m_clock.Now());
    }
  }

  void FinishApply(const Result<AppliedChange>& applied, bool begun,
                   TimePoint asked_at) {
    {
      const std::lock_guard lock(m_mutex);
      if (applied) {
        m_core.OnHead(applied->m_head, asked_at, m_clock.Now());
      }
      if (begun) {
        m_core.EndApply(!applied &&
                        applied.error().Code() == ErrorCode::kUnknownOutcome);
      }
    }
    if (applied) {
      (void)LoadHead(applied->m_head);
    }
  }

  void Run() {
    while (true) {
      const bool answered = Step();
      std::unique_lock lock(m_mutex);
      if (!answered) {
        m_wake.wait_for(lock, m_options.m_retry_pause,
                        [this] { return m_stopping; });
      }
      if (m_stopping) {
        return;
      }
    }
  }

  bool WatchOnce() {
    const TimePoint asked_at = m_clock.Now();
    auto watch =
        m_store.Watch(kConfigurationHeadKey, *m_since, m_options.m_watch_limit);
    if (!watch) {
      return false;
    }
    if (watch->m_changed || NeedsLoading()) {
      return ReadOnce();
    }
    m_since = watch->m_revision;
    const std::lock_guard lock(m_mutex);
    m_core.OnUnchanged(asked_at);
    return true;
  }

  bool NeedsLoading() const {
    const std::lock_guard lock(m_mutex);
    return m_core.Head().m_head.m_revision > m_core.HeldRevision();
  }

  bool ReadOnce() {
    const TimePoint asked_at = m_clock.Now();
    auto read = m_store.Get(kConfigurationHeadKey);
    if (!read) {
      return false;
    }
    VersionedHead head;
    if (read->m_entry) {
      auto decoded = DecodeHead(read->m_entry->m_value);
      if (!decoded) {
        LogProblem("configuration_head_malformed", decoded.error());
        return false;
      }
      head = {std::move(*decoded), read->m_entry->m_version};
    }
    {
      const std::lock_guard lock(m_mutex);
      m_core.OnHead(head, asked_at, m_clock.Now());
    }
    const bool loaded = LoadHead(head);
    m_since = loaded ? std::optional(read->m_revision) : std::nullopt;
    return loaded;
  }

  // Reads the chunks of a head that is higher than the one held.
  bool LoadHead(const VersionedHead& head) {
    ConfigurationSnapshot known = Snapshot();
    if (head.m_version <= known.m_version) {
      return true;
    }
    if (head.m_head.m_revision == Current()->Revision()) {
      AdoptRosterHead(head);
      return true;
    }
    auto loaded =
        ConfigurationStore<Store>(m_store).LoadAt(head, known.m_chunks);
    if (!loaded) {
      LogProblem("configuration_not_loaded", loaded.error());
      return false;
    }
    Publish(std::move(*loaded));
    return true;
  }

  // Only the roster changed: the chunks of the held revision are the same.
  void AdoptRosterHead(const VersionedHead& head) {
    const std::lock_guard lock(m_mutex);
    if (head.m_version > m_snapshot.m_version &&
        head.m_head.m_revision == m_current->Revision()) {
      m_snapshot.m_version = head.m_version;
      m_snapshot.m_head = EncodeHead(head.m_head);
    }
  }

  void Publish(LoadedConfiguration loaded) {
    std::shared_ptr<const Configuration> published;
    {
      const std::lock_guard lock(m_mutex);
      if (loaded.m_head.m_version > m_snapshot.m_version) {
        m_snapshot = {loaded.m_head.m_version, EncodeHead(loaded.m_head.m_head),
                      std::move(loaded.m_chunk_texts)};
      }
      const ConfigurationRevision revision = loaded.m_configuration.Revision();
      if (revision > m_current->Revision()) {
        m_current = std::make_shared<const Configuration>(
            std::move(loaded.m_configuration));
        m_core.OnLoaded(revision);
        published = m_current;
      }
    }
    if (published == nullptr) {
      return;
    }
    Log(LogLevel::kInfo, LogCategory::kConfiguration, "configuration_loaded",
        {{"revision", published->Revision()}});
    if (m_on_change) {
      m_on_change(published);
    }
  }

  // Joins, shows a sign of life or removes members, if it is time.
  void SwapRoster() {
    VersionedHead current;
    std::optional<ConfigurationHead> wanted;
    const TimePoint asked_at = m_clock.Now();
    {
      const std::lock_guard lock(m_mutex);
      current = m_core.Head();
      wanted = m_core.NextRoster(asked_at);
    }
    if (!wanted) {
      return;
    }
    const HeadSwap swapped = HeadStore<Store>(m_store).Swap(current, *wanted);
    if (swapped.m_outcome == SwapOutcome::kTaken) {
      const std::lock_guard lock(m_mutex);
      m_core.OnHead(swapped.m_head, asked_at, m_clock.Now());
    }
  }

  static void LogProblem(std::string_view event, const Error& error) {
    Log(LogLevel::kWarning, LogCategory::kConfiguration, event,
        {{"reason", error.Reason()}, {"message", error.Message()}});
  }

  Store& m_store;
  const WatcherOptions m_options;
  const ClockType& m_clock;
  const ChangeCallback m_on_change;
  const std::string m_id;

  std::mutex m_apply_mutex;  // One change at a time; taken before m_mutex.
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  FreshnessCore m_core;                            // Guarded by m_mutex.
  std::shared_ptr<const Configuration> m_current;  // Guarded by m_mutex.
  ConfigurationSnapshot m_snapshot;                // Guarded by m_mutex.
  bool m_stopping = false;                         // Guarded by m_mutex.

  // The store revision of the last read; used by the thread of Step() only.
  std::optional<StoreRevision> m_since;
  std::thread m_thread;
};

}  // namespace mustardslip
