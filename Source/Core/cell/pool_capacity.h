// The usable VMs of one pool (service) and their free capacity during a
// scheduling pass. Used by Scheduler.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cell/vm_state.h"
#include "placement/fit_tree.h"

namespace mustardslip {

// How often `task` fits into `capacity`; INT64_MAX for a task without needs.
std::int64_t FitCount(const Resources& task, const Resources& capacity);

// True if the VM may receive starts at `now_ms` (owner's steady clock).
bool IsUsable(const VmState& vm, std::int64_t now_ms);

// A usable VM and its capacity left after the decisions of this pass so far.
struct Slot {
  VmState* m_vm = nullptr;
  Resources m_free;
  // Relative to the mean of the pool, and the same in steps of like speed: 0
  // around the mean, more for faster VMs (speed_choice.h).
  double m_speed = 1;
  int m_speed_class = 0;
  // To be used after all other VMs; set by Finish.
  bool m_cold = false;

  const std::string& VmId() const { return m_vm->Incarnation().m_id; }
};

class PoolCapacity {
 public:
  void Add(VmState& vm) {
    ++m_examined;
    m_slots.push_back({&vm, vm.Free()});
  }

  // Completes the pool after the last Add: leaves out VMs to avoid, but never
  // more than a fraction of the pool, and builds the index.
  void Finish(std::int64_t now_ms);

  // The methods below require Finish().
  std::vector<Slot>& Slots() { return m_slots; }
  const std::vector<Slot>& Slots() const { return m_slots; }
  // Null if the VM is unknown or not usable.
  Slot* Find(std::string_view vm_id);

  // True if `need` fits on a VM of the pool.
  bool HasRoom(const Resources& need) const {
    return m_fit.FindFrom(0, need) != FitTree::kNone;
  }

  void Reserve(Slot& slot, const Resources& amount);
  void ReserveAll(Slot& slot) { Reserve(slot, slot.m_free); }

  // Calls `visit(slot)` for each VM on which `need` fits, beginning with the
  // slot of index `first` and wrapping around, until it returns false. `visit`
  // must not reserve. Requires `first` below the number of slots.
  template <typename Visitor>
  void VisitFitting(const Resources& need, std::size_t first, Visitor visit) {
    if (VisitRange(need, first, m_slots.size(), visit)) {
      VisitRange(need, 0, first, visit);
    }
  }

  // The VMs that are not slower than the mean have little room left, at the
  // begin of the pass, and others have some.
  bool FastVmsAreScarce() const { return m_fast_vms_are_scarce; }
  void SetFastVmsAreScarce(bool scarce) { m_fast_vms_are_scarce = scarce; }

  // VMs added, found or visited so far: the work that the pass has done.
  std::uint64_t Examined() const { return m_examined; }

 private:
  // False if `visit` returned false.
  template <typename Visitor>
  bool VisitRange(const Resources& need, std::size_t begin, std::size_t end,
                  Visitor& visit) {
    for (std::size_t i = m_fit.FindFrom(begin, need); i < end;
         i = m_fit.FindFrom(i + 1, need)) {
      ++m_examined;
      if (!visit(m_slots[i])) {
        return false;
      }
    }
    return true;
  }

  void RemoveAvoidedVms(std::int64_t now_ms);

  std::vector<Slot> m_slots;
  // Invariant: position i holds the free capacity of m_slots[i].
  FitTree m_fit;
  absl::flat_hash_map<std::string_view, std::size_t> m_index;
  std::uint64_t m_examined = 0;
  bool m_fast_vms_are_scarce = false;
};

}  // namespace mustardslip
