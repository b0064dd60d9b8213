// One daemon's membership: keeps the member record under a lease, watches the
// records, and carries out the decisions of OwnershipCore.
//
// Store calls of one daemon while nothing changes, with the default options:
// one lease renewal a second, two pending watches (`member/` and `shard/`) that
// are renewed every 2 s, and two lists every 5 s: 2.4 calls a second, or 87 for
// 36 daemons. Polling both lists every 500 ms would be 5 calls a second each.
// While records change all the time, watches and lists are repeated at most
// every 250 ms: 17 calls a second, or 612 for 36 daemons. A watch reports the
// end of an owner's lease at once; the decision follows within 500 ms and the
// store's latency.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "common/logger.h"
#include "common/random_id.h"
#include "common/thread_pool.h"
#include "membership/member_options.h"
#include "membership/ownership_core.h"
#include "membership/routing_table.h"
#include "membership/store_operations.h"

namespace mustardslip {

template <KeyValueStore Store>
class MemberSession {
 public:
  MemberSession(Store& store, MemberOptions options, MemberCallbacks callbacks)
      : m_store(store),
        m_options(std::move(options)),
        m_callbacks(std::move(callbacks)),
        m_core(m_options.m_times),
        m_routing(std::make_shared<const RoutingTable>()),
        m_last_contact(m_clock.Now()) {}

  ~MemberSession() { Stop(); }

  MemberSession(const MemberSession&) = delete;
  MemberSession& operator=(const MemberSession&) = delete;

  // Returns at once; registration is repeated until the store answers.
  void Start() {
    m_threads.emplace_back([this] { Run(); });
    m_threads.emplace_back([this] { RenewLoop(); });
    for (const std::string_view prefix : {kMemberPrefix, kShardPrefix}) {
      m_threads.emplace_back(
          [this, prefix] { WatchLoop(std::string(prefix)); });
    }
  }

  // Graceful: hands over all shards, removes the member record, and returns
  // when all threads and release callbacks have ended. After the stop limit it
  // hands over no more and leaves the rest to the end of the lease. May be
  // called again.
  void Stop() {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_leave_deadline) {
        m_leave_deadline = m_clock.Now() + m_options.m_stop_limit;
      }
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  // Never null.
  std::shared_ptr<const RoutingTable> Routing() const {
    const std::lock_guard lock(m_mutex);
    return m_routing;
  }

  // Empty while this daemon is not registered.
  std::string Incarnation() const {
    const std::lock_guard lock(m_mutex);
    return m_registration ? m_registration->m_member.m_incarnation : "";
  }

  bool HasStoreContact() const {
    return SinceStoreContact() < m_options.m_contact_limit;
  }

  // Time since the newest answered store call was sent, or since construction.
  Milliseconds SinceStoreContact() const {
    const std::lock_guard lock(m_mutex);
    return std::chrono::duration_cast<Milliseconds>(m_clock.Now() -
                                                    m_last_contact);
  }

  // Until then no other daemon can own this one's shards; empty while not
  // registered. An owner of workers that check no epoch sends nothing later
  // than this.
  std::optional<TimePoint> LeaseValidUntil() const {
    const std::lock_guard lock(m_mutex);
    return m_registration ? std::optional(m_lease_valid_until) : std::nullopt;
  }

  // Another part was refused because the receiver has seen the epoch `seen`.
  void ReportStaleEpoch(const ShardId& shard, Epoch seen) {
    Post(StaleReport{shard, seen});
  }

 private:
  struct StaleReport {
    ShardId m_shard;
    Epoch m_seen = 0;
  };
  struct StoppedReport {
    ShardId m_shard;
    Epoch m_epoch = 0;
  };
  struct LeaseEndReport {
    StoreLeaseId m_lease;
  };
  using Report = std::variant<StaleReport, StoppedReport, LeaseEndReport>;

