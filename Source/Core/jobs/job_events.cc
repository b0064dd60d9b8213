// JobBook: handling of the reports of groups about attempts.
#include <algorithm>

#include "jobs/job_book.h"

namespace mustardslip {
namespace {

constexpr std::size_t kMaxRetiredAttempts = 200'000;

bool IsGang(const Job& job) { return job.m_spec.m_kind == JobKind::kGang; }

bool IsService(const Job& job) {
  return job.m_spec.m_kind == JobKind::kService;
}

bool MayBeLive(const Task& task) {
  return task.m_phase != TaskPhase::kWaiting &&
         task.m_phase != TaskPhase::kEnded;
}

// True if the report determines the state of a task in phase kRecovered. The
// report of an attempt that only has to be repeated does not, since a later
// attempt, which another report covers, may be running.
bool IsDecisive(const Job& job, const AttemptReport& report) {
  switch (report.m_state) {
    case AttemptState::kQueued:
    case AttemptState::kRunning:
      return true;
    case AttemptState::kNotStarted:
      return false;
    case AttemptState::kLost:
      return !MayRestart(job);
    case AttemptState::kEnded:
      return !MayRestart(job) ||
             (!IsService(job) && (report.m_end == TaskEndReason::kSucceeded ||
                                  report.m_end == TaskEndReason::kFailed));
  }
  return false;
}

std::string FailureReason(const AttemptReport& report) {
  return "exit_code_" + std::to_string(report.m_exit_code);
}

}  // namespace

Result<void> JobBook::Apply(const TaskEventsRequest& events, Moment moment) {
  // A superseded group owner may report attempts as not started that its
  // successor has accepted since.
  if (!m_groups.ObserveEpoch(events.m_group, events.m_group_epoch)) {
    return Fail(ErrorCode::kStaleEpoch, "stale_group_epoch");
  }
  for (const AttemptReport& report : events.m_reports) {
    ApplyReport(events.m_group, report, moment);
  }
  return {};
}

std::optional<JobBook::TaskRef> JobBook::FindAttempt(const AttemptId& attempt) {
  const std::optional<AttemptIdParts> name = ParseAttemptId(attempt);
  if (!name) {
    return std::nullopt;
  }
  const auto found = m_jobs.find(name->m_job);
  if (found == m_jobs.end() || name->m_task < 0 ||
      name->m_task >= static_cast<int>(found->second.m_tasks.size())) {
    return std::nullopt;
  }
  Task& task = found->second.m_tasks[static_cast<std::size_t>(name->m_task)];
  const bool is_current = task.m_attempt == attempt && MayBeLive(task);
  if (!is_current && task.m_phase != TaskPhase::kRecovered) {
    return std::nullopt;
  }
  return TaskRef{&found->second, &task, name->m_task};
}

void JobBook::ApplyReport(const std::string& group, const AttemptReport& report,
                          Moment moment) {
  if (m_retired.contains(report.m_attempt)) {
    return;
  }
  const std::optional<TaskRef> ref = FindAttempt(report.m_attempt);
  if (!ref) {
    ApplyOrphan(group, report);
    return;
  }
  if (ref->m_task->m_phase == TaskPhase::kRecovered) {
    if (!IsDecisive(*ref->m_job, report)) {
      return;
    }
    ref->m_task->m_group = group;
    Adopt(*ref, report);
  }
  switch (report.m_state) {
    case AttemptState::kQueued:
      ApplyQueued(*ref, group);
      break;
    case AttemptState::kRunning:
      ApplyRunning(*ref, group, moment);
      break;
    case AttemptState::kNotStarted:
      ApplyNotStarted(*ref, report.m_reason, moment);
      break;
    case AttemptState::kEnded:
      ApplyEnded(*ref, report, moment);
      break;
    case AttemptState::kLost:
      ApplyLost(*ref, report.m_reason, moment);
      break;
  }
}

// Handles an attempt that is not the current attempt of any task, for example
// of a deleted job. It is charged while it may run, and stopped.
void JobBook::ApplyOrphan(const std::string& group,
                          const AttemptReport& report) {
  TeamAccount& account = TeamOf(report.m_team).m_account;
  const bool may_run = report.m_state == AttemptState::kQueued ||
                       report.m_state == AttemptState::kRunning;
  if (!may_run) {
    account.Refund(report.m_attempt);
    m_orphans.erase(report.m_attempt);
    return;
  }
  account.ChargeUnchecked(report.m_attempt, report.m_resources);
  m_orphans[report.m_attempt] = {report.m_team, group};
}

void JobBook::Adopt(const TaskRef& ref, const AttemptReport& report) {
  Job& job = *ref.m_job;
  ref.m_task->m_attempt = report.m_attempt;
  ref.m_task->m_may_have_run = true;
  ref.m_task->m_place_sequence = ++m_place_sequence;
  ref.m_task->m_group_epoch = m_groups.EpochOf(ref.m_task->m_group);
  TeamOf(job.m_spec.m_team)
      .m_account.ChargeUnchecked(report.m_attempt, job.m_spec.m_resources);
  SetPhase(job, *ref.m_task, TaskPhase::kQueued);
}

void JobBook::ApplyQueued(const TaskRef& ref, const std::string& group) {
  const TaskPhase phase = ref.m_task->m_phase;
  if (ref.m_task->m_group != group ||
      (phase != TaskPhase::kPlacing && phase != TaskPhase::kUncertain)) {
    return;
  }
  ref.m_task->m_place_sequence = ++m_place_sequence;
  SetPhase(*ref.m_job, *ref.m_task, TaskPhase::kQueued);
}

void JobBook::ApplyRunning(const TaskRef& ref, const std::string& group,
                           Moment moment) {
  if (ref.m_task->m_group != group ||
      ref.m_task->m_phase == TaskPhase::kRunning) {
    return;
  }
  ref.m_task->m_place_sequence = ++m_place_sequence;
  SetPhase(*ref.m_job, *ref.m_task, TaskPhase::kRunning);
  if (ref.m_job->m_started_unix_ms == 0) {
    ref.m_job->m_started_unix_ms = moment.m_unix_ms;
  }
}

void JobBook::RetireAttempt(const TaskRef& ref) {
  const AttemptId& attempt = ref.m_task->m_attempt;
  TeamOf(ref.m_job->m_spec.m_team).m_account.Refund(attempt);
  m_retired.insert(attempt);
  m_retired_order.push_back(attempt);
  if (m_retired_order.size() > kMaxRetiredAttempts) {
    m_retired.erase(m_retired_order.front());
    m_retired_order.pop_front();
  }
}

void JobBook::ApplyNotStarted(const TaskRef& ref, const std::string& reason,
                              Moment moment) {
  Job& job = *ref.m_job;
  RetireAttempt(ref);
  SetPhase(job, *ref.m_task, TaskPhase::kWaiting);
  ref.m_task->m_attempt.clear();
  ref.m_task->m_may_have_run = false;
  if (!job.m_spec.m_idempotent) {
    m_actions.m_mark_ends.push_back(
        {StartMark(job.m_id, ref.m_index), RecordState::kNotRun});
  }
  if (job.m_stopping) {
    EndTask(job, ref.m_index, Outcome::kCancelled, reason, moment);
  } else if (reason == "never_fits") {
    EndTask(job, ref.m_index, Outcome::kNotRun, reason, moment);
  } else if (IsGang(job)) {
    RestartGang(job, moment);
  } else {
    EnqueueLater(job, ref.m_index, moment.m_now + m_options.m_first_backoff);
  }
}

void JobBook::ApplyEnded(const TaskRef& ref, const AttemptReport& report,
                         Moment moment) {
  Job& job = *ref.m_job;
  RetireAttempt(ref);
  if (job.m_started_unix_ms == 0) {
    job.m_started_unix_ms = moment.m_unix_ms;
  }
  const bool succeeded = report.m_end == TaskEndReason::kSucceeded;
  const bool failed = report.m_end == TaskEndReason::kFailed;
  const bool is_final = (succeeded || failed) && !IsService(job) &&
                        !(job.m_restarting && MayRestart(job));
  if (!is_final) {
    RestartTask(ref, nlohmann::json(report.m_end).get<std::string>(), moment);
    return;
  }
  EndTask(job, ref.m_index, succeeded ? Outcome::kDone : Outcome::kFailed,
          succeeded ? "" : FailureReason(report), moment,
          std::string(report.m_answer.begin(), report.m_answer.end()));
  if (failed && IsGang(job)) {
    FailGang(job, moment);
  }
}

void JobBook::ApplyLost(const TaskRef& ref, const std::string& reason,
                        Moment moment) {
  RetireAttempt(ref);
  if (MayRestart(*ref.m_job)) {
    RestartTask(ref, reason.empty() ? "worker_lost" : reason, moment);
    return;
  }
  EndTask(*ref.m_job, ref.m_index, Outcome::kOutcomeUnknown, "worker_lost",
          moment);
  if (IsGang(*ref.m_job)) {
    FailGang(*ref.m_job, moment);
  }
}

// Called after an attempt ended without a final result.
void JobBook::RestartTask(const TaskRef& ref, const std::string& reason,
                          Moment moment) {
  Job& job = *ref.m_job;
  Task& task = *ref.m_task;
  if (job.m_stopping) {
    EndTask(job, ref.m_index, Outcome::kCancelled, reason, moment);
    return;
  }
  if (!MayRestart(job)) {
    EndTask(job, ref.m_index, Outcome::kFailed, reason, moment);
    if (IsGang(job)) {
      FailGang(job, moment);
    }
    return;
  }
  SetPhase(job, task, TaskPhase::kWaiting);
  task.m_attempt.clear();
  // A preemption or a joint restart of the gang does not count as a failure.
  if (reason != "checkpointed" && !job.m_restarting) {
    task.m_failures++;
  }
  if (!IsService(job) && task.m_failures >= m_options.m_max_attempts) {
    EndTask(job, ref.m_index, Outcome::kFailed, "too_many_attempts", moment);
    if (IsGang(job)) {
      FailGang(job, moment);
    }
    return;
  }
  if (IsGang(job)) {
    RestartGang(job, moment);
    return;
  }
  EnqueueLater(job, ref.m_index, moment.m_now + BackoffFor(task.m_failures));
}

// Stops the members that may run. Once none may run, queues the whole gang
// again.
void JobBook::RestartGang(Job& job, Moment moment) {
  if (job.HasEnded()) {
    return;
  }
  job.m_restarting = true;
  if (std::any_of(job.m_tasks.begin(), job.m_tasks.end(), MayBeLive)) {
    StopAttempts(job);
    return;
  }
  job.m_restarting = false;
  m_stopping.erase(job.m_id);
  const bool has_run =
      std::any_of(job.m_tasks.begin(), job.m_tasks.end(), [](const Task& t) {
        return t.m_phase == TaskPhase::kEnded || t.m_may_have_run;
      });
  if (has_run && !MayRestart(job)) {
    FailGang(job, moment);
    return;
  }
  int failures = 0;
  for (Task& task : job.m_tasks) {
    SetPhase(job, task, TaskPhase::kWaiting);
    failures = std::max(failures, task.m_failures);
  }
  EnqueueLater(job, -1, moment.m_now + BackoffFor(failures));
}

void JobBook::FailGang(Job& job, Moment moment) {
  if (job.HasEnded()) {
    return;
  }
  job.m_stopping = true;
  EndWaitingTasks(job, moment);
  if (!job.HasEnded()) {
    StopAttempts(job);
  }
}

}  // namespace mustardslip
