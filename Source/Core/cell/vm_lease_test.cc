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

// Fails if a new owner counts its own, shorter lease for a VM that restarted
// just before: calls of the earlier owner, with deadlines on the clock of the
// former incarnation, had given the new one the longest lease, and the task was
// started a second time beside the run there (TWICE, recut-kill).
TEST_F(VmLeaseTest, NewOwnerCountsTheLongestLeaseOfAVmThatJustRestarted) {
  AddNewVm("vm-0", kHourMs);
  m_cell.Run(30'000);
  RestartWithClock("vm-0", 0);
  SubmitLongJob(1);
  m_cell.Pump();
  m_cell.List("vm-0");
  m_cell.Run(200);
  ASSERT_EQ(m_cell.RunningOf(1), 1U);
  m_cell.TakeOver();
  m_cell.Run(200);
  AddNewVm("vm-1", 0);
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.Run(2 * CellBounds{}.m_max_lease_ms);
  EXPECT_TRUE(m_cell.m_started_twice.empty());
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// The same where the new owner never reaches the VM.
TEST_F(VmLeaseTest, NewOwnerWaitsForAVmThatJustRestartedAndIsCutOff) {
  m_cell.m_late_call_ms = 4'000;
  AddNewVm("vm-0", kHourMs);
  m_cell.Run(30'000);
  SubmitLongJob(1);
  m_cell.Run(200);
  m_cell.Vm("vm-0").m_reachable = false;
  SubmitLongJob(2);
  m_cell.Pump();
  RestartWithClock("vm-0", 0);
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.TakeOver();
  AddNewVm("vm-1", 0);
  m_cell.Run(40'000);
  EXPECT_TRUE(m_cell.m_started_twice.empty());
  EXPECT_EQ(m_cell.RunningOf(1) + m_cell.RunningOf(2), 2U);
}

// Fails if the longest lease of a restarted VM is counted once from its first
// answer: a call to the former incarnation that was still underway gave it anew
// (TWICE, recut).
TEST_F(VmLeaseTest, LateCallToTheFormerIncarnationExtendsTheLease) {
  m_cell.m_late_call_ms = 4'000;
  AddNewVm("vm-0", kHourMs);
  m_cell.Run(30'000);
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.Look();
  RestartWithClock("vm-0", 0);
  m_cell.List("vm-0");
  m_cell.Run(500);
  SubmitLongJob(1);
  m_cell.Run(500);
  ASSERT_EQ(m_cell.RunningOf(1), 1U);
  m_cell.Vm("vm-0").m_reachable = false;
  AddNewVm("vm-1", 0);
  m_cell.Run(30'000);
  EXPECT_TRUE(m_cell.m_started_twice.empty());
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

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

// Fails if a run that was closed and is still on its VM takes no room there:
// starts brought the VM over its capacity while the run was being stopped
// (LIMIT, recut).
TEST_F(VmLeaseTest, RunThatIsBeingStoppedTakesRoom) {
  AddNewVm("vm-0", 0);
  m_cell.Run(200);
  m_cell.Vm("vm-0").m_delays_starts = true;
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 60'000)}));
  m_cell.Pump();
  m_cell.Vm("vm-0").m_executes_stops = false;
  m_cell.Vm("vm-0").m_delays_starts = false;
  m_cell.Cancel(1);
  m_cell.Run(kStartWindowMs + 500);
  m_cell.DeliverLateStarts("vm-0");
  m_cell.Run(100);
  ASSERT_EQ(m_cell.RunningOf(1), 1U);
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 60'000)}));
  m_cell.Run(500);
  EXPECT_EQ(m_cell.RunningOf(2), 0U);
  m_cell.Vm("vm-0").m_executes_stops = true;
  m_cell.Run(500);
  EXPECT_EQ(m_cell.RunningOf(1), 0U);
  EXPECT_EQ(m_cell.RunningOf(2), 1U);
}

// Fails if runs on a VM that has run for long wait for the longest lease: tasks
// of a VM that is cut off were restarted later than need be.
TEST_F(VmLeaseTest, RunsOfAnOldVmAreRepeatedAfterTheShortLease) {
  AddNewVm("vm-0", 0);
  m_cell.Run(30'000);
  SubmitLongJob(1);
  m_cell.Run(200);
  m_cell.TakeOver();
  m_cell.Run(200);
  AddNewVm("vm-1", 0);
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.Run(kVmLeaseMs + 1'000);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
  EXPECT_TRUE(m_cell.m_started_twice.empty());
}

// Fails if any mix of restarts under the same id, cuts, late calls, lost
// answers, entries that are away and changes of the owner makes a task run
// twice at the same time.
RC_GTEST_PROP(VmLeaseModelTest, NoTaskRunsTwiceAtTheSameTime, ()) {
  constexpr int kVms = 3;
  CellHarness cell;
  cell.m_simulate_leases = true;
  cell.m_late_call_ms = *rc::gen::element(0, 500, 2'000, 4'500);
  const auto random_clock = [] {
    return *rc::gen::element<std::int64_t>(0, 2'000, 8'000, kHourMs,
                                           2 * kHourMs);
  };
  for (int i = 0; i < kVms; ++i) {
    cell.AddVm("vm-" + std::to_string(i), kVmCapacity, {},
               cell.Now().m_unix_ms - i)
        .m_clock_offset_ms = random_clock();
  }
  cell.Run(*rc::gen::element(200, 5'000, 30'000));
  const int events = *rc::gen::inRange(3, 60);
  int jobs = 0;
  const auto submit = [&] {
    cell.Submit(cell.Job(++jobs, {CellHarness::Step(kVms, 1'000)}));
  };
  for (int i = 0; i < events; ++i) {
    const std::string id = "vm-" + std::to_string(*rc::gen::inRange(0, kVms));
    SimulatedVm& vm = cell.Vm(id);
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
      case 1: {
        const bool reachable = vm.m_reachable;
        cell.Restart(id, cell.Now().m_unix_ms).m_reachable = reachable;
        vm.m_clock_offset_ms = random_clock();
        submit();
        cell.Pump();
        break;
      }
      case 2:
      case 3:
        vm.m_reachable = !vm.m_reachable;
        break;
      case 4:
        vm.m_answers_polls = !vm.m_answers_polls;
        vm.m_answers_starts = vm.m_answers_polls;
        break;
      case 5:
      case 6:
        cell.TakeOver();
        break;
      case 7:
        cell.Unlist(id);
        break;
      case 8:
        cell.List(id);
        break;
      default:
        submit();
        break;
    }
    cell.Run(*rc::gen::element(50, 100, 200, 500, 1'000, 6'000, 12'000));
    RC_ASSERT(cell.m_started_twice.empty());
  }
}

}  // namespace
}  // namespace mustardslip
