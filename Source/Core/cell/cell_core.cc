// CellCore: requests of callers, timer ticks and ends of runs. The
// configuration's rules are applied in cell_core_rules.cc, VM reports are
// handled in cell_core_vms.cc, log batches in cell_core_log.cc.
#include "cell/cell_core.h"

#include <fmt/core.h>

#include <algorithm>

namespace mustardslip {
namespace {

// Limits memory use and the duration of a scheduling pass.
constexpr std::size_t kMaxActiveJobs = 20'000;
constexpr std::int64_t kRetryWhenFullMs = 1'000;
constexpr double kDryRunsPerSecond = 10;
// Interval at which expired ended jobs and old calls are removed.
constexpr std::int64_t kSweepMs = 5'000;
// Interval at which unanswered stops are considered for a repetition.
constexpr std::int64_t kStopCheckMs = 200;
// Added to the retention because the clocks of daemons differ.
constexpr std::int64_t kRetentionSlackMs = 10'000;

}  // namespace

CellCore::CellCore(CellBounds bounds, CellFeatures features)
    : m_bounds(bounds),
      m_features(features),
      m_contention(features.m_avoid_contention
                       ? std::make_unique<ContentionModel>()
                       : nullptr),
      m_scheduler(features, m_contention.get()),
      m_dry_runs(kDryRunsPerSecond, kDryRunsPerSecond) {}

std::string ToString(const StepRef& step) {
  return fmt::format("{}.{}.{}", step.m_job, step.m_occurrence, step.m_step);
}

void CellCore::OnRecovered(const CellTime& now) {
  m_recovered_at = now;
  m_state.TakeChangedJobs();
  for (auto& [id, job] : m_state.Jobs()) {
    job->m_visible_phase = job->Phase();
  }
  for (auto& [life, vm] : m_state.Vms()) {
    vm.m_durable_end = vm.m_last_end;
  }
  m_recovered = true;
  if (m_configured && m_rules.m_version < m_state.RulesVersion()) {
    SetRules({});
    m_configured = false;
  }
  if (m_configured) {
    PutRulesInForce();
  }
  for (const auto& [id, job] : m_state.ActiveJobs()) {
    ReleaseOccurrences(*job, now);
    m_ready.Refresh(*job);
  }
  FailJobsWithoutAttempts(ActiveJobs(), now);
}

// --- Callers ---

void CellCore::Submit(std::uint64_t token, WorkflowSpec spec,
                      const CellTime& now) {
  CellAnswer accepted;
  accepted.m_outcome = CellOutcome::kAccepted;
  if (const Job* known = m_state.FindJob(spec.m_id)) {
    if (known->m_visible_phase) {
      Reply(token, accepted);
    } else {
      Defer(DeferredReply{spec.m_id, {token, accepted}});
    }
    return;
  }
  if (!m_store_writable) {
    Refuse(token, "store_unavailable", kRetryWithoutStoreMs);
    return;
  }
  if (m_state.ActiveJobs().size() >= kMaxActiveJobs) {
    Refuse(token, "too_many_jobs", kRetryWhenFullMs);
    return;
  }
  // The daemon that took the request may have an older configuration.
  ApplyRules(spec);
  if (RefuseIfHopeless(token, spec, now)) {
    return;
  }
  const std::string id = spec.m_id;
  const std::string team = spec.m_team;
  Append(JobAccepted{std::move(spec), now.m_unix_ms});
  Job& job = *m_state.FindJob(id);
  if (const auto limits = m_rules.m_teams.find(team);
      limits != m_rules.m_teams.end()) {
    job.m_over_rate = !m_team_rate_limiter.Take(team, limits->second.m_weight,
                                                now.m_steady_ms);
  }
  ReleaseOccurrences(job, now);
  m_ready.Reorder(job);
  ++m_counters.m_accepted;
  Defer(DeferredReply{id, {token, accepted}});
}

void CellCore::Cancel(std::uint64_t token, const std::string& queue,
                      const std::string& id, const CellTime& now) {
  CellAnswer answer;
  Job* job = m_state.FindJob(id);
  if (job == nullptr || job->m_spec.m_queue.m_name != queue) {
    answer.m_outcome = CellOutcome::kNotFound;
    Reply(token, answer);
    return;
  }
  answer.m_outcome = CellOutcome::kPhase;
  if (!job->Ended()) {
    Append(JobCancelled{id, now.m_unix_ms});
    Defer(StopJob{id});
  }
  answer.m_phase = job->Phase();
  if (job->m_visible_phase == job->Phase()) {
    Reply(token, answer);
  } else {
    Defer(DeferredReply{id, {token, answer}});
  }
}

void CellCore::Lookup(std::uint64_t token, const std::string& queue,
                      const std::string& id) {
  CellAnswer answer;
  const Job* job = m_state.FindJob(id);
  if (job == nullptr || !job->m_visible_phase ||
      job->m_spec.m_queue.m_name != queue) {
    answer.m_outcome = CellOutcome::kNotFound;
  } else {
    answer.m_outcome = CellOutcome::kPhase;
    answer.m_phase = *job->m_visible_phase;
  }
  Reply(token, answer);
}

void CellCore::CountWaiting(std::uint64_t token, const std::string& queue) {
  CellAnswer answer;
  answer.m_outcome = CellOutcome::kCount;
  for (const auto& [id, job] : m_state.ActiveJobs()) {
    const bool waiting =
        job->m_visible_phase && !job->m_confirmed && !job->Ended();
    if (waiting && job->m_spec.m_queue.m_name == queue) {
      ++answer.m_count;
    }
  }
  Reply(token, answer);
}

void CellCore::Reply(std::uint64_t token, CellAnswer answer) {
  m_effects.push_back(ReplyToCaller{token, std::move(answer)});
}

void CellCore::Refuse(std::uint64_t token, std::string reason,
                      std::int64_t retry_after_ms) {
  CellAnswer answer;
  answer.m_outcome = CellOutcome::kRefused;
  answer.m_reason = std::move(reason);
  answer.m_retry_after_ms = retry_after_ms;
  ++m_counters.m_refused;
  Reply(token, std::move(answer));
}

// --- Runs ---

void CellCore::CloseRun(const TaskRef& task, std::uint32_t run,
                        const VmIncarnation& vm, RunEnd end,
                        std::string checkpoint, std::uint64_t sequence,
                        const CellTime& now) {
  Append(RunEnded{task, run, end, std::move(checkpoint), vm, sequence,
                  now.m_unix_ms});
  if (sequence > 0) {
    Defer(ReleaseEnds{vm, sequence});
  }
  FailIfNoAttemptIsLeft(task, now);
  ++m_counters.m_ends[end];
  AfterEnd(task, run, end, vm, now);
}

void CellCore::AfterEnd(const TaskRef& task, std::uint32_t run, RunEnd end,
                        const VmIncarnation& vm, const CellTime& now) {
  Job* job = m_state.FindJob(task.m_job);
  if (job == nullptr) {
    return;
  }
  if (VmState* state = m_state.FindVm(vm)) {
    UpdateVmHealth(*state, *job, end, now);
  }
  if (job->Ended()) {
    Defer(StopJob{task.m_job});
    return;
  }
  if (end == RunEnd::kFailed) {
    m_state.FindTask(task)->m_last_failed_vm = vm.m_id;
  }
  const bool gang = job->m_spec.m_steps[task.m_step].m_gang;
  if (gang && end != RunEnd::kDone) {
    StopGangRun(task, run, now);
  }
}

// A gang runs only as a whole: stops all members of this and earlier runs.
void CellCore::StopGangRun(const TaskRef& task, std::uint32_t run,
                           const CellTime& now) {
  StepState* step = m_state.FindStep(task);
  if (step == nullptr || step->Done()) {
    return;
  }
  step->m_last_aborted_run = std::max(step->m_last_aborted_run, run);
  TaskRef member = task;
  for (member.m_index = 0; member.m_index < step->m_tasks.size();
       ++member.m_index) {
    for (OpenRun& open : step->m_tasks[member.m_index].m_open) {
      if (open.m_number <= run) {
        SendStop(member, open, StopReason::kGangBroken, now);
      }
    }
  }
}

void CellCore::StopRuns(Job& job, const CellTime& now) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      StepState& step = occurrence.m_steps[s];
      if (step.m_open == 0) {
        continue;
      }
      for (std::uint32_t t = 0; t < step.m_tasks.size(); ++t) {
        for (OpenRun& run : step.m_tasks[t].m_open) {
          SendStop({job.m_spec.m_id, number, s, t}, run, StopReason::kJobEnded,
                   now);
        }
      }
    }
  }
}

