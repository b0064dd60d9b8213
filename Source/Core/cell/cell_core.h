// The control logic of a cell's owner, as a state machine without I/O.
//
// Events change the state through log records. Records collect in an open
// batch; the driver (CellOwner) writes one batch at a time to the store and
// reports when it is durable. Effects that depend on a record (a reply, a
// start) are released only then; all others are released immediately.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cell/async_store.h"
#include "cell/backlog_forecast.h"
#include "cell/cell_state.h"
#include "cell/cell_types.h"
#include "cell/contention.h"
#include "cell/scheduler.h"
#include "cell/team_rate.h"
#include "cell/vm_speed.h"
#include "common/token_bucket.h"

namespace mustardslip {

// Lease of a VM: its tasks are stopped after this time without contact to an
// owner. Covers the failure of an owner (expiry of its lease in the store and
// the takeover) with a second to spare.
inline constexpr std::int64_t kVmLeaseMs = 5'000;
// An owner that has not reached the store for this long stops renewing VM
// leases, so that a successor can bound the lease of a VM it cannot reach.
inline constexpr std::int64_t kRenewWithoutStoreMs = 9'000;
// A VM refuses a start that arrives later than this after it was sent.
inline constexpr std::int64_t kStartWindowMs = 600;

// Counted since this daemon took ownership of the cell.
struct CellCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refused = 0;
  // Of them, jobs that could not end in time to be of use.
  std::uint64_t m_hopeless = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_not_begun = 0;
  std::uint64_t m_starts_unanswered = 0;
  // Runs that their VM had confirmed and then listed neither as running nor as
  // ended.
  std::uint64_t m_vanished = 0;
  // Stops of listed runs that were not open, repetitions counted.
  std::uint64_t m_unknown_runs_stopped = 0;
  // Runs whose VM turned out to be a newer incarnation before it listed them.
  std::uint64_t m_carried_over = 0;
  std::map<RunEnd, std::uint64_t> m_ends;
  // Runs stopped for a more urgent gang.
  std::uint64_t m_preemptions = 0;
  // Accepted jobs whose queue went to another pool, each time counted.
  std::uint64_t m_jobs_moved = 0;
  std::uint64_t m_asks = 0;
  std::uint64_t m_passes = 0;
  // VMs that scheduling passes looked at, each time counted.
  std::uint64_t m_vms_examined = 0;
  // Starts on another VM than without regard to contention.
  std::uint64_t m_starts_apart = 0;
};

// The VMs of a zone and the runs on them.
struct ZoneUse {
  // VMs that the VM list names now.
  std::size_t m_vms = 0;
  // Open runs, also on VMs that are not listed any more.
  std::size_t m_runs = 0;
  // False if no VM of the zone has been seen.
  bool m_known = false;

  bool operator==(const ZoneUse&) const = default;
};

// The VMs of a pool (service), and the work that is there or waits for it.
struct PoolUse {
  // VMs that may get starts now.
  std::size_t m_usable_vms = 0;
  // Open runs on the VMs of the pool, also of queues that left it.
  std::size_t m_runs = 0;
  // Tasks whose turn has come.
  std::int64_t m_waiting_tasks = 0;

  bool operator==(const PoolUse&) const = default;
};

class CellCore {
 public:
  explicit CellCore(CellBounds bounds, CellFeatures features = {});

  // --- Recovery: Replay each record in order, then call OnRecovered once ---
  void Replay(const LogRecord& record) { m_state.Apply(record); }
  void OnRecovered(const CellTime& now);

  // --- Configuration and VMs ---
  void OnRules(CellRules rules, const CellTime& now);
  void OnVmListed(const VmDescription& vm, const CellTime& now);
  void OnVmUnlisted(const std::string& id, const CellTime& now);

