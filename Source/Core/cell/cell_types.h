// Events that CellCore consumes and effects that it returns.
//
// The core is a state machine without I/O, clock or randomness: its driver
// (CellOwner) passes events with the current time and executes the effects.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cell/job_state.h"
#include "cell/vm_state.h"
#include "cell/workflow.h"

namespace mustardslip {

struct CellTime {
  // The owner's steady clock, in milliseconds.
  std::int64_t m_steady_ms = 0;
  // Unix milliseconds.
  std::int64_t m_unix_ms = 0;
};

// A team's resource cap and its scheduling weight.
struct TeamLimits {
  // 0 in a dimension: no limit.
  Resources m_cap;
  // Share when the fleet is full: the rate in jobs per second beyond which the
  // team's jobs are scheduled last.
  std::int64_t m_weight = 1;
  std::int64_t m_priority = 0;

  // The cap with a very large value in each dimension that has no limit.
  Resources EffectiveCap() const {
    const auto limit_or_max = [](std::int64_t value) {
      return value > 0 ? value : INT64_MAX / 4;
    };
    return {limit_or_max(m_cap.m_cpu_millis), limit_or_max(m_cap.m_memory_mb),
            limit_or_max(m_cap.m_accelerators)};
  }

  bool operator==(const TeamLimits&) const = default;
};

// The part of the configuration that the owner of a cell applies.
struct CellRules {
  std::int64_t m_version = 0;
  std::vector<QueueRules> m_queues;
  std::map<std::string, TeamLimits> m_teams;
  // Services whose VMs reject runs that exceed their free capacity.
  std::vector<std::string> m_capacity_enforcing_services;

  bool operator==(const CellRules&) const = default;
};

// Time limits set by the deployment, in milliseconds.
struct CellBounds {
  std::int64_t m_max_lease_ms = 10'000;
  std::int64_t m_stop_ms = 1'000;
  // How long an ended job remains available to lookups.
  std::int64_t m_retention_ms = 120'000;

  bool operator==(const CellBounds&) const = default;
};

// Parts of the owner's decisions that a deployment turns on by its settings.
struct CellFeatures {
  // Places tasks by the estimated speed of the VMs (VmSpeeds).
  bool m_place_by_speed = false;
  // A gang may have less urgent tasks stopped that resume from a checkpoint.
  bool m_preemption = false;
  // Learns which tasks slow each other down on one VM, and keeps them apart
  // where there is room.
  bool m_avoid_contention = false;
  // Keeps some daemons free of long calls to the advice service, for short
  // ones (AdviceQueue).
  bool m_short_advice_lane = false;
  // Refuses jobs that could not end in time to be of use (BacklogForecast).
  bool m_refuse_hopeless = false;

  bool operator==(const CellFeatures&) const = default;
};

// --- Replies to callers ---

enum class CellOutcome : std::uint8_t {
  kAccepted,   // The job is stored durably.
  kPhase,      // `m_phase` is set.
  kCount,      // `m_count` is set.
  kNotFound,   // No such job.
  kRefused,    // The job was not accepted and will not run.
  kUnknown,    // The job may or may not have been accepted.
  kExplained,  // A dry run; `m_explanation` is set.
};

// Retry delay for callers refused because the store is not writable.
inline constexpr std::int64_t kRetryWithoutStoreMs = 1'000;
// Reason of a refusal of a job that could not end in time to be of use.
inline constexpr std::string_view kNoCapacityInTime = "no_capacity_in_time";

struct CellAnswer {
  CellOutcome m_outcome = CellOutcome::kUnknown;
  JobPhase m_phase = JobPhase::kQueued;
  std::uint64_t m_count = 0;
  // For kRefused and kUnknown: a stable reason code and the retry delay.
  std::string m_reason;
  std::int64_t m_retry_after_ms = 0;
  // For kUnknown: this daemon is isolated, another one may know. Set by the
  // entry, and not part of messages between daemons.
  bool m_retry_elsewhere = false;
  // For kExplained: JSON (dry_run.h).
  std::string m_explanation;

  bool operator==(const CellAnswer&) const = default;
};

// --- Effects ---

struct StartRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  std::string m_address;
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;
  std::string m_ticket;
  // The VM refuses the start after this time on its own clock.
  std::int64_t m_deadline_vm_ms = 0;
};

enum class StopReason : std::uint8_t {
  kJobEnded,
  kGangBroken,  // Another member ended without success or is being moved.
  kUnknownRun,  // The VM lists a run that the cell does not know.
  kMove,        // The VM is slow or stalled and another has capacity.
  kPreempted,   // A more urgent gang needs the capacity.
  // The run was planned on an earlier incarnation of the VM, and its start may
  // still arrive.
  kEarlierIncarnation,
};

struct StopRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  std::string m_address;
  StopReason m_reason = StopReason::kJobEnded;
};

// A VM answered an order to stop a run: the run ends soon or, if it was not
// there, will never start on this VM.
struct StopAnswer {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  // Time of the answer on the VM's clock.
  std::int64_t m_vm_ms = 0;
};

// Identifies a step of one occurrence of a job.
struct StepRef {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;

  auto operator<=>(const StepRef&) const = default;
  bool operator==(const StepRef&) const = default;
};

// The step of the task.
inline StepRef StepOf(const TaskRef& task) {
  return {task.m_job, task.m_occurrence, task.m_step};
}

// "<job>.<occurrence>.<step>".
std::string ToString(const StepRef& step);

