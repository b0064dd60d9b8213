// An in-memory VM list with a lag and planned faults, for tests of other
// slices.
#pragma once

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/fault_plan.h"
#include "fleet/vm_list.h"
#include "fleet/vm_list_model.h"

namespace mustardslip {

enum class VmListCall { kRead };

// Thread-safe. Time comes from the manual clock, which has to outlive it.
class FakeVmList {
 public:
  explicit FakeVmList(const ManualClock& clock)
      : m_clock(clock), m_model(clock.UnixMillis()) {}

  // Replaces the list.
  void SetVms(std::vector<ListedVm> vms) {
    const std::lock_guard lock(m_mutex);
    m_model.Set(m_clock.UnixMillis(), std::move(vms));
  }

  // From now on Read() returns the list as it was `lag` ago.
  void SetLag(Milliseconds lag) {
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
  }

  FaultPlan<VmListCall>& Faults() { return m_faults; }

  Result<VmList> Read() {
    return m_faults.Run(VmListCall::kRead, [this] {
      const std::lock_guard lock(m_mutex);
      return Result<VmList>(m_model.Read(m_clock.UnixMillis(), m_lag));
    });
  }

 private:
  const ManualClock& m_clock;
  FaultPlan<VmListCall> m_faults;
  std::mutex m_mutex;
  VmListModel m_model;    // Guarded by m_mutex.
  Milliseconds m_lag{0};  // Guarded by m_mutex.
};

static_assert(VmListSource<FakeVmList>);

}  // namespace mustardslip
