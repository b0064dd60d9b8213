// JobBook: fence replies, attempts that a group lost, and tasks in phase
// kRecovered after a takeover.
#include <algorithm>

#include "jobs/job_book.h"

namespace mustardslip {
namespace {

bool IsGang(const Job& job) { return job.m_spec.m_kind == JobKind::kGang; }

}  // namespace

void JobBook::UpdateGroups(const std::vector<GroupSummary>& summaries) {
  if (m_groups.Update(summaries)) {
    UpdateUnknownResources();
  }
}

std::vector<std::string> JobBook::TakeDueFences(TimePoint now) {
  return m_groups.TakeDueFences(now);
}

void JobBook::FenceFailed(const std::string& group, TimePoint now) {
  m_groups.FenceFailed(group, now);
}

void JobBook::FenceAnswered(const std::string& group,
                            const FenceTeamReply& reply,
                            std::int64_t sent_at_sequence, Moment moment) {
  for (const AttemptReport& report : reply.m_attempts) {
    ApplyReport(group, report, moment);
  }
  if (m_groups.FenceAnswered(group, reply, moment.m_now)) {
    ResolveMissing(group, reply, sent_at_sequence, moment);
  }
  UpdateUnknownResources();
  ReleaseRecovered(moment);
}

void JobBook::UpdateUnknownResources() {
  for (auto& [name, team] : m_teams) {
    for (const auto& [group, summary] : m_groups.Summaries()) {
      team.m_account.SetUnknownUsage(group, m_groups.UnknownResources(group));
    }
  }
}

// Handles attempts that the group does not report although each of its VMs has
// answered. Attempts that reached the group only after the fence call was sent
// are skipped.
void JobBook::ResolveMissing(const std::string& group,
                             const FenceTeamReply& reply,
                             std::int64_t sent_at_sequence, Moment moment) {
  std::set<AttemptId> reported;
  for (const AttemptReport& report : reply.m_attempts) {
    reported.insert(report.m_attempt);
  }
  ResolveOrphans(group, reported);
  std::map<std::string, std::vector<int>> gangs;
  const std::unordered_set<AttemptId> live = m_live_attempts[group];
  for (const AttemptId& attempt : live) {
    const std::optional<TaskRef> ref = FindAttempt(attempt);
    if (!ref || reported.contains(attempt) ||
        ref->m_task->m_phase == TaskPhase::kPlacing ||
        ref->m_task->m_place_sequence > sent_at_sequence) {
      continue;
    }
    if (IsGang(*ref->m_job)) {
      gangs[ref->m_job->m_id].push_back(ref->m_index);
    } else {
      ResolveMissingTask(*ref, group, moment);
    }
  }
  for (const auto& [job, missing] : gangs) {
    ResolveMissingGang(m_jobs.at(job), missing, group, moment);
  }
}

void JobBook::ResolveOrphans(const std::string& group,
                             const std::set<AttemptId>& reported) {
  for (auto orphan = m_orphans.begin(); orphan != m_orphans.end();) {
    if (orphan->second.m_group != group || reported.contains(orphan->first)) {
      ++orphan;
      continue;
    }
    TeamOf(orphan->second.m_team).m_account.Refund(orphan->first);
    orphan = m_orphans.erase(orphan);
  }
}

bool JobBook::CanResend(const Job& job, const Task& task) const {
  if (task.m_phase == TaskPhase::kRunning) {
    return false;
  }
  // An earlier group owner may have started it on a VM that was removed since.
  return MayRestart(job) ||
         m_groups.EpochOf(task.m_group) == task.m_group_epoch;
}

void JobBook::ResolveMissingTask(const TaskRef& ref, const std::string& group,
                                 Moment moment) {
  if (CanResend(*ref.m_job, *ref.m_task)) {
    ResendAttempts(*ref.m_job, {ref.m_index});
    return;
  }
  ApplyLost(ref, "lost_by_" + group, moment);
}

void JobBook::ResolveMissingGang(Job& job, const std::vector<int>& missing,
                                 const std::string& group, Moment moment) {
  const bool all_queued =
      missing.size() == job.m_tasks.size() &&
      std::all_of(job.m_tasks.begin(), job.m_tasks.end(),
                  [this, &job](const Task& t) { return CanResend(job, t); });
  if (all_queued) {
    ResendAttempts(job, TasksOf(job, {.m_task = -1}));
    return;
  }
  for (const int index : missing) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    if (task.m_phase != TaskPhase::kEnded &&
        task.m_phase != TaskPhase::kWaiting) {
      ApplyLost({&job, &task, index}, "lost_by_" + group, moment);
    }
  }
}

// Once all VMs of all groups have answered, tasks that were not reported are
// not running and can be ended or planned again.
void JobBook::ReleaseRecovered(Moment moment) {
  if (m_recovered.empty() || !m_groups.AllComplete()) {
    return;
  }
  const std::set<std::string> jobs = std::exchange(m_recovered, {});
  for (const std::string& id : jobs) {
    Job& job = m_jobs.at(id);
    if (!job.HasEnded()) {
      ReleaseRecoveredJob(job, moment);
    }
  }
}

void JobBook::ReleaseRecoveredJob(Job& job, Moment moment) {
  bool released = false;
  for (int index = 0; index < static_cast<int>(job.m_tasks.size()); index++) {
    Task& task = job.m_tasks[static_cast<std::size_t>(index)];
    if (task.m_phase != TaskPhase::kRecovered) {
      continue;
    }
    released = true;
    if (task.m_may_have_run && !MayRestart(job)) {
      EndTask(job, index, Outcome::kOutcomeUnknown, "no_end_found", moment);
    } else if (job.m_stopping) {
      EndTask(job, index, Outcome::kCancelled, "", moment);
    } else {
      SetPhase(job, task, TaskPhase::kWaiting);
      if (!IsGang(job)) {
        Enqueue(job, index);
      }
    }
  }
  if (released && IsGang(job) && !job.m_stopping) {
    RestartGang(job, moment);
  }
}

}  // namespace mustardslip
