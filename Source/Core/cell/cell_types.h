// Inputs and outputs of the core of a cell.
//
// The core is a state machine without I/O, clock or randomness: the driver
// feeds it events with the time, and carries out the effects that it returns.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
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

// What a team may have and its share.
struct TeamLimits {
  // 0 in a dimension: no limit.
  Resources m_cap;
  // Its share when the fleet is full.
  std::int64_t m_weight = 1;
  std::int64_t m_priority = 0;

  bool operator==(const TeamLimits&) const = default;
};

// The rules that the owner of a cell applies, from the configuration.
struct CellRules {
  std::int64_t m_version = 0;
  std::vector<QueueRules> m_queues;
  std::map<std::string, TeamLimits> m_teams;
  // Services whose VMs refuse what does not fit.
  std::vector<std::string> m_guarding_services;

  bool operator==(const CellRules&) const = default;
};

// Bounds that the deployment gives.
struct CellBounds {
  std::int64_t m_max_lease_ms = 10'000;
  std::int64_t m_stop_ms = 1'000;
  // How long an ended job can be looked up.
  std::int64_t m_retention_ms = 120'000;

  bool operator==(const CellBounds&) const = default;
};

// --- Answers to callers ---

enum class CellOutcome : std::uint8_t {
  kAccepted,  // The job is in the store.
  kPhase,     // Carries the job's phase.
  kCount,     // Carries a number.
  kGone,      // No such job.
  kRefused,   // The job was not accepted and will not run.
  kUnknown,   // The job may or may not have been accepted.
};

struct CellAnswer {
  CellOutcome m_outcome = CellOutcome::kUnknown;
  JobPhase m_phase = JobPhase::kQueued;
  std::uint64_t m_count = 0;
  // For kRefused and kUnknown: a stable reason, and when to come back.
  std::string m_reason;
  std::int64_t m_retry_after_ms = 0;

  bool operator==(const CellAnswer&) const = default;
};

// --- Effects ---

struct StartRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmLife m_vm;
  std::string m_address;
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;
  std::string m_ticket;
  // On the VM's clock.
  std::int64_t m_deadline_vm_ms = 0;
};

enum class StopReason : std::uint8_t {
  kJobEnded,
  kGangBroken,  // Another member ended or is to be moved.
  kUnknownRun,  // The VM lists a run that the cell does not know.
  kMove,        // The VM is slow or stalled, and another has room.
};

struct StopRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmLife m_vm;
  std::string m_address;
  StopReason m_reason = StopReason::kJobEnded;
};

// Names a step of one occurrence of a job.
struct StepRef {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;

  auto operator<=>(const StepRef&) const = default;
  bool operator==(const StepRef&) const = default;
};

// "<job>.<occurrence>.<step>".
std::string ToString(const StepRef& step);

struct AskAdvice {
  StepRef m_step;
  std::vector<std::string> m_vms;
  // How long the service will take, in milliseconds.
  std::int64_t m_expected_ms = 0;
};

struct ReplyToCaller {
  std::uint64_t m_token = 0;
  CellAnswer m_answer;
};

using Effect = std::variant<StartRun, StopRun, AskAdvice, ReplyToCaller>;

// --- Events ---

struct ListedRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  // Share of the work that is done; for a long-running task, whether it is at
  // work (100) or still starting.
  double m_percent = 0;
};

struct ListedEnd {
  std::uint64_t m_sequence = 0;
  TaskRef m_task;
  std::uint32_t m_run = 0;
  RunEnd m_end = RunEnd::kFailed;
  std::string m_checkpoint;
};

// What a VM says of its runs, made at m_vm_ms on its clock.
struct VmReport {
  VmLife m_vm;
  std::int64_t m_vm_ms = 0;
  std::vector<ListedRun> m_running;
  std::vector<ListedEnd> m_ended;
  // There are more ends than one answer holds.
  bool m_more = false;
};

enum class StartOutcome : std::uint8_t {
  kStarted,
  kRefused,     // Certainly not begun.
  kBadTicket,   // Certainly not begun.
  kUnhealthy,   // Certainly not begun; the VM takes nothing now.
  kSuperseded,  // The VM has seen a higher fence.
  kUnknown,     // No answer.
};

struct StartAnswer {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmLife m_vm;
  StartOutcome m_outcome = StartOutcome::kUnknown;
  // On the VM's clock; 0 if unknown.
  std::int64_t m_vm_ms = 0;
  std::string m_reason;
};

struct AdviceAnswer {
  StepRef m_step;
  std::vector<std::string> m_asked;
  // False: the call failed, and nothing is known.
  bool m_ok = false;
  struct Row {
    std::string m_vm;
    std::string m_ticket;
  };
  std::vector<Row> m_good;
  std::int64_t m_validity_ms = 0;
};

}  // namespace mustardslip
