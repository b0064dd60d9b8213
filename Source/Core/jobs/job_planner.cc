// JobBook: choice of a group for waiting tasks, Place calls and start marks.
#include <algorithm>
#include <cmath>

#include "jobs/job_book.h"

namespace mustardslip {
namespace {

// Keeps attempt numbers of successive owners distinct: a successor does not
// know how many attempts its predecessor made.
constexpr std::int64_t kAttemptsPerEpoch = 1'000'000;

int RankOf(Priority priority) {
  switch (priority) {
    case Priority::kUrgent:
      return 0;
    case Priority::kNormal:
      return 1;
    default:
      return 2;
  }
}

}  // namespace

void JobBook::Enqueue(const Job& job, int index) {
  TeamOf(job.m_spec.m_team)
      .m_ready.insert({RankOf(job.m_spec.m_priority), job.m_submitted_unix_ms,
                       job.m_id, index});
}

void JobBook::EnqueueLater(const Job& job, int index, TimePoint when) {
  m_delayed.emplace(when, std::pair{job.m_id, index});
}

void JobBook::EnqueueDue(TimePoint now) {
  while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
    const auto [id, index] = m_delayed.begin()->second;
    m_delayed.erase(m_delayed.begin());
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !found->second.HasEnded()) {
      Enqueue(found->second, index);
    }
  }
}

Milliseconds JobBook::BackoffFor(int failures) const {
  constexpr int kMaxDoublings = 16;
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  return std::min(m_options.m_first_backoff * (1 << doublings),
                  m_options.m_max_backoff);
}

void JobBook::Tick(Moment moment) {
  EnqueueDue(moment.m_now);
  ReleaseRecovered(moment);
  Plan(moment);
  RepeatStops(moment.m_now);
  DeleteExpiredJobs(moment.m_unix_ms);
}

void JobBook::Plan(Moment moment) {
  std::map<std::string, PlaceRequest> batches;
  std::size_t planned = 0;
  std::vector<std::string> names;
  for (auto& [name, team] : m_teams) {
    team.m_account.SetLimit(m_limits(name));
    if (!team.m_ready.empty()) {
      names.push_back(name);
    }
  }
  // Each pass begins after the team that was planned last. Otherwise the bound
  // on a pass would favour teams that sort first by name.
  std::rotate(names.begin(),
              std::upper_bound(names.begin(), names.end(), m_last_planned_team),
              names.end());
  for (const std::string& name : names) {
    Team& team = m_teams.at(name);
    while (planned < m_options.m_max_planned_tasks &&
           PlanNext(team, moment, batches)) {
      planned++;
      m_last_planned_team = name;
    }
  }
  for (auto& [group, request] : batches) {
    Send(group, std::move(request));
  }
}

std::vector<int> JobBook::TasksOf(const Job& job,
                                  const ReadyEntry& ready) const {
  if (ready.m_task >= 0) {
    return {ready.m_task};
  }
  std::vector<int> tasks(job.m_tasks.size());
  for (std::size_t i = 0; i < tasks.size(); i++) {
    tasks[i] = static_cast<int>(i);
  }
  return tasks;
}

std::map<std::string, int> JobBook::SiblingsOf(const Job& job) const {
  std::map<std::string, int> siblings;
  if (job.m_spec.m_kind != JobKind::kService) {
    return siblings;
  }
  for (const Task& task : job.m_tasks) {
    if (task.m_phase != TaskPhase::kWaiting &&
        task.m_phase != TaskPhase::kEnded) {
      siblings[task.m_group]++;
    }
  }
  return siblings;
}

// True if an attempt of the job may be running that is not the current attempt
// of its task.
bool JobBook::HasOrphan(const std::string& job) const {
  const std::string prefix = job + ".";
  const auto next = m_orphans.lower_bound(prefix);
  return next != m_orphans.end() && next->first.starts_with(prefix);
}

// Handles the first entry of the team's queue. Returns false if the team has
// nothing that can be sent now.
bool JobBook::PlanNext(Team& team, Moment moment,
                       std::map<std::string, PlaceRequest>& batches) {
  if (team.m_ready.empty()) {
    return false;
  }
  const ReadyEntry ready = *team.m_ready.begin();
  const auto found = m_jobs.find(ready.m_job);
  const std::vector<int> tasks = found == m_jobs.end()
                                     ? std::vector<int>{}
                                     : TasksOf(found->second, ready);
  const bool can_start =
      !tasks.empty() && !found->second.HasEnded() &&
      std::all_of(tasks.begin(), tasks.end(), [&found](int index) {
        const Task& t = found->second.m_tasks[static_cast<std::size_t>(index)];
        return t.m_phase == TaskPhase::kWaiting;
      });
  if (!can_start || RejectIfUnrunnable(found->second, ready, team, moment)) {
    team.m_ready.erase(ready);
    return true;
  }
  if (HasOrphan(ready.m_job)) {
    team.m_ready.erase(ready);
    EnqueueLater(found->second, ready.m_task,
                 moment.m_now + m_options.m_refresh);
    return true;
  }
  Job& job = found->second;
  const PlaceNeed need{
      job.m_spec.m_resources,
      job.m_spec.m_resources * static_cast<std::int64_t>(tasks.size()),
      job.m_spec.m_limits.m_zones, SiblingsOf(job)};
  const std::optional<std::string> group =
      ChooseForPlace(need, m_groups.Summaries(), m_sent_resources);
  if (!group) {
    // No suitable group is ready. Retried later, so that other tasks of the
    // team are not blocked.
    team.m_ready.erase(ready);
    EnqueueLater(job, ready.m_task, moment.m_now + m_options.m_first_backoff);
    return true;
  }
  if (!ChargeAll(team, job, tasks)) {
    return false;
  }
  team.m_ready.erase(ready);
  SendOrMark(job, tasks, *group, batches);
  return true;
}