void CellCore::SendStop(const TaskRef& task, OpenRun& run, StopReason reason,
                        const CellTime& now) {
  // An unanswered stop is repeated; stops are idempotent on the VM.
  constexpr std::int64_t kRepeatStopMs = 700;
  // ReleaseStart cancels this start when its batch is durable.
  if (run.m_awaiting_log) {
    return;
  }
  const bool sent_lately = run.m_stop_sent_ms != 0 &&
                           now.m_steady_ms - run.m_stop_sent_ms < kRepeatStopMs;
  VmState* vm = m_state.FindVm(run.m_vm);
  if (sent_lately || vm == nullptr || vm->m_description.m_address.empty()) {
    return;
  }
  run.m_stop_sent_ms = now.m_steady_ms;
  if (run.m_phase == RunPhase::kRunning) {
    run.m_phase = RunPhase::kStopping;
  }
  m_effects.push_back(StopRun{task, run.m_number, run.m_vm,
                              vm->m_description.m_address, reason});
}

// --- Time ---

void CellCore::OnTick(const CellTime& now) {
  ExpireVmLeases(now);
  RecordUnreachableVms(now);
  ReleaseDueOccurrences(now);
  RefreshSpeeds(now);
  RefreshContention(now);
  if (m_features.m_refuse_hopeless) {
    RefreshForecast(now);
  }
  if (now.m_steady_ms >= m_next_stop_check_ms) {
    m_next_stop_check_ms = now.m_steady_ms + kStopCheckMs;
    RepeatStops(now);
  }
  if (now.m_steady_ms - m_last_sweep_ms >= kSweepMs) {
    m_last_sweep_ms = now.m_steady_ms;
    m_state.DropJobsEndedBefore(now.m_unix_ms - m_bounds.m_retention_ms -
                                kRetentionSlackMs);
    ForgetDeadlineCalls(now);
  }
  m_dirty = true;
}

