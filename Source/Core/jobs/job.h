// The state of a job at its team shard owner, the job record in the store, and
// the ids of jobs, attempts and start marks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/result.h"
#include "jobs/messages.h"

namespace mustardslip {

enum class TaskPhase {
  kWaiting,    // Not sent to any group.
  kMarking,    // Charged; the start mark is being written to the ledger.
  kPlacing,    // A Place call is in flight.
  kUncertain,  // A Place call failed and may have taken effect.
  kQueued,     // In the group's queue, not started.
  kRunning,
  kRecovered,  // Loaded after a takeover; may run on a VM that has
               // not answered.
  kEnded,
};

struct Task {
  TaskPhase m_phase = TaskPhase::kWaiting;
  // The current attempt; empty before the first one.
  AttemptId m_attempt;
  std::string m_group;
  // The group's epoch at the last Place call; JobBook's sequence number.
  Epoch m_group_epoch = 0;
  std::int64_t m_place_sequence = 0;
  std::int64_t m_attempts = 0;
  // The number of attempts that ran and ended without a final result.
  int m_failures = 0;
  // True if the current attempt was sent more than once, so that an earlier
  // call may still reach the group.
  bool m_sent_again = false;
  // True if an attempt has run, is running, or may be running.
  bool m_may_have_run = false;
  // Set only in phase kEnded.
  Outcome m_outcome = Outcome::kDone;
  std::string m_reason;
  std::string m_answer;
};

struct Job {
  std::string m_id;
  JobSpec m_spec;
  // Hash of the specification; detects reuse of a key for another job.
  std::string m_content;
  std::vector<Task> m_tasks;
  // True once the job's record is in the store.
  bool m_recorded = false;
  bool m_cancelled = false;
  // True while attempts are being stopped because the job was cancelled or is
  // a gang that failed.
  bool m_stopping = false;
  // True while the members of a gang are being stopped for a joint restart.
  bool m_restarting = false;
  std::int64_t m_submitted_unix_ms = 0;
  std::int64_t m_started_unix_ms = 0;
  // 0 until the job ends.
  std::int64_t m_ended_unix_ms = 0;
  Outcome m_outcome = Outcome::kQueued;
  std::string m_reason;

  bool HasEnded() const { return m_ended_unix_ms != 0; }
};

// The parts of an attempt id.
struct AttemptIdParts {
  std::string m_job;
  int m_task = 0;
  std::int64_t m_number = 0;

  bool operator==(const AttemptIdParts&) const = default;
};

std::string JobKey(std::int64_t shard, const std::string& job);
std::string JobPrefix(std::int64_t shard);
// Hash of the team and its idempotency key, used in job ids and as the id of
// ledger records.
std::string KeyHash(const std::string& team, const std::string& key);
// The same for the same key; random if `key` is empty.
std::string JobIdFor(std::int64_t shard, const std::string& team,
                     const std::string& key);
std::string ContentHash(const JobSpec& spec);
// Id of the ledger record that is written before a non-idempotent task is
// started.
std::string StartMark(const std::string& job, int task);

AttemptId MakeAttemptId(const AttemptIdParts& name);
// Returns nothing if the id is malformed.
std::optional<AttemptIdParts> ParseAttemptId(const AttemptId& attempt);

Job MakeJob(std::string id, JobSpec spec, std::int64_t now_unix_ms);
JobStatus StatusOf(const Job& job);
// Precondition: all tasks have ended.
Outcome CombinedOutcome(const Job& job);
// True if an attempt may be repeated after an earlier one has run.
bool MayRestart(const Job& job);

// The job record in the store; `epoch` is the epoch of the owner that writes
// it.
std::string EncodeJobRecord(const Job& job, Epoch epoch);
struct JobRecord {
  Job m_job;
  Epoch m_epoch = 0;
};
// Errors: kInvalidArgument if the text is malformed.
Result<JobRecord> DecodeJobRecord(const std::string& text);

}  // namespace mustardslip
