// The decisions of the owner of a cell, as a state machine without I/O.
//
// Events change the state through log records. Records gather in an open batch;
// the driver writes one batch at a time to the store and reports when it is
// durable. Effects that depend on a record (a reply, a start) are released only
// then. Effects that need no record are released at once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cell/cell_state.h"
#include "cell/cell_types.h"
#include "cell/scheduler.h"
#include "cell/team_rate.h"

namespace mustardslip {

// How long a VM's tasks go on without contact to an owner. Covers the loss of
// an owner (its lease in the store, the takeover) with a second to spare.
inline constexpr std::int64_t kVmLeaseMs = 5'000;
// An owner that has not reached the store for this long stops renewing the
// leases of VMs, so that a successor that cannot reach a VM can rely on it.
inline constexpr std::int64_t kHoldWithoutStoreMs = 9'000;
// A start is refused by the VM if it arrives later than this after it was sent.
inline constexpr std::int64_t kStartWindowMs = 600;

// When a caller that was refused because the store takes no writes may return.
inline constexpr std::int64_t kRetryWithoutStoreMs = 1'000;

// What happened since this daemon owns the cell.
struct CellCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_not_begun = 0;
  std::map<RunEnd, std::uint64_t> m_ends;
  std::uint64_t m_asks = 0;
  std::uint64_t m_passes = 0;
};

class CellCore {
 public:
  explicit CellCore(CellBounds bounds) : m_bounds(bounds) {}

  // --- Recovery: first all records in order, then once OnRecovered ---
  void Replay(const LogRecord& record) { m_state.Apply(record); }
  void OnRecovered(const CellTime& now);

  // --- Configuration and VMs ---
  void OnRules(CellRules rules);
  void OnVmListed(const VmDescription& vm, const CellTime& now);
  void OnVmUnlisted(const std::string& id, const CellTime& now);

  // --- Callers; the answer comes as ReplyToCaller ---
  void Submit(std::uint64_t token, WorkflowSpec spec, const CellTime& now);
  void Cancel(std::uint64_t token, const std::string& queue,
              const std::string& job, const CellTime& now);
  void Lookup(std::uint64_t token, const std::string& queue,
              const std::string& job);
  void CountWaiting(std::uint64_t token, const std::string& queue);

  // --- VMs and advice ---
  void OnVmReport(const VmReport& report, const CellTime& now);
  void OnVmSilent(const VmLife& vm, const CellTime& now);
  void OnStartAnswer(const StartAnswer& answer, const CellTime& now);
  void OnAdvice(const AdviceAnswer& answer, const CellTime& now);

  // --- Time ---
  void OnTick(const CellTime& now);
  // Plans starts if something changed since the last call.
  void Schedule(const CellTime& now, std::size_t free_asks);
  // Asks for advice that the next call of Schedule can use, and plans nothing:
  // for the time in which a write to the log is in flight.
  void AskAhead(const CellTime& now, std::size_t free_asks);

  // --- Log ---
  bool HasOpenBatch() const { return !m_open.m_records.empty(); }
  bool HasBatchInFlight() const { return m_in_flight.has_value(); }
  // Moves the open batch in flight. Requires none in flight.
  const std::vector<LogRecord>& BeginBatch();
  // Requires a batch in flight.
  const std::vector<LogRecord>& BatchInFlight() const {
    return m_in_flight->m_records;
  }
  void OnDurable(const CellTime& now);
  // False while the store does not take writes: submissions are refused, also
  // those whose record has not left yet.
  void SetStoreWritable(bool writable);

  std::vector<Effect> TakeEffects();

  // The lease deadline for a call to the VM, on its clock; nullopt if the VM's
  // clock is unknown or it does not answer (a late call must not extend a lease
  // that is to be waited for).
  std::optional<std::int64_t> NextLease(VmState& vm, const CellTime& now) const;

  // How long a look at the VM may wait for an end, in milliseconds: until the
  // next end is overdue, so that a lost answer is noticed then.
  std::int64_t LookWaitMs(const VmState& vm, const CellTime& now);

  CellState& State() { return m_state; }
  const CellState& State() const { return m_state; }
  const CellCounters& Counters() const { return m_counters; }
  const Scheduler::ReadySteps& Ready() const { return m_ready; }

 private:
  // An effect that waits for its batch.
  struct PlannedStart {
    Placement m_placement;
  };
  struct ShowPhase {
    std::string m_job;
    JobPhase m_phase = JobPhase::kQueued;
  };
  struct ReleaseEnds {
    VmLife m_vm;
    std::uint64_t m_up_to = 0;
  };
  // Stops the runs of a job that ended.
  struct StopJob {
    std::string m_job;
  };
  struct GatedReply {
    std::string m_job;
    ReplyToCaller m_reply;
  };
  using Gated =
      std::variant<PlannedStart, ShowPhase, ReleaseEnds, StopJob, GatedReply>;

  struct Batch {
    std::vector<LogRecord> m_records;
    std::vector<Gated> m_gated;
  };

  void Append(LogRecord record);
  // Releases the effect with the newest record that is not durable yet.
  void Gate(Gated effect);
  void Release(const Gated& effect, const CellTime& now);
  void ReleaseStart(const Placement& placement, const CellTime& now);

  void Reply(std::uint64_t token, CellAnswer answer);
  // True for an effect on the callers' view of one of the jobs.
  static bool IsEffectOf(const Gated& gated, const std::set<std::string>& jobs);
  void WithdrawUnwrittenJobs();
  void Refuse(std::uint64_t token, std::string reason,
              std::int64_t retry_after_ms);

  void CloseRun(const TaskRef& task, std::uint32_t run, const VmLife& vm,
                RunEnd end, std::string checkpoint, std::uint64_t sequence,
                const CellTime& now);
  void AfterEnd(const TaskRef& task, std::uint32_t run, RunEnd end,
                const VmLife& vm, const CellTime& now);
  static void CountVmHealth(VmState& vm, Job& job, RunEnd end,
                            const CellTime& now);
  void StopRuns(Job& job, const CellTime& now);
  void StopGangRun(const TaskRef& task, std::uint32_t run, const CellTime& now);
  void SendStop(const TaskRef& task, OpenRun& run, StopReason reason,
                const CellTime& now);
  void JudgeVm(VmState& vm, const CellTime& now);
  void MoveRun(const VmState& vm, const RunKey& key, const CellTime& now);
  bool HasRoomElsewhere(const VmState& vm, const Job& job, const StepSpec& spec,
                        const StepState& step, std::int64_t now_ms) const;
  void ReadEnds(VmState& vm, const VmReport& report, const CellTime& now);
  void ReadRunning(VmState& vm, const VmReport& report);
  void CloseUnlistedRuns(VmState& vm, const VmReport& report,
                         const CellTime& now);
  void LoseRuns(VmState& vm, const CellTime& now);
  void CheckLapsedVms(const CellTime& now);
  void ReleaseOccurrences(Job& job, const CellTime& now);
  void OnJobsChanged();
  void RefreshReady(const std::string& id, Job& job);

  CellBounds m_bounds;
  CellState m_state;
  CellRules m_rules;
  Scheduler m_scheduler;
  TeamRate m_team_rate;
  Scheduler::ReadySteps m_ready;
  Batch m_open;
  std::optional<Batch> m_in_flight;
  std::vector<Effect> m_effects;
  bool m_dirty = true;
  bool m_store_writable = true;
  // Owner's steady clock at the end of the recovery.
  std::int64_t m_recovered_ms = 0;
  std::int64_t m_last_sweep_ms = 0;
  CellCounters m_counters;
};

}  // namespace mustardslip