// Sends the stops that were not answered again.
void CellCore::RepeatStops(const CellTime& now) {
  for (const auto& [id, job] : m_state.ActiveJobs()) {
    if (job->m_open_runs == 0) {
      continue;
    }
    if (job->Ended()) {
      // The end of the job is durable once its phase is visible.
      if (job->m_visible_phase == job->Phase()) {
        StopRuns(*job, now);
      }
      continue;
    }
    for (auto& [number, occurrence] : job->m_occurrences) {
      for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
        const StepState& step = occurrence.m_steps[s];
        if (step.m_last_aborted_run > 0 && step.m_open > 0) {
          StopGangRun({id, number, s, 0}, step.m_last_aborted_run, now);
        }
      }
    }
  }
}

void CellCore::ReleaseDueOccurrences(const CellTime& now) {
  while (!m_due.empty() && m_due.begin()->first <= now.m_unix_ms) {
    const std::string id = m_due.begin()->second;
    m_due.erase(m_due.begin());
    Job* job = m_state.FindJob(id);
    if (job != nullptr && !job->Ended()) {
      ReleaseOccurrences(*job, now);
      m_ready.Refresh(*job);
    }
  }
}

// Creates the occurrences that are due and notes when the next one is.
void CellCore::ReleaseOccurrences(Job& job, const CellTime& now) {
  if (job.m_spec.m_schedule.m_repeats == 0) {
    return;
  }
  std::uint32_t& next = job.m_released_occurrences;
  while (next < job.OccurrenceCount() && job.DueUnixMs(next) <= now.m_unix_ms) {
    job.OccurrenceAt(next);
    ++next;
  }
  if (next < job.OccurrenceCount()) {
    m_due.emplace(job.DueUnixMs(next), job.m_spec.m_id);
  }
}

void CellCore::Schedule(const CellTime& now,
                        const FreeAdviceCalls& free_advice_calls,
                        std::int64_t max_start_bytes) {
  // A planned run reserves capacity, so nothing is planned that cannot be
  // written.
  if (!m_dirty || !m_configured || !m_zones_known || !m_store_writable ||
      m_ready.Empty()) {
    return;
  }
  m_dirty = false;
  ++m_counters.m_passes;
  ScheduleResult result =
      m_scheduler.Decide(m_state, m_ready, m_rules, now, free_advice_calls,
                         max_start_bytes, PlacementSpeeds());
  m_counters.m_vms_examined += result.m_vms_examined;
  m_counters.m_starts_apart += result.m_starts_apart;
  m_dirty = result.m_more_to_start;
  for (const RunKey& key : result.m_preemptions) {
    Preempt(key, now);
  }
  for (Placement& placement : result.m_placements) {
    Append(RunPlanned{placement.m_task, placement.m_run, placement.m_vm});
    NoteStart(placement, now);
    m_state.FindRun(placement.m_task, placement.m_run)->m_awaiting_log = true;
    Defer(PlannedStart{std::move(placement)});
  }
  ReleaseUnlogged(std::move(result));
}

void CellCore::RequestAdviceAhead(const CellTime& now,
                                  const FreeAdviceCalls& free_advice_calls) {
  if (!m_configured || !m_zones_known || !m_store_writable || m_ready.Empty() ||
      free_advice_calls.m_any == 0) {
    return;
  }
  ScheduleResult result = m_scheduler.Decide(
      m_state, m_ready, m_rules, now, free_advice_calls, kUnlimitedStartBytes,
      PlacementSpeeds(), PassKind::kAdviceOnly);
  m_counters.m_vms_examined += result.m_vms_examined;
  ReleaseUnlogged(std::move(result));
}

// The run continues from its checkpoint when its step has its turn again.
void CellCore::Preempt(const RunKey& key, const CellTime& now) {
  OpenRun* run = m_state.FindRun(key.first, key.second);
  if (run == nullptr || run->m_phase != RunPhase::kRunning) {
    return;
  }
  ++m_counters.m_preemptions;
  ++m_state.FindTask(key.first)->m_preemptions;
  SendStop(key.first, *run, StopReason::kPreempted, now);
}

// Releases the effects of a pass that depend on no record.
void CellCore::ReleaseUnlogged(ScheduleResult result) {
  for (GangDelay& delay : result.m_gang_delays) {
    m_effects.push_back(std::move(delay));
  }
  for (AdviceRequest& request : result.m_advice_requests) {
    ++m_counters.m_asks;
    m_effects.push_back(std::move(request));
  }
}

std::vector<Effect> CellCore::TakeEffects() {
  std::vector<Effect> effects;
  effects.swap(m_effects);
  return effects;
}

}  // namespace mustardslip