  // --- Evacuated zones (cell_core_zones.cc) ---
  // Nothing is started, and no advice requested, before OnZonesListed.
  void AwaitZones() { m_zones_known = false; }
  // The calls of OnZoneEvacuated so far give all evacuated zones.
  void OnZonesListed();
  // VMs of an evacuated zone get no starts, also not those planned already.
  // Runs there continue.
  void OnZoneEvacuated(const std::string& zone, bool evacuated);
  const std::set<std::string>& EvacuatedZones() const {
    return m_evacuated_zones;
  }
  ZoneUse UseOfZone(const std::string& zone) const;
  // Listed VMs that are in an evacuated zone.
  std::size_t EvacuatedVms() const;

  // By service. Looks at all VMs and waiting steps.
  std::map<std::string, PoolUse> UseOfPools(const CellTime& now) const;

  // --- Requests of callers; each is answered by a ReplyToCaller effect ---
  void Submit(std::uint64_t token, WorkflowSpec spec, const CellTime& now);
  void Cancel(std::uint64_t token, const std::string& queue,
              const std::string& job, const CellTime& now);
  void Lookup(std::uint64_t token, const std::string& queue,
              const std::string& job);
  void CountWaiting(std::uint64_t token, const std::string& queue);
  // What would become of the job if it were submitted now (dry_run.h). Refuses
  // more than a few a second: each looks at all VMs for each step.
  void Explain(std::uint64_t token, WorkflowSpec spec, const CellTime& now);
  // Answers that the request was not accepted.
  void Refuse(std::uint64_t token, std::string reason,
              std::int64_t retry_after_ms);

  // --- Reports of VMs and answers of the advice service ---
  void OnVmReport(const VmReport& report, const CellTime& now);
  // A poll of `asked` was answered by another incarnation of the VM. What a VM
  // says of itself overrides the VM list.
  void OnOtherIncarnation(const VmIncarnation& asked, const VmReport& report,
                          const CellTime& now);
  // A call to the VM failed or was not answered in time.
  void OnVmCallFailed(const VmIncarnation& vm, VmCallFailure failure,
                      const CellTime& now);
  void OnStartAnswer(const StartAnswer& answer, const CellTime& now);
  void OnStopAnswer(const StopAnswer& answer);
  void OnAdvice(const AdviceAnswer& answer, const CellTime& now);

  // --- Time ---
  void OnTick(const CellTime& now);
  // Plans starts if the state changed since the last call, of about
  // `max_start_bytes` together. Opens at most `free_advice_calls` calls to the
  // advice service.
  void Schedule(const CellTime& now, const FreeAdviceCalls& free_advice_calls,
                std::int64_t max_start_bytes = kUnlimitedStartBytes);
  // Requests advice for the next call of Schedule without planning starts. Used
  // while a log write is in flight.
  void RequestAdviceAhead(const CellTime& now,
                          const FreeAdviceCalls& free_advice_calls);

  // --- Log ---
  bool HasOpenBatch() const { return !m_open.m_records.empty(); }
  // About the bytes that a write of the open batch takes.
  std::int64_t OpenBatchBytes() const { return m_open.m_bytes; }
  bool HasBatchInFlight() const { return m_in_flight.has_value(); }
  // Closes the open batch and returns its records for writing. Requires that no
  // batch is in flight.
  const std::vector<LogRecord>& BeginBatch();
  // Requires a batch in flight.
  const std::vector<LogRecord>& BatchInFlight() const {
    return m_in_flight->m_records;
  }
  // The batch in flight is durable since this revision of the store: releases
  // its effects. Requires a batch in flight.
  void OnDurable(const CellTime& now, Revision revision);
  // While false, submissions are refused, including accepted ones whose record
  // is still in the open batch.
  void SetStoreWritable(bool writable);
  bool StoreWritable() const { return m_store_writable; }

  // Returns and clears the released effects, in order of release.
  std::vector<Effect> TakeEffects();

  // --- Fences (cell_core_fences.cc) ---
  // Calls to the VM carry this fence if it is above the revision of the owner's
  // record; 0 if that one is to be used.
  Revision RaisedFence(const std::string& vm) const;
  // No poll has to be sent to the VM, and none that was sent counts, until it
  // has a higher fence.
  bool AwaitsHigherFence(const std::string& vm) const {
    return m_fences_to_raise.count(vm) != 0;
  }

