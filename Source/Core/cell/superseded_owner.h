// An owner that has lost the cell and does not know it yet, for tests. It
// reaches no store, so nothing that it decides becomes durable, and it calls
// the VMs that it reaches until one of them refuses its fence.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_core.h"

namespace mustardslip {

class SupersededOwner {
 public:
  SupersededOwner(std::unique_ptr<CellCore> core, Revision fence,
                  const CellTime& at)
      : m_core(std::move(core)), m_fence(fence), m_since_ms(at.m_steady_ms) {
    m_core->SetStoreWritable(false);
  }

  Revision Fence() const { return m_fence; }

  // Polls the VM with this id once for each incarnation of it that the owner
  // polls. `call` delivers a poll with the deadline and the last end that the
  // VM may discard, and returns the answer, or nullopt if there is none. False
  // if the VM refused the fence.
  template <typename Call>
  bool Poll(const std::string& id, const CellTime& now, const Call& call) {
    std::vector<VmIncarnation> polled;
    for (const VmState* state : m_core->State().IncarnationsOf(id)) {
      polled.push_back(state->Incarnation());
    }
    const bool renew = now.m_steady_ms - m_since_ms < kRenewWithoutStoreMs;
    for (const VmIncarnation& asked : polled) {
      std::optional<std::int64_t> deadline;
      if (renew) {
        deadline = m_core->NextLease(*m_core->State().FindVm(asked), now);
      }
      bool refused = false;
      const std::uint64_t last_end =
          m_core->EndsToAcknowledge(*m_core->State().FindVm(asked));
      const std::optional<VmReport> report = call(deadline, last_end, refused);
      if (refused) {
        return false;
      }
      if (!report) {
        m_core->OnVmCallFailed(asked, VmCallFailure::kNoAnswer, now);
      } else if (report->m_vm != asked) {
        m_core->OnOtherIncarnation(asked, *report, now);
      } else {
        m_core->OnVmReport(*report, now);
      }
    }
    return true;
  }

  void OnTick(const CellTime& now) {
    m_core->OnTick(now);
    // No start is released without a durable record, and its stops are lost.
    m_core->TakeEffects();
  }

 private:
  std::unique_ptr<CellCore> m_core;
  Revision m_fence;
  std::int64_t m_since_ms;
};

}  // namespace mustardslip
