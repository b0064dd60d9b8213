// Tests of the leases of VMs over restarts under the same id and changes of the
// owner: a run is not repeated while its VM may still hold it, however far the
// clocks of two incarnations are apart. The comment of each test names the
// failure that it guards against.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;

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

// Fails if the answer to a start, which does not name the incarnation, moves
// the clock of the former one: its lease seemed to have expired, and its run
// was repeated at once.
TEST_F(VmLeaseTest, AnswerToAStartMovesNoClockOfAnotherIncarnation) {
  AddNewVm("vm-0", 0);
  m_cell.Run(30'000);
  RestartWithClock("vm-0", 0);
  SubmitLongJob(1);
  m_cell.Pump();
  ASSERT_EQ(m_cell.RunningOf(1), 1U);
  const StartRun start = m_cell.m_starts.back();
  m_cell.Core().OnStartAnswer({start.m_task, start.m_run, start.m_vm,
                               StartOutcome::kStarted, kHourMs, ""},
                              m_cell.Now());
  AddNewVm("vm-1", 0);
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.Unlist("vm-0");
  m_cell.Run(1'000);
  EXPECT_EQ(m_cell.m_starts.size(), 1U);
}

}  // namespace
}  // namespace mustardslip
