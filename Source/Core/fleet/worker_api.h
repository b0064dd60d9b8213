// A worker as this system sees it: one per VM, runs tasks under leases.
//
// Assumptions about a worker: it rejects an epoch lower than one it has seen
// and a start after its not-after time; a start with a known attempt id has no
// second effect; it stops a task whose lease expired; it keeps the result of an
// ended task until it is acknowledged; its boot id changes when it restarts.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/resources.h"
#include "common/result.h"

namespace mustardslip {

using Epoch = std::int64_t;
using AttemptId = std::string;

enum class WorkerTaskState { kHeld, kRunning, kEnded };

// Why a task ended.
enum class TaskEndReason {
  kSucceeded,
  kFailed,
  kStopped,
  kCheckpointed,
  kLeaseExpired,
};

struct TaskStart {
  AttemptId m_attempt;
  Epoch m_epoch = 0;
  // The worker rejects the start after this time (its wall clock).
  std::int64_t m_not_after_unix_ms = 0;
  Milliseconds m_lease{0};
  Resources m_resources;
  // Concurrent requests that the task serves; 0 for a task that is no service.
  int m_slots = 0;
  // A held task is admitted but does not run before Release().
  bool m_hold = false;
  // Kept and returned unchanged by Fence() and in ends; at most 4 KB.
  std::string m_labels;
  // What to run; opaque to this system.
  std::string m_payload;

  bool operator==(const TaskStart&) const = default;
};

struct WorkerTask {
  AttemptId m_attempt;
  WorkerTaskState m_state = WorkerTaskState::kRunning;
  Resources m_resources;
  int m_slots = 0;
  std::string m_labels;

  bool operator==(const WorkerTask&) const = default;
};

struct FenceReply {
  std::string m_boot_id;
  std::vector<WorkerTask> m_tasks;

  bool operator==(const FenceReply&) const = default;
};

struct TaskEnd {
  std::int64_t m_sequence = 0;
  AttemptId m_attempt;
  TaskEndReason m_reason = TaskEndReason::kSucceeded;
  int m_exit_code = 0;
  std::string m_answer;
  std::string m_labels;

  bool operator==(const TaskEnd&) const = default;
};

struct TaskUsage {
  AttemptId m_attempt;
  Resources m_used;

  bool operator==(const TaskUsage&) const = default;
};

struct WorkerEvents {
  std::string m_boot_id;
  // Ends that are not acknowledged, in the order of their sequence numbers.
  std::vector<TaskEnd> m_ends;
  std::vector<TaskUsage> m_usage;

  bool operator==(const WorkerEvents&) const = default;
};

struct ServiceAnswer {
  int m_status = 200;
  std::string m_body;

  bool operator==(const ServiceAnswer&) const = default;
};

// Blocking and thread-safe; one object per VM. Errors of all calls:
// kUnavailable if the call certainly had no effect, kTimeout or kUnknownOutcome
// if it may have had one, kStaleEpoch if the worker has seen a higher epoch.
template <typename T>
concept Worker = requires(T worker, const TaskStart& start, Epoch epoch,
                          const AttemptId& attempt,
                          const std::vector<AttemptId>& attempts,
                          Milliseconds duration, std::int64_t sequence,
                          const std::string& text, int percent) {
  // Raises the worker's epoch and returns its tasks at that moment.
  { worker.Fence(epoch) } -> std::same_as<Result<FenceReply>>;
  // kResourceExhausted if the worker has no room, kInvalidArgument with reason
  // "start_too_late" after the not-after time; in both nothing was started.
  { worker.Start(start) } -> std::same_as<Result<void>>;
  // Renew(epoch, attempts, lease): returns the attempts that it does not know.
  {
    worker.Renew(epoch, attempts, duration)
    } -> std::same_as<Result<std::vector<AttemptId>>>;
  // Lets a held task run. kNotFound if the attempt is unknown.
  { worker.Release(epoch, attempt) } -> std::same_as<Result<void>>;
  // Idempotent; an unknown attempt is a success.
  { worker.Stop(epoch, attempt) } -> std::same_as<Result<void>>;
  // The task saves its state and ends with kCheckpointed.
  { worker.Checkpoint(epoch, attempt) } -> std::same_as<Result<void>>;
  // Limits the task to a percentage of its processors.
  { worker.Throttle(epoch, attempt, percent) } -> std::same_as<Result<void>>;
  // Request(attempt, request id, body, timeout): one request to a service task.
  // kNotFound and kResourceExhausted (no free slot) had no effect.
  {
    worker.Request(attempt, text, text, duration)
    } -> std::same_as<Result<ServiceAnswer>>;
  // Events(since, wait): ends after the sequence number that are not
  // acknowledged; waits for the first one.
  { worker.Events(sequence, duration) } -> std::same_as<Result<WorkerEvents>>;
  // Acknowledges ends up to and including the sequence number.
  { worker.Acknowledge(sequence) } -> std::same_as<Result<void>>;
};

}  // namespace mustardslip
