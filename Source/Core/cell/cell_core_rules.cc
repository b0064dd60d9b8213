// CellCore: applies the rules of the configuration to the jobs, and decides
// when a job has failed by them.
#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cell/cell_core.h"

namespace mustardslip {

void CellCore::OnRules(CellRules rules, const CellTime& now) {
  if (rules.m_version < std::max(m_rules.m_version, m_state.RulesVersion())) {
    return;
  }
  SetRules(std::move(rules));
  const bool first = !std::exchange(m_configured, true);
  // OnRecovered does the rest once the log is replayed.
  if (!m_recovered) {
    return;
  }
  std::vector<std::string> affected;
  for (const std::string& id : PutRulesInForce()) {
    m_ready.Reorder(*m_state.FindJob(id));
    affected.push_back(id);
  }
  FailJobsWithoutAttempts(first ? ActiveJobs() : affected, now);
  if (!affected.empty()) {
    // Work may have gone from one pool to another.
    m_next_forecast_ms = 0;
    if (m_features.m_refuse_hopeless) {
      RefreshForecast(now);
    }
  }
  m_dirty = true;
}

void CellCore::SetRules(CellRules rules) {
  m_rules = std::move(rules);
  m_queue_index.clear();
  for (std::size_t i = 0; i < m_rules.m_queues.size(); ++i) {
    m_queue_index[m_rules.m_queues[i].m_name] = i;
  }
}

std::vector<std::string> CellCore::ActiveJobs() const {
  std::vector<std::string> active;
  for (const auto& [id, job] : m_state.ActiveJobs()) {
    active.push_back(id);
  }
  return active;
}

// Applies the rules to the active jobs and logs them. Returns the jobs whose
// rules changed.
std::vector<std::string> CellCore::PutRulesInForce() {
  std::vector<std::string> affected;
  std::map<std::string, QueueRules> changed;
  // By queue and former pool.
  std::map<std::pair<std::string, std::string>, QueueMoved> moves;
  for (const auto& [id, job] : m_state.ActiveJobs()) {
    const std::string former_pool = job->m_spec.m_queue.m_service;
    if (!ApplyRules(job->m_spec)) {
      continue;
    }
    const QueueRules& rules = job->m_spec.m_queue;
    affected.push_back(id);
    changed.emplace(rules.m_name, rules);
    if (rules.m_service != former_pool) {
      ForgetPool(*job);
      QueueMoved& move = moves[{rules.m_name, former_pool}];
      move.m_to = rules.m_service;
      ++move.m_jobs;
      move.m_open_runs += job->m_open_runs;
    }
  }
  ReportMoves(std::move(moves));
  if (m_rules.m_version == m_state.RulesVersion() && changed.empty()) {
    return affected;
  }
  RulesInForce record;
  record.m_version = m_rules.m_version;
  for (auto& [name, rules] : changed) {
    record.m_changed.push_back(std::move(rules));
  }
  Append(std::move(record));
  return affected;
}

// What the job's steps have found out about their former pool as a whole. What
// is known of its VMs (advice, runs) stays true.
void CellCore::ForgetPool(Job& job) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (StepState& step : occurrence.m_steps) {
      step.m_reservation = {};
      step.m_next_size_check_ms = 0;
      step.m_next_attempt_ms = 0;
    }
  }
}

void CellCore::ReportMoves(
    std::map<std::pair<std::string, std::string>, QueueMoved> moves) {
  for (auto& [key, move] : moves) {
    std::tie(move.m_queue, move.m_from) = key;
    move.m_configuration = m_rules.m_version;
    m_counters.m_jobs_moved += move.m_jobs;
    m_effects.push_back(std::move(move));
  }
}

// Returns true if the rules of the job's queue have changed. Jobs of a removed
// queue keep the queue's last rules.
bool CellCore::ApplyRules(WorkflowSpec& spec) const {
  const auto found = m_queue_index.find(spec.m_queue.m_name);
  if (found == m_queue_index.end()) {
    return false;
  }
  const QueueRules& newest = m_rules.m_queues[found->second];
  if (newest == spec.m_queue) {
    return false;
  }
  spec.m_queue = newest;
  return true;
}

// Logged as a decision of its own: a later owner, whose rules may differ, must
// not take it again. The caller stops the runs of the job.
void CellCore::FailIfNoAttemptIsLeft(const TaskRef& ref, const CellTime& now) {
  const Job* job = m_state.FindJob(ref.m_job);
  if (!m_configured || job == nullptr || job->Ended()) {
    return;
  }
  const StepState* step = m_state.FindStep(ref);
  if (step == nullptr || ref.m_index >= step->m_tasks.size() ||
      step->m_tasks[ref.m_index].m_done) {
    return;
  }
  const FailedRuns& failures =
      step->FailuresOf(job->m_spec.m_steps[ref.m_step], ref.m_index);
  const std::int64_t max_attempts = job->m_spec.m_queue.m_max_attempts;
  if (failures.Count() == 0 || failures.Count() < max_attempts) {
    return;
  }
  JobFailure failure;
  failure.m_task = ref;
  failure.m_runs = failures.Runs();
  failure.m_failures = failures.Count();
  failure.m_max_attempts = max_attempts;
  FailJob(*job, std::move(failure), now);
}

// The caller stops the runs of the job.
void CellCore::FailJob(const Job& job, JobFailure failure,
                       const CellTime& now) {
  failure.m_configuration = m_rules.m_version;
  Append(
      JobProgress{job.m_spec.m_id, now.m_unix_ms, true, true, job.m_confirmed});
  Defer(std::move(failure));
}

// Fails those of the jobs in which a task that waits for its next run has no
// attempt left.
void CellCore::FailJobsWithoutAttempts(const std::vector<std::string>& jobs,
                                       const CellTime& now) {
  for (const std::string& id : jobs) {
    const Job& job = *m_state.FindJob(id);
    if (job.Ended()) {
      continue;
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
        const StepSpec& spec = job.m_spec.m_steps[s];
        const StepState& step = occurrence.m_steps[s];
        for (std::uint32_t t = 0; t < step.m_tasks.size(); ++t) {
          const bool runs =
              spec.m_gang ? step.m_open > 0 : !step.m_tasks[t].m_open.empty();
          if (!runs && step.FailuresOf(spec, t).Count() > 0) {
            FailIfNoAttemptIsLeft({id, number, s, t}, now);
          }
        }
      }
    }
    if (job.Ended()) {
      Defer(StopJob{id});
    }
  }
}

}  // namespace mustardslip
