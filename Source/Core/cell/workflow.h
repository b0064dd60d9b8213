// A client's submission to a cell: a job of steps with dependencies, each with
// a number of identical tasks.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/resources.h"
#include "common/result.h"

namespace mustardslip {

// Hard limits on a submission.
inline constexpr std::size_t kMaxPayloadBytes = 4'000;
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 10'000;
// Over all steps and occurrences: the state of a task takes about 200 bytes.
inline constexpr std::uint64_t kMaxTasks = 100'000;
inline constexpr std::uint32_t kMaxOccurrences = 100'000;
inline constexpr std::size_t kWorkflowIdDigits = 16;

struct StepSpec {
  std::uint32_t m_count = 1;
  // Per task.
  Resources m_resources;
  // The client's rough estimate of a task's run time; 0 if there is none.
  std::int64_t m_estimate_ms = 0;
  // Indices of earlier steps that must be done first.
  std::vector<std::uint32_t> m_dependencies;
  // A restarted task resumes from its last checkpoint.
  bool m_checkpoint = false;
  // All tasks run at the same time or not at all.
  bool m_gang = false;
  bool m_same_rack = false;
  // Label that the VM must have; empty for none.
  std::string m_required_label;
  // Rack that holds the step's data; empty for none.
  std::string m_rack_affinity;
  // Maximum tasks of one occurrence of the step on one VM; 0 for no limit.
  std::uint32_t m_max_per_vm = 0;
  // Copies of a task may run in parallel.
  bool m_speculative = false;
  // Runs until the job is cancelled, and is restarted whenever it ends.
  bool m_long_lived = false;
  // The processors are not counted against the VM's capacity.
  bool m_uses_idle_cpu = false;
  std::string m_image;
  // Tail latency objective of a long-lived task; 0 for none.
  std::int64_t m_target_latency_ms = 0;
  // Maximum tasks of the step that the scheduler may make unavailable at once.
  std::optional<std::uint32_t> m_max_unavailable;

  // Resources that one run reserves on its VM: a step that uses idle processors
  // reserves memory and accelerators only.
  Resources Charge() const {
    return {m_uses_idle_cpu ? 0 : m_resources.m_cpu_millis,
            m_resources.m_memory_mb, m_resources.m_accelerators};
  }

  bool operator==(const StepSpec&) const = default;
};

struct Schedule {
  // Unix milliseconds of the first occurrence.
  std::int64_t m_first_unix_ms = 0;
  std::int64_t m_interval_ms = 0;
  // 0: the job runs once, immediately.
  std::uint32_t m_repeats = 0;

  bool operator==(const Schedule&) const = default;
};

// The rules of a queue that apply to a job.
struct QueueRules {
  std::string m_name;
  // The VM pool that runs its tasks.
  std::string m_service;
  // 0 is the most urgent.
  std::int64_t m_priority = 0;
  std::int64_t m_max_attempts = 1;
  // A job's latency objective is this factor times its critical path plus
  // m_target_latency_ms.
  double m_stretch = 1.0;
  std::int64_t m_target_latency_ms = 0;
  // The queue's policy restricts the VMs; the advice service returns the
  // allowed ones.
  bool m_needs_advice = false;
  std::int64_t m_advice_base_ms = 0;
  double m_advice_per_vm_ms = 0;
  std::int64_t m_advice_validity_ms = 0;

  bool operator==(const QueueRules&) const = default;
};

struct WorkflowSpec {
  // 16 hexadecimal digits, chosen by the client.
  std::string m_id;
  // As in the configuration in force, the pool included: they change with it,
  // also while runs are open. Of a queue that was removed, the last ones.
  QueueRules m_queue;
  // Who submitted the job; empty for a queue open to all. Stays.
  std::string m_team;
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  Schedule m_schedule;

  bool operator==(const WorkflowSpec&) const = default;
};

bool IsWorkflowId(std::string_view text);

// Errors: kInvalidArgument with the reason, for a payload that is too large, no
// or too many steps, a count out of range, a dependency on a later step, or
// negative amounts.
Result<void> ValidateWorkflow(const WorkflowSpec& spec);

// Identifies one task of a job.
struct TaskRef {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskRef&) const = default;
  bool operator==(const TaskRef&) const = default;
};

// "<job>.<occurrence>.<step>.<index>".
std::string ToString(const TaskRef& task);
std::optional<TaskRef> ParseTaskRef(std::string_view text);

}  // namespace mustardslip
