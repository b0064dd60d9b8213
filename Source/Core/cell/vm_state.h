// State of a VM as the owner of a cell knows it: capacity, lease, clock,
// health.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/log_record.h"
#include "cell/workflow.h"
#include "common/resources.h"

namespace mustardslip {

// A deadline is sent to a VM for at most this long after its last answer. It is
// on the clock of the incarnation that answered; to the next one, whose clock
// may be far behind, the same deadline can give the longest lease.
inline constexpr std::int64_t kMaxClockAgeMs = 10'000;

// Entry of the platform's VM list.
struct VmDescription {
  VmIncarnation m_incarnation;
  std::string m_service;
  // "host:port".
  std::string m_address;
  std::string m_zone;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  bool m_draining = false;
  // The VM has just restarted and is slow for this long from when the entry is
  // read, in milliseconds; 0 if it is not.
  std::int64_t m_cold_left_ms = 0;

  bool operator==(const VmDescription&) const = default;
};

// Lower bound of a VM's clock, derived from the times in its answers. Assumes
// that the VM's clock runs at most 2 % slow.
class VmClock {
 public:
  // An answer that the VM gave at `vm_ms` arrived at `now_ms` (owner's steady
  // clock).
  void OnAnswer(std::int64_t vm_ms, std::int64_t now_ms);
  bool Known() const { return m_known; }
  // The earliest time that the VM's clock can show at `now_ms`. Requires
  // Known().
  std::int64_t LowerBoundMs(std::int64_t now_ms) const;
  // False if an answer that arrives at `now_ms` and carries the time `vm_ms`
  // cannot be from this clock, and so not from its incarnation either. Clocks
  // of two incarnations may come close to each other by chance.
  bool MayShow(std::int64_t vm_ms, std::int64_t now_ms) const;
  // From when on (owner's steady clock) LowerBoundMs is above `vm_ms`. Requires
  // Known().
  std::int64_t CertainlyAfterMs(std::int64_t vm_ms) const;

  bool operator==(const VmClock&) const = default;

 private:
  // How long an answer may be on its way.
  static constexpr std::int64_t kAnswerDelayMs = 1'000;
  // Minimum rate of a VM's clock, in percent of real time.
  static constexpr std::int64_t kMinRatePercent = 98;

  bool m_known = false;
  std::int64_t m_vm_ms = 0;
  std::int64_t m_at_ms = 0;
};

// What one open run takes of its VM, or of its team's cap.
struct RunCharge {
  Resources m_amount;
  // The run ends only when it is stopped or fails.
  bool m_long_lived = false;
  // Empty if the step names none.
  std::string m_image = {};

  bool operator==(const RunCharge&) const = default;
};

// Number of runs by image, without images that have none.
using ImageCounts = std::map<std::string, std::uint32_t>;

// Sum of the charges of open runs.
struct Usage {
  Resources m_total;
  // The part of long-lived runs.
  Resources m_long_lived;

  void Add(const RunCharge& charge) {
    m_total = m_total + charge.m_amount;
    if (charge.m_long_lived) {
      m_long_lived = m_long_lived + charge.m_amount;
    }
  }
  void Remove(const RunCharge& charge) {
    m_total = m_total - charge.m_amount;
    if (charge.m_long_lived) {
      m_long_lived = m_long_lived - charge.m_amount;
    }
  }