  // The lease deadline to send with a call, on the VM's clock. Returns nullopt
  // if that clock is unknown or the VM does not answer: a delayed call must not
  // extend a lease whose expiry the owner is waiting for.
  std::optional<std::int64_t> NextLease(VmState& vm, const CellTime& now);

  // The sequence number up to which the next poll lets the VM discard ends; 0
  // discards none.
  std::uint64_t EndsToAcknowledge(const VmState& vm);

  // How long a poll of the VM may wait for a run to end, in milliseconds: until
  // the next expected end is overdue, so that a lost answer is detected then.
  std::int64_t PollWaitMs(const VmState& vm, const CellTime& now);

  CellState& State() { return m_state; }
  const CellState& State() const { return m_state; }
  const CellCounters& Counters() const { return m_counters; }
  // Version of the configuration in force; 0 before the first one.
  std::int64_t RulesVersion() const { return m_rules.m_version; }
  const ReadySteps& Ready() const { return m_ready; }
  const VmSpeeds& Speeds() const { return m_speeds; }
  // Null unless contention is avoided.
  const ContentionModel* Contention() const { return m_contention.get(); }

 private:
  // The following structs are effects that wait until their batch is durable.
  struct PlannedStart {
    Placement m_placement;
  };
  // Makes the phase visible to callers.
  struct PublishPhase {
    std::string m_job;
    JobPhase m_phase = JobPhase::kQueued;
  };
  // Allows the VM to discard ends up to this sequence number.
  struct ReleaseEnds {
    VmIncarnation m_vm;
    std::uint64_t m_up_to = 0;
  };
  // Stops the open runs of a job that ended.
  struct StopJob {
    std::string m_job;
  };
  struct DeferredReply {
    std::string m_job;
    ReplyToCaller m_reply;
  };
  // Deadlines may be sent to the VM again, if this is its newest VmReachable.
  struct AllowDeadlines {
    std::string m_vm;
    std::uint64_t m_number = 0;
  };
  // Calls to the VM get a higher fence.
  struct RaiseFence {
    std::string m_vm;
  };
  using DeferredEffect =
      std::variant<PlannedStart, PublishPhase, ReleaseEnds, StopJob,
                   DeferredReply, JobFailure, AllowDeadlines, RaiseFence>;

  struct Batch {
    std::vector<LogRecord> m_records;
    std::vector<DeferredEffect> m_deferred;
    // About the bytes that a write of the records takes.
    std::int64_t m_bytes = 0;
  };

  void Append(LogRecord record);
  // Releases the effect when all records appended so far are durable.
  void Defer(DeferredEffect effect);
  void Release(const DeferredEffect& effect, const CellTime& now);
  void ReleaseStart(const Placement& placement, const CellTime& now);

  void Reply(std::uint64_t token, CellAnswer answer);
  // True if the effect publishes the phase of, or stops, one of the jobs.
  static bool IsEffectOf(const DeferredEffect& effect,
                         const std::set<std::string>& jobs);
  void WithdrawUnwrittenJobs();
  void AppendConfirmations();