// Asks the advice service which of the VMs suit the step.
struct AdviceRequest {
  StepRef m_step;
  std::vector<std::string> m_vms;
  // Expected duration of the call, in milliseconds.
  std::int64_t m_expected_ms = 0;
  // IsLongAdviceCall of the step's queue. Not part of messages between daemons.
  bool m_long = false;
};

// How many calls to the advice service can be opened now.
struct FreeAdviceCalls {
  std::size_t m_any = 0;
  // Of them, those that may be long.
  std::size_t m_long = 0;

  bool operator==(const FreeAdviceCalls&) const = default;
};

struct ReplyToCaller {
  std::uint64_t m_token = 0;
  CellAnswer m_answer;
};

// A job became failed and the record of it is durable. For the operator's log.
struct JobFailure {
  // The task that reached the limit; for a gang the index is not significant.
  TaskRef m_task;
  // Its failed runs, in ascending order.
  std::vector<std::uint32_t> m_runs;
  // At least the number of m_runs; more if some are known by number only.
  std::uint32_t m_failures = 0;
  std::int64_t m_max_attempts = 0;
  // Version of the configuration in force at the owner.
  std::int64_t m_configuration = 0;
  // The runs are those under which a VM crashed, and no limit of attempts.
  bool m_crashes_vms = false;

  bool operator==(const JobFailure&) const = default;
};

// The estimated speed of a VM changed by more than a quarter. For the
// operator's log.
struct VmSpeedChange {
  VmIncarnation m_vm;
  // Relative to the mean of its service.
  double m_before = 1;
  double m_after = 1;
  // The evidence: about the number of runs.
  double m_samples = 0;

  bool operator==(const VmSpeedChange&) const = default;
};

// Runs of one image became known to slow down those of another on the same VM,
// or no longer are. For the operator's log.
struct ContentionChange {
  std::string m_slowed_image;
  std::string m_by_image;
  bool m_harmful = false;
  // How many times as long the work takes.
  double m_factor = 1;
  // VMs whose samples the estimate rests on.
  std::size_t m_samples = 0;

  bool operator==(const ContentionChange&) const = default;
};

// A run is closed because its VM's list does not name it. For the operator's
// log.
struct RunNotListed {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  // The VM had answered the start, or listed the run, to this owner.
  bool m_confirmed = false;
  // The run was planned on an earlier incarnation of the VM.
  bool m_carried_over = false;
  // Time since this owner sent the start, in milliseconds; -1 if an earlier one
  // did.
  std::int64_t m_start_age_ms = -1;

  bool operator==(const RunNotListed&) const = default;
};

// A configuration sends the accepted jobs of a queue to another pool: their
// next starts are there. For the operator's log.
struct QueueMoved {
  std::string m_queue;
  // The services of the pools.
  std::string m_from;
  std::string m_to;
  std::int64_t m_configuration = 0;
  std::size_t m_jobs = 0;
  // Runs of the jobs, which go on where they are.
  std::size_t m_open_runs = 0;

  bool operator==(const QueueMoved&) const = default;
};

using Effect = std::variant<StartRun, StopRun, AdviceRequest, ReplyToCaller,
                            JobFailure, GangDelay, VmSpeedChange,
                            ContentionChange, RunNotListed, QueueMoved>;

// --- Events ---

// What a failed call tells of a VM.
enum class VmCallFailure : std::uint8_t {
  kNoAnswer,  // It is cut off, stopped, overloaded or gone.
  kGone,      // Nobody listens at its address, or another VM does; as seen from
              // here, as a cut may refuse connections.
};

// A run that a VM reports as running.
struct ReportedRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  // Completed share of the work; for a long-running task 100 means that it has
  // finished starting.
  double m_percent = 0;
  // Over the last half second: for a serving task the tail latency in whole
  // milliseconds, for any other the CPU in use, in thousandths of a core. 0 if
  // the VM reports no figure.
  std::int64_t m_usage_or_latency = 0;
};

// The end of a run as reported by its VM.
struct ReportedEnd {
  // Increases with each end on this incarnation of the VM.
  std::uint64_t m_sequence = 0;
  TaskRef m_task;
  std::uint32_t m_run = 0;
  RunEnd m_end = RunEnd::kFailed;
  std::string m_checkpoint;
};

// A VM's list of its runs, taken at `m_vm_ms` on the VM's clock.
struct VmReport {
  // The incarnation that answered.
  VmIncarnation m_vm;
  std::int64_t m_vm_ms = 0;
  std::vector<ReportedRun> m_running;
  std::vector<ReportedEnd> m_ended;
  // The list of ends was truncated; the next report continues it.
  bool m_more = false;
};

enum class StartOutcome : std::uint8_t {
  kStarted,
  kRefused,     // The run was not started.
  kBadTicket,   // Not started: the VM rejected the ticket.
  kUnhealthy,   // Not started: the VM currently accepts no runs.
  kSuperseded,  // The VM has seen a higher fence.
  kUnknown,     // No answer; the run may have started.
};

struct StartAnswer {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  StartOutcome m_outcome = StartOutcome::kUnknown;
  // Time of the answer on the VM's clock; 0 if unknown.
  std::int64_t m_vm_ms = 0;
  std::string m_reason;
};

struct AdviceAnswer {
  StepRef m_step;
  // The VMs that the request named.
  std::vector<std::string> m_asked;
  // False if the call failed and gave no verdicts.
  bool m_ok = false;
  struct Row {
    std::string m_vm;
    std::string m_ticket;
  };
  // The VMs that the service recommends, with a ticket for each.
  std::vector<Row> m_good;
  std::int64_t m_validity_ms = 0;
};

}  // namespace mustardslip
