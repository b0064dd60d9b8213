// JobBook: adding, cancelling, ending and deleting jobs.
#include "jobs/job_book.h"

#include <algorithm>

namespace mustardslip {
namespace {

// Phases in which the attempt is, or may be, in the group's queue.
bool IsSent(TaskPhase phase) {
  return phase == TaskPhase::kPlacing || phase == TaskPhase::kUncertain ||
         phase == TaskPhase::kQueued;
}

bool IsLive(TaskPhase phase) {
  return IsSent(phase) || phase == TaskPhase::kRunning;
}

RecordState MarkStateOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return RecordState::kDone;
    case Outcome::kNotRun:
      return RecordState::kNotRun;
    case Outcome::kOutcomeUnknown:
      return RecordState::kUnknown;
    default:
      return RecordState::kFailed;
  }
}

}  // namespace

JobBook::JobBook(std::int64_t shard, Epoch epoch, JobBookOptions options,
                 LimitProvider limits)
    : m_shard(shard),
      m_epoch(epoch),
      m_options(options),
      m_limits(std::move(limits)),
      m_groups(options.m_refresh) {}

void JobBook::Load(Job job, const MarkLookup& find_mark) {
  const std::string id = job.m_id;
  Job& stored = m_jobs[id] = std::move(job);
  if (stored.HasEnded()) {
    m_ended.emplace(stored.m_ended_unix_ms, id);
    return;
  }
  CountOpened(stored);
  for (int index = 0; index < static_cast<int>(stored.m_tasks.size());
       index++) {
    Task& task = stored.m_tasks[static_cast<std::size_t>(index)];
    if (task.m_phase != TaskPhase::kRecovered) {
      continue;
    }
    const auto mark = find_mark(StartMark(id, index));
    task.m_may_have_run =
        task.m_may_have_run || (mark && mark->m_state != RecordState::kNotRun);
  }
  m_recovered.insert(id);
  const bool gang_failed =
      stored.m_spec.m_kind == JobKind::kGang &&
      std::any_of(stored.m_tasks.begin(), stored.m_tasks.end(),
                  [](const Task& task) {
                    return task.m_phase == TaskPhase::kEnded &&
                           task.m_outcome != Outcome::kDone;
                  });
  stored.m_stopping = stored.m_cancelled || gang_failed;
  if (stored.m_stopping) {
    m_stopping.insert(id);
  }
}

void JobBook::Add(Job job) {
  const std::string id = job.m_id;
  Job& stored = m_jobs[id] = std::move(job);
  CountOpened(stored);
}

void JobBook::Recorded(const std::string& id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || found->second.m_recorded) {
    return;
  }
  Job& job = found->second;
  job.m_recorded = true;
  if (job.HasEnded()) {
    m_actions.m_changed.push_back(id);
    return;
  }
  if (job.m_spec.m_kind == JobKind::kGang) {
    Enqueue(job, -1);
    return;
  }
  for (int index = 0; index < static_cast<int>(job.m_tasks.size()); index++) {
    Enqueue(job, index);
  }
}

void JobBook::Drop(const std::string& id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return;
  }
  if (!found->second.HasEnded()) {
    CountEnded(found->second);
  }
  m_jobs.erase(found);
}

