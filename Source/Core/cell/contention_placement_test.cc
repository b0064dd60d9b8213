// Tests that placement keeps tasks apart that slow each other down, where there
// is room, and never waits for it.
#include <gtest/gtest.h>

#include <algorithm>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

class ContentionPlacementTest : public testing::Test {
 protected:
  static constexpr Resources kVmCapacity{64'000, 128'000, 0};
  static constexpr std::int64_t kTaskCpu = 10'000;
  static constexpr int kVms = 8;

  ContentionPlacementTest() { AddVms(); }

  void AddVms() {
    for (int i = 0; i < kVms; ++i) {
      m_cell.AddVm(Vm(i), kVmCapacity, {Vm(i)});
    }
  }

  static std::string Vm(int i) { return "vm-" + std::to_string(i); }

  static StepSpec Step(const std::string& image, std::uint32_t count) {
    StepSpec step = CellHarness::Step(count, kTaskCpu);
    step.m_image = image;
    return step;
  }
  static StepSpec StepOn(int vm, const std::string& image,
                         std::uint32_t count = 1) {
    StepSpec step = Step(image, count);
    step.m_required_label = Vm(vm);
    return step;
  }

  void AvoidContention() {
    m_cell = CellHarness({.m_avoid_contention = true});
    AddVms();
  }

  // Runs "a" on all VMs and "b" on half of them, where both take twice as long.
  // "b" runs nowhere else, so only "a" is known to be slowed down.
  void Train() {
    for (int i = 0; i < kVms; ++i) {
      constexpr double kRate = 0.025;
      std::vector<StepSpec> steps{StepOn(i, "a")};
      if (i % 2 == 0) {
        steps.push_back(StepOn(i, "b"));
      }
      m_cell.Vm(Vm(i)).m_percent_per_ms = i % 2 == 0 ? kRate / 2 : kRate;
      m_cell.Submit(m_cell.Job(m_training_job + i, steps));
    }
    m_cell.Run(3'000);
    for (int i = 0; i < kVms; ++i) {
      m_cell.End(m_training_job + i, RunEnd::kDone);
    }
    m_training_job += kVms;
    m_cell.Run(500);
  }

  // Where the tasks of the job were started, in order of the starts.
  std::vector<std::string> StartsOf(int job) const {
    std::vector<std::string> vms;
    for (const StartRun& start : m_cell.m_starts) {
      if (start.m_task.m_job == CellHarness::Id(job)) {
        vms.push_back(start.m_vm.m_id);
      }
    }
    return vms;
  }
  bool StartedOn(int job, const std::string& vm) const {
    const std::vector<std::string> vms = StartsOf(job);
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
  }

  CellHarness m_cell;
  // Number of the first job of the next training.
  int m_training_job = 100;
};

// Fails if a task starts beside a task that slows it down although there is
// room elsewhere: best fit alone chooses that VM.
TEST_F(ContentionPlacementTest, KeepsAPairApart) {
  AvoidContention();
  Train();
  ASSERT_EQ(m_cell.Core().Contention()->HarmfulPairs(), 1U);
  ASSERT_EQ(m_cell.m_contention_changes.size(), 1U);
  EXPECT_EQ(m_cell.m_contention_changes[0].m_slowed_image, "a");
  EXPECT_EQ(m_cell.m_contention_changes[0].m_by_image, "b");
  m_cell.Submit(m_cell.Job(1, {StepOn(0, "b")}));
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(2, {Step("a", 3)}));
  m_cell.Run(100);
  EXPECT_EQ(m_cell.RunningOf(2), 3U);
  EXPECT_FALSE(StartedOn(2, Vm(0)));
  // The third task starts where the first two are, as it would anyway.
  EXPECT_EQ(m_cell.Core().Counters().m_starts_apart, 2U);
  // The other way round: "b" would slow down the tasks that run there.
  const std::string with_a = StartsOf(2)[0];
  m_cell.Submit(m_cell.Job(3, {Step("b", 3)}));
  m_cell.Run(100);
  EXPECT_EQ(m_cell.RunningOf(3), 3U);
  EXPECT_FALSE(StartedOn(3, with_a));
}

// Fails if a deployment that did not ask for it is scheduled in another way.
TEST_F(ContentionPlacementTest, ChangesNothingUnlessEnabled) {
  Train();
  EXPECT_EQ(m_cell.Core().Contention(), nullptr);
  m_cell.Submit(m_cell.Job(1, {StepOn(0, "b")}));
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(2, {Step("a", 3)}));
  m_cell.Run(100);
  EXPECT_EQ(StartsOf(2), (std::vector<std::string>(3, Vm(0))));
  EXPECT_TRUE(m_cell.m_contention_changes.empty());
}

// Fails if tasks that hurt each other start together because one pass plans
// them.
TEST_F(ContentionPlacementTest, KeepsStartsOfOnePassApart) {
  AvoidContention();
  Train();
  m_cell.Submit(m_cell.Job(1, {Step("b", 2)}));
  m_cell.Submit(m_cell.Job(2, {Step("a", 2)}));
  m_cell.Run(50);
  ASSERT_EQ(StartsOf(1).size(), 2U);
  ASSERT_EQ(StartsOf(2).size(), 2U);
  for (const std::string& vm : StartsOf(1)) {
    EXPECT_FALSE(StartedOn(2, vm));
  }
}

