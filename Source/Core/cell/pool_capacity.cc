// Selection of the usable VMs of a pool and the index of their free capacity.
#include "cell/pool_capacity.h"

#include <algorithm>

namespace mustardslip {
namespace {

// A VM whose answer to a poll is overdue by this much gets no starts.
constexpr std::int64_t kUnansweredPollMs = 1'100;
// At most one in this many VMs of a pool is avoided.
constexpr std::size_t kMaxAvoidedDivisor = 4;

}  // namespace

std::int64_t FitCount(const Resources& task, const Resources& capacity) {
  std::int64_t fit = INT64_MAX;
  const auto limit = [&](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      fit = std::min(fit, have > 0 ? have / need : 0);
    }
  };
  limit(task.m_cpu_millis, capacity.m_cpu_millis);
  limit(task.m_memory_mb, capacity.m_memory_mb);
  limit(task.m_accelerators, capacity.m_accelerators);
  return fit;
}

bool IsUsable(const VmState& vm, std::int64_t now_ms) {
  const bool answers =
      vm.m_first_failed_call_ms == 0 &&
      (vm.m_poll_due_ms == 0 || now_ms < vm.m_poll_due_ms + kUnansweredPollMs);
  return vm.m_listed && vm.m_fenced && !vm.m_description.m_draining &&
         !vm.m_evacuated && answers && !vm.IsClockOutdated(now_ms) &&
         vm.MayGetDeadline();
}

void PoolCapacity::Finish(std::int64_t now_ms) {
  RemoveAvoidedVms(now_ms);
  m_index.reserve(m_slots.size());
  for (std::size_t i = 0; i < m_slots.size(); ++i) {
    m_slots[i].m_cold = m_slots[i].m_vm->IsCold(now_ms);
    m_fit.Set(i, m_slots[i].m_free);
    m_index.emplace(m_slots[i].VmId(), i);
  }
}

// When many VMs seem bad, the jobs are the likelier cause.
void PoolCapacity::RemoveAvoidedVms(std::int64_t now_ms) {
  const auto avoided = [now_ms](const Slot& slot) {
    return slot.m_vm->IsAvoided(now_ms);
  };
  if (std::none_of(m_slots.begin(), m_slots.end(), avoided)) {
    return;
  }
  const auto rank = [&](const Slot& slot) {
    return avoided(slot) ? slot.m_vm->m_failed_jobs.size() + 1 : 0;
  };
  std::stable_sort(
      m_slots.begin(), m_slots.end(),
      [&](const Slot& a, const Slot& b) { return rank(a) < rank(b); });
  const std::size_t max_avoided =
      std::max<std::size_t>(1, m_slots.size() / kMaxAvoidedDivisor);
  std::size_t left_out = 0;
  while (m_slots.size() > 1 && left_out < max_avoided &&
         avoided(m_slots.back())) {
    m_slots.pop_back();
    ++left_out;
  }
}

Slot* PoolCapacity::Find(std::string_view vm_id) {
  ++m_examined;
  const auto found = m_index.find(vm_id);
  return found == m_index.end() ? nullptr : &m_slots[found->second];
}

void PoolCapacity::Reserve(Slot& slot, const Resources& amount) {
  slot.m_free = slot.m_free - amount;
  m_fit.Set(static_cast<std::size_t>(&slot - m_slots.data()), slot.m_free);
}

}  // namespace mustardslip
