// Updates the indexes on every change of a VM's free capacity.
#include "placement/vm_table.h"

#include <algorithm>

#include "common/result.h"

namespace mustardslip {
namespace {

bool Contains(const std::vector<std::uint32_t>& list, std::uint32_t value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

Resources ComponentMaximum(const Resources& left, const Resources& right) {
  return {std::max(left.m_cpu_millis, right.m_cpu_millis),
          std::max(left.m_memory_mb, right.m_memory_mb),
          std::max(left.m_accelerators, right.m_accelerators)};
}

bool HasAccelerators(const VmEntry& vm) {
  return vm.m_description.m_total.m_accelerators > 0;
}

bool IsIndexed(const Resources& available) { return !available.IsNegative(); }

}  // namespace

bool InternedLimits::Allows(const VmEntry& vm) const {
  return (m_zones.empty() || Contains(m_zones, vm.m_zone)) &&
         (m_racks.empty() || Contains(m_racks, vm.m_rack));
}

VmIndex VmTable::Find(const std::string& id) const {
  const auto found = m_index_by_id.find(id);
  return found == m_index_by_id.end() ? kNoIndex : found->second;
}

VmIndex VmTable::Set(const VmDescription& description, VmCondition condition) {
  VmIndex index = Find(description.m_id);
  if (index == kNoIndex) {
    if (m_unused.empty()) {
      index = static_cast<VmIndex>(m_vms.size());
      m_vms.emplace_back();
    } else {
      index = m_unused.back();
      m_unused.pop_back();
    }
    m_index_by_id.emplace(description.m_id, index);
    m_vms[index].m_in_use = true;
  } else {
    RemoveFromRack(index);
    m_total = m_total - m_vms[index].m_description.m_total;
  }
  VmEntry& vm = m_vms[index];
  if (IsIndexed(vm.m_indexed_free) &&
      (vm.m_description.m_total.m_accelerators > 0) !=
          (description.m_total.m_accelerators > 0)) {
    // The accelerator class in BestFitIndex depends on the total, so the VM is
    // removed from the index under its old total.
    const VmCondition kept = vm.m_condition;
    vm.m_condition = VmCondition::kUnknown;
    Reindex(index);
    vm.m_condition = kept;
  }
  vm.m_description = description;
  vm.m_description.m_total =
      ComponentMaximum(description.m_total, vm.m_charged);
  vm.m_condition = condition;
  vm.m_zone = m_zones.Intern(description.m_zone);
  m_total = m_total + vm.m_description.m_total;
  AddToRack(index, m_rack_names.Intern(description.m_rack));
  Reindex(index);
  return index;
}

void VmTable::Remove(VmIndex index) {
  VmEntry& vm = m_vms[index];
  Invariant(vm.m_attempts.empty(), "a VM with attempts is not removed");
  vm.m_condition = VmCondition::kRemoved;
  Reindex(index);
  RemoveFromRack(index);
  m_total = m_total - vm.m_description.m_total;
  m_index_by_id.erase(vm.m_description.m_id);
  vm = VmEntry{};
  m_unused.push_back(index);
}

void VmTable::AddToRack(VmIndex index, std::uint32_t rack) {
  if (rack >= m_racks.size()) {
    m_racks.resize(rack + 1);
  }
  m_vms[index].m_rack = rack;
  m_racks[rack].m_vms.push_back(index);
}

void VmTable::RemoveFromRack(VmIndex index) {
  const std::uint32_t rack = m_vms[index].m_rack;
  std::erase(m_racks[rack].m_vms, index);
  UpdateRack(rack);
}

Resources VmTable::Placeable(VmIndex index) const {
  const VmEntry& vm = m_vms[index];
  const bool accepts_tasks = vm.m_condition == VmCondition::kReady &&
                             !vm.m_suspended &&
                             !(vm.m_probation && !vm.m_attempts.empty());
  if (!accepts_tasks) {
    return FitTree::kNoCapacity;
  }
  const Resources available = vm.Uncharged() - vm.m_reserved;
  return available.IsNegative() ? FitTree::kNoCapacity : available;
}

void VmTable::Reindex(VmIndex index) {
  VmEntry& vm = m_vms[index];
  const Resources available = Placeable(index);
  const Resources old = vm.m_indexed_free;
  if (!(available == old)) {
    if (IsIndexed(old)) {
      m_by_free.Erase(index, old, HasAccelerators(vm));
      m_placeable = m_placeable - old;
    }
    if (IsIndexed(available)) {
      m_by_free.Insert(index, available, HasAccelerators(vm));
      m_placeable = m_placeable + available;
    }
    vm.m_indexed_free = available;
  }
  m_free_tree.Set(index, available);
  UpdateRack(vm.m_rack);
  const bool schedulable =
      vm.m_condition == VmCondition::kReady && !vm.m_suspended;
  m_preemptible_tree.Set(
      index, schedulable ? vm.Uncharged() - vm.m_reserved + vm.m_preemptible
                         : FitTree::kNoCapacity);
  m_total_tree.Set(index, vm.m_condition == VmCondition::kRemoved
                              ? FitTree::kNoCapacity
                              : vm.m_description.m_total);
  if (!available.FitsIn(old)) {
    RecordGrowth(index);
  }
}

void VmTable::UpdateRack(std::uint32_t rack) {
  Resources maximum = FitTree::kNoCapacity;
  for (const VmIndex vm : m_racks[rack].m_vms) {
    maximum = ComponentMaximum(maximum, m_vms[vm].m_indexed_free);
  }
  m_rack_tree.Set(rack, maximum);
}

void VmTable::RecordGrowth(VmIndex index) {
  m_growth_history[m_growth_version % kGrowthHistorySize] = index;
  ++m_growth_version;
}

bool VmTable::MayFitSince(std::uint64_t version, const Resources& need) const {
  if (m_growth_version - version > kGrowthHistorySize) {
    return true;
  }
  for (; version < m_growth_version; ++version) {
    if (need.FitsIn(m_vms[m_growth_history[version % kGrowthHistorySize]]
                        .m_indexed_free)) {
      return true;
    }
  }
  return false;
}

void VmTable::Charge(VmIndex index, const Resources& amount) {
  VmEntry& vm = m_vms[index];
  vm.m_charged = vm.m_charged + amount;
  Invariant(vm.m_charged.FitsIn(vm.m_description.m_total),
            "a VM is never charged above its size");
  m_charged = m_charged + amount;
  Reindex(index);
}

void VmTable::Refund(VmIndex index, const Resources& amount) {
  VmEntry& vm = m_vms[index];
  vm.m_charged = vm.m_charged - amount;
  Invariant(!vm.m_charged.IsNegative(), "a refund never exceeds the charge");
  m_charged = m_charged - amount;
  Reindex(index);
}

void VmTable::Reserve(VmIndex index, const Resources& amount) {
  m_vms[index].m_reserved = m_vms[index].m_reserved + amount;
  Reindex(index);
}

void VmTable::Unreserve(VmIndex index, const Resources& amount) {
  VmEntry& vm = m_vms[index];
  vm.m_reserved = vm.m_reserved - amount;
  Invariant(!vm.m_reserved.IsNegative(),
            "reserved resources are released once");
  Reindex(index);
}

void VmTable::AddPreemptible(VmIndex index, const Resources& amount) {
  m_vms[index].m_preemptible = m_vms[index].m_preemptible + amount;
  Reindex(index);
}

void VmTable::RemovePreemptible(VmIndex index, const Resources& amount) {
  m_vms[index].m_preemptible = m_vms[index].m_preemptible - amount;
  Reindex(index);
}

void VmTable::SetSuspended(VmIndex index, bool suspended, bool probation) {
  m_vms[index].m_suspended = suspended;
  m_vms[index].m_probation = probation;
  Reindex(index);
}

void VmTable::AddAttempt(VmIndex index, AttemptSlot slot,
                         AttemptTable& attempts) {
  VmEntry& vm = m_vms[index];
  attempts[slot].m_vm = index;
  attempts[slot].m_position = static_cast<std::uint32_t>(vm.m_attempts.size());
  vm.m_attempts.push_back(slot);
}

void VmTable::RemoveAttempt(AttemptSlot slot, AttemptTable& attempts) {
  Attempt& attempt = attempts[slot];
  VmEntry& vm = m_vms[attempt.m_vm];
  const AttemptSlot last = vm.m_attempts.back();
  vm.m_attempts[attempt.m_position] = last;
  attempts[last].m_position = attempt.m_position;
  vm.m_attempts.pop_back();
  attempt.m_vm = kNoIndex;
}

void VmTable::Check(const AttemptTable& attempts) const {
  Resources total;
  Resources charged;
  Resources placeable;
  for (VmIndex index = 0; index < m_vms.size(); ++index) {
    const VmEntry& vm = m_vms[index];
    if (!vm.m_in_use) {
      continue;
    }
    Resources sum;
    for (const AttemptSlot slot : vm.m_attempts) {
      const Attempt& attempt = attempts[slot];
      Invariant(attempt.m_vm == index && attempt.m_phase == Phase::kRunning,
                "an attempt in a VM's list runs on this VM");
      sum = sum + attempt.m_charged;
    }
    Invariant(sum == vm.m_charged, "a VM's charge is the sum of its attempts");
    Invariant(sum.FitsIn(vm.m_description.m_total),
              "a VM is never charged above its size");
    Invariant(vm.m_indexed_free == Placeable(index),
              "the best-fit index matches the VM");
    Invariant(m_free_tree.At(index) == vm.m_indexed_free,
              "the free tree matches the VM");
    total = total + vm.m_description.m_total;
    charged = charged + sum;
    placeable = placeable + (IsIndexed(vm.m_indexed_free) ? vm.m_indexed_free
                                                          : Resources{});
  }
  Invariant(total == m_total, "the total is the sum over VMs");
  Invariant(charged == m_charged, "the charge is the sum over VMs");
  Invariant(placeable == m_placeable,
            "the placeable capacity is the sum over VMs");
}

}  // namespace mustardslip
