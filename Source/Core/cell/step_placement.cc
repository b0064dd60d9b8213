// Eligibility of VMs for one ready step.
#include "cell/step_placement.h"

#include <algorithm>

namespace mustardslip {

StepPlacement::StepPlacement(const ReadyStep& step, std::int64_t now_ms)
    : m_step(step), m_spec(step.Spec()), m_now_ms(now_ms) {
  if (m_spec.m_max_per_vm == 0 || State().m_open == 0) {
    return;
  }
  for (const TaskState& task : State().m_tasks) {
    for (const OpenRun& run : task.m_open) {
      ++m_on_vm[run.m_vm.m_id];
    }
  }
}

std::int64_t StepPlacement::FitIn(const Resources& room,
                                  const Slot& slot) const {
  // Bounded, so that sums over VMs do not overflow for tasks without needs.
  const std::int64_t fit =
      std::min<std::int64_t>(FitCount(m_spec.Charge(), room), kMaxTasksPerStep);
  if (m_spec.m_max_per_vm == 0) {
    return fit;
  }
  const auto found = m_on_vm.find(slot.VmId());
  const std::int64_t used = found == m_on_vm.end() ? 0 : found->second;
  return std::clamp<std::int64_t>(m_spec.m_max_per_vm - used, 0, fit);
}

void StepPlacement::CountPlaced(const Slot& slot) {
  if (m_spec.m_max_per_vm > 0) {
    ++m_on_vm[slot.VmId()];
  }
}

const Advice* StepPlacement::AdviceFor(const Slot& slot) const {
  const auto found = State().m_advice.find(slot.VmId());
  return found == State().m_advice.end() ? nullptr : &found->second;
}

bool StepPlacement::IsRecommended(const Slot& slot) const {
  const Advice* advice = AdviceFor(slot);
  return advice != nullptr && advice->m_good;
}

bool StepPlacement::IsRejected(const Slot& slot) const {
  const Advice* advice = AdviceFor(slot);
  return advice != nullptr && !advice->m_good;
}

bool StepPlacement::HasTicket(const Slot& slot, std::int64_t margin_ms) const {
  if (!NeedsAdvice()) {
    return true;
  }
  const Advice* advice = AdviceFor(slot);
  return advice != nullptr && advice->m_good &&
         advice->m_born == slot.m_vm->Incarnation().m_born &&
         advice->m_valid_until_ms > m_now_ms + margin_ms;
}

}  // namespace mustardslip