// Ends the tasks of `ready` if the job's deadline has passed or it can never
// run.
bool JobBook::RejectIfUnrunnable(Job& job, const ReadyEntry& ready, Team& team,
                                 Moment moment) {
  std::string reason;
  if (job.m_spec.m_deadline_unix_ms != 0 &&
      job.m_spec.m_deadline_unix_ms <= moment.m_unix_ms) {
    reason = "deadline_passed";
  } else if (NeverFits(job.m_spec, m_groups.Summaries(),
                       team.m_account.Limit())) {
    reason = "never_fits";
  }
  // A service that has started is kept: the fleet or the limit may grow again.
  if (reason.empty() ||
      (job.m_spec.m_kind == JobKind::kService && job.m_started_unix_ms != 0)) {
    return false;
  }
  for (const int index : TasksOf(job, ready)) {
    EndTask(job, index, Outcome::kNotRun, reason, moment);
  }
  return true;
}

bool JobBook::ChargeAll(Team& team, Job& job, const std::vector<int>& tasks) {
  const Resources& each = job.m_spec.m_resources;
  const Resources total = each * static_cast<std::int64_t>(tasks.size());
  if (!team.m_account.CanCharge(total)) {
    return false;
  }
  for (const int index : tasks) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    task.m_attempts++;
    task.m_sent_again = false;
    task.m_attempt = MakeAttemptId(
        {job.m_id, index, m_epoch * kAttemptsPerEpoch + task.m_attempts});
    Invariant(team.m_account.Charge(task.m_attempt, each),
              "a charge within the team limit must succeed");
  }
  return true;
}

void JobBook::SendOrMark(Job& job, const std::vector<int>& tasks,
                         const std::string& group,
                         std::map<std::string, PlaceRequest>& batches) {
  const bool needs_mark =
      !job.m_spec.m_idempotent && job.m_spec.m_kind != JobKind::kService;
  MarkedOrder marked{{group, MakeRequest(job, tasks)}, {}};
  for (const int index : tasks) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    task.m_group = group;
    SetPhase(job, task, needs_mark ? TaskPhase::kMarking : TaskPhase::kPlacing);
    if (needs_mark) {
      const std::string mark = StartMark(job.m_id, index);
      marked.m_uncommitted.insert(mark);
      m_order_by_mark[mark] = m_next_order;
      m_actions.m_marks.push_back(mark);
    }
  }
  if (needs_mark) {
    m_marked[m_next_order++] = std::move(marked);
    return;
  }
  PlaceRequest& request = marked.m_order.m_request;
  if (request.m_gang) {
    Send(group, std::move(request));
    return;
  }
  PlaceRequest& batch = batches[group];
  batch.m_attempts.push_back(std::move(request.m_attempts.front()));
  if (batch.m_attempts.size() >= m_options.m_max_attempts_per_call) {
    Send(group, std::exchange(batch, {}));
  }
}

AttemptSpec JobBook::SpecOf(const Job& job, const Task& task) const {
  const JobSpec& spec = job.m_spec;
  AttemptSpec attempt;
  attempt.m_attempt = task.m_attempt;
  attempt.m_job = job.m_id;
  attempt.m_team = spec.m_team;
  attempt.m_service = spec.m_kind == JobKind::kService ? spec.m_name : "";
  attempt.m_kind = spec.m_kind;
  attempt.m_priority = spec.m_priority;
  attempt.m_resources = spec.m_resources;
  attempt.m_slots = spec.m_slots;
  attempt.m_run_time_ms = spec.m_run_time_ms;
  attempt.m_deadline_unix_ms = spec.m_deadline_unix_ms;
  attempt.m_checkpointable = spec.m_checkpointable;
  attempt.m_idempotent = spec.m_idempotent;
  attempt.m_limits = spec.m_limits;
  attempt.m_payload = spec.m_payload;
  return attempt;
}

PlaceRequest JobBook::MakeRequest(const Job& job,
                                  const std::vector<int>& tasks) const {
  PlaceRequest request;
  request.m_gang = job.m_spec.m_kind == JobKind::kGang;
  for (const int index : tasks) {
    const Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    request.m_attempts.push_back(SpecOf(job, task));
    request.m_resent = request.m_resent || task.m_sent_again;
  }
  return request;
}

