// Tests of lists of ends that are cut: a VM returns the first ones only, and
// the others once these were discarded. The comment of each test names the
// failure that it guards against.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "cell/vm_lease_fixture.h"

namespace mustardslip {
namespace {

// As on the users' platform.
constexpr std::size_t kListedEnds = 500;
constexpr const char* kVm = "vm-0";

class CutListsTest : public CellCoreTest {
 protected:
  void SetUp() override { m_cell.m_max_listed_ends = kListedEnds; }

  // The VM runs all tasks of job 1.
  void StartTasks(std::uint32_t tasks) {
    m_cell.AddVm(kVm, {static_cast<std::int64_t>(tasks) + 1, 0, 0});
    m_cell.Run(100);
    m_cell.Submit(m_cell.Job(1, {CellHarness::Step(tasks, 1)}));
    m_cell.Run(200);
    ASSERT_EQ(m_cell.RunningOf(1), tasks);
  }

  std::size_t Ends() { return m_cell.Vm(kVm).m_ended.size(); }

  // Polls until the VM has no end left. Returns the number of polls; each must
  // discard as many ends as a list returns.
  int DiscardAllEnds() {
    int polls = 0;
    // The first poll of an owner acknowledges nothing.
    m_cell.Look();
    m_cell.Pump();
    while (Ends() > 0) {
      const std::size_t before = Ends();
      m_cell.Look();
      m_cell.Pump();
      ++polls;
      EXPECT_EQ(Ends(), before - std::min(before, kListedEnds));
      if (Ends() >= before) {
        break;
      }
    }
    return polls;
  }

  // All ends were read, and each of the tasks of job 1 ran once.
  void ExpectAllDoneOnce(std::size_t tasks) {
    EXPECT_EQ(Ends(), 0U);
    EXPECT_EQ(m_cell.m_starts.size(), tasks);
    EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
    ExpectNothingTwice();
  }

  void ExpectNothingTwice() {
    EXPECT_TRUE(m_cell.m_started_twice.empty());
    EXPECT_TRUE(m_cell.m_started_after_done.empty());
  }
};

// Fails if a new owner, which has seen none of the runs, lets the VM discard no
// end of a list that is cut: it returned the same ones again and again, and
// nothing was started there any more (LOST, review/11).
TEST_F(CutListsTest, NewOwnerReadsAllEnds) {
  for (const std::uint32_t tasks : {499U, 500U, 501U, 5'000U}) {
    SCOPED_TRACE(tasks);
    m_cell = CellHarness();
    m_cell.m_max_listed_ends = kListedEnds;
    StartTasks(tasks);
    m_cell.End(1, RunEnd::kDone);
    m_cell.TakeOver();
    const int lists = static_cast<int>((tasks + kListedEnds - 1) / kListedEnds);
    EXPECT_EQ(DiscardAllEnds(), lists);
    m_cell.Run(500);
    EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
    ExpectNothingTwice();
  }
}

// Fails if tasks whose leases expired while nobody owned the cell, more than a
// list returns, are not all started again by the next owner.
TEST_F(CutListsTest, NewOwnerStartsAllTasksAgain) {
  constexpr std::uint32_t kTasks = 1'300;
  StartTasks(kTasks);
  m_cell.End(1, RunEnd::kLeaseExpired);
  m_cell.TakeOver();
  m_cell.Run(2'000);
  EXPECT_EQ(Ends(), 0U);
  EXPECT_EQ(m_cell.RunningOf(1), kTasks);
  EXPECT_EQ(m_cell.m_starts.size(), 2 * kTasks);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(2'000);
  EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
  ExpectNothingTwice();
}

// Fails if tasks whose ends as done come after the first part of a cut list are
// started again.
TEST_F(CutListsTest, TasksThatAreDoneAreNotStartedAgain) {
  StartTasks(5'000);
  m_cell.End(1, RunEnd::kDone);
  m_cell.TakeOver();
  m_cell.Run(3'000);
  ExpectAllDoneOnce(5'000);
}

// Fails if ends that arrive while a list is being read keep it from being read
// to its end.
TEST_F(CutListsTest, EndsThatArriveMeanwhileAreRead) {
  StartTasks(3'000);
  m_cell.TakeOver();
  SimulatedVm& vm = m_cell.Vm(kVm);
  for (int round = 0; !vm.m_running.empty(); ++round) {
    ASSERT_LT(round, 40);
    for (int i = 0; i < 150 && !vm.m_running.empty(); ++i) {
      CellHarness::EndRun(vm, vm.m_running.front(), RunEnd::kDone);
    }
    m_cell.Run(50);
  }
  m_cell.Run(1'000);
  ExpectAllDoneOnce(3'000);
}

// Fails if the owner that started short tasks, more than a list returns, never
// hears of those that ended before it first saw them.
TEST_F(CutListsTest, OwnerReadsEndsOfRunsThatItNeverSawRunning) {
  m_cell.AddVm(kVm, {2'000, 0, 0});
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2'000, 1)}));
  m_cell.Pump();
  ASSERT_EQ(m_cell.RunningOf(1), 2'000U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(2'000);
  ExpectAllDoneOnce(2'000);
}

// Fails if ends are discarded while a start may still be executed by the next
// incarnation, whose ends have the same numbers.
TEST_F(CutListsTest, NothingIsDiscardedWhileAStartIsUnderway) {
  m_cell.m_max_listed_ends = 2;
  StartTasks(5);
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 1)}));
  m_cell.End(1, RunEnd::kLeaseExpired);
  m_cell.Vm(kVm).m_delays_starts = true;
  m_cell.Look();
  m_cell.Pump();
  ASSERT_FALSE(m_cell.Vm(kVm).m_late_starts.empty());
  const VmIncarnation vm = m_cell.Vm(kVm).m_description.m_incarnation;
  const auto acknowledged = [&] {
    return m_cell.Core().EndsToAcknowledge(*m_cell.Core().State().FindVm(vm));
  };
  EXPECT_EQ(acknowledged(), 0U);
  m_cell.Run(300);
  EXPECT_EQ(Ends(), 5U);
  m_cell.Vm(kVm).m_late_starts.clear();
  m_cell.Vm(kVm).m_delays_starts = false;
  m_cell.Run(3'000);
  EXPECT_EQ(Ends(), 0U);
  EXPECT_EQ(m_cell.RunningOf(1), 5U);
  EXPECT_EQ(m_cell.RunningOf(2), 1U);
  ExpectNothingTwice();
}

}  // namespace
}  // namespace mustardslip
