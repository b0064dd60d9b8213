// Feeds a workload and its consequences into a policy under a virtual clock.
// There is no network, worker process or store: a started task ends after its
// true run time, and a worker that fails everything ends it as failed.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "cpu_time.h"
#include "replay_metrics.h"
#include "workload.h"

namespace mustardslip::bench {

struct ReplayOptions {
  WorkloadOptions m_workload;
  // Submissions for each one that is answered: a refused attempt is submitted
  // again and again, and a waiting one is repeated.
  int m_retries = 1;
  // Part of the workers that fail everything.
  double m_failing_workers = 0;
  // Waiting attempts that are cancelled at once, halfway; 0 for none.
  int m_cancellations = 0;
  std::int64_t m_max_queued_per_team = 50'000;
};

// A task ends this long after it was started on a failing worker.
constexpr Milliseconds kFailureTime{200};
// Usage is reported with a delay.
constexpr Milliseconds kUsageDelay{5'000};
// Saving a state, and restoring it at the next start.
constexpr Milliseconds kCheckpointTime{5'000};
constexpr Milliseconds kRestoreTime{5'000};
constexpr Milliseconds kSampleStep{1'000};
constexpr Milliseconds kTick{100};
constexpr Milliseconds kRetryStep{250};
// Attempts after the first one, for tasks that failed.
constexpr int kMaxRestarts = 5;

template <typename Policy>
class Replay {
 public:
  Replay(const FleetProfile& profile, const ReplayOptions& options);

  ReplayMetrics Run();

 private:
  enum class EventKind { kEnd, kUsage, kRetry, kTick, kSample, kCancel };

  struct Event {
    TimePoint m_at;
    std::uint64_t m_sequence = 0;
    EventKind m_kind = EventKind::kTick;
    std::size_t m_task = 0;
    int m_start = 0;

    bool operator>(const Event& other) const {
      return std::pair(m_at, m_sequence) >
             std::pair(other.m_at, other.m_sequence);
    }
  };

  struct Task {
    StreamTask m_stream;
    bool m_gang = false;
    TimePoint m_queued_at;
    TimePoint m_started_at;
    std::int64_t m_left_ms = 0;
    // Counts starts, so that events of earlier ones are recognised.
    int m_start = 0;
    int m_restarts = 0;
    int m_submissions = 1;
    bool m_waiting = false;
    bool m_running = false;
    bool m_checkpointing = false;
    bool m_fails = false;
    // Succeeded, refused for good or cancelled.
    bool m_done = false;
  };

  void Push(TimePoint at, EventKind kind, std::size_t task = 0, int start = 0);
  void Submit(const StreamJob& job);
  void Enqueue(const std::vector<std::size_t>& tasks, bool gang);
  void Apply(const std::vector<Decision>& decisions);
  void Decide();
  void Start(const StartTask& start);
  void Preempt(const PreemptTask& preempt);
  void Refuse(const RefuseAttempt& refusal);
  void End(const Event& event);
  void Resubmit(std::size_t task);
  void Handle(const Event& event);
  void CancelWave();
  void Sample();
  bool IsMeasured(TimePoint at) const {
    return at >= TimePoint{} + m_profile.m_warm_up;
  }
  std::size_t TaskOf(const AttemptId& id) const { return m_by_id.at(id); }

  // Runs a call of the policy and adds its time.
  template <typename Call>
  auto Timed(Call call);

  FleetProfile m_profile;
  ReplayOptions m_options;
  Workload m_workload;
  Policy m_policy;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<Task> m_tasks;
  absl::flat_hash_map<AttemptId, std::size_t> m_by_id;
  absl::flat_hash_map<std::string, bool> m_vm_fails;
  TimePoint m_now;
  std::uint64_t m_sequence = 0;
  std::size_t m_first_open = 0;
  std::int64_t m_call_nanoseconds = 0;
  ReplayMetrics m_metrics;
};

template <typename Policy>
Replay<Policy>::Replay(const FleetProfile& profile,
                       const ReplayOptions& options)
    : m_profile(profile),
      m_options(options),
      m_workload(profile, options.m_workload),
      m_policy(PlacementOptions{.m_max_queued_per_team =
                                    options.m_max_queued_per_team}),
      m_metrics(profile) {
  const auto failing = static_cast<int>(options.m_failing_workers *
                                        static_cast<double>(profile.m_vms));
  int index = 0;
  for (const VmDescription& vm : MakeVms(profile)) {
    m_policy.SetVm(vm, VmCondition::kReady);
    // Spread evenly over the list.
    m_vm_fails[vm.m_id] = failing > 0 && index % (profile.m_vms / failing) == 0;
    ++index;
  }
  for (const TeamProfile& team : profile.m_teams) {
    m_policy.SetTeamShare(team.m_name, team.m_weight);
  }
}

template <typename Policy>
template <typename Call>
auto Replay<Policy>::Timed(Call call) {
  const std::int64_t begin = ThreadCpuNanoseconds();
  auto result = call();
  const std::int64_t nanoseconds = ThreadCpuNanoseconds() - begin;
  m_call_nanoseconds += nanoseconds;
  m_metrics.m_core_nanoseconds += nanoseconds;
  return result;
}

template <typename Policy>
void Replay<Policy>::Push(TimePoint at, EventKind kind, std::size_t task,
                          int start) {
  m_events.push({at, m_sequence++, kind, task, start});
}

template <typename Policy>
ReplayMetrics Replay<Policy>::Run() {
  for (const StreamJob& job : m_workload.Initial()) {
    Submit(job);
  }
  Decide();
  Push(m_now + kTick, EventKind::kTick);
  Push(m_now + kSampleStep, EventKind::kSample);
  if (m_options.m_cancellations > 0) {
    Push(TimePoint{} + (m_profile.m_warm_up + m_profile.m_length) / 2,
         EventKind::kCancel);
  }
  const TimePoint end = TimePoint{} + m_profile.m_length;
  StreamJob next = m_workload.Next();
  while (m_now < end) {
    m_call_nanoseconds = 0;
    if (next.m_arrival <= m_events.top().m_at) {
      m_now = next.m_arrival;
      Submit(next);
      next = m_workload.Next();
    } else {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      Handle(event);
    }
    Decide();
  }
  for (const Task& task : m_tasks) {
    if (task.m_waiting && IsMeasured(task.m_queued_at)) {
      m_metrics.AddWait(ClassOf(task.m_stream.m_spec),
                        m_now - task.m_queued_at);
    }
  }
  m_metrics.m_measured = end - (TimePoint{} + m_profile.m_warm_up);
  return std::move(m_metrics);
}

template <typename Policy>
void Replay<Policy>::Submit(const StreamJob& job) {
  std::vector<std::size_t> tasks;
  for (const StreamTask& stream : job.m_tasks) {
    Task task;
    task.m_stream = stream;
    task.m_gang = job.m_gang;
    task.m_queued_at = m_now;
    task.m_left_ms = stream.m_true_run_ms;
    m_by_id.emplace(stream.m_spec.m_attempt, m_tasks.size());
    tasks.push_back(m_tasks.size());
    m_tasks.push_back(std::move(task));
  }
  Enqueue(tasks, job.m_gang);
  if (m_options.m_retries > 1) {
    Push(m_now + kRetryStep, EventKind::kRetry, tasks.front());
  }
}

template <typename Policy>
void Replay<Policy>::Enqueue(const std::vector<std::size_t>& tasks, bool gang) {
  std::vector<AttemptSpec> specs;
  for (const std::size_t task : tasks) {
    m_tasks[task].m_waiting = true;
    specs.push_back(m_tasks[task].m_stream.m_spec);
  }
  m_metrics.m_submissions += static_cast<std::int64_t>(specs.size());
  Apply(Timed([&] { return m_policy.Enqueue(specs, gang, m_now); }));
}

template <typename Policy>
void Replay<Policy>::Decide() {
  const auto decisions = Timed([&] { return m_policy.Decide(m_now); });
  m_metrics.AddCall(m_call_nanoseconds, decisions, IsMeasured(m_now));
  Apply(decisions);
}

template <typename Policy>
void Replay<Policy>::Apply(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (const auto* start = std::get_if<StartTask>(&decision)) {
      Start(*start);
    } else if (const auto* gang = std::get_if<StartGang>(&decision)) {
      for (const StartTask& member : gang->m_tasks) {
        Start(member);
      }
    } else if (const auto* preempt = std::get_if<PreemptTask>(&decision)) {
      Preempt(*preempt);
    } else {
      Refuse(std::get<RefuseAttempt>(decision));
    }
  }
}

template <typename Policy>
void Replay<Policy>::Start(const StartTask& start) {
  const std::size_t index = TaskOf(start.m_attempt);
  Task& task = m_tasks[index];
  task.m_waiting = false;
  task.m_running = true;
  task.m_started_at = m_now;
  ++task.m_start;
  ++m_metrics.m_starts;
  if (IsMeasured(task.m_queued_at)) {
    m_metrics.AddWait(ClassOf(task.m_stream.m_spec), m_now - task.m_queued_at);
  }
  task.m_fails = m_vm_fails.at(start.m_vm);
  if (task.m_fails) {
    Push(m_now + kFailureTime, EventKind::kEnd, index, task.m_start);
    return;
  }
  // A worker holds a task to its charge: it runs longer with fewer processors.
  const Resources charge = m_policy.ChargedSize(start.m_attempt);
  const Resources& size = task.m_stream.m_true_size;
  if (charge.m_memory_mb < size.m_memory_mb) {
    ++m_metrics.m_short_of_memory;
  }
  const double slowdown =
      std::max(1.0, static_cast<double>(size.m_cpu_millis) /
                        static_cast<double>(charge.m_cpu_millis));
  const auto run_ms =
      static_cast<std::int64_t>(static_cast<double>(task.m_left_ms) * slowdown);
  Push(m_now + Milliseconds(run_ms), EventKind::kEnd, index, task.m_start);
  if (Milliseconds(run_ms) > kUsageDelay) {
    Push(m_now + kUsageDelay, EventKind::kUsage, index, task.m_start);
  }
}

template <typename Policy>
void Replay<Policy>::Preempt(const PreemptTask& preempt) {
  const std::size_t index = TaskOf(preempt.m_attempt);
  Task& task = m_tasks[index];
  ++m_metrics.m_preemptions;
  task.m_checkpointing = true;
  const auto cpu_ms =
      static_cast<double>(
          m_policy.ChargedSize(preempt.m_attempt).m_cpu_millis) /
      1'000;
  m_metrics.m_lost_cpu_ms +=
      cpu_ms * static_cast<double>((kCheckpointTime + kRestoreTime).count());
  Push(m_now + kCheckpointTime, EventKind::kEnd, index, task.m_start);
}

template <typename Policy>
void Replay<Policy>::Refuse(const RefuseAttempt& refusal) {
  Task& task = m_tasks[TaskOf(refusal.m_attempt)];
  task.m_waiting = false;
  ++m_metrics.m_refusals[refusal.m_reason];
}

template <typename Policy>
void Replay<Policy>::End(const Event& event) {
  Task& task = m_tasks[event.m_task];
  if (!task.m_running || task.m_start != event.m_start) {
    return;
  }
  task.m_running = false;
  const AttemptId id = task.m_stream.m_spec.m_attempt;
  const auto ended = [&](TaskEndReason reason) {
    Timed([&] {
      m_policy.Ended(id, reason, m_now);
      return 0;
    });
  };
  if (task.m_fails) {
    ++m_metrics.m_failures;
    ended(TaskEndReason::kFailed);
    if (task.m_restarts < kMaxRestarts) {
      ++task.m_restarts;
      Resubmit(event.m_task);
    }
    return;
  }
  const std::int64_t ran =
      std::chrono::duration_cast<Milliseconds>(m_now - task.m_started_at)
          .count();
  if (task.m_checkpointing && ran < task.m_left_ms) {
    task.m_checkpointing = false;
    ended(TaskEndReason::kCheckpointed);
    task.m_left_ms += kRestoreTime.count() + kCheckpointTime.count() - ran;
    Resubmit(event.m_task);
    return;
  }
  task.m_checkpointing = false;
  ended(TaskEndReason::kSucceeded);
  task.m_done = true;
  m_metrics.AddSuccess(task.m_stream, IsMeasured(m_now));
}

// The next attempt of a task that failed or was preempted. Gang members come
// back alone: the rest of the gang still runs.
template <typename Policy>
void Replay<Policy>::Resubmit(std::size_t index) {
  AttemptSpec& spec = m_tasks[index].m_stream.m_spec;
  spec.m_attempt = spec.m_attempt.substr(0, spec.m_attempt.rfind('.') + 1) +
                   std::to_string(m_tasks[index].m_start + 1);
  spec.m_deadline_unix_ms = 0;
  m_by_id[spec.m_attempt] = index;
  m_tasks[index].m_queued_at = m_now;
  Enqueue({index}, false);
}

template <typename Policy>
void Replay<Policy>::Handle(const Event& event) {
  switch (event.m_kind) {
    case EventKind::kEnd:
      End(event);
      break;
    case EventKind::kUsage: {
      const Task& task = m_tasks[event.m_task];
      if (task.m_running && task.m_start == event.m_start) {
        Timed([&] {
          m_policy.ReportUsage(task.m_stream.m_spec.m_attempt,
                               task.m_stream.m_true_size);
          return 0;
        });
      }
      break;
    }
    case EventKind::kRetry: {
      // The caller repeats the whole job until it has used up its retries.
      Task& first = m_tasks[event.m_task];
      std::vector<std::size_t> again;
      for (std::size_t i = event.m_task;
           i < m_tasks.size() &&
           m_tasks[i].m_stream.m_spec.m_job == first.m_stream.m_spec.m_job;
           ++i) {
        const Task& task = m_tasks[i];
        if (task.m_waiting || (!task.m_running && task.m_start == 0)) {
          again.push_back(i);
        }
      }
      if (++first.m_submissions < m_options.m_retries) {
        Push(m_now + kRetryStep, EventKind::kRetry, event.m_task);
      }
      if (!again.empty()) {
        Enqueue(again, first.m_gang);
      }
      break;
    }
    case EventKind::kTick:
      Push(m_now + kTick, EventKind::kTick);
      break;
    case EventKind::kSample:
      Sample();
      Push(m_now + kSampleStep, EventKind::kSample);
      break;
    case EventKind::kCancel:
      CancelWave();
      break;
  }
}

template <typename Policy>
void Replay<Policy>::CancelWave() {
  std::vector<AttemptId> ids;
  // The newest ones: a wave usually follows a wrong submission.
  for (std::size_t i = m_tasks.size();
       i-- > 0 && static_cast<int>(ids.size()) < m_options.m_cancellations;) {
    if (m_tasks[i].m_waiting) {
      m_tasks[i].m_waiting = false;
      ids.push_back(m_tasks[i].m_stream.m_spec.m_attempt);
    }
  }
  const std::int64_t before = m_metrics.m_core_nanoseconds;
  m_metrics.m_cancelled += Timed([&] {
    std::int64_t cancelled = 0;
    for (const AttemptId& id : ids) {
      cancelled += static_cast<int>(m_policy.Cancel(id));
    }
    return cancelled;
  });
  m_metrics.m_cancel_nanoseconds = m_metrics.m_core_nanoseconds - before;
}

template <typename Policy>
void Replay<Policy>::Sample() {
  std::vector<TeamSample> teams;
  absl::flat_hash_map<std::string, std::size_t> indexes;
  for (const TeamProfile& team : m_profile.m_teams) {
    indexes.emplace(team.m_name, teams.size());
    teams.push_back({m_policy.TeamUsage(team.m_name), Resources{}});
  }
  // Tasks are in the order of their arrival; the oldest waiting one only moves
  // forward, but for those that were preempted or failed.
  for (; m_first_open < m_tasks.size() && m_tasks[m_first_open].m_done;
       ++m_first_open) {
  }
  for (std::size_t i = m_first_open; i < m_tasks.size(); ++i) {
    if (m_tasks[i].m_waiting) {
      const AttemptSpec& spec = m_tasks[i].m_stream.m_spec;
      TeamSample& sample = teams[indexes.at(spec.m_team)];
      sample.m_waiting = sample.m_waiting + spec.m_resources;
    }
  }
  m_metrics.AddSample(teams, m_policy.TotalCapacity(),
                      m_policy.ChargedResources(), m_policy.RunningCount(),
                      m_policy.QuarantinedCount(), IsMeasured(m_now));
}

}  // namespace mustardslip::bench