void JobBook::Send(const std::string& group, PlaceRequest request) {
  if (request.m_attempts.empty()) {
    return;
  }
  request.m_team_shard = m_shard;
  request.m_team_epoch = m_epoch;
  for (const AttemptSpec& attempt : request.m_attempts) {
    const std::optional<TaskRef> ref = FindAttempt(attempt.m_attempt);
    Invariant(ref.has_value(), "a sent attempt must belong to a task");
    ref->m_task->m_may_have_run = true;
    ref->m_task->m_group_epoch = m_groups.EpochOf(group);
  }
  m_actions.m_places.push_back({group, std::move(request)});
}

void JobBook::ResendAttempts(Job& job, const std::vector<int>& tasks) {
  for (const int index : tasks) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    task.m_sent_again = true;
    SetPhase(job, task, TaskPhase::kPlacing);
  }
  Send(job.m_tasks[static_cast<std::size_t>(tasks.front())].m_group,
       MakeRequest(job, tasks));
}

void JobBook::MarkCommitted(const std::string& mark) {
  const auto found = m_order_by_mark.find(mark);
  if (found == m_order_by_mark.end()) {
    return;
  }
  const std::int64_t id = found->second;
  m_order_by_mark.erase(found);
  MarkedOrder& marked = m_marked.at(id);
  marked.m_uncommitted.erase(mark);
  if (!marked.m_uncommitted.empty()) {
    return;
  }
  PlaceOrder order = std::move(marked.m_order);
  m_marked.erase(id);
  for (const AttemptSpec& attempt : order.m_request.m_attempts) {
    const std::optional<TaskRef> ref = FindAttempt(attempt.m_attempt);
    Invariant(ref.has_value(), "a marked attempt must belong to a task");
    SetPhase(*ref->m_job, *ref->m_task, TaskPhase::kPlacing);
    // The job record must show the attempt too: the ledger keeps the mark for a
    // limited time only.
    m_actions.m_changed.push_back(ref->m_job->m_id);
  }
  Send(order.m_group, std::move(order.m_request));
}

void JobBook::MarkFailed(const std::string& mark, const Error& error,
                         Moment moment) {
  const auto found = m_order_by_mark.find(mark);
  if (found == m_order_by_mark.end()) {
    return;
  }
  const std::optional<AttemptIdParts> name =
      ParseAttemptId(m_marked.at(found->second)
                         .m_order.m_request.m_attempts.front()
                         .m_attempt);
  const bool exists = error.Code() == ErrorCode::kConflict;
  RevertMarkedOrder(found->second, moment, m_options.m_refresh,
                    exists ? mark : "");
  if (!exists) {
    return;
  }
  // The mark was already in the ledger, so an earlier attempt may have run.
  Job& job = m_jobs.at(name->m_job);
  for (int index = 0; index < static_cast<int>(job.m_tasks.size()); index++) {
    if (StartMark(job.m_id, index) == mark) {
      EndTask(job, index, Outcome::kOutcomeUnknown, "start_marked", moment);
    }
  }
}

void JobBook::RevertMarkedOrder(std::int64_t order, Moment moment,
                                Milliseconds delay, const std::string& keep) {
  const MarkedOrder marked = std::move(m_marked.at(order));
  m_marked.erase(order);
  for (const AttemptSpec& attempt : marked.m_order.m_request.m_attempts) {
    const std::optional<TaskRef> ref = FindAttempt(attempt.m_attempt);
    Invariant(ref.has_value(), "a marked attempt must belong to a task");
    const std::string mark = StartMark(ref->m_job->m_id, ref->m_index);
    m_order_by_mark.erase(mark);
    if (mark != keep) {
      m_actions.m_mark_ends.push_back({mark, RecordState::kNotRun});
    }
    RetireAttempt(*ref);
    SetPhase(*ref->m_job, *ref->m_task, TaskPhase::kWaiting);
    ref->m_task->m_attempt.clear();
    const bool is_gang = marked.m_order.m_request.m_gang;
    if (!is_gang || ref->m_index == 0) {
      EnqueueLater(*ref->m_job, is_gang ? -1 : ref->m_index,
                   moment.m_now + delay);
    }
  }
}

void JobBook::PlaceAnswered(const std::string& group,
                            const std::vector<AttemptId>& attempts,
                            const std::optional<Error>& error, Moment moment) {
  for (const AttemptId& attempt : attempts) {
    const std::optional<TaskRef> ref = FindAttempt(attempt);
    // A report may have arrived before this reply.
    if (!ref || ref->m_task->m_phase != TaskPhase::kPlacing) {
      continue;
    }
    if (!error) {
      ApplyQueued(*ref, group);
    } else if (error->HadNoEffect() && !ref->m_task->m_sent_again) {
      ApplyNotStarted(*ref, error->Reason(), moment);
    } else {
      ref->m_task->m_place_sequence = ++m_place_sequence;
      SetPhase(*ref->m_job, *ref->m_task, TaskPhase::kUncertain);
      m_groups.RequestFence(group);
    }
    if (ref->m_job->m_stopping && !ref->m_job->HasEnded()) {
      StopAttempts(*ref->m_job);
    }
  }
}

}  // namespace mustardslip