  void CloseRun(const TaskRef& task, std::uint32_t run, const VmIncarnation& vm,
                RunEnd end, std::string checkpoint, std::uint64_t sequence,
                const CellTime& now);
  void AfterEnd(const TaskRef& task, std::uint32_t run, RunEnd end,
                const VmIncarnation& vm, const CellTime& now);
  void SetRules(CellRules rules);
  std::vector<std::string> PutRulesInForce();
  std::vector<std::string> ActiveJobs() const;
  static void ForgetPool(Job& job);
  void ReportMoves(
      std::map<std::pair<std::string, std::string>, QueueMoved> moves);
  bool ApplyRules(WorkflowSpec& spec) const;
  void FailIfNoAttemptIsLeft(const TaskRef& ref, const CellTime& now);
  void FailJob(const Job& job, JobFailure failure, const CellTime& now);
  void FailJobsWithoutAttempts(const std::vector<std::string>& jobs,
                               const CellTime& now);
  static void UpdateVmHealth(VmState& vm, Job& job, RunEnd end,
                             const CellTime& now);
  void StopRuns(Job& job, const CellTime& now);
  void StopGangRun(const TaskRef& task, std::uint32_t run, const CellTime& now);
  void SendStop(const TaskRef& task, OpenRun& run, StopReason reason,
                const CellTime& now);
  void HandleVmPace(VmState& vm, const CellTime& now);
  // --- Evacuated zones (cell_core_zones.cc) ---
  void SetDescription(VmState& vm, const VmDescription& description,
                      const CellTime& now) const;
  void AbortEvacuatedGangs(const Batch& batch);
  bool GangFitsOutsideZones(const VmState& vm, const Job& job,
                            const StepSpec& spec, const StepState& step,
                            std::int64_t now_ms) const;
  void MoveRun(const VmState& vm, const RunKey& key, const CellTime& now);
  const VmSpeeds* PlacementSpeeds() const {
    return m_features.m_place_by_speed ? &m_speeds : nullptr;
  }
  void LearnFromEnds(const VmState& vm, const VmReport& report,
                     const CellTime& now);
  void LearnFromProgress(const VmState& vm, const VmReport& report,
                         const CellTime& now);
  void RefreshSpeeds(const CellTime& now);
  static bool MayMoveTo(const VmState& other, const VmState& from,
                        const Job& job, const StepSpec& spec,
                        const StepState& step, std::int64_t now_ms);
  bool HasCapacityElsewhere(const VmState& vm, const Job& job,
                            const StepSpec& spec, const StepState& step,
                            std::int64_t now_ms) const;
  void ProcessReportedEnds(VmState& vm, const VmReport& report,
                           const CellTime& now);
  // A VM executed a start of the task.
  void ConfirmRun(const TaskRef& task);
  void ProcessReportedRuns(VmState& vm, const VmReport& report);
  void StopStrayRun(VmState& vm, const ReportedRun& listed);
  void CloseUnlistedRuns(VmState& vm, const VmReport& report,
                         const CellTime& now);
  void NoteNotListed(const TaskRef& task, const OpenRun& run,
                     const CellTime& now);
  void EndEarlierIncarnations(const VmState& vm, const CellTime& now);
  void CarryOver(const RunKey& key, const VmState& from, const VmState& to);
  void NoteDeadlineCall(const VmState& vm, const CellTime& now);
  void ForgetDeadlineCalls(const CellTime& now);
  std::int64_t LongestLeaseMs() const;
  std::int64_t FormerCallMs() const;
  std::int64_t FirstLeaseMs(const VmState& vm, const CellTime& now);
  std::int64_t EarlierOwnersLeaseEndMs(const VmState& vm);
  std::int64_t FormerCallsLeaseEndMs(const VmState& vm) const;
  std::int64_t LeaseEndMs(const VmState& vm);
  bool EarlierOwnersLeaseMayLast(const VmState& vm, const CellTime& now);
  bool FormerCallsLeaseMayLast(const VmState& vm, const CellTime& now) const;
  bool LeaseMayLast(const VmState& vm, const CellTime& now);
  void RecordUnreachableVms(const CellTime& now);
  void RecordUnreachable(const std::vector<VmState*>& lives,
                         const CellTime& now);
  bool HasUnconfirmedRuns(const VmState& vm);
  bool HasUnsettledRuns(const VmState& vm);
  void NoteLeftOutRuns(const VmState& vm, const VmReport& report);
  std::int64_t UnknownIncarnationLeaseEndMs(const VmState& vm) const;
  void RecordReachable(VmState& vm);
  void OnReachableDurable(const AllowDeadlines& allow);
  bool NeedsHigherFence(const VmState& vm) const;
  void RequestHigherFence(VmState& vm);
  bool MayRunOnNewerIncarnation(const VmState& vm, const OpenRun& run,
                                const CellTime& now);
  void MarkRunsLost(VmState& vm, const CellTime& now);
  void SuspectNewRuns(const VmState& vm, const CellTime& now);
  void ConfirmCrashOf(const VmState& vm, const CellTime& now);
  void ConfirmCrashes(const VmState& newer, const CellTime& now);
  void ConfirmLostSuspects(const VmIncarnation& life, const CellTime& now);
  void Confirm(const std::vector<CrashSuspicion>& crashes, const CellTime& now);
  void RememberLostSuspect(const VmState& vm, const RunKey& key,
                           const OpenRun& run);
  void NoteStart(const Placement& placement, const CellTime& now);
  void ClearSuspects(const VmState& vm);
  void GiveUpIfItCrashesVms(const TaskRef& task, const CellTime& now);
  static bool IsForgettable(VmState& vm, const CellTime& now);
  void ExpireVmLeases(const CellTime& now);
  void ReleaseOccurrences(Job& job, const CellTime& now);
  void ReleaseDueOccurrences(const CellTime& now);
  void RepeatStops(const CellTime& now);
  void OnJobsChanged();
  void Preempt(const RunKey& key, const CellTime& now);
  void ReleaseUnlogged(ScheduleResult result);
  void ObserveContention(const VmState& vm, const VmReport& report,
                         const CellTime& now);
  void RefreshContention(const CellTime& now);
  void RefreshForecast(const CellTime& now);
  bool RefuseIfHopeless(std::uint64_t token, const WorkflowSpec& spec,
                        const CellTime& now);

