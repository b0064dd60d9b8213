// Which running tasks may be stopped so that a more urgent gang can start.
// Used in overloaded pools (docs/design/scarcity.md): independent tasks take
// each piece of room as it becomes free, so a gang needs room made for it. Free
// of I/O and side effects.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "cell/cell_state.h"
#include "cell/vm_state.h"

namespace mustardslip {

// A run that continues from a checkpoint if it is stopped.
struct PreemptibleRun {
  RunKey m_run;
  // Of its queue; 0 is the most urgent.
  std::int64_t m_priority = 0;
  Resources m_charge;
  // Estimated time to its end.
  std::int64_t m_left_ms = 0;

  bool operator==(const PreemptibleRun&) const = default;
};

// The runs on the VM that checkpoint and are not about to end, those with the
// most work left first. Leaves out gangs, long-lived tasks, and tasks that were
// preempted too often already.
std::vector<PreemptibleRun> PreemptibleRuns(const VmState& vm,
                                            CellState& state);

// The preemptible runs on a VM. A pass asks for their capacity once for each
// gang that waits, so it is kept.
class PreemptibleOnVm {
 public:
  explicit PreemptibleOnVm(std::vector<PreemptibleRun> runs)
      : m_runs(std::move(runs)) {}

  const std::vector<PreemptibleRun>& Runs() const { return m_runs; }
  // Sum of the charges of the runs that are less urgent than `priority`.
  const Resources& CapacityBelow(std::int64_t priority) const;

 private:
  const std::vector<PreemptibleRun> m_runs;
  // What was asked for, by priority; there are few.
  mutable std::vector<std::pair<std::int64_t, Resources>> m_capacity;
};

// Runs less urgent than `priority` whose end makes `need` fit on a VM with the
// free capacity `room`. All of them if that is not enough.
std::vector<PreemptibleRun> ChooseRunsToStop(
    const std::vector<PreemptibleRun>& runs, std::int64_t priority,
    Resources room, const Resources& need);

// What the runs charge that were told to stop just before `now_ms` (owner's
// steady clock) and have not ended yet.
Resources CapacityBeingFreed(const VmState& vm, CellState& state,
                             std::int64_t now_ms);

}  // namespace mustardslip
