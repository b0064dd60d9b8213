// Tests run progress, and the handling of slow and stalled VMs.
#include "cell/vm_pace.h"

#include <gtest/gtest.h>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

constexpr Resources kVmCapacity{64'000, 128'000, 0};
constexpr std::int64_t kTaskCpu = 10'000;

// Fails if the end of a run is not predicted from its reports.
TEST(RunProgressTest, PredictsTheEnd) {
  RunProgress progress;
  progress.OnReport(0, 1'000);
  EXPECT_FALSE(progress.ExpectedEndVmMs());
  progress.OnReport(20, 1'400);
  ASSERT_TRUE(progress.Rate());
  EXPECT_DOUBLE_EQ(*progress.Rate(), 0.05);
  EXPECT_EQ(progress.ExpectedEndVmMs(), 3'000);
}

// Fails if the rounding of a report counts as a change of the rate.
TEST(RunProgressTest, MeasuresOverLongEnoughWindows) {
  RunProgress progress;
  progress.OnReport(0, 1'000);
  progress.OnReport(1, 1'050);
  EXPECT_FALSE(progress.Rate());
  progress.OnReport(2, 1'400);
  EXPECT_FALSE(progress.Rate());
  progress.OnReport(9, 1'900);
  EXPECT_DOUBLE_EQ(*progress.Rate(), 0.01);
}

// Fails if a delayed report reduces the progress.
TEST(RunProgressTest, IgnoresDelayedReports) {
  RunProgress progress;
  progress.OnReport(10, 1'000);
  progress.OnReport(50, 2'000);
  progress.OnReport(30, 1'500);
  EXPECT_DOUBLE_EQ(progress.Percent(), 50);
}

// Fails if a run whose work is done counts as stalled: gang members wait for
// each other at that point.
TEST(RunProgressTest, FinishedWorkIsNotStalled) {
  RunProgress progress;
  progress.OnReport(99, 1'000);
  progress.OnReport(99, 3'000);
  EXPECT_EQ(progress.UnchangedForMs(), 2'000);
  progress.OnReport(100, 3'100);
  progress.OnReport(100, 9'000);
  EXPECT_EQ(progress.UnchangedForMs(), 0);
  EXPECT_FALSE(progress.ExpectedEndVmMs());
}

class VmPaceTest : public testing::Test {
 protected:
  static constexpr double kUsualRate = 0.04;

  // Starts four tasks on two VMs with capacity for six each; adds a third VM.
  void StartFourTasks(StepSpec step) {
    for (const char* id : {"vm-0", "vm-1"}) {
      m_cell.AddVm(id, kVmCapacity).m_percent_per_ms = kUsualRate;
    }
    m_cell.Run(100);
    step.m_max_per_vm = 2;
    m_cell.Submit(m_cell.Job(1, {step}));
    m_cell.Run(500);
    ASSERT_EQ(m_cell.Vm("vm-0").m_running.size(), 2U);
    ASSERT_EQ(m_cell.Vm("vm-1").m_running.size(), 2U);
    m_cell.AddVm("vm-2", kVmCapacity).m_percent_per_ms = kUsualRate;
  }

  bool Avoided(const std::string& id) {
    return m_cell.Core().State().FindListedVm(id)->IsAvoided(
        m_cell.Now().m_steady_ms);
  }

  CellHarness m_cell;
};

// Fails if tasks stay on a VM that answers polls while its runs make no
// progress: jobs waited for such a VM until seconds after their objective.
TEST_F(VmPaceTest, TasksMoveOffAStalledVm) {
  StartFourTasks(CellHarness::Step(4, kTaskCpu));
  m_cell.Vm("vm-0").m_percent_per_ms = 0;
  m_cell.Run(1'200);
  EXPECT_TRUE(Avoided("vm-0"));
  EXPECT_TRUE(m_cell.Vm("vm-0").m_running.empty());
  EXPECT_EQ(m_cell.Vm("vm-2").m_running.size(), 2U);
  EXPECT_EQ(m_cell.Vm("vm-1").m_running.size(), 2U);
  for (const StopRun& stop : m_cell.m_stops) {
    EXPECT_EQ(stop.m_reason, StopReason::kMove);
  }
}

// Fails if a VM that became much slower still gets starts, or keeps tasks that
// would end sooner on another VM.
TEST_F(VmPaceTest, TasksMoveOffASlowVm) {
  StartFourTasks(CellHarness::Step(4, kTaskCpu));
  m_cell.Vm("vm-0").m_percent_per_ms = kUsualRate / 8;
  m_cell.Run(1'200);
  EXPECT_TRUE(Avoided("vm-0"));
  EXPECT_TRUE(m_cell.Vm("vm-0").m_running.empty());
  EXPECT_EQ(m_cell.Vm("vm-2").m_running.size(), 2U);
}

// Fails if tasks are moved off a healthy VM because of rounding or of the
// differences in work between tasks.
TEST_F(VmPaceTest, UsualDifferencesMoveNothing) {
  StartFourTasks(CellHarness::Step(4, kTaskCpu));
  m_cell.Vm("vm-0").m_percent_per_ms = kUsualRate * 0.6;
  m_cell.Run(1'200);
  EXPECT_FALSE(Avoided("vm-0"));
  EXPECT_TRUE(m_cell.m_stops.empty());
}

// Fails if tasks are stopped although no other VM has capacity for them.
TEST_F(VmPaceTest, TasksStayWithoutCapacityElsewhere) {
  StartFourTasks(CellHarness::Step(4, kTaskCpu));
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(14, kTaskCpu)}));
  m_cell.Run(100);
  m_cell.Vm("vm-0").m_percent_per_ms = 0;
  m_cell.Run(1'500);
  EXPECT_TRUE(m_cell.m_stops.empty());
}

// Fails if a long-running task, which reports no finite work, is moved or
// counts towards the VM's speed.
TEST_F(VmPaceTest, LongRunningTasksStay) {
  StepSpec step = CellHarness::Step(4, kTaskCpu);
  step.m_long_lived = true;
  StartFourTasks(step);
  m_cell.Vm("vm-0").m_percent_per_ms = 0;
  m_cell.Run(2'000);
  EXPECT_FALSE(Avoided("vm-0"));
  EXPECT_TRUE(m_cell.m_stops.empty());
}

// Fails if a task is moved without limit when every VM stalls.
TEST_F(VmPaceTest, ATaskMovesOnlyAFewTimes) {
  StartFourTasks(CellHarness::Step(4, kTaskCpu));
  for (const char* id : {"vm-0", "vm-1", "vm-2"}) {
    m_cell.Vm(id).m_percent_per_ms = 0;
  }
  m_cell.Run(20'000);
  EXPECT_LE(m_cell.m_stops.size(), 8U);
}

}  // namespace
}  // namespace mustardslip