  // The session's thread; the only one that uses m_core and m_view_at.
  void Run() {
    ThreadPool releases(kReleaseThreads);
    m_releases = &releases;
    while (!Finished()) {
      if (!Registered()) {
        TryRegister();
      }
      HandleReports();
      BeginLeavingIfAsked();
      if (Registered() && RefreshDue()) {
        Refresh();
      }
      WaitForWork();
    }
    Unregister();
    {
      const std::lock_guard lock(m_mutex);
      m_finished = true;
    }
    m_wake.notify_all();
  }

  bool Finished() const {
    const std::lock_guard lock(m_mutex);
    if (!m_leave_deadline) {
      return false;
    }
    if (m_clock.Now() >= *m_leave_deadline) {
      return true;
    }
    return !m_registration || (m_leaving && m_core.Held().empty());
  }

  bool Registered() const {
    const std::lock_guard lock(m_mutex);
    return m_registration.has_value();
  }

  void TryRegister() {
    const TimePoint sent = m_clock.Now();
    if (sent < m_register_after) {
      return;
    }
    m_register_after = sent + m_options.m_poll;
    Member member;
    member.m_incarnation = RandomHexId();
    member.m_rpc_address = m_options.m_rpc_address;
    member.m_zone = m_options.m_zone;
    Result<Registration> registration =
        RegisterMember(m_store, std::move(member), m_options.m_lease);
    NoteContact(sent, registration);
    if (!registration) {
      Log(LogLevel::kWarning, LogCategory::kMembership, "register_failed",
          {{"reason", registration.error().Reason()}});
      return;
    }
    const std::string incarnation = registration->m_member.m_incarnation;
    Log(LogLevel::kInfo, LogCategory::kMembership, "registered",
        {{"incarnation", incarnation}});
    m_core.Registered(incarnation, m_clock.Now());
    const std::lock_guard lock(m_mutex);
    m_registration = std::move(*registration);
    m_lease_valid_until = LeaseEnd(sent);
    m_changed = true;
  }

  void HandleReports() {
    std::deque<Report> reports;
    {
      const std::lock_guard lock(m_mutex);
      reports.swap(m_reports);
    }
    for (const Report& report : reports) {
      std::visit([this](const auto& value) { this->Handle(value); }, report);
    }
  }

  void Handle(const StaleReport& report) {
    Execute(m_core.StaleEpoch(report.m_shard, report.m_seen));
    const std::lock_guard lock(m_mutex);
    m_changed = true;
  }

  void Handle(const StoppedReport& report) {
    Execute(m_core.ShardStopped(report.m_shard, report.m_epoch));
  }

