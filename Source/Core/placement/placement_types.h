// Value types at the interface of PlacementCore: VMs, options and decisions.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/resources.h"
#include "dispatch/messages.h"

namespace mustardslip {

struct VmDescription {
  std::string m_id;
  std::string m_zone;
  std::string m_rack;
  Resources m_total;

  bool operator==(const VmDescription&) const = default;
};

enum class VmCondition {
  kUnknown,      // Its running tasks are not reported yet; treated as full.
  kReady,        // Accepts tasks.
  kLeaving,      // Draining: running tasks continue, no new ones start.
  kQuarantined,  // Quarantined by an operator; no new tasks start.
  kRemoved,      // Removed from the fleet; erased after its last attempt ends.
};

// Starts one task.
struct StartTask {
  AttemptId m_attempt;
  std::string m_vm;

  bool operator==(const StartTask&) const = default;
};

// Starts all tasks of a gang. The caller starts all of them or none.
struct StartGang {
  std::vector<StartTask> m_tasks;

  bool operator==(const StartGang&) const = default;
};

// Checkpoints and stops a running task; the caller queues it again later.
struct PreemptTask {
  AttemptId m_attempt;
  std::string m_vm;

  bool operator==(const PreemptTask&) const = default;
};

// Refuses an attempt that has not started; it is not queued any more. Reasons:
// "never_fits", "queue_full", "deadline_passed".
struct RefuseAttempt {
  AttemptId m_attempt;
  std::string m_reason;

  bool operator==(const RefuseAttempt&) const = default;
};

using Decision = std::variant<StartTask, StartGang, PreemptTask, RefuseAttempt>;

struct PlacementOptions {
  // Maximum number of waiting attempts of one team. The largest expected wave
  // of cancellations is 20,000 attempts.
  std::int64_t m_max_queued_per_team = 50'000;
  // VMs are reserved for a gang that has waited this long.
  Milliseconds m_gang_reservation_delay{30'000};
  // A reservation that has not led to a start by then passes to the next gang.
  Milliseconds m_gang_reservation_timeout{600'000};
  // Urgent attempts wait this long for free capacity before they preempt.
  Milliseconds m_preemption_delay{500};
  // A claim made by preemption expires if its victims have not ended by then.
  Milliseconds m_claim_timeout{60'000};
  // Length of a worker's first quarantine; each further one is twice as long.
  Milliseconds m_quarantine_base{30'000};
  Milliseconds m_quarantine_max{3'600'000};
  // Largest fraction of the fleet that the core may quarantine by itself.
  double m_quarantine_budget = 0.1;
  // No task starts on a VM for this long after a start failed without effect.
  Milliseconds m_start_failure_backoff{1'000};
  // Unix time in milliseconds at TimePoint{}; converts `now` for deadlines.
  std::int64_t m_unix_ms_at_zero = 0;
  // Charge less than the declared size where usage reports show less. The
  // caller must then pass the charged size (PlacementCore::ChargedSize) to the
  // worker.
  bool m_correct_sizes = true;

  bool operator==(const PlacementOptions&) const = default;
};

}  // namespace mustardslip
