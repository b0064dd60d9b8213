// What the owner of a cell knows about a VM: room, lease, clock and health.
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

// A VM as the platform's list describes it.
struct VmDescription {
  VmLife m_life;
  std::string m_service;
  // "host:port".
  std::string m_address;
  std::string m_zone;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  bool m_draining = false;

  bool operator==(const VmDescription&) const = default;
};

// A VM's clock, known from its answers only: it may run 2 % slow.
class VmClock {
 public:
  // An answer that the VM gave at `vm_ms` came at `now_ms` (owner's steady
  // clock).
  void OnAnswer(std::int64_t vm_ms, std::int64_t now_ms);
  bool Known() const { return m_known; }
  // A time that the VM's clock has certainly reached at `now_ms`.
  std::int64_t AtLeast(std::int64_t now_ms) const;

 private:
  // The slowest clock that a VM may have, in parts of a second per second.
  static constexpr std::int64_t kSlowestPercent = 98;

  bool m_known = false;
  std::int64_t m_vm_ms = 0;
  std::int64_t m_at_ms = 0;
};

// How a VM's runs go, judged by their progress (vm_pace.h).
enum class VmPace : std::uint8_t { kNormal, kSlow, kStalled };

// A run on a VM: the task and its run number.
using RunKey = std::pair<TaskRef, std::uint32_t>;

// One life of a VM. Invariant: m_used is the sum over m_open of what the runs
// were charged; both are derived from the log.
struct VmState {
  VmDescription m_description;
  // In the platform's list at present. False also for a life that is known only
  // from the log.
  bool m_listed = false;
  // This owner's fence was accepted and the lists of runs were read after that.
  bool m_fenced = false;
  Resources m_used;
  std::map<RunKey, Resources> m_open;
  VmClock m_clock;
  // The VM's lease ends at this time on its clock, at the latest, as far as
  // this owner extended it.
  std::int64_t m_lease_until_vm_ms = 0;
  // The highest end that is in the log, or on its way there.
  std::uint64_t m_last_end = 0;
  // The highest end that is in the store, so that the VM may forget it.
  std::uint64_t m_durable_end = 0;
  // Owner's steady clock: when the look that is open must be answered, without
  // the time of the network; 0 while none is open.
  std::int64_t m_look_due_ms = 0;
  // Owner's steady clock: the first of the looks that failed in a row; 0 if the
  // last one was answered.
  std::int64_t m_first_failed_call_ms = 0;
  // The jobs whose runs failed here since the last success.
  std::set<std::string> m_failed_jobs;
  // Owner's steady clock: no starts before this, if others have room. The first
  // is set by failed runs, the second by the pace.
  std::int64_t m_avoid_until_ms = 0;
  std::int64_t m_impaired_until_ms = 0;
  VmPace m_pace = VmPace::kNormal;

  const VmLife& Life() const { return m_description.m_life; }
  Resources Free() const { return m_description.m_capacity - m_used; }
  bool HasLabel(const std::string& label) const;
  // The step's required label, if any, is there.
  bool MayRun(const StepSpec& step) const {
    return step.m_required_label.empty() || HasLabel(step.m_required_label);
  }
  std::vector<RunKey> OpenRuns() const;
  // Starts should go to other VMs for now.
  bool Avoided(std::int64_t now_ms) const {
    return std::max(m_avoid_until_ms, m_impaired_until_ms) > now_ms;
  }
};

}  // namespace mustardslip