  void Handle(const LeaseEndReport& report) {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_registration || m_registration->m_lease != report.m_lease) {
        return;
      }
    }
    Execute(m_core.LeaseLost());
  }

  // Other daemons choose no member that leaves, so the record is marked before
  // the first shard is released.
  void BeginLeavingIfAsked() {
    Registration registration;
    {
      const std::lock_guard lock(m_mutex);
      if (!m_leave_deadline || m_leaving || !m_registration) {
        return;
      }
      m_leaving = true;
      registration = *m_registration;
    }
    registration.m_member.m_leaving = true;
    const TimePoint sent = m_clock.Now();
    const Result<StoreRevision> version =
        PutAndReadBack(m_store, MemberKey(registration.m_member.m_incarnation),
                       EncodeMember(registration.m_member),
                       registration.m_version, registration.m_lease);
    NoteContact(sent, version);
    Execute(m_core.StartLeaving());
  }

  bool RefreshDue() const {
    const std::lock_guard lock(m_mutex);
    return m_clock.Now() >= NextRefresh();
  }

  // Needs m_mutex, and runs on the session's thread.
  TimePoint NextRefresh() const {
    const TimePoint gap_end = m_refreshed_at + m_options.m_refresh_gap;
    if (m_changed) {
      return gap_end;
    }
    TimePoint next = m_refreshed_at + m_options.m_resync;
    if (const std::optional<TimePoint> check = m_core.NextCheck()) {
      next = std::min(next, std::max(*check, gap_end));
    }
    return next;
  }

  void Refresh() {
    {
      const std::lock_guard lock(m_mutex);
      m_changed = false;
      m_refreshed_at = m_clock.Now();
    }
    const TimePoint sent = m_clock.Now();
    const Result<ClusterView> view = ReadCluster(m_store);
    NoteContact(sent, view);
    if (!view) {
      RefreshAgainLater();
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_routing = std::make_shared<const RoutingTable>(*view);
    }
    Execute(m_core.Observe(*view, WantedShards(), m_clock.Now()));
  }

  void RefreshAgainLater() {
    const std::lock_guard lock(m_mutex);
    m_changed = true;
    m_refreshed_at = m_clock.Now() + m_options.m_poll - m_options.m_refresh_gap;
  }

  std::set<ShardId> WantedShards() const {
    std::set<ShardId> wanted;
    for (int number = 0; number < m_options.m_team_shards; ++number) {
      wanted.insert(ShardId::Team(number));
    }
    for (std::string& group : m_callbacks.m_groups()) {
      wanted.insert(ShardId::Group(std::move(group)));
    }
    return wanted;
  }

  void Execute(const OwnershipDecisions& decisions) {
    for (const OwnershipDecision& decision : decisions) {
      std::visit([this](const auto& value) { this->Carry(value); }, decision);
    }
  }

  void Carry(const AcquireShard& decision) {
    const ShardRecord record{Incarnation(), m_options.m_rpc_address,
                             decision.m_epoch, kAbsent};
    const TimePoint sent = m_clock.Now();
    const Result<StoreRevision> version = WriteShardRecord(
        m_store, decision.m_shard, record, decision.m_expected_version);
    NoteContact(sent, version);
    if (!m_core.AcquireDone(decision, ToOptional(version))) {
      const std::lock_guard lock(m_mutex);
      m_changed = true;
      return;
    }
    LogShard("shard_acquired", decision.m_shard, decision.m_epoch);
    m_callbacks.m_on_acquired(decision.m_shard, decision.m_epoch);
  }

  void Carry(const StopShard& decision) {
    LogShard("shard_stopping", decision.m_shard, decision.m_epoch);
    m_releases->Submit([this, decision] {
      m_callbacks.m_on_release(decision.m_shard);
      Post(StoppedReport{decision.m_shard, decision.m_epoch});
    });
  }

  void Carry(const ReleaseShard& decision) {
    const ShardRecord record{"", {}, decision.m_epoch, kAbsent};
    const TimePoint sent = m_clock.Now();
    const Result<StoreRevision> version = WriteShardRecord(
        m_store, decision.m_shard, record, decision.m_expected_version);
    NoteContact(sent, version);
    // A conflict means that a successor, or an earlier try, wrote the record.
    const bool settled =
        version || version.error().Code() == ErrorCode::kConflict;
    m_core.ReleaseDone(decision, settled);
    if (settled) {
      LogShard("shard_released", decision.m_shard, decision.m_epoch);
      return;
    }
    RefreshAgainLater();
  }

  void Carry(const DropShard& decision) {
    LogShard("shard_lost", decision.m_shard, decision.m_epoch);
    m_callbacks.m_on_lost(decision.m_shard);
  }

  void Carry(const TakeNewIncarnation& /*decision*/) {
    Log(LogLevel::kWarning, LogCategory::kMembership, "lease_lost");
    const std::lock_guard lock(m_mutex);
    m_registration.reset();
  }

  static std::optional<StoreRevision> ToOptional(
      const Result<StoreRevision>& version) {
    return version ? std::optional(*version) : std::nullopt;
  }

  static void LogShard(std::string_view event, const ShardId& shard,
                       Epoch epoch) {
    Log(LogLevel::kInfo, LogCategory::kMembership, event,
        {{"shard", shard.StoreKey()}, {"epoch", epoch}});
  }

  // Ends the lease, which removes the member record.
  void Unregister() {
    std::optional<Registration> registration;
    {
      const std::lock_guard lock(m_mutex);
      registration.swap(m_registration);
    }
    // With shards left, the end of the lease gives them the time to stop.
    if (registration && m_core.Held().empty()) {
      m_store.RevokeLease(registration->m_lease);
    }
  }

  void WaitForWork() {
    std::unique_lock lock(m_mutex);
    TimePoint until = m_registration ? NextRefresh() : m_register_after;
    if (m_leave_deadline) {
      until = std::min(until, *m_leave_deadline);
    }
    const bool changed = m_changed;
    m_wake.wait_until(lock, until, [this, changed] {
      return !m_reports.empty() || m_changed != changed || LeaveNotBegun();
    });
  }

  // Needs m_mutex.
  bool LeaveNotBegun() const {
    return m_leave_deadline && (!m_leaving || !m_registration);
  }

  // A thread of its own, so that neither callbacks nor slow lists delay it.
  void RenewLoop() {
    while (!SleepUnlessFinished(m_options.m_renew)) {
      StoreLeaseId lease;
      {
        const std::lock_guard lock(m_mutex);
        if (!m_registration) {
          continue;
        }
        lease = m_registration->m_lease;
      }
      const TimePoint sent = m_clock.Now();
      const Result<void> renewed = m_store.RenewLease(lease);
      NoteContact(sent, renewed);
      if (renewed) {
        const std::lock_guard lock(m_mutex);
        if (m_registration && m_registration->m_lease == lease) {
          m_lease_valid_until = LeaseEnd(sent);
        }
      } else if (renewed.error().Code() == ErrorCode::kNotFound) {
        Post(LeaseEndReport{lease});
      }
    }
  }

  void WatchLoop(const std::string& prefix) {
    StoreRevision since = 0;
    while (!IsFinished()) {
      const TimePoint sent = m_clock.Now();
      const Result<StoreWatch> watch =
          m_store.Watch(prefix, since, m_options.m_watch_limit);
      NoteContact(sent, watch);
      if (!watch) {
        SleepUnlessFinished(m_options.m_poll);
        continue;
      }
      since = std::max(since, watch->m_revision);
      if (watch->m_changed) {
        {
          const std::lock_guard lock(m_mutex);
          m_changed = true;
        }
        m_wake.notify_all();
        // Many changes in a row cost one call for each gap.
        SleepUnlessFinished(m_options.m_refresh_gap);
      }
    }
  }

  bool IsFinished() const {
    const std::lock_guard lock(m_mutex);
    return m_finished;
  }

  // Returns true if the session has finished.
  bool SleepUnlessFinished(Milliseconds duration) {
    std::unique_lock lock(m_mutex);
    return m_wake.wait_for(lock, duration, [this] { return m_finished; });
  }

  void Post(Report report) {
    {
      const std::lock_guard lock(m_mutex);
      m_reports.push_back(std::move(report));
    }
    m_wake.notify_all();
  }

  // The lease runs from some time after the call was sent.
  TimePoint LeaseEnd(TimePoint sent) const {
    return sent + m_options.m_lease - m_options.m_margin;
  }

  template <typename T>
  void NoteContact(TimePoint sent, const Result<T>& result) {
    const bool answered = result ||
                          result.error().Code() == ErrorCode::kConflict ||
                          result.error().Code() == ErrorCode::kNotFound;
    if (answered) {
      const std::lock_guard lock(m_mutex);
      m_last_contact = std::max(m_last_contact, sent);
    }
  }

  // Enough that the shards of one daemon stop at about the same time.
  static constexpr std::size_t kReleaseThreads = 8;

  Store& m_store;
  const MemberOptions m_options;
  const MemberCallbacks m_callbacks;
  const SystemClock m_clock{};

  // Used by the session's thread only.
  OwnershipCore m_core;
  ThreadPool* m_releases = nullptr;
  TimePoint m_register_after{};

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  // All below are guarded by m_mutex.
  std::shared_ptr<const RoutingTable> m_routing;
  std::optional<Registration> m_registration;
  TimePoint m_lease_valid_until{};
  TimePoint m_last_contact;
  TimePoint m_refreshed_at{};
  // The records may have changed since the last refresh began.
  bool m_changed = false;
  std::deque<Report> m_reports;
  std::optional<TimePoint> m_leave_deadline;
  bool m_leaving = false;
  bool m_finished = false;

  std::vector<std::thread> m_threads;
};

}  // namespace mustardslip