const Job* JobBook::Find(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

std::size_t JobBook::CountOpen(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? 0 : found->second.m_open_jobs;
}

bool JobBook::HasService(const std::string& team,
                         const std::string& name) const {
  const auto found = m_teams.find(team);
  return found != m_teams.end() && found->second.m_services.contains(name);
}

const TeamAccount* JobBook::FindAccount(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? nullptr : &found->second.m_account;
}

JobBook::Team& JobBook::TeamOf(const std::string& name) {
  const auto [found, is_new] = m_teams.try_emplace(name);
  if (is_new) {
    for (const auto& [group, summary] : m_groups.Summaries()) {
      found->second.m_account.SetUnknownUsage(group,
                                              m_groups.UnknownResources(group));
    }
  }
  return found->second;
}

void JobBook::CountOpened(const Job& job) {
  Team& team = TeamOf(job.m_spec.m_team);
  team.m_open_jobs++;
  if (job.m_spec.m_kind == JobKind::kService) {
    team.m_services[job.m_spec.m_name]++;
  }
}

void JobBook::CountEnded(const Job& job) {
  Team& team = TeamOf(job.m_spec.m_team);
  team.m_open_jobs--;
  if (job.m_spec.m_kind != JobKind::kService) {
    return;
  }
  const auto service = team.m_services.find(job.m_spec.m_name);
  service->second--;
  if (service->second == 0) {
    team.m_services.erase(service);
  }
}

void JobBook::SetPhase(const Job& job, Task& task, TaskPhase phase) {
  Resources& sent = m_sent_resources[task.m_group];
  if (IsSent(task.m_phase)) {
    sent = sent - job.m_spec.m_resources;
  }
  if (IsSent(phase)) {
    sent = sent + job.m_spec.m_resources;
  }
  if (IsLive(phase)) {
    m_live_attempts[task.m_group].insert(task.m_attempt);
  } else if (IsLive(task.m_phase)) {
    m_live_attempts[task.m_group].erase(task.m_attempt);
  }
  task.m_phase = phase;
}

void JobBook::EndTask(Job& job, int index, Outcome outcome, std::string reason,
                      Moment moment, std::string answer) {
  Task& task = job.m_tasks[static_cast<std::size_t>(index)];
  if (task.m_phase == TaskPhase::kEnded) {
    return;
  }
  SetPhase(job, task, TaskPhase::kEnded);
  task.m_outcome = outcome;
  task.m_reason = std::move(reason);
  task.m_answer = std::move(answer);
  if (!job.m_spec.m_idempotent) {
    m_actions.m_mark_ends.push_back(
        {StartMark(job.m_id, index), MarkStateOf(outcome)});
    m_actions.m_changed.push_back(job.m_id);
  }
  const bool all_ended =
      std::all_of(job.m_tasks.begin(), job.m_tasks.end(),
                  [](const Task& t) { return t.m_phase == TaskPhase::kEnded; });
  if (all_ended) {
    EndJob(job, moment);
  }
}

void JobBook::EndJob(Job& job, Moment moment) {
  job.m_outcome = CombinedOutcome(job);
  for (const Task& task : job.m_tasks) {
    if (task.m_outcome == job.m_outcome && job.m_reason.empty()) {
      job.m_reason = task.m_reason;
    }
  }
  job.m_ended_unix_ms = moment.m_unix_ms;
  CountEnded(job);
  m_stopping.erase(job.m_id);
  m_recovered.erase(job.m_id);
  m_ended.emplace(job.m_ended_unix_ms, job.m_id);
  m_actions.m_changed.push_back(job.m_id);
  m_actions.m_ended.push_back(job.m_id);
}

void JobBook::Cancel(const std::string& id, Moment moment) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || found->second.HasEnded() ||
      found->second.m_cancelled) {
    return;
  }
  Job& job = found->second;
  job.m_cancelled = true;
  job.m_stopping = true;
  m_actions.m_changed.push_back(id);
  EndWaitingTasks(job, moment);
  if (!job.HasEnded()) {
    StopAttempts(job);
  }
}

void JobBook::EndWaitingTasks(Job& job, Moment moment) {
  const Outcome outcome = Outcome::kCancelled;
  for (int index = 0; index < static_cast<int>(job.m_tasks.size()); index++) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    if (task.m_phase == TaskPhase::kMarking) {
      RevertMarkedOrder(m_order_by_mark.at(StartMark(job.m_id, index)), moment,
                        Milliseconds(0), "");
    }
    if (task.m_phase == TaskPhase::kWaiting) {
      EndTask(job, index, outcome, job.m_cancelled ? "" : "gang_failed",
              moment);
    }
  }
}

// The stop calls are made by the next Tick(), which batches a burst of
// cancellations into few calls.
void JobBook::StopAttempts(const Job& job) {
  m_stopping.insert(job.m_id);
  m_unsent_stops.insert(job.m_id);
}

void JobBook::SendStops(const std::string& id) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || found->second.HasEnded()) {
    return;
  }
  const Job& job = found->second;
  for (const Task& task : job.m_tasks) {
    if (task.m_phase == TaskPhase::kQueued ||
        task.m_phase == TaskPhase::kRunning) {
      m_actions.m_stops[task.m_group].push_back(task.m_attempt);
    }
  }
}

void JobBook::RepeatStops(TimePoint now) {
  for (const std::string& id : std::exchange(m_unsent_stops, {})) {
    SendStops(id);
  }
  if (now < m_next_stop_time) {
    return;
  }
  m_next_stop_time = now + m_options.m_refresh;
  for (const std::string& id : m_stopping) {
    SendStops(id);
  }
  for (const auto& [attempt, orphan] : m_orphans) {
    m_actions.m_stops[orphan.m_group].push_back(attempt);
    m_groups.RequestFence(orphan.m_group);
  }
}

void JobBook::DeleteExpiredJobs(std::int64_t unix_ms) {
  const std::int64_t oldest = unix_ms - m_options.m_retention.count();
  while (!m_ended.empty() && m_ended.begin()->first < oldest) {
    const std::string id = m_ended.begin()->second;
    m_ended.erase(m_ended.begin());
    m_jobs.erase(id);
    m_actions.m_deleted.push_back(id);
  }
}

}  // namespace mustardslip
