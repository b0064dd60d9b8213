// The records of a cell's log and their encoding. The log is the only durable
// state: a new owner rebuilds its state from the log and from the runs that the
// VMs report.
//
// Each record is durable before the action that depends on it: a job before it
// is acknowledged, a start before it is sent, an end before the VM may discard
// it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cell/workflow.h"
#include "common/result.h"

namespace mustardslip {

// One incarnation of a VM: an id may be reused with a later start time.
struct VmIncarnation {
  std::string m_id;
  // Start time in Unix milliseconds.
  std::int64_t m_born = 0;

  auto operator<=>(const VmIncarnation&) const = default;
  bool operator==(const VmIncarnation&) const = default;
};

enum class RunEnd : std::uint8_t {
  kDone = 0,
  kFailed = 1,           // Failure of the task or the VM; counts as an attempt.
  kStopped = 2,          // On request.
  kLeaseExpired = 3,     // The VM's lease expired.
  kGangMemberEnded = 4,  // Another member of the gang ended.
  kGangIncomplete = 5,   // The other members of the gang did not start in time.
  kLost = 6,  // The VM's incarnation ended, or its lease has surely expired.
  kNotStarted = 7  // The VM refused the start or can no longer execute it.
};

std::string_view ToString(RunEnd end);

struct JobAccepted {
  WorkflowSpec m_spec;
  std::int64_t m_accepted_unix_ms = 0;

  bool operator==(const JobAccepted&) const = default;
};

struct JobCancelled {
  std::string m_job;
  std::int64_t m_unix_ms = 0;

  bool operator==(const JobCancelled&) const = default;
};

// Allows the owner to send this start.
struct RunPlanned {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;

  bool operator==(const RunPlanned&) const = default;
};

struct RunEnded {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  RunEnd m_end = RunEnd::kDone;
  // The run's last checkpoint; empty for none.
  std::string m_checkpoint;
  VmIncarnation m_vm;
  // Number that the VM gave this end; 0 if the VM did not report it.
  std::uint64_t m_sequence = 0;
  std::int64_t m_unix_ms = 0;

  bool operator==(const RunEnded&) const = default;
};

// Snapshot of a task; its open runs follow as RunPlanned.
struct TaskSnapshot {
  TaskRef m_task;
  std::uint32_t m_last_run = 0;
  std::uint32_t m_failures = 0;
  bool m_done = false;
  std::string m_checkpoint;

  bool operator==(const TaskSnapshot&) const = default;
};

// Snapshot of a VM: the number of its last run end that is in the log.
struct VmSnapshot {
  VmIncarnation m_vm;
  std::uint64_t m_last_end = 0;

  bool operator==(const VmSnapshot&) const = default;
};

// A job's progress: in snapshots, when the owner decides that the job has
// failed, and once when a VM first confirmed a run of a job that has not ended.
struct JobProgress {
  std::string m_job;
  std::int64_t m_ended_unix_ms = 0;
  bool m_failed = false;
  bool m_started = false;
  // A VM confirmed a run of the job.
  bool m_confirmed = false;

  bool operator==(const JobProgress&) const = default;
};

// Snapshot of one failed run of a task or a gang; follows the snapshots of the
// step's tasks, in ascending order of the runs.
struct FailedRunSnapshot {
  // For a gang the index is not significant.
  TaskRef m_task;
  // Failed runs up to this one.
  std::uint32_t m_failures = 0;
  std::uint32_t m_run = 0;

  bool operator==(const FailedRunSnapshot&) const = default;
};

// A VM fell silent right after it was told to start the run. Written again with
// m_confirmed once it is known that the VM crashed. Also in snapshots.
struct CrashSuspicion {
  // For a gang the index is not significant.
  TaskRef m_task;
  std::uint32_t m_run = 0;
  // No other run was started on the VM just before.
  bool m_alone = false;
  bool m_confirmed = false;

  bool operator==(const CrashSuspicion&) const = default;
};

enum class JobResult : std::uint8_t {
  kComplete = 0,
  kFailed = 1,
  kCancelled = 2
};

// Snapshot of a job that ended and has no open run. Holds only what lookups
// return, so that snapshots do not grow with the payloads of ended jobs.
struct JobEnded {
  std::string m_job;
  std::string m_queue;
  JobResult m_result = JobResult::kComplete;
  std::int64_t m_ended_unix_ms = 0;

  bool operator==(const JobEnded&) const = default;
};

// The owner put a configuration in force. Rules decide what becomes of a job,
// so a later owner must not fall back to older ones. Also in snapshots, where
// the jobs carry their rules.
struct RulesInForce {
  std::int64_t m_version = 0;
  // The queues of active jobs whose rules changed, the pool (service) included.
  // Earlier versions wrote the pool that a job was accepted for, and read this
  // record without its pool.
  std::vector<QueueRules> m_changed;

  bool operator==(const RulesInForce&) const = default;
};

// The VM does not answer the owner. No deadline is sent to any incarnation of
// the VM until VmReachable is durable, so that all runs on this incarnation
// have ended by the given time. Also in snapshots.
struct VmUnreachable {
  VmIncarnation m_vm;
  std::int64_t m_runs_ended_by_unix_ms = 0;

  bool operator==(const VmUnreachable&) const = default;
};

// This incarnation answered: ends VmUnreachable of all incarnations of the VM.
struct VmReachable {
  VmIncarnation m_vm;

  bool operator==(const VmReachable&) const = default;
};

using LogRecord =
    std::variant<JobAccepted, JobCancelled, RunPlanned, RunEnded, TaskSnapshot,
                 VmSnapshot, JobProgress, JobEnded, FailedRunSnapshot,
                 CrashSuspicion, RulesInForce, VmUnreachable, VmReachable>;

// About the bytes that an accepted job, or a record, takes in a log write.
// For records without a payload: names of a job, a step and a VM, and numbers.
inline constexpr std::size_t kEstimatedRecordBytes = 60;
std::size_t EstimatedSize(const WorkflowSpec& spec);
std::size_t EstimatedSize(const LogRecord& record);
// Encodes any number of records as one value of the store.
std::string EncodeRecords(const std::vector<LogRecord>& records);
// Errors: kInvalidArgument for bytes that EncodeRecords did not write.
Result<std::vector<LogRecord>> DecodeRecords(std::string_view bytes);

}  // namespace mustardslip
