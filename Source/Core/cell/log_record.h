// The records of a cell's log. The log is the only durable state: a new owner
// rebuilds everything from it and from what the VMs say that they run.
//
// Each record is in the store before the action that it announces: a job before
// it is acknowledged, a start before it is sent, an end before the VM may
// forget it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cell/workflow.h"
#include "common/result.h"

namespace mustardslip {

// One life of a VM: the same id may come back with a later start time.
struct VmLife {
  std::string m_id;
  // Unix milliseconds of the start.
  std::int64_t m_born = 0;

  auto operator<=>(const VmLife&) const = default;
  bool operator==(const VmLife&) const = default;
};

enum class RunEnd : std::uint8_t {
  kDone = 0,
  kFailed = 1,   // By its own fault or the VM's; counts as an attempt.
  kStopped = 2,  // On request.
  kLapsed = 3,   // The lease ran out.
  kBroken = 4,   // Another member of the gang ended.
  kAlone = 5,    // The other members of the gang did not come.
  kLost = 6,     // The VM's life ended, or its lease must have run out.
  kNotBegun = 7  // The VM refused the start, or can no longer carry it out.
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

// The owner may send this start from now on.
struct RunPlanned {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmLife m_vm;

  bool operator==(const RunPlanned&) const = default;
};

struct RunEnded {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  RunEnd m_end = RunEnd::kDone;
  // The last checkpoint; empty for none.
  std::string m_checkpoint;
  VmLife m_vm;
  // The VM's number of this end; 0 if the VM did not list it.
  std::uint64_t m_sequence = 0;
  std::int64_t m_unix_ms = 0;

  bool operator==(const RunEnded&) const = default;
};

// State of a task at a snapshot; the runs that are open follow as RunPlanned.
struct TaskSnapshot {
  TaskRef m_task;
  std::uint32_t m_last_run = 0;
  std::uint32_t m_failures = 0;
  bool m_done = false;
  std::string m_checkpoint;

  bool operator==(const TaskSnapshot&) const = default;
};

// How far the ends of a VM are in the log, at a snapshot.
struct VmSnapshot {
  VmLife m_vm;
  std::uint64_t m_last_end = 0;

  bool operator==(const VmSnapshot&) const = default;
};

// The end of a job, at a snapshot.
struct JobSnapshot {
  std::string m_job;
  std::int64_t m_ended_unix_ms = 0;
  bool m_failed = false;
  bool m_begun = false;

  bool operator==(const JobSnapshot&) const = default;
};

// Failed runs of the gang of a step, at a snapshot; after those of its tasks.
struct GangSnapshot {
  // The index is that of any member.
  TaskRef m_task;
  std::uint32_t m_failures = 0;
  // The newest run that was counted as failed.
  std::uint32_t m_last_failed_run = 0;

  bool operator==(const GangSnapshot&) const = default;
};

enum class JobResult : std::uint8_t {
  kComplete = 0,
  kFailed = 1,
  kCancelled = 2
};

// A job that ended and has no open run, at a snapshot: only what callers may
// still ask for, so that a snapshot does not grow with the payloads of the
// past.
struct JobEnded {
  std::string m_job;
  std::string m_queue;
  JobResult m_result = JobResult::kComplete;
  std::int64_t m_ended_unix_ms = 0;

  bool operator==(const JobEnded&) const = default;
};

using LogRecord =
    std::variant<JobAccepted, JobCancelled, RunPlanned, RunEnded, TaskSnapshot,
                 VmSnapshot, JobSnapshot, JobEnded, GangSnapshot>;

// One value of the log holds any number of records.
std::string EncodeRecords(const std::vector<LogRecord>& records);
// Errors: kInvalidArgument for bytes that EncodeRecords did not write.
Result<std::vector<LogRecord>> DecodeRecords(std::string_view bytes);

}  // namespace mustardslip
