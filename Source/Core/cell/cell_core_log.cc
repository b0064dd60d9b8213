// CellCore: collects log records in batches and releases the deferred effects
// of a batch when it is durable.
#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "cell/cell_core.h"
#include "cell/pool_capacity.h"

namespace mustardslip {

void CellCore::Append(LogRecord record) {
  m_state.Apply(record);
  m_open.m_bytes += static_cast<std::int64_t>(EstimatedSize(record));
  m_open.m_records.push_back(std::move(record));
  OnJobsChanged();
}

void CellCore::OnJobsChanged() {
  for (const std::string& id : m_state.TakeChangedJobs()) {
    Job* job = m_state.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    const JobPhase phase = job->Phase();
    if (job->m_visible_phase != phase) {
      Defer(PublishPhase{id, phase});
    }
    m_ready.Refresh(*job);
    m_dirty = true;
  }
}

void CellCore::Defer(DeferredEffect effect) {
  if (!m_open.m_records.empty()) {
    m_open.m_deferred.push_back(std::move(effect));
  } else if (m_in_flight) {
    m_in_flight->m_deferred.push_back(std::move(effect));
  } else if (auto* reply = std::get_if<DeferredReply>(&effect)) {
    m_effects.push_back(std::move(reply->m_reply));
  }
}

void CellCore::SetStoreWritable(bool writable) {
  const bool was_writable = m_store_writable;
  m_store_writable = writable;
  if (was_writable && !writable) {
    WithdrawUnwrittenJobs();
  }
}

bool CellCore::IsEffectOf(const DeferredEffect& effect,
                          const std::set<std::string>& jobs) {
  if (const auto* publish = std::get_if<PublishPhase>(&effect)) {
    return jobs.count(publish->m_job) != 0;
  }
  const auto* stop = std::get_if<StopJob>(&effect);
  return stop != nullptr && jobs.count(stop->m_job) != 0;
}

// A job whose record is only in the open batch was never sent to the store. If
// no run is planned for it either, it can be refused instead of left waiting.
void CellCore::WithdrawUnwrittenJobs() {
  std::set<std::string> withdrawn;
  for (const LogRecord& record : m_open.m_records) {
    if (const auto* accepted = std::get_if<JobAccepted>(&record)) {
      const Job* job = m_state.FindJob(accepted->m_spec.m_id);
      if (job != nullptr && job->m_open_runs == 0) {
        withdrawn.insert(accepted->m_spec.m_id);
      }
    }
  }
  std::erase_if(m_open.m_records, [&](const LogRecord& record) {
    const auto* accepted = std::get_if<JobAccepted>(&record);
    const auto* cancelled = std::get_if<JobCancelled>(&record);
    return (accepted != nullptr && withdrawn.count(accepted->m_spec.m_id)) ||
           (cancelled != nullptr && withdrawn.count(cancelled->m_job));
  });
  std::vector<DeferredEffect> kept;
  for (DeferredEffect& effect : m_open.m_deferred) {
    const auto* reply = std::get_if<DeferredReply>(&effect);
    if (reply != nullptr && withdrawn.count(reply->m_job) != 0) {
      Refuse(reply->m_reply.m_token, "store_unavailable", kRetryWithoutStoreMs);
    } else if (IsEffectOf(effect, withdrawn)) {
      // Dropped: it would apply to a later submission of the same job.
      continue;
    } else {
      kept.push_back(std::move(effect));
    }
  }
  m_open.m_deferred = std::move(kept);
  m_open.m_bytes = 0;
  for (const LogRecord& record : m_open.m_records) {
    m_open.m_bytes += static_cast<std::int64_t>(EstimatedSize(record));
  }
  if (m_open.m_records.empty() && m_in_flight) {
    std::move(m_open.m_deferred.begin(), m_open.m_deferred.end(),
              std::back_inserter(m_in_flight->m_deferred));
    m_open.m_deferred.clear();
  }
  for (const std::string& id : withdrawn) {
    m_ready.Remove(*m_state.FindJob(id));
    m_state.Withdraw(id);
  }
}

// Confirmations are not worth a write of their own: until they are in the log,
// a new owner learns them from the lists of the VMs.
void CellCore::AppendConfirmations() {
  for (const std::string& id : std::exchange(m_newly_confirmed, {})) {
    const Job* job = m_state.FindJob(id);
    if (job != nullptr && !job->Ended()) {
      m_open.m_records.push_back(JobProgress{id, 0, false, true, true});
    }
  }
}

const std::vector<LogRecord>& CellCore::BeginBatch() {
  Invariant(!m_in_flight, "at most one log batch may be in flight");
  AppendConfirmations();
  m_in_flight = std::move(m_open);
  m_open = {};
  return m_in_flight->m_records;
}

void CellCore::OnDurable(const CellTime& now, Revision revision) {
  Invariant(m_in_flight.has_value(),
            "OnDurable requires a log batch in flight");
  m_durable_revision = std::max(m_durable_revision, revision);
  const Batch batch = std::move(*m_in_flight);
  m_in_flight.reset();
  AbortEvacuatedGangs(batch);
  for (const DeferredEffect& effect : batch.m_deferred) {
    Release(effect, now);
  }
}

void CellCore::Release(const DeferredEffect& effect, const CellTime& now) {
  if (const auto* start = std::get_if<PlannedStart>(&effect)) {
    ReleaseStart(start->m_placement, now);
  } else if (const auto* publish = std::get_if<PublishPhase>(&effect)) {
    if (Job* job = m_state.FindJob(publish->m_job)) {
      job->m_visible_phase = publish->m_phase;
    }
  } else if (const auto* ends = std::get_if<ReleaseEnds>(&effect)) {
    if (VmState* vm = m_state.FindVm(ends->m_vm)) {
      vm->m_durable_end = std::max(vm->m_durable_end, ends->m_up_to);
    }
  } else if (const auto* stop = std::get_if<StopJob>(&effect)) {
    if (Job* job = m_state.FindJob(stop->m_job)) {
      StopRuns(*job, now);
    }
  } else if (const auto* allow = std::get_if<AllowDeadlines>(&effect)) {
    OnReachableDurable(*allow);
  } else if (const auto* raise = std::get_if<RaiseFence>(&effect)) {
    m_raised_fences[raise->m_vm] = m_durable_revision;
    m_fences_to_raise.erase(raise->m_vm);
  } else if (const auto* failure = std::get_if<JobFailure>(&effect)) {
    m_effects.push_back(*failure);
  } else {
    m_effects.push_back(std::get<DeferredReply>(effect).m_reply);
  }
}

void CellCore::ReleaseStart(const Placement& placement, const CellTime& now) {
  OpenRun* run = m_state.FindRun(placement.m_task, placement.m_run);
  if (run == nullptr) {
    return;
  }
  run->m_awaiting_log = false;
  const Job& job = *m_state.FindJob(placement.m_task.m_job);
  const StepState& step = *m_state.FindStep(placement.m_task);
  const StepSpec& spec = job.m_spec.m_steps[placement.m_task.m_step];
  VmState* vm = m_state.FindVm(placement.m_vm);
  const bool aborted =
      spec.m_gang && step.m_last_aborted_run >= placement.m_run;
  const bool done = step.m_tasks[placement.m_task.m_index].m_done;
  if (job.Ended() || aborted || done || vm == nullptr ||
      !IsUsable(*vm, now.m_steady_ms)) {
    CloseRun(placement.m_task, placement.m_run, placement.m_vm,
             RunEnd::kNotStarted, "", 0, now);
    return;
  }
  StartRun start;
  start.m_task = placement.m_task;
  start.m_run = placement.m_run;
  start.m_vm = placement.m_vm;
  start.m_address = vm->m_description.m_address;
  start.m_payload = job.m_payload.m_text;
  start.m_ticket = placement.m_ticket;
  if (spec.m_checkpoint) {
    // All members of a gang resume from the first member's checkpoint.
    start.m_checkpoint =
        spec.m_gang ? step.m_tasks.front().m_checkpoint
                    : step.m_tasks[placement.m_task.m_index].m_checkpoint;
  }
  start.m_deadline_vm_ms =
      vm->m_clock.LowerBoundMs(now.m_steady_ms) + kStartWindowMs;
  vm->m_lease_until_vm_ms =
      std::max(vm->m_lease_until_vm_ms, start.m_deadline_vm_ms);
  run->m_listed_after_vm_ms = start.m_deadline_vm_ms;
  run->m_start_sent_ms = now.m_steady_ms;
  NoteDeadlineCall(*vm, now);
  NoteStart(placement, now);
  ++m_counters.m_starts;
  m_effects.push_back(std::move(start));
}

}  // namespace mustardslip
