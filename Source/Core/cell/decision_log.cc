// Formats a cell's decisions as log lines.
#include "cell/decision_log.h"

#include <fmt/core.h>

#include <map>
#include <string>

#include "common/logger.h"

namespace mustardslip {
namespace {

// Limits the length of a line; further runs are only counted.
constexpr std::size_t kMaxRunsListed = 40;

// Collects runs of one step for one line.
struct RunList {
  std::size_t m_count = 0;
  std::string m_text;

  void Add(const TaskRef& task, std::uint32_t run, const std::string& vm) {
    Add(fmt::format("{}#{}@{}", task.m_index, run, vm));
  }
  void Add(const std::string& entry) {
    if (++m_count <= kMaxRunsListed) {
      m_text += (m_text.empty() ? "" : " ") + entry;
    }
  }
};

std::size_t TaskCount(const WorkflowSpec& spec) {
  std::size_t tasks = 0;
  for (const StepSpec& step : spec.m_steps) {
    tasks += step.m_count;
  }
  return tasks;
}

void LogRules(const RulesInForce& rules) {
  std::string queues;
  for (const QueueRules& queue : rules.m_changed) {
    queues += fmt::format("{}{}@{}", queues.empty() ? "" : " ", queue.m_name,
                          queue.m_service);
  }
  Log(LogLevel::kInfo, LogCategory::kCell, "rules_in_force",
      {{"configuration", rules.m_version},
       {"count", rules.m_changed.size()},
       {"queues", queues}});
}

void LogRuns(std::string_view event, const StepRef& step, const RunList& runs,
             std::string_view how) {
  Log(LogLevel::kInfo, LogCategory::kCell, event,
      {{"job", step.m_job},
       {"step", ToString(step)},
       {"how", how},
       {"count", runs.m_count},
       {"runs", runs.m_text}});
}

}  // namespace

void LogDecisions(const std::vector<LogRecord>& records) {
  std::map<StepRef, RunList> planned;
  std::map<std::pair<StepRef, RunEnd>, RunList> ended;
  // By whether the crash is confirmed.
  std::map<std::pair<StepRef, bool>, RunList> crashes;
  for (const LogRecord& record : records) {
    if (const auto* accepted = std::get_if<JobAccepted>(&record)) {
      const WorkflowSpec& spec = accepted->m_spec;
      Log(LogLevel::kInfo, LogCategory::kCell, "job_accepted",
          {{"job", spec.m_id},
           {"queue", spec.m_queue.m_name},
           {"service", spec.m_queue.m_service},
           {"team", spec.m_team},
           {"steps", spec.m_steps.size()},
           {"tasks", TaskCount(spec)}});
    } else if (const auto* cancelled = std::get_if<JobCancelled>(&record)) {
      Log(LogLevel::kInfo, LogCategory::kCell, "job_cancelled",
          {{"job", cancelled->m_job}});
    } else if (const auto* run = std::get_if<RunPlanned>(&record)) {
      planned[StepOf(run->m_task)].Add(run->m_task, run->m_run, run->m_vm.m_id);
    } else if (const auto* end = std::get_if<RunEnded>(&record)) {
      ended[{StepOf(end->m_task), end->m_end}].Add(end->m_task, end->m_run,
                                                   end->m_vm.m_id);
    } else if (const auto* crash = std::get_if<CrashSuspicion>(&record)) {
      crashes[{StepOf(crash->m_task), crash->m_confirmed}].Add(
          crash->m_task, crash->m_run, crash->m_alone ? "alone" : "others");
    } else if (const auto* rules = std::get_if<RulesInForce>(&record)) {
      LogRules(*rules);
    } else if (const auto* silent = std::get_if<VmUnreachable>(&record)) {
      Log(LogLevel::kWarning, LogCategory::kCell, "vm_unreachable",
          {{"vm", silent->m_vm.m_id},
           {"born", silent->m_vm.m_born},
           {"runs_ended_by_unix_ms", silent->m_runs_ended_by_unix_ms}});
    } else if (const auto* answers = std::get_if<VmReachable>(&record)) {
      Log(LogLevel::kInfo, LogCategory::kCell, "vm_reachable",
          {{"vm", answers->m_vm.m_id}, {"born", answers->m_vm.m_born}});
    }
  }
  for (const auto& [key, runs] : crashes) {
    LogRuns(key.second ? "vm_crashed_under" : "vm_silent_after_start",
            key.first, runs, "");
  }
  for (const auto& [step, runs] : planned) {
    LogRuns("runs_planned", step, runs, "");
  }
  for (const auto& [key, runs] : ended) {
    LogRuns("runs_ended", key.first, runs, ToString(key.second));
  }
}

void LogJobFailure(const JobFailure& failure, std::int64_t fence) {
  const TaskRef& task = failure.m_task;
  RunList runs;
  for (const std::uint32_t run : failure.m_runs) {
    runs.Add(fmt::format("{}#{}", task.m_index, run));
  }
  Log(LogLevel::kInfo, LogCategory::kCell, "job_failed",
      {{"job", task.m_job},
       {"step", ToString(StepOf(task))},
       {"reason", failure.m_crashes_vms ? "crashes_vms" : "failed_attempts"},
       {"runs", runs.m_text},
       {"failures", failure.m_failures},
       {"max_attempts", failure.m_max_attempts},
       {"configuration", failure.m_configuration},
       {"fence", fence}});
}

void LogGangDelay(const GangDelay& delay) {
  Log(LogLevel::kInfo, LogCategory::kCell,
      delay.m_starts ? "gang_started_late" : "gang_waits",
      {{"job", delay.m_job},
       {"step", delay.m_step},
       {"tasks", delay.m_tasks},
       {"waited_ms", delay.m_total_ms},
       {"cause", ToString(delay.m_wait.Cause())},
       {"waited_for", delay.m_wait.Describe()},
       {"capacity", delay.m_capacity},
       {"room", delay.m_room}});
}

void LogVmSpeed(const VmSpeedChange& change) {
  Log(LogLevel::kInfo, LogCategory::kCell, "vm_speed_changed",
      {{"vm", change.m_vm.m_id},
       {"born", change.m_vm.m_born},
       {"speed_before", change.m_before},
       {"speed", change.m_after},
       {"samples", change.m_samples}});
}

void LogContention(const ContentionChange& change) {
  Log(LogLevel::kInfo, LogCategory::kCell,
      change.m_harmful ? "contention_found" : "contention_gone",
      {{"image", change.m_slowed_image},
       {"slowed_by", change.m_by_image},
       {"factor", change.m_factor},
       {"samples", change.m_samples}});
}

void LogAdvice(const AdviceAnswer& answer) {
  std::string good;
  for (const AdviceAnswer::Row& row : answer.m_good) {
    good += fmt::format("{}{}", good.empty() ? "" : " ", row.m_vm);
  }
  Log(LogLevel::kInfo, LogCategory::kCell,
      answer.m_ok ? "advice_received" : "advice_failed",
      {{"job", answer.m_step.m_job},
       {"step", ToString(answer.m_step)},
       {"asked", answer.m_asked.size()},
       {"advised", good},
       {"valid_ms", answer.m_validity_ms}});
}

void LogStop(const StopRun& stop) {
  std::string_view event;
  switch (stop.m_reason) {
    case StopReason::kMove:
      event = "run_moves_away";
      break;
    case StopReason::kPreempted:
      event = "run_preempted";
      break;
    case StopReason::kEarlierIncarnation:
      event = "late_start_blocked";
      break;
    case StopReason::kUnknownRun:
      event = "unknown_run_stopped";
      break;
    case StopReason::kJobEnded:
    case StopReason::kGangBroken:
      return;
  }
  Log(LogLevel::kInfo, LogCategory::kCell, event,
      {{"job", stop.m_task.m_job},
       {"task", ToString(stop.m_task)},
       {"run", stop.m_run},
       {"vm", stop.m_vm.m_id},
       {"born", stop.m_vm.m_born}});
}

void LogRunNotListed(const RunNotListed& run) {
  Log(LogLevel::kInfo, LogCategory::kCell, "run_not_listed",
      {{"job", run.m_task.m_job},
       {"task", ToString(run.m_task)},
       {"run", run.m_run},
       {"vm", run.m_vm.m_id},
       {"born", run.m_vm.m_born},
       {"confirmed", run.m_confirmed},
       {"carried_over", run.m_carried_over},
       {"start_age_ms", run.m_start_age_ms}});
}

void LogQueueMoved(const QueueMoved& move, std::int64_t fence) {
  Log(LogLevel::kInfo, LogCategory::kCell, "queue_moved",
      {{"queue", move.m_queue},
       {"from", move.m_from},
       {"to", move.m_to},
       {"configuration", move.m_configuration},
       {"jobs", move.m_jobs},
       {"open_runs", move.m_open_runs},
       {"fence", fence}});
}

void LogAbandonedStarts(const std::set<OpenStart>& starts, std::int64_t fence) {
  if (starts.empty()) {
    return;
  }
  RunList runs;
  for (const OpenStart& start : starts) {
    runs.Add(fmt::format("{}#{}@{}", ToString(start.m_task), start.m_run,
                         start.m_vm));
  }
  Log(LogLevel::kInfo, LogCategory::kCell, "starts_abandoned",
      {{"count", runs.m_count}, {"runs", runs.m_text}, {"fence", fence}});
}

void LogStartAnswer(const StartAnswer& answer, std::int64_t fence,
                    std::int64_t after_ms) {
  if (answer.m_outcome == StartOutcome::kStarted) {
    return;
  }
  Log(LogLevel::kInfo, LogCategory::kCell,
      answer.m_outcome == StartOutcome::kUnknown ? "start_unanswered"
                                                 : "start_refused",
      {{"job", answer.m_task.m_job},
       {"task", ToString(answer.m_task)},
       {"run", answer.m_run},
       {"vm", answer.m_vm.m_id},
       {"born", answer.m_vm.m_born},
       {"fence", fence},
       {"after_ms", after_ms},
       {"reason", answer.m_reason}});
}

}  // namespace mustardslip