// Fails if work waits, or is refused, since the only room is beside a task that
// slows it down.
TEST_F(ContentionPlacementTest, StartsBesideWithoutRoomElsewhere) {
  AvoidContention();
  Train();
  m_cell.Submit(m_cell.Job(1, {StepOn(0, "b")}));
  for (int i = 1; i < kVms; ++i) {
    m_cell.Submit(m_cell.Job(10 + i, {StepOn(i, "", 6)}));
  }
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(2, {Step("a", 5)}));
  m_cell.Run(50);
  EXPECT_EQ(StartsOf(2), (std::vector<std::string>(5, Vm(0))));
}

// Fails if images that do not hurt each other are spread over VMs.
TEST_F(ContentionPlacementTest, BestFitDecidesBetweenHarmlessImages) {
  AvoidContention();
  Train();
  m_cell.Submit(m_cell.Job(1, {StepOn(3, "c")}));
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(2, {Step("a", 3)}));
  m_cell.Run(100);
  EXPECT_EQ(StartsOf(2), (std::vector<std::string>(3, Vm(3))));
  EXPECT_EQ(m_cell.Core().Counters().m_starts_apart, 0U);
}

// Fails if the preferred rack counts less than contention.
TEST_F(ContentionPlacementTest, ThePreferredRackComesFirst) {
  AvoidContention();
  Train();
  m_cell.Submit(m_cell.Job(1, {StepOn(0, "b")}));
  m_cell.Run(100);
  StepSpec step = Step("a", 2);
  step.m_rack_affinity = Vm(0);
  m_cell.Submit(m_cell.Job(2, {step}));
  m_cell.Run(100);
  EXPECT_EQ(StartsOf(2), (std::vector<std::string>(2, Vm(0))));
}

// Fails if a gang takes VMs where its members are slowed down before others.
TEST_F(ContentionPlacementTest, GangsPreferOtherVms) {
  AvoidContention();
  Train();
  for (int i = 0; i < kVms; ++i) {
    m_cell.Submit(m_cell.Job(10 + i, {StepOn(i, i < kVms / 2 ? "b" : "c", 2)}));
  }
  m_cell.Run(100);
  StepSpec gang = Step("a", 10);
  gang.m_gang = true;
  m_cell.Submit(m_cell.Job(1, {gang}));
  m_cell.Run(100);
  ASSERT_EQ(StartsOf(1).size(), 10U);
  for (int i = 0; i < kVms / 2; ++i) {
    EXPECT_FALSE(StartedOn(1, Vm(i)));
  }
}

// Fails if a gang waits for room apart from tasks that slow it down.
TEST_F(ContentionPlacementTest, GangsStartBesideWithoutRoomElsewhere) {
  AvoidContention();
  Train();
  for (int i = 0; i < kVms; ++i) {
    m_cell.Submit(m_cell.Job(10 + i, {StepOn(i, "b")}));
  }
  m_cell.Run(100);
  StepSpec gang = Step("a", 20);
  gang.m_gang = true;
  m_cell.Submit(m_cell.Job(1, {gang}));
  m_cell.Run(50);
  EXPECT_EQ(StartsOf(1).size(), 20U);
}

// Fails if a new owner, which knows nothing, does not start work, miscounts the
// tasks that it took over, or does not learn again.
TEST_F(ContentionPlacementTest, ANewOwnerLearnsAgain) {
  AvoidContention();
  Train();
  m_cell.Submit(m_cell.Job(1, {StepOn(0, "b")}));
  m_cell.Run(100);
  m_cell.TakeOver();
  m_cell.Run(100);
  EXPECT_EQ(m_cell.Core().Contention()->HarmfulPairs(), 0U);
  EXPECT_EQ(m_cell.Core().State().FindListedVm(Vm(0))->m_images,
            (ImageCounts{{"b", 1}}));
  m_cell.Submit(m_cell.Job(2, {Step("a", 1)}));
  m_cell.Run(100);
  EXPECT_TRUE(StartedOn(2, Vm(0)));
  m_cell.End(1, RunEnd::kDone);
  m_cell.End(2, RunEnd::kDone);
  m_cell.Run(100);
  Train();
  EXPECT_EQ(m_cell.Core().Contention()->HarmfulPairs(), 1U);
}

// Fails if the latency that a VM reports for a serving task is not used, or if
// the CPU in use of another task passes for a latency.
TEST_F(ContentionPlacementTest, LearnsFromTheLatencyOfServingTasks) {
  AvoidContention();
  for (int i = 0; i < kVms; ++i) {
    StepSpec serving = StepOn(i, "serving");
    serving.m_long_lived = true;
    serving.m_target_latency_ms = 50;
    StepSpec other = StepOn(i, "other");
    other.m_long_lived = true;
    std::vector<StepSpec> steps{serving, other};
    if (i % 2 == 0) {
      steps.push_back(StepOn(i, "batch"));
    }
    m_cell.Submit(m_cell.Job(1 + i, steps));
  }
  m_cell.Run(100);
  for (int i = 0; i < kVms; ++i) {
    SimulatedVm& vm = m_cell.Vm(Vm(i));
    vm.m_usage_or_latency = i % 2 == 0 ? 60 : 30;
    vm.m_percent_per_ms = 0;
    for (const SimulatedVm::Running& run : vm.m_running) {
      if (run.m_task.m_step < 2) {
        vm.m_percent[{run.m_task, run.m_run}] = RunProgress::kWholePercent;
      }
    }
  }
  m_cell.Run(3'000);
  ASSERT_EQ(m_cell.m_contention_changes.size(), 1U);
  EXPECT_EQ(m_cell.m_contention_changes[0].m_slowed_image, "serving");
  EXPECT_EQ(m_cell.m_contention_changes[0].m_by_image, "batch");
}

}  // namespace
}  // namespace mustardslip
