// Whether a VM works at its usual speed, judged by the progress of its runs.
//
// Load that it answers: VMs that go on answering while everything on them
// stands still or takes several times as long. Pure.
#pragma once

#include <cstdint>
#include <string_view>

#include "cell/cell_state.h"

namespace mustardslip {

std::string_view ToString(VmPace pace);

// A run may be judged, and moved, if it works by itself: long-running tasks
// report no work that ends, and members of a gang wait for each other.
VmPace JudgePace(const VmState& vm, CellState& state);

// The rate at which the run's work goes on a sound VM, in percent per
// millisecond: its own best, or that of the step's other tasks. 0 if unknown.
double SoundRate(const StepState& step, const OpenRun& run);

// How long the run still takes on a VM of this pace, and how long the task
// would take if it were stopped and started elsewhere, in milliseconds.
struct MoveCost {
  double m_stay_ms = 0;
  double m_move_ms = 0;
};
MoveCost CostOfMove(const StepSpec& spec, const StepState& step,
                    const TaskState& task, const OpenRun& run, VmPace pace);

}  // namespace mustardslip
