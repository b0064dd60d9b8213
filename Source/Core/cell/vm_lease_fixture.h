// Test fixture for the leases of VMs, which end runs whose lease has expired.
#pragma once

#include <cstdint>
#include <string>

#include "cell/cell_core_fixture.h"

namespace mustardslip {

inline constexpr std::int64_t kHourMs = 3'600'000;

class VmLeaseTest : public CellCoreTest {
 protected:
  VmLeaseTest() { m_cell.m_simulate_leases = true; }

  // A VM that began just now, whose clock shows this more than the owner's.
  SimulatedVm& AddNewVm(const std::string& id, std::int64_t clock_offset_ms) {
    SimulatedVm& vm = m_cell.AddVm(id, kVmCapacity, {}, Now());
    vm.m_clock_offset_ms = clock_offset_ms;
    return vm;
  }

  // The VM restarts under its id.
  void RestartWithClock(const std::string& id, std::int64_t clock_offset_ms) {
    m_cell.Restart(id, Now()).m_clock_offset_ms = clock_offset_ms;
  }

  void SubmitLongJob(int number, std::uint32_t tasks = 1) {
    StepSpec step = CellHarness::Step(tasks, 1'000);
    step.m_estimate_ms = 60'000;
    m_cell.Submit(m_cell.Job(number, {step}));
  }

  std::int64_t Now() const { return m_cell.Now().m_unix_ms; }
};

}  // namespace mustardslip
