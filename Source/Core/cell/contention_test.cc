// Tests what is learned of contention, with simulated VMs whose true slowdowns
// are known.
#include "cell/contention.h"

#include <fmt/core.h>
#include <gtest/gtest.h>

#include "cell/simulated_tasks.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kSeconds = 1'000;

// "a" on all VMs, and "b" on each second one.
SimulatedTasks TwoImages(std::size_t vms) {
  SimulatedTasks tasks(vms);
  for (std::size_t i = 0; i < vms; ++i) {
    tasks.Add(i, "a");
    if (i % 2 == 0) {
      tasks.Add(i, "b");
    }
  }
  return tasks;
}

// Fails if a pair that hurts is not found, or the wrong direction of it.
TEST(ContentionTest, FindsAPairThatHurts) {
  SimulatedTasks tasks = TwoImages(12);
  tasks.SetSlowdown("a", "b", 1.8);
  tasks.Run(15 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
  EXPECT_NEAR(tasks.Estimate("a", "b").m_factor, 1.6, 0.25);
  EXPECT_FALSE(tasks.Estimate("b", "a").m_harmful);
  ASSERT_EQ(tasks.m_changes.size(), 1U);
  EXPECT_EQ(tasks.m_changes[0].m_slowed_image, "a");
  EXPECT_EQ(tasks.m_changes[0].m_by_image, "b");
  EXPECT_TRUE(tasks.m_changes[0].m_harmful);
  EXPECT_GE(tasks.m_changes[0].m_samples, 2U);
  EXPECT_EQ(tasks.Model().HarmfulPairs(), 1U);
}

// Fails if the cost of a start leaves out what the task suffers, what it causes
// to each run there, or counts unrelated images.
TEST(ContentionTest, CostsWhatIsSufferedAndCaused) {
  SimulatedTasks tasks = TwoImages(12);
  tasks.SetSlowdown("a", "b", 1.8);
  tasks.Run(15 * kSeconds);
  const double loss = tasks.Estimate("a", "b").m_factor - 1;
  VmState vm;
  vm.AddRun({{"1", 0, 0, 0}, 1}, {{}, false, "b"});
  vm.AddRun({{"1", 0, 0, 1}, 1}, {{}, false, "b"});
  EXPECT_DOUBLE_EQ(tasks.Model().Cost(vm, "a"), loss);
  EXPECT_EQ(tasks.Model().Cost(vm, "b"), 0);
  vm.AddRun({{"1", 0, 1, 0}, 1}, {{}, false, "a"});
  vm.AddRun({{"1", 0, 1, 1}, 1}, {{}, false, "a"});
  EXPECT_DOUBLE_EQ(tasks.Model().Cost(vm, "b"), 2 * loss);
  vm.RemoveRun({{"1", 0, 1, 0}, 1});
  EXPECT_DOUBLE_EQ(tasks.Model().Cost(vm, "b"), loss);
  EXPECT_EQ(tasks.Model().Cost(vm, "c"), 0);
  EXPECT_EQ(tasks.Model().Cost(vm, ""), 0);
}

// Fails if differences in work, or tasks that take seven times as long, pass
// for contention.
TEST(ContentionTest, PairsThatDoNotHurtStayHarmless) {
  SimulatedTasks tasks(24);
  tasks.VaryWork(0.4);
  for (std::size_t i = 0; i < 24; ++i) {
    for (std::size_t j = 0; j < 4; ++j) {
      tasks.Add(i, std::string(1, static_cast<char>('a' + (i + j) % 6)));
    }
  }
  tasks.Run(60 * kSeconds);
  EXPECT_TRUE(tasks.m_changes.empty());
  EXPECT_GE(tasks.Model().Pairs(), 20U);
}

// Fails if the same differences hide a pair that hurts, or if images that share
// VMs with it are blamed.
TEST(ContentionTest, BlamesOnlyTheImageThatHurts) {
  SimulatedTasks tasks(24);
  tasks.VaryWork(0.4);
  tasks.SetSlowdown("a", "b", 2);
  for (std::size_t i = 0; i < 24; ++i) {
    tasks.Add(i, "a");
    tasks.Add(i, i % 2 == 0 ? "b" : "c");
    tasks.Add(i, i % 3 == 0 ? "d" : "e");
  }
  tasks.Run(30 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
  EXPECT_FALSE(tasks.Estimate("a", "c").m_harmful);
  EXPECT_FALSE(tasks.Estimate("a", "d").m_harmful);
  EXPECT_FALSE(tasks.Estimate("a", "e").m_harmful);
  EXPECT_EQ(tasks.Model().HarmfulPairs(), 1U);
}

// Fails if tasks of one image that slow each other down are not found.
TEST(ContentionTest, AnImageCanHurtItself) {
  SimulatedTasks tasks(12);
  tasks.SetSlowdown("a", "a", 1.8);
  for (std::size_t i = 0; i < 12; ++i) {
    tasks.Add(i, "a");
    if (i % 2 == 0) {
      tasks.Add(i, "a");
    }
  }
  tasks.Run(15 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "a").m_harmful);
}

// Fails if an estimate outlives a change of what an image does.
TEST(ContentionTest, FollowsAnImageThatChanges) {
  SimulatedTasks tasks = TwoImages(12);
  tasks.Run(20 * kSeconds);
  EXPECT_FALSE(tasks.Estimate("a", "b").m_harmful);
  tasks.SetSlowdown("a", "b", 2);
  tasks.Run(20 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
  tasks.SetSlowdown("a", "b", 1);
  tasks.Run(20 * kSeconds);
  EXPECT_FALSE(tasks.Estimate("a", "b").m_harmful);
  ASSERT_EQ(tasks.m_changes.size(), 2U);
  EXPECT_FALSE(tasks.m_changes[1].m_harmful);
}

// Fails if a pair that no longer shares a VM is kept apart for ever.
TEST(ContentionTest, ForgetsWithoutNewSamples) {
  SimulatedTasks tasks = TwoImages(12);
  tasks.SetSlowdown("a", "b", 2);
  tasks.Run(15 * kSeconds);
  ASSERT_TRUE(tasks.Estimate("a", "b").m_harmful);
  for (std::size_t i = 0; i < 12; ++i) {
    tasks.Remove(i, "b");
  }
  tasks.Run(10 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
  tasks.Run(40 * kSeconds);
  EXPECT_FALSE(tasks.Model().Estimate("a", "b"));
  ASSERT_EQ(tasks.m_changes.size(), 2U);
  EXPECT_FALSE(tasks.m_changes[1].m_harmful);
}

// Fails if the memory grows with the number of images, or if a pair that hurts
// gets lost among a thousand others.
TEST(ContentionTest, ThousandImages) {
  SimulatedTasks tasks(200);
  tasks.SetSlowdown("hurt", "hurting", 2);
  for (std::size_t i = 0; i < 200; ++i) {
    for (std::size_t j = 0; j < 5; ++j) {
      tasks.Add(i, "image-" + std::to_string(5 * i + j));
    }
    if (i < 24) {
      tasks.Add(i, "hurt");
    }
    if (i < 12) {
      tasks.Add(i, "hurting");
    }
  }
  tasks.Run(10 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("hurt", "hurting").m_harmful);
  EXPECT_EQ(tasks.Model().HarmfulPairs(), 1U);
  EXPECT_EQ(tasks.Model().Images(), 1'002U);
}

// Fails if more images or pairs are kept than the limits allow.
TEST(ContentionTest, MemoryIsBounded) {
  SimulatedTasks tasks(40);
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = 0; i < 40; ++i) {
      tasks.At(i).m_tasks.clear();
      for (std::size_t j = 0; j < 10; ++j) {
        tasks.Add(i, fmt::format("{}-{}", round, (7 * i + 13 * j) % 100));
      }
    }
    tasks.Run(3 * kSeconds);
    EXPECT_LE(tasks.Model().Images(), ContentionModel::kMaxImages);
    EXPECT_LE(tasks.Model().Pairs(), ContentionModel::kMaxPairs);
  }
  EXPECT_EQ(tasks.Model().Images(), ContentionModel::kMaxImages);
}

// Fails if a VM that is slow for all is learned as contention with what runs
// there: "b" is placed as often on slow VMs as on others, whose speeds are not
// known.
TEST(ContentionTest, UnknownSlowVmsAreNotContention) {
  SimulatedTasks tasks(40);
  tasks.VaryWork(0.2);
  for (std::size_t i = 0; i < 40; ++i) {
    tasks.At(i).m_speed = i % 4 == 0 ? 0.55 : 1.2;
    tasks.Add(i, "a");
    if (i % 8 < 4) {
      tasks.Add(i, "b");
    }
  }
  tasks.Run(40 * kSeconds);
  EXPECT_TRUE(tasks.m_changes.empty());
}

// Fails if a known speed is not divided out: "b" runs only on slow VMs.
TEST(ContentionTest, KnownSlowVmsAreNotContention) {
  SimulatedTasks tasks(24);
  for (std::size_t i = 0; i < 24; ++i) {
    SimulatedTasks::Vm& vm = tasks.At(i);
    vm.m_speed = i % 2 == 0 ? 0.55 : 1.2;
    vm.m_speed_is_known = true;
    tasks.Add(i, "a");
    tasks.Add(i, {"serving", SampleKind::kLatency});
    if (i % 2 == 0) {
      tasks.Add(i, "b");
    }
  }
  tasks.Run(20 * kSeconds);
  EXPECT_TRUE(tasks.m_changes.empty());
}

// Fails if contention is missed where the VM with the pair is also fast.
TEST(ContentionTest, FindsAPairOnFastVms) {
  SimulatedTasks tasks(24);
  tasks.SetSlowdown("a", "b", 2);
  for (std::size_t i = 0; i < 24; ++i) {
    SimulatedTasks::Vm& vm = tasks.At(i);
    vm.m_speed = i % 2 == 0 ? 1.2 : 0.6;
    vm.m_speed_is_known = true;
    tasks.Add(i, "a");
    if (i % 2 == 0) {
      tasks.Add(i, "b");
    }
  }
  tasks.Run(20 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
}

// Fails if the samples of one VM are enough, however many: it may be slow.
TEST(ContentionTest, OneVmShowsNothing) {
  SimulatedTasks tasks(8);
  tasks.At(0).m_speed = 0.3;
  for (std::size_t i = 0; i < 8; ++i) {
    tasks.Add(i, "a");
    tasks.Add(i, "a");
  }
  tasks.Add(0, "b");
  tasks.Run(30 * kSeconds);
  EXPECT_EQ(tasks.Estimate("a", "b").m_factor, 1);
  EXPECT_TRUE(tasks.m_changes.empty());
}

// Fails if few samples count as much as many.
TEST(ContentionTest, FewSamplesShrinkTowardsNoEffect) {
  double last = 1;
  for (const std::size_t with_neighbor : {1U, 2U, 4U, 12U}) {
    SimulatedTasks tasks(24);
    tasks.SetSlowdown("a", "b", 2);
    for (std::size_t i = 0; i < 24; ++i) {
      tasks.Add(i, "a");
      if (i < with_neighbor) {
        tasks.Add(i, "b");
      }
    }
    tasks.Run(10 * kSeconds);
    const double factor = tasks.Estimate("a", "b").m_factor;
    EXPECT_LT(factor, 2);
    EXPECT_GE(factor, last);
    last = factor;
  }
  EXPECT_GT(last, 1.6);
}

// Fails if something is learned of tasks without an image, or without runs to
// compare with.
TEST(ContentionTest, LearnsNothingWithoutImagesOrComparisons) {
  SimulatedTasks tasks(12);
  tasks.SetSlowdown("a", "", 2);
  tasks.SetSlowdown("", "a", 2);
  tasks.SetSlowdown("c", "d", 2);
  for (std::size_t i = 0; i < 12; ++i) {
    tasks.Add(i, "a");
    tasks.Add(i, "c");
    tasks.Add(i, "d");
    if (i % 2 == 0) {
      tasks.Add(i, "");
    }
  }
  tasks.Run(20 * kSeconds);
  EXPECT_TRUE(tasks.m_changes.empty());
  EXPECT_EQ(tasks.Model().Images(), 3U);
  EXPECT_FALSE(tasks.Model().Estimate("c", "d"));
}

// Fails if runs without an estimated run time, which are comparable only within
// their step, teach nothing or are compared across steps.
TEST(ContentionTest, ComparesTasksOfOneStepWithoutEstimates) {
  SimulatedTasks tasks(12);
  tasks.SetSlowdown("a", "b", 2);
  for (std::size_t i = 0; i < 12; ++i) {
    // Without estimates, tasks of step 2 look as if they were slowed down.
    const std::uint32_t step = i < 6 ? 1 : 2;
    SimulatedTasks::Task task{"a"};
    task.m_estimate_ms = 0;
    task.m_step = step;
    task.m_work_ms = step * 3'000.0;
    tasks.Add(i, task);
    if (i % 3 == 0) {
      tasks.Add(i, "b");
    }
    if (step == 2) {
      tasks.Add(i, "c");
    }
  }
  tasks.Run(15 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("a", "b").m_harmful);
  EXPECT_FALSE(tasks.Model().Estimate("a", "c"));
}

// Fails if a serving task's tail latency does not show what slows it down.
TEST(ContentionTest, LatencyOfServingTasksShowsContention) {
  SimulatedTasks tasks(12);
  tasks.SetSlowdown("serving", "batch", 1.8);
  for (std::size_t i = 0; i < 12; ++i) {
    tasks.Add(i, {"serving", SampleKind::kLatency});
    tasks.Add(i, i % 2 == 0 ? "batch" : "other");
  }
  tasks.Run(10 * kSeconds);
  EXPECT_TRUE(tasks.Estimate("serving", "batch").m_harmful);
  EXPECT_FALSE(tasks.Estimate("serving", "other").m_harmful);
}

// Fails if the rounding of short latencies passes for contention.
TEST(ContentionTest, RoundedLatenciesAreNotContention) {
  SimulatedTasks tasks(12);
  tasks.SetSlowdown("serving", "batch", 1.1);
  for (std::size_t i = 0; i < 12; ++i) {
    SimulatedTasks::Task task{"serving", SampleKind::kLatency};
    task.m_latency_ms = 5;
    tasks.Add(i, task);
    if (i % 2 == 0) {
      tasks.Add(i, "batch");
    }
  }
  tasks.Run(10 * kSeconds);
  EXPECT_TRUE(tasks.m_changes.empty());
}

// --- The costs in a pass ---

// Fails if small differences in cost change the order of VMs, or starts that
// the pass has planned are left out.
TEST(PassContentionTest, CountsPlannedStartsInCoarseLevels) {
  SimulatedTasks tasks = TwoImages(12);
  tasks.SetSlowdown("a", "b", 2);
  tasks.Run(15 * kSeconds);
  PassContention pass(&tasks.Model());
  VmState vm;
  EXPECT_EQ(pass.CostLevel(vm, "a"), 0);
  pass.OnPlanned(vm, "b");
  const int level = pass.CostLevel(vm, "a");
  EXPECT_GT(level, 0);
  for (int i = 0; i < 3; ++i) {
    pass.OnPlanned(vm, "a");
  }
  EXPECT_EQ(pass.CostLevel(vm, "a"), level);
  EXPECT_GT(pass.CostLevel(vm, "b"), level);
  EXPECT_EQ(pass.CostLevel(VmState(), "a"), 0);
  EXPECT_FALSE(pass.Matters("c"));
  EXPECT_EQ(PassContention(nullptr).CostLevel(vm, "a"), 0);
}

}  // namespace
}  // namespace mustardslip
