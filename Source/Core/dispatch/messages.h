// Messages between team shard owners and VM group owners, with their JSON
// encoding.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/resources.h"
#include "fleet/worker_api.h"

namespace mustardslip {

enum class JobKind { kService, kBatch, kGang };
enum class Priority { kLow, kNormal, kUrgent };

NLOHMANN_JSON_SERIALIZE_ENUM(JobKind, {{JobKind::kBatch, "batch"},
                                       {JobKind::kService, "service"},
                                       {JobKind::kGang, "gang"}})
NLOHMANN_JSON_SERIALIZE_ENUM(Priority, {{Priority::kNormal, "normal"},
                                        {Priority::kLow, "low"},
                                        {Priority::kUrgent, "urgent"}})

// Zones and racks in which a task may run; an empty list allows all.
struct PlacementLimits {
  std::vector<std::string> m_zones;
  std::vector<std::string> m_racks;

  bool operator==(const PlacementLimits&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlacementLimits, m_zones, m_racks)

// One attempt to run one task, as requested by the team shard owner.
struct AttemptSpec {
  AttemptId m_attempt;
  std::string m_job;
  std::string m_team;
  // The service's name; empty for other kinds.
  std::string m_service;
  JobKind m_kind = JobKind::kBatch;
  Priority m_priority = Priority::kNormal;
  Resources m_resources;
  int m_slots = 0;
  std::int64_t m_run_time_ms = 0;
  // Unix time in milliseconds; 0 for none.
  std::int64_t m_deadline_unix_ms = 0;
  bool m_checkpointable = false;
  bool m_idempotent = true;
  PlacementLimits m_limits;
  std::string m_payload;

  bool operator==(const AttemptSpec&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptSpec, m_attempt, m_job, m_team,
                                   m_service, m_kind, m_priority, m_resources,
                                   m_slots, m_run_time_ms, m_deadline_unix_ms,
                                   m_checkpointable, m_idempotent, m_limits,
                                   m_payload)

// Place: queues the attempts in the group, either as one gang or independently
// of each other. Idempotent: attempts that are already known are not queued
// again. Results are reported by TaskEvents.
struct PlaceRequest {
  std::int64_t m_team_shard = 0;
  Epoch m_team_epoch = 0;
  bool m_gang = false;
  // True if these attempts were sent before and that Place may have been
  // accepted by this or an earlier owner of the group.
  bool m_resent = false;
  std::vector<AttemptSpec> m_attempts;

  bool operator==(const PlaceRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceRequest, m_team_shard, m_team_epoch,
                                   m_gang, m_resent, m_attempts)

// StopAttempts: cancels waiting attempts and stops running ones.
struct StopRequest {
  std::int64_t m_team_shard = 0;
  Epoch m_team_epoch = 0;
  std::vector<AttemptId> m_attempts;

  bool operator==(const StopRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopRequest, m_team_shard, m_team_epoch,
                                   m_attempts)

// Serve: passes one request to a free slot of a running service task of this
// group. The message payload is the request body, the reply payload is the
// response body.
struct ServeRequest {
  std::int64_t m_team_shard = 0;
  Epoch m_team_epoch = 0;
  std::string m_team;
  std::string m_service;
  std::string m_request_id;
  // Time remaining for the whole request, in milliseconds.
  std::int64_t m_timeout_ms = 0;
  bool m_idempotent = true;

  bool operator==(const ServeRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServeRequest, m_team_shard, m_team_epoch,
                                   m_team, m_service, m_request_id,
                                   m_timeout_ms, m_idempotent)

struct ServeReply {
  int m_status = 200;

  bool operator==(const ServeReply&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServeReply, m_status)

// State of an attempt as reported by a group owner.
enum class AttemptState {
  kQueued,      // Waiting for free resources; not running anywhere.
  kRunning,     // Started on a worker.
  kNotStarted,  // Definitely never started; cause in m_reason.
  kEnded,       // The worker reported the end of the task.
  kLost,        // Was or may have been running on a lost VM.
};
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptState,
                             {{AttemptState::kQueued, "queued"},
                              {AttemptState::kRunning, "running"},
                              {AttemptState::kNotStarted, "not_started"},
                              {AttemptState::kEnded, "ended"},
                              {AttemptState::kLost, "lost"}})

NLOHMANN_JSON_SERIALIZE_ENUM(TaskEndReason,
                             {{TaskEndReason::kFailed, "failed"},
                              {TaskEndReason::kSucceeded, "succeeded"},
                              {TaskEndReason::kStopped, "stopped"},
                              {TaskEndReason::kCheckpointed, "checkpointed"},
                              {TaskEndReason::kLeaseExpired, "lease_expired"}})

struct AttemptReport {
  AttemptId m_attempt;
  std::string m_team;
  std::string m_job;
  Resources m_resources;
  AttemptState m_state = AttemptState::kQueued;
  std::string m_vm;
  // Only for kEnded.
  TaskEndReason m_end = TaskEndReason::kSucceeded;
  int m_exit_code = 0;
  std::vector<std::uint8_t> m_answer;
  // Machine-readable cause for kNotStarted and kLost.
  std::string m_reason;

  bool operator==(const AttemptReport&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptReport, m_attempt, m_team, m_job,
                                   m_resources, m_state, m_vm, m_end,
                                   m_exit_code, m_answer, m_reason)

// TaskEvents: resent until the team shard owner answers without an error.
struct TaskEventsRequest {
  std::string m_group;
  Epoch m_group_epoch = 0;
  std::int64_t m_team_shard = 0;
  std::vector<AttemptReport> m_reports;

  bool operator==(const TaskEventsRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskEventsRequest, m_group, m_group_epoch,
                                   m_team_shard, m_reports)

// FenceTeam: makes the group reject lower epochs of this team shard from now
// on.
struct FenceTeamRequest {
  std::int64_t m_team_shard = 0;
  Epoch m_team_epoch = 0;

  bool operator==(const FenceTeamRequest&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FenceTeamRequest, m_team_shard, m_team_epoch)

struct FenceTeamReply {
  // Attempts of this team shard that are queued, running, or ended without
  // acknowledgement.
  std::vector<AttemptReport> m_attempts;
  // VMs whose tasks are not known yet; m_unknown_room is their total size.
  std::vector<std::string> m_unknown_vms;
  Resources m_unknown_room;

  bool operator==(const FenceTeamReply&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FenceTeamReply, m_attempts, m_unknown_vms,
                                   m_unknown_room)

// Free and total request slots of one service in a group.
struct ServiceSlots {
  std::string m_team;
  std::string m_service;
  int m_free = 0;
  int m_total = 0;

  bool operator==(const ServiceSlots&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceSlots, m_team, m_service, m_free,
                                   m_total)

// A group's free resources, gossiped to team shard owners; may be out of date.
struct GroupSummary {
  std::string m_group;
  Epoch m_epoch = 0;
  bool m_ready = false;
  Resources m_total;
  Resources m_free;
  // Size of the largest VM; a task that exceeds it can never be placed.
  Resources m_largest_vm;
  std::int64_t m_queued_tasks = 0;
  std::vector<ServiceSlots> m_services;

  bool operator==(const GroupSummary&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupSummary, m_group, m_epoch, m_ready,
                                   m_total, m_free, m_largest_vm,
                                   m_queued_tasks, m_services)

}  // namespace mustardslip
