// CellCore: the fences of calls to VMs.
//
// Calls name a VM by its id alone, so one that was meant for an incarnation may
// be executed by a later one, also late. The fence of the owner's record keeps
// out the calls of earlier owners, and not this owner's own. So once another
// incarnation of a VM answers, all further calls to the VM get a higher fence,
// and the incarnation counts as known when it has answered a call with it: from
// then on it refuses what was meant for others.
//
// The fence is the revision of a durable batch of this owner. It is above the
// revision of the owner's record, and below that of the next owner's, which
// cannot be written while this owner can still write a batch.
#include "cell/cell_core.h"

namespace mustardslip {

Revision CellCore::RaisedFence(const std::string& vm) const {
  const auto found = m_raised_fences.find(vm);
  return found == m_raised_fences.end() ? 0 : found->second;
}

// True if calls of this owner may be underway that were meant for another
// incarnation than the one that answered.
bool CellCore::NeedsHigherFence(const VmState& vm) const {
  const auto fenced = m_fenced_born.find(vm.Incarnation().m_id);
  return fenced != m_fenced_born.end() &&
         fenced->second != vm.Incarnation().m_born;
}

void CellCore::RequestHigherFence(VmState& vm) {
  const std::string& id = vm.Incarnation().m_id;
  for (VmState* life : m_state.IncarnationsOf(id)) {
    life->m_fenced = false;
  }
  m_fenced_born.erase(id);
  vm.m_awaits_fence = true;
  m_fences_to_raise.insert(id);
  // The batch that gives the fence tells later owners of the incarnation.
  Append(VmSnapshot{vm.Incarnation(), vm.m_last_end});
  Defer(RaiseFence{id});
}

}  // namespace mustardslip
