// Messages between gateways and team shard owners, and the outcomes that
// callers receive.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "dispatch/messages.h"

namespace mustardslip {

// States and outcomes of a request or job, as reported to callers.
enum class Outcome {
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
  kNotRun,
  kOutcomeUnknown,
};
NLOHMANN_JSON_SERIALIZE_ENUM(Outcome,
                             {{Outcome::kOutcomeUnknown, "outcome_unknown"},
                              {Outcome::kQueued, "queued"},
                              {Outcome::kRunning, "running"},
                              {Outcome::kDone, "done"},
                              {Outcome::kFailed, "failed"},
                              {Outcome::kCancelled, "cancelled"},
                              {Outcome::kNotRun, "not_run"}})

// A job as a caller submits it, after validation by the gateway.
struct JobSpec {
  JobKind m_kind = JobKind::kBatch;
  std::string m_name;
  // The team whose limit the job is charged against: the key's team, or the
  // owner of an open queue.
  std::string m_team;
  std::string m_queue;
  int m_tasks = 1;
  Resources m_resources;
  int m_slots = 0;
  std::int64_t m_run_time_ms = 0;
  Priority m_priority = Priority::kNormal;
  std::int64_t m_deadline_unix_ms = 0;
  bool m_idempotent = true;
  bool m_checkpointable = false;
  PlacementLimits m_limits;
  std::string m_payload;

  bool operator==(const JobSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobSpec, m_kind, m_name, m_team, m_queue,
                                   m_tasks, m_resources, m_slots, m_run_time_ms,
                                   m_priority, m_deadline_unix_ms, m_idempotent,
                                   m_checkpointable, m_limits, m_payload)

struct SubmitJobRequest {
  JobSpec m_spec;
  // If empty, the gateway made a random job id and a retry creates a new job.
  std::string m_idempotency_key;
  std::string m_job;
  std::string m_request_id;

  bool operator==(const SubmitJobRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitJobRequest, m_spec, m_idempotency_key,
                                   m_job, m_request_id)

// Request of LookupJob, WaitJob, CancelJob and ExplainJob.
struct JobRequest {
  std::string m_job;
  // The team of the caller's key. Jobs of other teams are reported as not
  // found.
  std::string m_team;
  // WaitJob only: the longest time to wait for the job to end.
  std::int64_t m_wait_ms = 0;

  bool operator==(const JobRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobRequest, m_job, m_team, m_wait_ms)

// The state of a job as returned to callers. Once the job has ended,
// `m_answers` has one answer per task, in task order.
struct JobStatus {
  std::string m_job;
  Outcome m_outcome = Outcome::kQueued;
  std::string m_reason;
  std::int64_t m_retry_after_ms = 0;
  int m_tasks = 0;
  int m_tasks_running = 0;
  int m_tasks_ended = 0;
  std::int64_t m_submitted_unix_ms = 0;
  std::int64_t m_started_unix_ms = 0;
  std::int64_t m_ended_unix_ms = 0;
  std::vector<std::string> m_answers;

  bool operator==(const JobStatus&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobStatus, m_job, m_outcome, m_reason,
                                   m_retry_after_ms, m_tasks, m_tasks_running,
                                   m_tasks_ended, m_submitted_unix_ms,
                                   m_started_unix_ms, m_ended_unix_ms,
                                   m_answers)

// Request of ServiceRequest; the message's payload is the request body.
struct ServiceCall {
  std::string m_team;
  std::string m_service;
  std::string m_request_id;
  std::string m_idempotency_key;
  bool m_idempotent = true;
  std::int64_t m_timeout_ms = 0;

  bool operator==(const ServiceCall&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceCall, m_team, m_service, m_request_id,
                                   m_idempotency_key, m_idempotent,
                                   m_timeout_ms)

// Reply to ServiceRequest; the payload is the service's response body.
struct ServiceCallReply {
  Outcome m_outcome = Outcome::kDone;
  int m_status = 200;
  std::string m_reason;
  std::int64_t m_retry_after_ms = 0;

  bool operator==(const ServiceCallReply&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceCallReply, m_outcome, m_status,
                                   m_reason, m_retry_after_ms)

}  // namespace mustardslip
