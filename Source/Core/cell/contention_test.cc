// Tests what is learned of contention, with simulated VMs whose true slowdowns
// are known.
#include "cell/contention.h"

#include <fmt/core.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "cell/run_progress.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kSeconds = 1'000;

// Runs tasks on VMs and reports them to a model as a VM does: shares in whole
// percent, latencies in whole milliseconds.
class SimulatedTasks {
 public:
  struct Task {
    std::string m_image;
    SampleKind m_kind = SampleKind::kProgress;
    double m_work_ms = 3'000;
    // Of its work; 0 for none.
    std::int64_t m_estimate_ms = 3'000;
    double m_latency_ms = 20;
    // Steps of more than one task; 0 for a step of its own in each run.
    std::uint32_t m_step = 0;
    std::uint32_t m_run = 0;
    double m_percent = 0;
  };
  struct Vm {
    // Known to the model only with `m_speed_is_known`.
    double m_speed = 1;
    bool m_speed_is_known = false;
    std::vector<Task> m_tasks;
    std::int64_t m_next_report_ms = 0;
    std::vector<ObservedRun> m_ended;
  };

  explicit SimulatedTasks(std::size_t vms) : m_vms(vms) {}

  Vm& At(std::size_t vm) { return m_vms.at(vm); }
  ContentionModel& Model() { return m_model; }

  // How many times as long `image` takes beside `by`.
  void SetSlowdown(const std::string& image, const std::string& by,
                   double factor) {
    m_slowdown[{image, by}] = factor;
  }

  // Of a task's work, as a share of it: an even deviation, and one task in 32
  // that takes seven times as long.
  void VaryWork(double deviation) { m_work_deviation = deviation; }

  void Add(std::size_t vm, Task task) {
    Begin(task);
    At(vm).m_tasks.push_back(std::move(task));
  }
  void Add(std::size_t vm, const std::string& image) { Add(vm, Task{image}); }
  void Remove(std::size_t vm, const std::string& image) {
    std::erase_if(At(vm).m_tasks,
                  [&](const Task& task) { return task.m_image == image; });
  }

