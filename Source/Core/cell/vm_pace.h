// Estimates from the progress of a VM's runs whether the VM is slow or stalled.
//
// Detects VMs that still answer polls while their runs make no progress or take
// several times as long. Called by CellCore; free of I/O and side effects.
#pragma once

#include <cstdint>
#include <string_view>

#include "cell/cell_state.h"

namespace mustardslip {

std::string_view ToString(VmPace pace);

// Ignores long-running tasks, which report no finite work, and gang members,
// which wait for each other.
VmPace ClassifyPace(const VmState& vm, CellState& state);

// The run's expected rate on a healthy VM, in percent per millisecond: its own
// best, or that of the step's tasks on other VMs. 0 if unknown.
double ExpectedRate(const StepState& step, const OpenRun& run);

// Estimated time to the end of the task, in milliseconds, if the run stays on a
// VM of this speed, and if it is stopped and restarted on another VM.
struct MoveCost {
  double m_stay_ms = 0;
  double m_move_ms = 0;
};
MoveCost EstimateMoveCost(const StepSpec& spec, const StepState& step,
                          const TaskState& task, const OpenRun& run,
                          VmPace pace);

}  // namespace mustardslip
