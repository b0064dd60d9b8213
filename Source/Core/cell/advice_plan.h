// Chooses the VMs that a call to the advice service names for a step. Each call
// takes time in proportion to the VMs named, and a ticket that is not used in
// time was asked for in vain.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cell/pool_capacity.h"
#include "cell/step_placement.h"

namespace mustardslip {

// A VM and how many tasks of the step fit on it.
struct SlotFit {
  Slot* m_slot = nullptr;
  std::int64_t m_fit = 0;

  bool operator==(const SlotFit&) const = default;
};

// The VMs with capacity for the step among those the advice service
// recommended, the largest fit first.
std::vector<SlotFit> RecommendedFits(const StepPlacement& step,
                                     PoolCapacity& pool);

// Cold VMs last. Keeps the order of VMs with the same fit.
void SortLargestFirst(std::vector<SlotFit>& fits);

std::int64_t TotalFit(const std::vector<SlotFit>& fits);

// Enough VMs with capacity to place `waiting` tasks, if `good_share` of those
// without a verdict are recommended. Empty if there is none to ask about.
std::vector<std::string> ChooseVmsForTasks(const StepPlacement& step,
                                           PoolCapacity& pool,
                                           std::int64_t waiting,
                                           double good_share);

// VMs for a gang of `tasks`: new tickets for the recommended VMs if the gang
// fits there, and VMs without a verdict otherwise.
std::vector<std::string> ChooseVmsForGang(const StepPlacement& step,
                                          PoolCapacity& pool,
                                          std::int64_t tasks,
                                          double good_share);

// How many members of a gang the VM would hold once the runs there had been
// stopped that may be stopped for it.
using FitAfterStops = std::function<std::int64_t(const Slot&)>;

// VMs to request advice on for a gang that may have runs stopped: those without
// a verdict, until the recommended ones would hold the gang several times over;
// new tickets only if it fits now.
std::vector<std::string> ChooseVmsForPreemption(const StepPlacement& step,
                                                PoolCapacity& pool,
                                                std::int64_t tasks,
                                                double good_share,
                                                const FitAfterStops& fit);

// The expected duration of an advice call about this many VMs, in milliseconds.
std::int64_t AdviceCallMs(const QueueRules& queue, std::size_t vms);

// True if a usual call for the queue takes so long that urgent steps should not
// wait behind it.
bool IsLongAdviceCall(const QueueRules& queue);

}  // namespace mustardslip