  CellBounds m_bounds;
  const CellFeatures m_features;
  CellState m_state;
  CellRules m_rules;
  // False until the first rules that are no older than those in the log.
  // Without them this owner starts nothing and decides no failure.
  bool m_configured = false;
  // True after OnRecovered.
  bool m_recovered = false;
  // Positions in m_rules.m_queues, by name.
  std::unordered_map<std::string, std::size_t> m_queue_index;
  // Read by m_scheduler.
  std::unique_ptr<ContentionModel> m_contention;
  Scheduler m_scheduler;
  VmSpeeds m_speeds;
  std::int64_t m_next_speed_refresh_ms = 0;
  TeamRateLimiter m_team_rate_limiter;
  BacklogForecast m_forecast;
  std::int64_t m_next_forecast_ms = 0;
  TokenBucket m_dry_runs;
  ReadySteps m_ready;
  // When the next occurrence of each scheduled job is due, in Unix
  // milliseconds. May hold jobs that have ended.
  std::set<std::pair<std::int64_t, std::string>> m_due;
  Batch m_open;
  std::optional<Batch> m_in_flight;
  std::vector<Effect> m_effects;
  // Jobs with a first confirmed run that no log record shows yet.
  std::vector<std::string> m_newly_confirmed;
  // When this owner last sent a call with a deadline to the incarnation
  // (owner's steady clock). Kept while such a call may give a lease to the next
  // one.
  std::map<VmIncarnation, std::int64_t> m_deadline_calls;
  // By VM: the number of its newest VmReachable that is not durable yet.
  std::map<std::string, std::uint64_t> m_reachable_records;
  std::uint64_t m_last_reachable_record = 0;
  // By VM: the fence of calls since another incarnation of it has answered.
  std::map<std::string, Revision> m_raised_fences;
  // By VM: the start time of the incarnation for which calls with the present
  // fence were computed. Outlives its VmState, since such a call may be late.
  std::map<std::string, std::int64_t> m_fenced_born;
  // VMs that get a higher fence with the next durable batch.
  std::set<std::string> m_fences_to_raise;
  // Revision of this owner's last durable batch.
  Revision m_durable_revision = 0;
  // Suspects of VMs whose lease expired before it was known whether they
  // crashed, as crashes to confirm.
  std::map<VmIncarnation, std::vector<CrashSuspicion>> m_lost_suspects;
  std::set<std::string> m_evacuated_zones;
  // False until the evacuated zones are known (AwaitZones).
  bool m_zones_known = true;
  bool m_dirty = true;
  bool m_store_writable = true;
  // When recovery finished.
  CellTime m_recovered_at;
  std::int64_t m_last_sweep_ms = 0;
  std::int64_t m_next_stop_check_ms = 0;
  CellCounters m_counters;
};

}  // namespace mustardslip