  bool operator==(const Usage&) const = default;
};

// Speed of a VM, estimated from the progress of its runs (vm_pace.h).
enum class VmPace : std::uint8_t { kNormal, kSlow, kStalled };

// A run on a VM: the task and its run number.
using RunKey = std::pair<TaskRef, std::uint32_t>;

// One incarnation of a VM. Invariant: m_used is the sum of the charges of the
// runs in m_open, and m_images counts these runs by image; all are derived from
// the log.
struct VmState {
  VmDescription m_description;
  // Named by the platform's list now, and no newer incarnation has reported to
  // this owner. False also for an incarnation that is known only from the log.
  bool m_listed = false;
  // The VM accepted the highest fence that this owner has sent it, and then
  // reported its lists of runs as this incarnation. Invariant: true for at most
  // one incarnation of a VM.
  bool m_fenced = false;
  // It has answered, and has to be polled with a higher fence.
  bool m_awaits_fence = false;
  Usage m_used;
  std::map<RunKey, RunCharge> m_open;
  ImageCounts m_images;
  // Charges of runs in the VM's newest list that are not open: they are being
  // stopped.
  Resources m_stray;
  VmClock m_clock;
  // Latest end of the lease that this owner granted, on the VM's clock.
  std::int64_t m_lease_until_vm_ms = 0;
  // Sequence number of the last run end that is in the log or being written.
  std::uint64_t m_last_end = 0;
  // Sequence number of the last run end that is in the store; the VM may
  // discard ends up to this one.
  std::uint64_t m_durable_end = 0;
  // Sequence number of the last known run end that the VM has discarded: its
  // newest report does not list it any more.
  std::uint64_t m_acknowledged_end = 0;
  // Owner's steady clock: since when the VM is neither listed nor has runs; 0
  // if it is or has.
  std::int64_t m_unused_since_ms = 0;
  // Owner's steady clock: when the open poll should be answered, not counting
  // the network delay; 0 while none is open.
  std::int64_t m_poll_due_ms = 0;
  // Owner's steady clock: when the incarnation last answered a poll.
  std::int64_t m_last_answer_ms = 0;
  // Owner's steady clock: the first of the consecutive failed polls; 0 if the
  // last one was answered.
  std::int64_t m_first_failed_call_ms = 0;
  // Since its last answer a call showed that nobody listens at its address, or
  // another VM: it crashed, or is cut off in a way that refuses connections.
  bool m_seems_gone = false;
  // Owner's steady clock: when a start was last planned or sent; 0 for never.
  std::int64_t m_last_start_ms = 0;
  // Owner's steady clock: no other starts before this, as a task under which
  // another VM crashed was just started here.
  std::int64_t m_probation_until_ms = 0;
  // Jobs with a failed run here since the last successful one.
  std::set<std::string> m_failed_jobs;
  // Owner's steady clock: no starts before this if other VMs have capacity. The
  // first is set after failed runs, the second by the estimated speed.
  std::int64_t m_avoid_until_ms = 0;
  std::int64_t m_impaired_until_ms = 0;
  VmPace m_pace = VmPace::kNormal;
  // Its zone is evacuated: no starts. Invariant: m_description names a zone in
  // CellCore's set of evacuated zones.
  bool m_evacuated = false;
  // Owner's steady clock: the VM is slow until then after a restart.
  std::int64_t m_cold_until_ms = 0;
  // By the newest VmUnreachable: all runs have certainly ended by then; 0 if
  // there is none that counts. Set only while an incarnation of the VM has open
  // runs.
  std::int64_t m_runs_ended_by_unix_ms = 0;
  // A VmReachable of the VM is not durable yet.
  bool m_awaits_reachable = false;

  const VmIncarnation& Incarnation() const {
    return m_description.m_incarnation;
  }
  // To be asked once its lease has expired. A VM that is only cut off from the
  // owner stays listed, and one that is cut off from the list answers.
  bool HasCrashed() const { return m_seems_gone && !m_listed; }
  bool HasUnacknowledgedEnds() const { return m_acknowledged_end < m_last_end; }
  Resources Free() const {
    return m_description.m_capacity - m_used.m_total - m_stray;
  }
  // What is free once all runs that are not long-lived have ended.
  Resources FreeInTime() const {
    return m_description.m_capacity - m_used.m_long_lived;
  }
  bool HasLabel(const std::string& label) const;
  // True if the VM has the step's required label or the step requires none.
  bool HasRequiredLabel(const StepSpec& step) const {
    return step.m_required_label.empty() || HasLabel(step.m_required_label);
  }
  // True if no deadline may be sent: the VM may have restarted meanwhile.
  bool IsClockOutdated(std::int64_t now_ms) const {
    return now_ms - m_last_answer_ms > kMaxClockAgeMs;
  }
  bool HasLeaseBound() const { return m_runs_ended_by_unix_ms != 0; }
  // False if a later owner may rely on it that none is sent.
  bool MayGetDeadline() const {
    return !HasLeaseBound() && !m_awaits_reachable;
  }
  std::vector<RunKey> OpenRuns() const;
  void AddRun(const RunKey& key, RunCharge charge);
  // False if the run is not open.
  bool RemoveRun(const RunKey& key);
  // True if starts should prefer other VMs.
  bool IsAvoided(std::int64_t now_ms) const {
    return std::max(m_avoid_until_ms, m_impaired_until_ms) > now_ms;
  }
  // True if starts should prefer other VMs and use this one if there is none.
  bool IsCold(std::int64_t now_ms) const { return m_cold_until_ms > now_ms; }

  bool operator==(const VmState&) const = default;
};

}  // namespace mustardslip
