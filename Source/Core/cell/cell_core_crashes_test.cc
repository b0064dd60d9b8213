// Tasks that crash each VM which starts them, beside tasks that do not.
#include <gtest/gtest.h>

#include <set>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

constexpr Resources kVmCapacity{64'000, 128'000, 0};
constexpr int kVms = 12;
// The users' limit: a fourth start after three crashes, and two more.
constexpr int kMaxStarts = 5;

class CellCoreCrashesTest : public testing::Test {
 protected:
  CellCoreCrashesTest() {
    for (int i = 0; i < kVms; ++i) {
      m_cell.AddVm(Name(i), kVmCapacity);
    }
    m_cell.Look();
  }

  static std::string Name(int vm) { return "vm-" + std::to_string(vm); }

  // Advances time; a VM on which a deadly job runs crashes, and is back as a
  // new incarnation after m_down_ms.
  void Run(std::int64_t ms) {
    constexpr std::int64_t kStepMs = 50;
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_cell.Run(kStepMs);
      const std::int64_t now_ms = m_cell.Now().m_steady_ms;
      for (int i = 0; i < kVms; ++i) {
        SimulatedVm& vm = m_cell.Vm(Name(i));
        if (vm.m_reachable && RunsDeadlyJob(vm)) {
          if (m_listed_before_crash) {
            m_cell.Look(vm);
          }
          vm.m_running.clear();
          vm.m_reachable = false;
          m_back_at_ms[i] = now_ms + m_down_ms;
          m_unlisted_at_ms[i] = now_ms + m_listed_ms;
          ++m_crashes;
        } else if (!vm.m_reachable && m_back_at_ms[i] <= now_ms) {
          m_cell.Restart(Name(i), vm.m_description.m_incarnation.m_born + 1);
          m_cell.List(Name(i));
        } else if (!vm.m_reachable && m_unlisted_at_ms[i] <= now_ms) {
          m_cell.Unlist(Name(i));
        }
      }
    }
  }

  // Cuts off each VM right after a start, for longer than its lease; it answers
  // as it was after that. Returns the number of cuts.
  int CutOffAfterEachStart(VmCallFailure failure) {
    constexpr std::int64_t kCutMs = 8'000;
    std::map<int, std::int64_t> reachable_at_ms;
    int cuts = 0;
    for (std::int64_t passed = 0; passed < 60'000; passed += 50) {
      m_cell.Run(50);
      const std::int64_t now_ms = m_cell.Now().m_steady_ms;
      for (int i = 0; i < kVms; ++i) {
        SimulatedVm& vm = m_cell.Vm(Name(i));
        if (vm.m_reachable && !vm.m_running.empty()) {
          vm.m_failure = failure;
          vm.m_reachable = false;
          reachable_at_ms[i] = now_ms + kCutMs;
          ++cuts;
        } else if (!vm.m_reachable && reachable_at_ms[i] <= now_ms) {
          // The lease expired behind the cut.
          vm.m_running.clear();
          vm.m_reachable = true;
        }
      }
    }
    return cuts;
  }

  bool RunsDeadlyJob(const SimulatedVm& vm) const {
    return std::any_of(vm.m_running.begin(), vm.m_running.end(),
                       [&](const SimulatedVm::Running& running) {
                         return m_deadly.count(running.m_task.m_job) != 0;
                       });
  }

  void SubmitDeadly(int number, StepSpec step) {
    m_deadly.insert(CellHarness::Id(number));
    m_cell.Submit(m_cell.Job(number, {std::move(step)}));
  }

  // Crashed VMs refuse connections and never come back.
  void StartDeadlyJobOnVmsThatStayGone() {
    for (int i = 0; i < kVms; ++i) {
      m_cell.Vm(Name(i)).m_failure = VmCallFailure::kGone;
    }
    m_down_ms = 1'000'000;
    SubmitDeadly(1, CellHarness::Step(1, 8'000));
    Run(60'000);
  }

  int StartsOf(int number) const {
    std::set<std::uint32_t> runs;
    for (const StartRun& start : m_cell.m_starts) {
      if (start.m_task.m_job == CellHarness::Id(number)) {
        runs.insert(start.m_run);
      }
    }
    return static_cast<int>(runs.size());
  }

  CellHarness m_cell;
  std::set<std::string> m_deadly;
  std::map<int, std::int64_t> m_back_at_ms;
  std::int64_t m_down_ms = 3'000;
  // How long the VM list names a VM that crashed, and when that ends.
  std::int64_t m_listed_ms = 4'500;
  std::map<int, std::int64_t> m_unlisted_at_ms;
  // A poll is answered between the start and the crash.
  bool m_listed_before_crash = false;
  int m_crashes = 0;
};

// Fails if a task crashes VM after VM for as long as it is not done.
TEST_F(CellCoreCrashesTest, TaskThatCrashesItsVmsIsGivenUp) {
  SubmitDeadly(1, CellHarness::Step(1, 8'000));
  Run(40'000);
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_GE(m_crashes, 2);
  EXPECT_LE(StartsOf(1), kMaxStarts);
  ASSERT_EQ(m_cell.m_failures.size(), 1U);
  EXPECT_TRUE(m_cell.m_failures.front().m_crashes_vms);
  EXPECT_EQ(m_cell.m_failures.front().m_failures,
            static_cast<std::uint32_t>(m_crashes));
}

// Fails if a run is no suspect because the VM listed it just before it crashed.
TEST_F(CellCoreCrashesTest, TaskThatIsListedBeforeTheCrashIsGivenUp) {
  m_listed_before_crash = true;
  SubmitDeadly(1, CellHarness::Step(1, 8'000));
  Run(40'000);
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(StartsOf(1), kMaxStarts);
}

// Fails if a gang with such a member is started for ever.
TEST_F(CellCoreCrashesTest, GangThatCrashesItsVmsIsGivenUp) {
  StepSpec gang = CellHarness::Step(6, 16'000);
  gang.m_gang = true;
  SubmitDeadly(1, gang);
  Run(60'000);
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(StartsOf(1), kMaxStarts);
}

// A full fleet whose tasks are started together with those that crash it. Fails
// if a job is given up for what shared its VMs.
TEST_F(CellCoreCrashesTest, SoundJobsBesideThemAreNotGivenUp) {
  constexpr int kDeadlyJobs = 3;
  constexpr int kJobs = 60;
  for (int i = 1; i <= kJobs; ++i) {
    if (i % (kJobs / kDeadlyJobs) == 0) {
      SubmitDeadly(i, CellHarness::Step(1, 8'000));
    } else {
      m_cell.Submit(m_cell.Job(i, {CellHarness::Step(3, 8'000)}));
    }
  }
  constexpr std::int64_t kRoundMs = 500;
  for (std::int64_t ms = 0; ms < 90'000; ms += kRoundMs) {
    Run(kRoundMs);
    // Each task takes at most a round, so that starts never cease.
    for (int i = 1; i <= kJobs; ++i) {
      m_cell.End(i, RunEnd::kDone);
    }
  }
  for (int i = 1; i <= kJobs; ++i) {
    const bool deadly = m_deadly.count(CellHarness::Id(i)) != 0;
    EXPECT_EQ(m_cell.Lookup(i).m_phase,
              deadly ? JobPhase::kFailed : JobPhase::kComplete)
        << "job " << i;
  }
}

// Fails if a VM that was cut off, and answers again as it was, is taken for one
// that crashed.
TEST_F(CellCoreCrashesTest, VmThatIsCutOffHasNotCrashed) {
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 8'000)}));
  EXPECT_GT(CutOffAfterEachStart(VmCallFailure::kNoAnswer), kMaxStarts);
  EXPECT_NE(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
}

// Fails if a refused connection alone counts as a crash: a cut may refuse them.
TEST_F(CellCoreCrashesTest, VmThatRefusesConnectionsBehindACutHasNotCrashed) {
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 8'000)}));
  EXPECT_GT(CutOffAfterEachStart(VmCallFailure::kGone), kMaxStarts);
  EXPECT_NE(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
}

// Fails if a new owner counts from the beginning.
TEST_F(CellCoreCrashesTest, CrashesCountOverOwners) {
  SubmitDeadly(1, CellHarness::Step(1, 8'000));
  for (int round = 0; round < 20; ++round) {
    Run(2'200);
    m_cell.TakeOver();
  }
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(StartsOf(1), kMaxStarts);
}

// Fails if a crash is not counted when the VM is back only after its lease.
TEST_F(CellCoreCrashesTest, VmThatIsBackAfterItsLeaseHasCrashed) {
  m_down_ms = 12'000;
  SubmitDeadly(1, CellHarness::Step(1, 8'000));
  Run(120'000);
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(StartsOf(1), kMaxStarts);
}

// Fails if suspicions or crashes are not in a snapshot.
TEST_F(CellCoreCrashesTest, SnapshotKeepsThem) {
  SubmitDeadly(1, CellHarness::Step(1, 8'000));
  while (m_crashes < 2) {
    Run(50);
  }
  Run(100);
  CellState& state = m_cell.Core().State();
  CellState copy;
  for (const LogRecord& record : state.Snapshot()) {
    copy.Apply(record);
  }
  const TaskRef task{CellHarness::Id(1), 0, 0, 0};
  const TaskState& original = *state.FindTask(task);
  const TaskState& restored = *copy.FindTask(task);
  ASSERT_EQ(original.m_crashes.m_all.Count(), 1U);
  EXPECT_EQ(restored.m_crashes.m_all, original.m_crashes.m_all);
  EXPECT_EQ(restored.m_crashes.m_alone, original.m_crashes.m_alone);
  ASSERT_EQ(restored.m_open.size(), 1U);
  EXPECT_EQ(restored.m_open.front().m_suspicion, OpenRun::Suspicion::kAlone);
}

// A crashed VM is back as another VM, so no newer incarnation ever answers.
// Fails if only that counts as a crash.
TEST_F(CellCoreCrashesTest, VmThatIsGoneHasCrashed) {
  StartDeadlyJobOnVmsThatStayGone();
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(m_crashes, kMaxStarts);
}

// Fails if the crash of a VM is not counted that is listed for longer than its
// lease.
TEST_F(CellCoreCrashesTest, VmThatIsUnlistedAfterItsLeaseHasCrashed) {
  m_listed_ms = 9'000;
  StartDeadlyJobOnVmsThatStayGone();
  EXPECT_EQ(m_cell.Lookup(1).m_phase, JobPhase::kFailed);
  EXPECT_LE(m_crashes, kMaxStarts);
}

// Fails if a run stays a suspect after its VM has answered again, and counts
// when the VM crashes later for another reason.
TEST_F(CellCoreCrashesTest, VmThatAnswersAgainClearsItsSuspects) {
  constexpr int kCrashes = 5;
  CellHarness cell;
  SimulatedVm& vm = cell.AddVm("vm-0", kVmCapacity);
  cell.Look();
  cell.Submit(cell.Job(1, {CellHarness::Step(1, 8'000)}));
  int crashes = 0;
  for (int ms = 0; ms < 60'000 && crashes < kCrashes; ms += 50) {
    cell.Run(50);
    if (vm.m_running.empty()) {
      continue;
    }
    vm.m_reachable = false;
    cell.Look();
    vm.m_reachable = true;
    cell.Run(2'000);
    cell.Restart("vm-0", vm.m_description.m_incarnation.m_born + 1);
    cell.List("vm-0");
    ++crashes;
  }
  EXPECT_EQ(crashes, kCrashes);
  EXPECT_NE(cell.Lookup(1).m_phase, JobPhase::kFailed);
}

// Fails if a job is given up for crashes before which its starts never arrived.
TEST_F(CellCoreCrashesTest, StartsThatNeverArrivedCrashNothing) {
  constexpr int kCrashes = 3;
  CellHarness cell;
  SimulatedVm& vm = cell.AddVm("vm-0", kVmCapacity);
  vm.m_delays_starts = true;
  cell.Look();
  cell.Submit(cell.Job(1, {CellHarness::Step(1, 8'000)}));
  int crashes = 0;
  for (int ms = 0; ms < 60'000 && crashes < kCrashes; ms += 50) {
    const std::size_t starts = cell.m_starts.size();
    cell.Run(50);
    if (cell.m_starts.size() > starts) {
      vm.m_reachable = false;
      cell.Look();
      cell.Restart("vm-0", vm.m_description.m_incarnation.m_born + 1);
      vm.m_delays_starts = true;
      cell.List("vm-0");
      ++crashes;
    }
  }
  EXPECT_EQ(crashes, kCrashes);
  vm.m_delays_starts = false;
  cell.Run(5'000);
  cell.End(1, RunEnd::kDone);
  cell.Run(100);
  EXPECT_EQ(cell.Lookup(1).m_phase, JobPhase::kComplete);
}

// Fails if a pass divides by the number of usable VMs while the only VM of a
// pool is on probation.
TEST_F(CellCoreCrashesTest, PoolOfOneVmMayBeOnProbation) {
  CellHarness cell;
  cell.AddVm("vm-0", kVmCapacity);
  cell.Look();
  QueueRules queue = cell.Queue();
  queue.m_needs_advice = true;
  queue.m_advice_base_ms = 16;
  cell.Submit(cell.Job(1, {CellHarness::Step(1, 8'000)}, queue));
  cell.Run(200);
  ASSERT_EQ(cell.RunningOf(1), 1U);
  cell.Core().State().FindVm({"vm-0", 1})->m_probation_until_ms =
      cell.Now().m_steady_ms + 10'000;
  cell.Submit(cell.Job(2, {CellHarness::Step(1, 8'000)}, queue));
  const std::size_t asked = cell.m_asked.size();
  cell.Run(1'000);
  EXPECT_EQ(cell.RunningOf(2), 0U);
  EXPECT_EQ(cell.m_asked.size(), asked);
  cell.Run(10'000);
  EXPECT_EQ(cell.RunningOf(2), 1U);
}

}  // namespace
}  // namespace mustardslip
