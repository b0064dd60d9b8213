// CellCore: reports of VMs, and answers to starts, stops and advice calls.
#include <algorithm>
#include <set>

#include "cell/cell_core.h"
#include "cell/pool_capacity.h"
#include "cell/vm_pace.h"

namespace mustardslip {
namespace {

// A VM on which runs of this many jobs failed without a success in between gets
// no starts for kAvoidMs, doubled with each further job.
constexpr std::size_t kFailedJobsBeforeAvoid = 2;
constexpr std::int64_t kAvoidMs = 1'000;
constexpr std::size_t kMaxDoublings = 2;
// After failures on this many VMs the job itself is taken to be at fault, and
// its failures no longer count against VMs.
constexpr std::size_t kVmsBeforeJobIsAtFault = 3;
constexpr std::int64_t kAvoidUnhealthyMs = 400;
// Subtracted from a ticket's validity, which begins at its issue and not when
// the answer arrives.
constexpr std::int64_t kTicketTransitMs = 50;
// A VM that was slow or stalled gets no starts for this long.
constexpr std::int64_t kAvoidImpairedMs = 2'000;
// A run is moved only if staying takes at least this many times as long as
// moving, and each task at most kMaxMovesPerTask times.
constexpr double kMinMoveGain = 1.5;
constexpr std::uint32_t kMaxMovesPerTask = 2;
// How long a poll waits for an end: at most; while a run's rate is unknown;
// beyond the expected end of a run; at least.
constexpr std::int64_t kMaxPollWaitMs = 1'500;
constexpr std::int64_t kUnmeasuredPollWaitMs = 600;
constexpr std::int64_t kOverdueEndMs = 120;
constexpr std::int64_t kMinPollWaitMs = 150;
// Delay before the next advice call after a failed one.
constexpr std::int64_t kRetryAdviceMs = 150;

}  // namespace

void CellCore::OnVmReport(const VmReport& report, const CellTime& now) {
  VmState* vm = m_state.FindVm(report.m_vm);
  if (vm == nullptr || AwaitsHigherFence(report.m_vm.m_id)) {
    return;
  }
  if (NeedsHigherFence(*vm)) {
    RequestHigherFence(*vm);
    return;
  }
  RecordReachable(*vm);
  if (!vm->m_fenced || vm->m_first_failed_call_ms != 0) {
    m_dirty = true;
    ClearSuspects(*vm);
  }
  if (!vm->m_fenced) {
    EndEarlierIncarnations(*vm, now);
    // An earlier owner may have extended the lease until now. From here on the
    // VM refuses its calls.
    vm->m_lease_until_vm_ms = std::max(vm->m_lease_until_vm_ms,
                                       report.m_vm_ms + FirstLeaseMs(*vm, now));
  }
  if (vm->m_fenced && vm->m_first_failed_call_ms == 0) {
    LearnFromEnds(*vm, report, now);
  }
  vm->m_fenced = true;
  m_fenced_born[report.m_vm.m_id] = report.m_vm.m_born;
  vm->m_awaits_fence = false;
  vm->m_poll_due_ms = 0;
  vm->m_first_failed_call_ms = 0;
  vm->m_seems_gone = false;
  vm->m_last_answer_ms = now.m_steady_ms;
  vm->m_clock.OnAnswer(report.m_vm_ms, now.m_steady_ms);
  ObserveContention(*vm, report, now);
  ProcessReportedEnds(*vm, report, now);
  ProcessReportedRuns(*vm, report);
  CloseUnlistedRuns(*vm, report, now);
  HandleVmPace(*vm, now);
  LearnFromProgress(*vm, report, now);
}

void CellCore::ProcessReportedEnds(VmState& vm, const VmReport& report,
                                   const CellTime& now) {
  vm.m_acknowledged_end = vm.m_last_end;
  for (const ReportedEnd& end : report.m_ended) {
    vm.m_acknowledged_end = std::min(vm.m_acknowledged_end, end.m_sequence - 1);
  }
  for (const ReportedEnd& end : report.m_ended) {
    if (end.m_sequence > vm.m_last_end) {
      CloseRun(end.m_task, end.m_run, vm.Incarnation(), end.m_end,
               end.m_checkpoint, end.m_sequence, now);
    }
  }
}

// Numbers of ends begin anew in each incarnation, and the poll may reach a
// later one. So none are acknowledged before the VM has answered this owner,
// while its last poll is unanswered, or while a start that no list has settled
// may have reached the next incarnation: its end would be discarded unread.
//
// Invariant: once its starts are settled, each list lets the VM discard the
// ends that it returned when they are durable, also if it was cut and this
// owner has seen none of the runs. The next list returns others, so that
// nothing waits for what only the rest of a list can tell.
std::uint64_t CellCore::EndsToAcknowledge(const VmState& vm) {
  if (!vm.m_fenced || vm.m_first_failed_call_ms != 0 ||
      vm.m_acknowledged_end >= vm.m_durable_end || HasUnsettledRuns(vm)) {
    return 0;
  }
  return vm.m_durable_end;
}

void CellCore::ProcessReportedRuns(VmState& vm, const VmReport& report) {
  vm.m_stray = {};
  for (const ReportedRun& listed : report.m_running) {
    OpenRun* run = m_state.FindRun(listed.m_task, listed.m_run);
    const bool ours = run != nullptr && run->m_vm == vm.Incarnation();
    if (!ours) {
      if (vm.m_open.count({listed.m_task, listed.m_run}) == 0) {
        StopStrayRun(vm, listed);
      }
      continue;
    }
    if (run->m_phase == RunPhase::kPlanned) {
      run->m_phase = RunPhase::kRunning;
      run->SetListedAfter(report.m_vm_ms);
      ConfirmRun(listed.m_task);
    }
    run->m_progress.OnReport(listed.m_percent, report.m_vm_ms);
    if (!listed.m_checkpoint.empty()) {
      StepState& step = *m_state.FindStep(listed.m_task);
      const Job& job = *m_state.FindJob(listed.m_task.m_job);
      const bool gang = job.m_spec.m_steps[listed.m_task.m_step].m_gang;
      TaskState& task =
          gang ? step.m_tasks.front() : step.m_tasks[listed.m_task.m_index];
      task.m_checkpoint = listed.m_checkpoint;
    }
  }
}

// A late start whose run was already closed, or a run of an unknown job. Until
// it has ended it takes room; all of the VM if its size is not known.
void CellCore::StopStrayRun(VmState& vm, const ReportedRun& listed) {
  ++m_counters.m_unknown_runs_stopped;
  m_effects.push_back(StopRun{listed.m_task, listed.m_run, vm.Incarnation(),
                              vm.m_description.m_address,
                              StopReason::kUnknownRun});
  const Job* job = m_state.FindJob(listed.m_task.m_job);
  const bool known =
      job != nullptr && listed.m_task.m_step < job->m_spec.m_steps.size();
  vm.m_stray =
      vm.m_stray + (known ? job->m_spec.m_steps[listed.m_task.m_step].Charge()
                          : vm.m_description.m_capacity);
}

void CellCore::ConfirmRun(const TaskRef& task) {
  Job& job = *m_state.FindJob(task.m_job);
  if (!job.m_confirmed) {
    job.m_confirmed = true;
    m_newly_confirmed.push_back(task.m_job);
  }
}

// A slow or stalled VM gets no starts for a while, and its runs are moved where
// that is faster.
void CellCore::HandleVmPace(VmState& vm, const CellTime& now) {
  vm.m_pace = ClassifyPace(vm, m_state);
  if (vm.m_pace == VmPace::kNormal) {
    return;
  }
  vm.m_impaired_until_ms = now.m_steady_ms + kAvoidImpairedMs;
  for (const RunKey& key : vm.OpenRuns()) {
    MoveRun(vm, key, now);
  }
}

void CellCore::MoveRun(const VmState& vm, const RunKey& key,
                       const CellTime& now) {
  Job* job = m_state.FindJob(key.first.m_job);
  OpenRun* run = m_state.FindRun(key.first, key.second);
  if (job == nullptr || run == nullptr || job->Ended() ||
      run->m_phase != RunPhase::kRunning || !run->m_progress.Reported() ||
      run->m_progress.WorkDone()) {
    return;
  }
  const StepSpec& spec = job->m_spec.m_steps[key.first.m_step];
  StepState& step = *m_state.FindStep(key.first);
  TaskState& task =
      step.m_tasks[spec.m_gang ? 0
                               : static_cast<std::size_t>(key.first.m_index)];
  if (spec.m_long_lived || task.m_moves >= kMaxMovesPerTask) {
    return;
  }
  const MoveCost cost = EstimateMoveCost(spec, step, task, *run, vm.m_pace);
  if (cost.m_stay_ms < cost.m_move_ms * kMinMoveGain ||
      !HasCapacityElsewhere(vm, *job, spec, step, now.m_steady_ms) ||
      (spec.m_gang &&
       !GangFitsOutsideZones(vm, *job, spec, step, now.m_steady_ms))) {
    return;
  }
  ++task.m_moves;
  SendStop(key.first, *run, StopReason::kMove, now);
  if (spec.m_gang) {
    StopGangRun(key.first, key.second, now);
  }
}

// True if tasks of the step that leave `from` may start on `other`.
bool CellCore::MayMoveTo(const VmState& other, const VmState& from,
                         const Job& job, const StepSpec& spec,
                         const StepState& step, std::int64_t now_ms) {
  const auto advice = step.m_advice.find(other.Incarnation().m_id);
  const bool known_bad =
      advice != step.m_advice.end() && !advice->second.m_good;
  return &other != &from && !known_bad && IsUsable(other, now_ms) &&
         !other.IsAvoided(now_ms) &&
         other.m_description.m_service == job.m_spec.m_queue.m_service &&
         other.HasRequiredLabel(spec);
}

bool CellCore::HasCapacityElsewhere(const VmState& vm, const Job& job,
                                    const StepSpec& spec, const StepState& step,
                                    std::int64_t now_ms) const {
  const auto& vms = m_state.Vms();
  return std::any_of(vms.begin(), vms.end(), [&](const auto& one) {
    return MayMoveTo(one.second, vm, job, spec, step, now_ms) &&
           spec.Charge().FitsIn(one.second.Free());
  });
}

std::int64_t CellCore::PollWaitMs(const VmState& vm, const CellTime& now) {
  std::int64_t wait_ms = kMaxPollWaitMs;
  const std::int64_t vm_now_ms = vm.m_clock.LowerBoundMs(now.m_steady_ms);
  for (const auto& [key, charge] : vm.m_open) {
    const OpenRun* run = m_state.FindRun(key.first, key.second);
    if (run == nullptr || run->m_progress.WorkDone()) {
      continue;
    }
    if (run->m_carried_over && !run->Listed()) {
      // The next list shows whether the run is there.
      return kMinPollWaitMs;
    }
    const auto end_ms = run->m_progress.ExpectedEndVmMs();
    const std::int64_t run_wait_ms =
        end_ms ? *end_ms - vm_now_ms + kOverdueEndMs : kUnmeasuredPollWaitMs;
    wait_ms = std::min(wait_ms, run_wait_ms);
  }
  return std::max(wait_ms, kMinPollWaitMs);
}

// Closes runs that the VM should know but lists neither as running nor as
// ended: they never began, or another gang member's end was reported for them.
void CellCore::CloseUnlistedRuns(VmState& vm, const VmReport& report,
                                 const CellTime& now) {
  if (vm.m_open.empty()) {
    return;
  }
  if (report.m_more) {
    NoteLeftOutRuns(vm, report);
    return;
  }
  std::set<RunKey> listed;
  for (const ReportedRun& run : report.m_running) {
    listed.emplace(run.m_task, run.m_run);
  }
  std::vector<RunKey> missing;
  for (const auto& [key, charge] : vm.m_open) {
    const OpenRun* run = m_state.FindRun(key.first, key.second);
    if ((run != nullptr && run->m_awaiting_log) || listed.count(key) != 0) {
      continue;
    }
    if (run == nullptr ||
        run->m_listed_after_vm_ms == OpenRun::kUnknownVmTime ||
        run->IsSettledBy(report.m_vm_ms)) {
      missing.push_back(key);
    }
  }
  for (const auto& [task, number] : missing) {
    OpenRun* run = m_state.FindRun(task, number);
    if (run != nullptr &&
        run->m_listed_after_vm_ms == OpenRun::kUnknownVmTime) {
      SendStop(task, *run, StopReason::kEarlierIncarnation, now);
      continue;
    }
    const bool lost = run != nullptr && run->m_carried_over;
    m_counters.m_not_begun += lost ? 0 : 1;
    if (run != nullptr) {
      NoteNotListed(task, *run, now);
    }
    CloseRun(task, number, vm.Incarnation(),
             lost ? RunEnd::kLost : RunEnd::kNotStarted, "", 0, now);
  }
}

// Marks the runs that the cut list would have returned if they were not behind
// the cut, or did not exist on the VM.
void CellCore::NoteLeftOutRuns(const VmState& vm, const VmReport& report) {
  for (const auto& [key, charge] : vm.m_open) {
    OpenRun* run = m_state.FindRun(key.first, key.second);
    if (run != nullptr && !run->m_awaiting_log && !run->Listed() &&
        run->IsSettledBy(report.m_vm_ms)) {
      run->m_left_out_of_list = true;
    }
  }
}

void CellCore::NoteNotListed(const TaskRef& task, const OpenRun& run,
                             const CellTime& now) {
  RunNotListed effect;
  effect.m_task = task;
  effect.m_run = run.m_number;
  effect.m_vm = run.m_vm;
  effect.m_confirmed = run.m_phase != RunPhase::kPlanned;
  effect.m_carried_over = run.m_carried_over;
  if (run.m_start_sent_ms != 0) {
    effect.m_start_age_ms = now.m_steady_ms - run.m_start_sent_ms;
  }
  m_counters.m_vanished += effect.m_confirmed ? 1 : 0;
  m_effects.push_back(std::move(effect));
}

void CellCore::OnStartAnswer(const StartAnswer& answer, const CellTime& now) {
  OpenRun* run = m_state.FindRun(answer.m_task, answer.m_run);
  // The run may have been carried over to a newer incarnation meanwhile.
  if (run == nullptr || run->m_vm.m_id != answer.m_vm.m_id) {
    return;
  }
  VmState* vm = m_state.FindVm(answer.m_vm);
  // The answer names no incarnation, so it tells nothing of a clock.
  switch (answer.m_outcome) {
    case StartOutcome::kStarted:
      if (run->m_phase == RunPhase::kPlanned && run->m_vm == answer.m_vm) {
        run->m_phase = RunPhase::kRunning;
        run->m_clock_matches =
            vm != nullptr &&
            vm->m_clock.MayShow(answer.m_vm_ms, now.m_steady_ms);
        // Otherwise the deadline, which is on the clock of m_vm, stays.
        if (run->m_clock_matches) {
          run->SetListedAfter(answer.m_vm_ms);
          run->m_started_vm_ms = answer.m_vm_ms;
        }
      }
      ConfirmRun(answer.m_task);
      return;
    case StartOutcome::kUnknown:
      ++m_counters.m_starts_unanswered;
      // Resolved by the VM's next report or by the expiry of its lease.
      return;
    case StartOutcome::kSuperseded:
      return;
    case StartOutcome::kBadTicket:
      if (StepState* step = m_state.FindStep(answer.m_task)) {
        step->m_advice.erase(answer.m_vm.m_id);
      }
      break;
    case StartOutcome::kUnhealthy:
      if (vm != nullptr) {
        vm->m_avoid_until_ms = now.m_steady_ms + kAvoidUnhealthyMs;
      }
      break;
    case StartOutcome::kRefused:
      break;
  }
  ++m_counters.m_not_begun;
  CloseRun(answer.m_task, answer.m_run, run->m_vm, RunEnd::kNotStarted, "", 0,
           now);
}

void CellCore::OnStopAnswer(const StopAnswer& answer) {
  OpenRun* run = m_state.FindRun(answer.m_task, answer.m_run);
  if (run != nullptr && run->m_vm == answer.m_vm &&
      run->m_listed_after_vm_ms == OpenRun::kUnknownVmTime) {
    run->SetListedAfter(answer.m_vm_ms);
  }
}

void CellCore::UpdateVmHealth(VmState& vm, Job& job, RunEnd end,
                              const CellTime& now) {
  if (end == RunEnd::kDone) {
    vm.m_failed_jobs.clear();
    vm.m_avoid_until_ms = 0;
    return;
  }
  if (end != RunEnd::kFailed) {
    return;
  }
  job.m_failed_on.insert(vm.Incarnation().m_id);
  if (job.m_failed_on.size() >= kVmsBeforeJobIsAtFault) {
    return;
  }
  vm.m_failed_jobs.insert(job.m_spec.m_id);
  if (vm.m_failed_jobs.size() >= kFailedJobsBeforeAvoid) {
    const std::size_t doublings = std::min(
        vm.m_failed_jobs.size() - kFailedJobsBeforeAvoid, kMaxDoublings);
    vm.m_avoid_until_ms = now.m_steady_ms + (kAvoidMs << doublings);
  }
}

void CellCore::OnAdvice(const AdviceAnswer& answer, const CellTime& now) {
  const StepRef& ref = answer.m_step;
  const Job* job = m_state.FindJob(ref.m_job);
  StepState* found =
      m_state.FindStep({ref.m_job, ref.m_occurrence, ref.m_step, 0});
  if (found == nullptr) {
    return;
  }
  StepState& step = *found;
  step.m_pending_advice_vms.clear();
  step.m_next_attempt_ms = 0;
  m_dirty = true;
  if (!answer.m_ok) {
    step.m_next_advice_call_ms = now.m_steady_ms + kRetryAdviceMs;
    return;
  }
  for (const std::string& id : answer.m_asked) {
    const VmState* vm = m_state.FindListedVm(id);
    Advice& advice = step.m_advice[id];
    advice.m_good = false;
    advice.m_born = vm == nullptr ? 0 : vm->Incarnation().m_born;
  }
  for (const AdviceAnswer::Row& row : answer.m_good) {
    Advice& advice = step.m_advice[row.m_vm];
    advice.m_good = true;
    advice.m_ticket = row.m_ticket;
    advice.m_valid_until_ms =
        now.m_steady_ms + answer.m_validity_ms - kTicketTransitMs;
    step.m_tickets_until_ms =
        std::max(step.m_tickets_until_ms, advice.m_valid_until_ms);
  }
  m_scheduler.OnAdvice(job->m_spec.m_queue.m_name, answer.m_asked.size(),
                       answer.m_good.size());
}

}  // namespace mustardslip
