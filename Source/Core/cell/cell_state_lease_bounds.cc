// CellState: the records of VMs that do not answer.
#include <algorithm>
#include <vector>

#include "cell/cell_state.h"

namespace mustardslip {

void CellState::ApplyOne(const VmUnreachable& record) {
  FindOrCreateVm(record.m_vm).m_runs_ended_by_unix_ms =
      record.m_runs_ended_by_unix_ms;
}

void CellState::ApplyOne(const VmReachable& record) {
  for (VmState* life : IncarnationsOf(record.m_vm.m_id)) {
    life->m_runs_ended_by_unix_ms = 0;
  }
}

void CellState::DropUnusedLeaseBounds(const std::string& id) {
  const std::vector<VmState*> lives = IncarnationsOf(id);
  if (std::all_of(lives.begin(), lives.end(),
                  [](const VmState* life) { return life->m_open.empty(); })) {
    for (VmState* life : lives) {
      life->m_runs_ended_by_unix_ms = 0;
    }
  }
}

}  // namespace mustardslip