  // Tasks that end are followed by others of the same image.
  void Run(std::int64_t ms) {
    constexpr std::int64_t kStepMs = 20;
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_now_ms += kStepMs;
      for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Work(m_vms[i], kStepMs);
        if (m_now_ms >= m_vms[i].m_next_report_ms) {
          Report(i);
        }
      }
      m_model.Refresh(m_now_ms);
      for (ContentionChange& change : m_model.TakeChanges()) {
        m_changes.push_back(std::move(change));
      }
    }
  }

  ContentionModel::PairEstimate Estimate(const std::string& image,
                                         const std::string& by) const {
    return m_model.Estimate(image, by).value_or(
        ContentionModel::PairEstimate{});
  }

  std::vector<ContentionChange> m_changes;

 private:
  void Begin(Task& task) {
    task.m_percent = 0;
    task.m_run = ++m_last_run;
    if (m_work_deviation > 0) {
      constexpr std::uint32_t kOneIn = 32;
      constexpr double kLongTask = 7;
      std::uniform_real_distribution<double> spread(1 - m_work_deviation,
                                                    1 + m_work_deviation);
      task.m_work_ms = static_cast<double>(task.m_estimate_ms) *
                       spread(m_random) *
                       (m_random() % kOneIn == 0 ? kLongTask : 1);
    }
  }

  double SlowdownOf(const Vm& vm, const Task& task) const {
    std::map<std::string, double> factors;
    for (const Task& other : vm.m_tasks) {
      const auto found = m_slowdown.find({task.m_image, other.m_image});
      if (&other != &task && found != m_slowdown.end()) {
        factors[other.m_image] = found->second;
      }
    }
    double factor = 1;
    for (const auto& [image, one] : factors) {
      factor *= one;
    }
    return factor;
  }

  void Work(Vm& vm, std::int64_t ms) {
    std::vector<double> slowdowns;
    for (const Task& task : vm.m_tasks) {
      slowdowns.push_back(SlowdownOf(vm, task));
    }
    for (std::size_t i = 0; i < vm.m_tasks.size(); ++i) {
      Task& task = vm.m_tasks[i];
      if (task.m_kind != SampleKind::kProgress) {
        task.m_percent = RunProgress::kWholePercent;
        continue;
      }
      task.m_percent += RunProgress::kWholePercent * vm.m_speed *
                        static_cast<double>(ms) /
                        (task.m_work_ms * slowdowns[i]);
      if (task.m_percent >= RunProgress::kWholePercent) {
        vm.m_ended.push_back(Observe(vm, task));
        Begin(task);
      }
    }
  }

  ObservedRun Observe(const Vm& vm, const Task& task) const {
    TaskRef ref{"one", 0, task.m_step, task.m_run};
    if (task.m_step == 0) {
      ref = {std::to_string(task.m_run), 0, 0, 0};
    }
    return {
        {ref, task.m_run},
        task.m_image,
        task.m_kind,
        task.m_estimate_ms,
        std::floor(task.m_percent),
        std::llround(task.m_latency_ms * SlowdownOf(vm, task) / vm.m_speed)};
  }

  void Report(std::size_t index) {
    constexpr std::int64_t kMinIntervalMs = 300;
    constexpr std::int64_t kIntervalSpreadMs = 500;
    Vm& vm = m_vms[index];
    vm.m_next_report_ms =
        m_now_ms + kMinIntervalMs +
        static_cast<std::int64_t>(m_random() % kIntervalSpreadMs);
    VmObservation observation;
    observation.m_vm = {"vm-" + std::to_string(index), 1};
    // Each VM has a clock of its own.
    observation.m_vm_ms = m_now_ms + static_cast<std::int64_t>(index) * 777;
    observation.m_speed = vm.m_speed_is_known ? vm.m_speed : 1;
    for (const Task& task : vm.m_tasks) {
      observation.m_running.push_back(Observe(vm, task));
    }
    observation.m_ended = std::exchange(vm.m_ended, {});
    m_model.Observe(observation, m_now_ms);
  }

  ContentionModel m_model;
  std::vector<Vm> m_vms;
  std::map<std::pair<std::string, std::string>, double> m_slowdown;
  double m_work_deviation = 0;
  std::int64_t m_now_ms = 1'000;
  std::uint32_t m_last_run = 0;
  std::mt19937 m_random{7};
};

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
      for (int j = 0; j < 10; ++j) {
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

// --- Who shared the VM during a measurement ---

class ContentionSamplerTest : public testing::Test {
 protected:
  static constexpr ImageId kImageA = 1;
  static constexpr ImageId kImageB = 2;

  // Lists "a" with this share, and "b" if `with_neighbor`.
  std::vector<ContentionSample> Report(std::int64_t vm_ms, double percent,
                                       bool with_neighbor,
                                       bool neighbor_ended = false) {
    VmObservation observation;
    observation.m_vm = {"vm-0", 1};
    observation.m_vm_ms = vm_ms;
    observation.m_has_unknown_runs = m_unknown_runs;
    observation.m_running.push_back(
        {{{"1", 0, 0, 0}, 1}, "a", SampleKind::kProgress, 0, percent});
    std::vector<ImageId> images{kImageA};
    if (with_neighbor) {
      observation.m_running.push_back({{{"1", 0, 1, 0}, 1}, "b"});
      images.push_back(kImageB);
    }
    std::vector<ImageId> ended_images;
    if (neighbor_ended) {
      observation.m_ended.push_back({{{"1", 0, 1, 0}, 1}, "b"});
      ended_images.push_back(kImageB);
    }
    return m_sampler.Observe(observation, images, ended_images);
  }

  ContentionSampler m_sampler;
  bool m_unknown_runs = false;
};

// Fails if a neighbor counts that ran only for a part of the window, as seen
// from reports that lag behind: neither with it nor without it.
TEST_F(ContentionSamplerTest, ANeighborCountsOnlyForTheWholeWindow) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  // Started somewhere between the two reports.
  auto samples = Report(2'000, 20, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
  samples = Report(2'500, 30, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(samples[0].m_throughout, (ImageSet{kImageB}));
  EXPECT_DOUBLE_EQ(samples[0].m_log_speed, std::log(10.0 / 500));
  // Ended somewhere between the two reports.
  samples = Report(3'000, 40, false, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
  samples = Report(3'500, 50, false);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_at_any_time.empty());
}

// Fails if a run that began and ended between two reports is overlooked.
TEST_F(ContentionSamplerTest, SeesRunsBetweenTwoReports) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  const auto samples = Report(2'000, 20, false, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_TRUE(samples[0].m_throughout.empty());
  EXPECT_EQ(samples[0].m_at_any_time, (ImageSet{kImageB}));
}

// Fails if a delayed report changes what is known from a newer one.
TEST_F(ContentionSamplerTest, IgnoresDelayedReports) {
  Report(1'000, 0, true);
  Report(1'500, 10, true);
  EXPECT_TRUE(Report(1'200, 4, false).empty());
  const auto samples = Report(2'000, 20, true);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(samples[0].m_throughout, (ImageSet{kImageB}));
}

// Fails if a window spans a silence, in which anything may have run there.
TEST_F(ContentionSamplerTest, AWindowEndsWithASilence) {
  Report(1'000, 0, true);
  Report(1'500, 10, true);
  EXPECT_TRUE(Report(9'000, 50, true).empty());
  Report(9'500, 60, true);
  EXPECT_EQ(Report(10'000, 70, true).size(), 1U);
}

// Fails if a measurement counts during which an unknown run was on the VM.
TEST_F(ContentionSamplerTest, UnknownRunsSpoilAMeasurement) {
  Report(1'000, 0, false);
  Report(1'500, 10, false);
  m_unknown_runs = true;
  EXPECT_TRUE(Report(2'000, 20, false).empty());
  m_unknown_runs = false;
  EXPECT_TRUE(Report(2'500, 30, false).empty());
  EXPECT_EQ(Report(3'000, 40, false).size(), 1U);
}

// Fails if the time in which a run restores its checkpoint counts as slow.
TEST_F(ContentionSamplerTest, MeasuresFromTheFirstProgress) {
  Report(1'000, 40, false);
  EXPECT_TRUE(Report(1'500, 40, false).empty());
  EXPECT_TRUE(Report(2'000, 48, false).empty());
  const auto samples = Report(2'500, 58, false);
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_DOUBLE_EQ(samples[0].m_log_speed, std::log(10.0 / 500));
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
