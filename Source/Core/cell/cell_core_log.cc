// The batches of the log: what gathers in them, and what is released when they
// are durable.
#include <algorithm>
#include <iterator>
#include <set>

#include "cell/cell_core.h"

namespace mustardslip {

void CellCore::Append(LogRecord record) {
  m_state.Apply(record);
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
    if (job->m_shown != phase) {
      Gate(ShowPhase{id, phase});
    }
    RefreshReady(id, *job);
    m_dirty = true;
  }
}

void CellCore::Gate(Gated effect) {
  if (!m_open.m_records.empty()) {
    m_open.m_gated.push_back(std::move(effect));
  } else if (m_in_flight) {
    m_in_flight->m_gated.push_back(std::move(effect));
  } else if (auto* reply = std::get_if<GatedReply>(&effect)) {
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

bool CellCore::IsEffectOf(const Gated& gated,
                          const std::set<std::string>& jobs) {
  if (const auto* show = std::get_if<ShowPhase>(&gated)) {
    return jobs.count(show->m_job) != 0;
  }
  const auto* stop = std::get_if<StopJob>(&gated);
  return stop != nullptr && jobs.count(stop->m_job) != 0;
}

// A job whose record is only in the open batch is in no store, and nothing was
// planned for it: it can be refused truthfully instead of held.
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
  std::vector<Gated> kept;
  for (Gated& gated : m_open.m_gated) {
    const auto* reply = std::get_if<GatedReply>(&gated);
    if (reply != nullptr && withdrawn.count(reply->m_job) != 0) {
      Refuse(reply->m_reply.m_token, "store_unavailable", kRetryWithoutStoreMs);
    } else if (IsEffectOf(gated, withdrawn)) {
      // Would be released for the next try of the job.
      continue;
    } else {
      kept.push_back(std::move(gated));
    }
  }
  m_open.m_gated = std::move(kept);
  if (m_open.m_records.empty() && m_in_flight) {
    std::move(m_open.m_gated.begin(), m_open.m_gated.end(),
              std::back_inserter(m_in_flight->m_gated));
    m_open.m_gated.clear();
  }
  for (const std::string& id : withdrawn) {
    m_state.Withdraw(id);
    std::erase_if(m_ready, [&](const StepRef& ref) { return ref.m_job == id; });
  }
}

const std::vector<LogRecord>& CellCore::BeginBatch() {
  Invariant(!m_in_flight, "one batch of the log is in flight at a time");
  m_in_flight = std::move(m_open);
  m_open = {};
  return m_in_flight->m_records;
}

void CellCore::OnDurable(const CellTime& now) {
  Invariant(m_in_flight.has_value(), "a durable batch was in flight");
  const Batch batch = std::move(*m_in_flight);
  m_in_flight.reset();
  for (const Gated& effect : batch.m_gated) {
    Release(effect, now);
  }
}

void CellCore::Release(const Gated& effect, const CellTime& now) {
  if (const auto* start = std::get_if<PlannedStart>(&effect)) {
    ReleaseStart(start->m_placement, now);
  } else if (const auto* show = std::get_if<ShowPhase>(&effect)) {
    if (Job* job = m_state.FindJob(show->m_job)) {
      job->m_shown = show->m_phase;
    }
  } else if (const auto* ends = std::get_if<ReleaseEnds>(&effect)) {
    if (VmState* vm = m_state.FindVm(ends->m_vm)) {
      vm->m_durable_end = std::max(vm->m_durable_end, ends->m_up_to);
    }
  } else if (const auto* stop = std::get_if<StopJob>(&effect)) {
    if (Job* job = m_state.FindJob(stop->m_job)) {
      StopRuns(*job, now);
    }
  } else {
    m_effects.push_back(std::get<GatedReply>(effect).m_reply);
  }
}

void CellCore::ReleaseStart(const Placement& placement, const CellTime& now) {
  OpenRun* run = m_state.FindRun(placement.m_task, placement.m_run);
  if (run == nullptr) {
    return;
  }
  run->m_awaits_log = false;
  const Job& job = *m_state.FindJob(placement.m_task.m_job);
  const StepState& step = *m_state.FindStep(placement.m_task);
  const StepSpec& spec = job.m_spec.m_steps[placement.m_task.m_step];
  VmState* vm = m_state.FindVm(placement.m_vm);
  const bool broken = spec.m_gang && step.m_broken_run >= placement.m_run;
  if (job.Ended() || broken || vm == nullptr ||
      !IsUsable(*vm, now.m_steady_ms)) {
    CloseRun(placement.m_task, placement.m_run, placement.m_vm,
             RunEnd::kNotBegun, "", 0, now);
    return;
  }
  StartRun start;
  start.m_task = placement.m_task;
  start.m_run = placement.m_run;
  start.m_vm = placement.m_vm;
  start.m_address = vm->m_description.m_address;
  start.m_payload = job.m_payload;
  start.m_ticket = placement.m_ticket;
  if (spec.m_checkpoint) {
    // All members of a gang resume from the same point, the first member's.
    start.m_checkpoint =
        spec.m_gang ? step.m_tasks.front().m_checkpoint
                    : step.m_tasks[placement.m_task.m_index].m_checkpoint;
  }
  start.m_deadline_vm_ms =
      vm->m_clock.AtLeast(now.m_steady_ms) + kStartWindowMs;
  vm->m_lease_until_vm_ms =
      std::max(vm->m_lease_until_vm_ms, start.m_deadline_vm_ms);
  run->m_listed_after_vm_ms = start.m_deadline_vm_ms;
  ++m_counters.m_starts;
  m_effects.push_back(std::move(start));
}

}  // namespace mustardslip
