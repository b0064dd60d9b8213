// VMs with their charged and reserved resources, and the indexes that
// VmSelector and PlacementCore search for a VM for a task.
//
// Invariant: the charges of a VM never exceed its total in any dimension.
// Resources reserved by claims or a gang reservation are not offered to other
// work.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "placement/attempt_table.h"
#include "placement/best_fit_index.h"
#include "placement/fit_tree.h"
#include "placement/names.h"
#include "placement/placement_types.h"

namespace mustardslip {

struct VmEntry {
  VmDescription m_description;
  VmCondition m_condition = VmCondition::kUnknown;
  Resources m_charged;
  // Reserved for attempts that do not run yet.
  Resources m_reserved;
  // Charges of the running tasks that urgent work may preempt.
  Resources m_preemptible;
  // Charges of services, which do not end by themselves.
  Resources m_services;
  std::uint32_t m_zone = 0;
  std::uint32_t m_rack = 0;
  // Set during a quarantine or a back-off after a failed start; independent of
  // m_condition.
  bool m_suspended = false;
  // After a quarantine: one task at a time until one succeeds.
  bool m_probation = false;
  bool m_in_use = false;
  // Result of VmTable::Placeable() that the indexes currently hold.
  Resources m_indexed_free = FitTree::kNoCapacity;
  std::vector<AttemptSlot> m_attempts;

  // Total minus charges, whether or not the VM accepts tasks.
  Resources Uncharged() const { return m_description.m_total - m_charged; }
};

// PlacementLimits with interned names. An empty list allows all.
struct InternedLimits {
  std::vector<std::uint32_t> m_zones;
  std::vector<std::uint32_t> m_racks;

  bool Allows(const VmEntry& vm) const;
};

class VmTable {
 public:
  // Adds or updates a VM and returns its index. A total below the charges is
  // raised to the charges, which keeps the invariant.
  VmIndex Set(const VmDescription& description, VmCondition condition);
  VmIndex Find(const std::string& id) const;
  // Erases a VM, which must have no attempts; its index may be reused.
  void Remove(VmIndex index);

  const VmEntry& operator[](VmIndex index) const { return m_vms[index]; }
  // Indexes are below this value; unused entries have m_in_use == false.
  std::size_t IndexCount() const { return m_vms.size(); }
  std::size_t Count() const { return m_index_by_id.size(); }

  void Charge(VmIndex index, const Resources& amount);
  void Refund(VmIndex index, const Resources& amount);
  void Reserve(VmIndex index, const Resources& amount);
  void Unreserve(VmIndex index, const Resources& amount);
  void AddPreemptible(VmIndex index, const Resources& amount);
  void RemovePreemptible(VmIndex index, const Resources& amount);
  void AddService(VmIndex index, const Resources& amount) {
    m_vms[index].m_services = m_vms[index].m_services + amount;
  }
  void SetSuspended(VmIndex index, bool suspended, bool probation);
  void AddAttempt(VmIndex index, AttemptSlot slot, AttemptTable& attempts);
  void RemoveAttempt(AttemptSlot slot, AttemptTable& attempts);

  // Capacity available to new tasks now; kNoCapacity if the VM accepts none.
  Resources Placeable(VmIndex index) const;

  bool IsSchedulable(VmIndex index) const {
    const VmEntry& vm = m_vms[index];
    return vm.m_in_use && vm.m_condition == VmCondition::kReady &&
           !vm.m_suspended;
  }

  // All VMs in a rack.
  const std::vector<VmIndex>& RackVms(std::uint32_t rack) const {
    return m_racks[rack].m_vms;
  }
  std::size_t RackCount() const { return m_racks.size(); }

  const BestFitIndex& ByFreeRoom() const { return m_by_free; }
  const FitTree& FreeTree() const { return m_free_tree; }
  const FitTree& RackTree() const { return m_rack_tree; }
  // Free capacity plus the charges that preemption could free.
  const FitTree& PreemptibleTree() const { return m_preemptible_tree; }
  // VM sizes; finds out whether a task can ever fit.
  const FitTree& TotalTree() const { return m_total_tree; }

  Resources Total() const { return m_total; }
  Resources Charged() const { return m_charged; }
  // Sum of Placeable() over the VMs that accept tasks.
  Resources TotalPlaceable() const { return m_placeable; }

  // Incremented when the free capacity of a VM grows; see MayFitSince().
  std::uint64_t GrowthVersion() const { return m_growth_version; }
  // True if `need` fits on a VM whose free capacity grew after `version`, or if
  // more VMs grew than the history holds.
  bool MayFitSince(std::uint64_t version, const Resources& need) const;

  NameInterner& Zones() { return m_zones; }
  NameInterner& Racks() { return m_rack_names; }
  const NameInterner& RackNames() const { return m_rack_names; }

  // Ends the process if an index or a sum does not match the VMs. For tests.
  void Check(const AttemptTable& attempts) const;

 private:
  struct Rack {
    std::vector<VmIndex> m_vms;
  };

  // Updates all indexes after a change of the VM.
  void Reindex(VmIndex index);
  void UpdateRack(std::uint32_t rack);
  void AddToRack(VmIndex index, std::uint32_t rack);
  void RemoveFromRack(VmIndex index);
  void RecordGrowth(VmIndex index);

  // Length of the growth history; after more growths every blocked shape is
  // tried again.
  static constexpr std::size_t kGrowthHistorySize = 64;

  std::vector<VmEntry> m_vms;
  std::vector<VmIndex> m_unused;
  absl::flat_hash_map<std::string, VmIndex> m_index_by_id;
  NameInterner m_zones;
  NameInterner m_rack_names;
  std::vector<Rack> m_racks;
  BestFitIndex m_by_free;
  FitTree m_free_tree;
  FitTree m_rack_tree;
  FitTree m_preemptible_tree;
  FitTree m_total_tree;
  Resources m_total;
  Resources m_charged;
  Resources m_placeable;
  std::uint64_t m_growth_version = 0;
  std::vector<VmIndex> m_growth_history =
      std::vector<VmIndex>(kGrowthHistorySize, kNoIndex);
};

}  // namespace mustardslip
