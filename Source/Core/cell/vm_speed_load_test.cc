// Tests placement by the speed of the VMs: a fleet on which runs take as long
// as the speed of their VMs makes them, with gangs, batch work and urgent work.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <set>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

constexpr Resources kVmCapacity{16'000, 64'000, 0};
constexpr double kSlow = 0.55;
constexpr double kFast = 1.2;
constexpr std::int64_t kStepMs = 50;

enum class Kind { kGang, kBatch, kUrgent };

struct JobKind {
  std::int64_t m_priority = 0;
  std::uint32_t m_tasks = 1;
  std::int64_t m_cpu_millis = 0;
  double m_work_ms = 0;
  double m_stretch = 2;
  std::int64_t m_target_ms = 0;
};

const std::map<Kind, JobKind> kKinds = {
    {Kind::kGang, {1, 20, 4'500, 3'400, 2.2, 1'000}},
    {Kind::kBatch, {2, 25, 1'700, 2'300, 4.0, 3'000}},
    {Kind::kUrgent, {0, 3, 2'500, 540, 1.5, 250}}};

class LoadedFleet {
 public:
  explicit LoadedFleet(bool place_by_speed)
      : m_cell(CellFeatures{place_by_speed}) {}

  void AddVms(const std::vector<double>& speeds) {
    for (const double speed : speeds) {
      const std::string id = "vm-" + std::to_string(m_speeds.size());
      // The driver moves the progress of the runs.
      m_cell.AddVm(id, kVmCapacity).m_percent_per_ms = 0;
      m_speeds[id] = speed;
    }
    m_cell.Run(100);
  }

  // Every fourth VM is slow.
  static std::vector<double> QuarterSlow(std::size_t vms) {
    std::vector<double> speeds(vms, kFast);
    for (std::size_t i = 0; i < vms; i += 4) {
      speeds[i] = kSlow;
    }
    return speeds;
  }

  int Submit(Kind kind, bool advised = false) {
    const JobKind& shape = kKinds.at(kind);
    const int number = ++m_last_job;
    QueueRules queue = m_cell.Queue(std::to_string(shape.m_priority));
    queue.m_priority = shape.m_priority;
    queue.m_stretch = shape.m_stretch;
    queue.m_target_latency_ms = shape.m_target_ms;
    queue.m_needs_advice = advised;
    StepSpec step = CellHarness::Step(shape.m_tasks, shape.m_cpu_millis);
    step.m_gang = kind == Kind::kGang;
    // All tasks of a job have the same error of the declared time.
    const double error = kind == Kind::kUrgent ? m_urgent_error : 0.1;
    step.m_estimate_ms = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(shape.m_work_ms *
                                     (1 + error * (2 * Uniform() - 1))));
    for (std::uint32_t i = 0; i < shape.m_tasks; ++i) {
      const double tail =
          kind != Kind::kGang && Uniform() < m_tail_share ? 7 : 1;
      const double spread = 1 + m_work_spread * (2 * Uniform() - 1);
      m_work[{number, i}] = shape.m_work_ms * spread * tail;
    }
    m_jobs[number] = {kind, m_now_ms, shape.m_tasks, 0};
    m_cell.Submit(m_cell.Job(number, {step}, queue));
    return number;
  }

  // Submits jobs of each kind at these rates per second, at regular times.
  void Load(std::int64_t ms, const std::map<Kind, double>& rates) {
    for (const std::int64_t end = m_now_ms + ms; m_now_ms < end;) {
      for (const auto& [kind, rate] : rates) {
        m_due[kind] += rate * kStepMs / 1'000;
        for (; m_due[kind] >= 1; m_due[kind] -= 1) {
          Submit(kind);
        }
      }
      Run();
    }
  }

  void RunFor(std::int64_t ms) { Load(ms, {}); }

  // The mean time from the submission to the end of the jobs of the kind that
  // were submitted from this time on. Unfinished jobs count up to now.
  double MeanMs(Kind kind, std::int64_t from_ms) const {
    double sum = 0;
    int count = 0;
    for (const auto& [number, job] : m_jobs) {
      if (job.m_kind == kind && job.m_submitted_ms >= from_ms) {
        sum += static_cast<double>(
            (job.m_ended_ms == 0 ? m_now_ms : job.m_ended_ms) -
            job.m_submitted_ms);
        ++count;
      }
    }
    return sum / count;
  }

  std::size_t Unfinished() const {
    return static_cast<std::size_t>(std::count_if(
        m_jobs.begin(), m_jobs.end(),
        [](const auto& one) { return one.second.m_ended_ms == 0; }));
  }

  double Of(const std::string& id) {
    return m_cell.Core().Speeds().Of(m_cell.Vm(id).m_description.m_incarnation);
  }
  bool IsSlow(const std::string& id) const { return m_speeds.at(id) < 1; }
  // Less than a fifth of their processors is free.
  bool FastVmsAreScarce() {
    std::int64_t free = 0;
    std::int64_t total = 0;
    for (const auto& [id, speed] : m_speeds) {
      if (!IsSlow(id)) {
        const VmState& vm = *m_cell.Core().State().FindListedVm(id);
        free += vm.Free().m_cpu_millis;
        total += kVmCapacity.m_cpu_millis;
      }
    }
    return free * 5 < total;
  }
  // How many runs of the job are on slow VMs.
  std::size_t OnSlowVms(int number) {
    std::size_t count = 0;
    for (const auto& [id, speed] : m_speeds) {
      for (const SimulatedVm::Running& run : m_cell.Vm(id).m_running) {
        count += IsSlow(id) && run.m_task.m_job == CellHarness::Id(number);
      }
    }
    return count;
  }

  CellHarness m_cell;
  std::map<std::string, double> m_speeds;
  double m_tail_share = 0;
  double m_urgent_error = 0.1;
  double m_work_spread = 0;
  std::int64_t m_now_ms = 0;

 private:
  struct JobEnd {
    Kind m_kind = Kind::kGang;
    std::int64_t m_submitted_ms = 0;
    std::uint32_t m_left = 0;
    std::int64_t m_ended_ms = 0;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void Run() {
    m_now_ms += kStepMs;
    std::map<int, std::vector<std::pair<std::string, SimulatedVm::Running>>>
        finished;
    for (const auto& [id, speed] : m_speeds) {
      SimulatedVm& vm = m_cell.Vm(id);
      for (const SimulatedVm::Running& run : vm.m_running) {
        const int number = std::stoi(run.m_task.m_job);
        // The harness caps the reported share below 100.
        double& done = m_done_ms[{run.m_task, run.m_run}];
        const double work = m_work.at({number, run.m_task.m_index});
        done = std::min(work, done + kStepMs * speed);
        vm.m_percent[{run.m_task, run.m_run}] = 100 * done / work;
        if (done >= work) {
          finished[number].emplace_back(id, run);
        }
      }
    }
    for (const auto& [number, runs] : finished) {
      JobEnd& job = m_jobs.at(number);
      // Members of a gang end together.
      if (job.m_kind == Kind::kGang && runs.size() < job.m_left) {
        continue;
      }
      for (const auto& [id, run] : runs) {
        CellHarness::EndRun(m_cell.Vm(id), run, RunEnd::kDone);
        m_cell.Vm(id).m_percent.erase({run.m_task, run.m_run});
        m_done_ms.erase({run.m_task, run.m_run});
      }
      job.m_left -= static_cast<std::uint32_t>(runs.size());
      job.m_ended_ms = job.m_left == 0 ? m_now_ms : 0;
    }
    m_cell.Run(kStepMs);
  }

  std::map<Kind, double> m_due;
  std::map<int, JobEnd> m_jobs;
  // Work of each task at speed 1, by number of the job and index.
  std::map<std::pair<int, std::uint32_t>, double> m_work;
  // Work done of each run on the VMs.
  std::map<RunKey, double> m_done_ms;
  int m_last_job = 0;
  std::mt19937_64 m_random{11};
};

constexpr std::int64_t kWarmUpMs = 10'000;
constexpr std::int64_t kMeasuredMs = 30'000;
constexpr std::size_t kVms = 60;
// More than half of the fleet's speed.
const std::map<Kind, double> kUsualLoad = {
    {Kind::kGang, 0.8}, {Kind::kBatch, 1.8}, {Kind::kUrgent, 24.0}};
// Teaches the speeds quickly.
const std::map<Kind, double> kLearningLoad = {{Kind::kBatch, 4.0}};

struct Means {
  double m_gang = 0;
  double m_batch = 0;
  double m_urgent = 0;

  bool operator==(const Means&) const = default;
};

Means MeansOf(bool place_by_speed, const std::vector<double>& speeds,
              double tail_share, double urgent_error, double work_spread) {
  LoadedFleet fleet(place_by_speed);
  fleet.m_tail_share = tail_share;
  fleet.m_urgent_error = urgent_error;
  fleet.m_work_spread = work_spread;
  fleet.AddVms(speeds);
  fleet.Load(kWarmUpMs + kMeasuredMs, kUsualLoad);
  fleet.RunFor(kWarmUpMs);
  EXPECT_TRUE(fleet.m_cell.m_started_twice.empty());
  return {fleet.MeanMs(Kind::kGang, kWarmUpMs),
          fleet.MeanMs(Kind::kBatch, kWarmUpMs),
          fleet.MeanMs(Kind::kUrgent, kWarmUpMs)};
}

// The time with the choice, as a share of the time without it, if the choice
// gains half of what it can gain at most: all work on fast VMs instead of a
// share `slow_share` of it on slow ones.
double HalfOfTheGain(double slow_share) {
  const double without = slow_share / kSlow + (1 - slow_share) / kFast;
  return (1 + 1 / kFast / without) / 2;
}

// Fails if gangs and urgent work run on slow VMs although fast ones have room.
// A gang of 20 needs at least seven VMs and an urgent job of three tasks at
// least one, a quarter of which are slow, and each ends with its slowest task.
TEST(VmSpeedLoadTest, WorkEndsSoonerOnAFleetOfUnequalVms) {
  const std::vector<double> speeds = LoadedFleet::QuarterSlow(kVms);
  const Means without = MeansOf(false, speeds, 0, 0.1, 0.2);
  const Means with = MeansOf(true, speeds, 0, 0.1, 0.2);
  EXPECT_LT(with.m_gang, without.m_gang * HalfOfTheGain(1 - std::pow(0.75, 7)));
  EXPECT_LT(with.m_urgent, without.m_urgent * HalfOfTheGain(0.25));
  EXPECT_LT(with.m_batch, without.m_batch * HalfOfTheGain(0.25));
}

// The same with independent tasks of which 3 in 100 take seven times as long,
// and declared times of urgent work that are off by up to 0.9. Fails if they
// hide the speeds.
TEST(VmSpeedLoadTest, LongTasksAndWrongEstimatesDoNotHideTheSpeeds) {
  const std::vector<double> speeds = LoadedFleet::QuarterSlow(kVms);
  const Means without = MeansOf(false, speeds, 0.03, 0.9, 0.2);
  const Means with = MeansOf(true, speeds, 0.03, 0.9, 0.2);
  EXPECT_LT(with.m_gang, without.m_gang * HalfOfTheGain(1 - std::pow(0.75, 7)));
  EXPECT_LT(with.m_urgent, without.m_urgent);
  EXPECT_LT(with.m_batch, without.m_batch);
}

// Fails if work is placed in another way on VMs that are equally fast: noise
// would be taken for speed, and best fit would be lost.
TEST(VmSpeedLoadTest, EqualSpeedsChangeNothing) {
  const std::vector<double> speeds(kVms, 1.0);
  EXPECT_EQ(MeansOf(true, speeds, 0, 0.9, 0.2),
            MeansOf(false, speeds, 0, 0.9, 0.2));
}

class VmSpeedPlacementTest : public testing::Test {
 protected:
  static constexpr std::size_t kFewVms = 24;

  // All VMs are idle and their speeds known.
  VmSpeedPlacementTest() {
    m_fleet.AddVms(LoadedFleet::QuarterSlow(kFewVms));
    m_fleet.Load(15'000, kLearningLoad);
    m_fleet.RunFor(8'000);
  }

  LoadedFleet m_fleet{true};
};

// Fails if the speeds are not learned from what the VMs report.
TEST_F(VmSpeedPlacementTest, LearnsFromReports) {
  EXPECT_EQ(m_fleet.Unfinished(), 0U);
  for (const auto& [id, speed] : m_fleet.m_speeds) {
    EXPECT_EQ(m_fleet.Of(id) < 0.8, m_fleet.IsSlow(id)) << id;
  }
}

// Fails if a change of the estimate is not logged.
TEST_F(VmSpeedPlacementTest, ReportsTheChangesOfTheEstimates) {
  std::set<std::string> slower;
  for (const VmSpeedChange& change : m_fleet.m_cell.m_speed_changes) {
    if (change.m_after < change.m_before) {
      slower.insert(change.m_vm.m_id);
    }
  }
  for (const auto& [id, speed] : m_fleet.m_speeds) {
    EXPECT_EQ(slower.count(id) != 0, m_fleet.IsSlow(id)) << id;
  }
}

// Fails if a gang that the fast VMs hold gets a slow one.
TEST_F(VmSpeedPlacementTest, GangRunsOnFastVms) {
  const int gang = m_fleet.Submit(Kind::kGang);
  m_fleet.RunFor(200);
  EXPECT_EQ(m_fleet.m_cell.RunningOf(gang), 20U);
  EXPECT_EQ(m_fleet.OnSlowVms(gang), 0U);
}

// Fails if tasks wait although slow VMs are free.
TEST_F(VmSpeedPlacementTest, NothingWaitsBecauseOnlySlowVmsAreFree) {
  // 18 fast VMs hold two gangs of 20 tasks, three on each VM, and 14 tasks of
  // the third one.
  std::vector<int> gangs;
  for (int i = 0; i < 3; ++i) {
    gangs.push_back(m_fleet.Submit(Kind::kGang));
    m_fleet.RunFor(100);
  }
  const int urgent = m_fleet.Submit(Kind::kUrgent);
  m_fleet.RunFor(100);
  for (const int gang : gangs) {
    EXPECT_EQ(m_fleet.m_cell.RunningOf(gang), 20U);
  }
  EXPECT_EQ(m_fleet.OnSlowVms(gangs[0]) + m_fleet.OnSlowVms(gangs[1]), 0U);
  EXPECT_EQ(m_fleet.m_cell.RunningOf(urgent), 3U);
}

// Fails if batch work with slack takes the last room on the fast VMs: urgent
// work then runs on slow ones.
TEST_F(VmSpeedPlacementTest, WorkWithSlackLeavesScarceFastVms) {
  for (int i = 0; i < 2; ++i) {
    m_fleet.Submit(Kind::kGang);
    m_fleet.RunFor(100);
  }
  // With 21 more tasks on the fast VMs less than a fifth of them stays free.
  for (int i = 0; i < 7; ++i) {
    m_fleet.Submit(Kind::kUrgent);
  }
  m_fleet.RunFor(100);
  ASSERT_TRUE(m_fleet.FastVmsAreScarce());
  const int batch = m_fleet.Submit(Kind::kBatch);
  m_fleet.RunFor(100);
  const int urgent = m_fleet.Submit(Kind::kUrgent);
  m_fleet.RunFor(100);
  EXPECT_EQ(m_fleet.m_cell.RunningOf(batch), 25U);
  EXPECT_EQ(m_fleet.OnSlowVms(batch), 25U);
  EXPECT_EQ(m_fleet.OnSlowVms(urgent), 0U);
}

// Fails if a call to the advice service asks about slow VMs for a gang or for
// urgent work while the fast ones have the room. The call names room for five
// gangs, since half of the VMs may be rejected and others take room meanwhile.
TEST(VmSpeedLoadTest, AdviceIsAskedAboutFastVms) {
  LoadedFleet fleet(true);
  fleet.AddVms(LoadedFleet::QuarterSlow(48));
  // Enough that best fit leaves no VM idle and so unknown.
  fleet.Load(15'000, {{Kind::kBatch, 8.0}});
  fleet.RunFor(8'000);
  for (const Kind kind : {Kind::kUrgent, Kind::kGang}) {
    fleet.m_cell.m_asked.clear();
    fleet.Submit(kind, true);
    fleet.RunFor(100);
    ASSERT_FALSE(fleet.m_cell.m_asked.empty());
    for (const std::string& id : fleet.m_cell.m_asked.front().m_vms) {
      EXPECT_FALSE(fleet.IsSlow(id)) << id;
    }
  }
}

// Fails if slow VMs are named before fast ones where the call needs both: as
// they are used last, they have the most room.
TEST_F(VmSpeedPlacementTest, AdviceForAGangNamesSlowVmsLast) {
  m_fleet.Submit(Kind::kBatch);
  m_fleet.RunFor(100);
  m_fleet.Submit(Kind::kGang, true);
  m_fleet.RunFor(100);
  ASSERT_FALSE(m_fleet.m_cell.m_asked.empty());
  const std::vector<std::string>& asked = m_fleet.m_cell.m_asked.front().m_vms;
  EXPECT_GT(asked.size(), kFewVms / 2);
  EXPECT_TRUE(std::is_partitioned(
      asked.begin(), asked.end(),
      [&](const std::string& id) { return !m_fleet.IsSlow(id); }));
}

// Fails if an episode that vm_pace.h detects is learned as the VM's speed: the
// VM would be avoided long after it. The fleet is full, so that the runs stay.
TEST_F(VmSpeedPlacementTest, EpisodeOfASlowVmIsNotLearned) {
  const std::string id = "vm-1";
  const std::map<Kind, double> full = {{Kind::kBatch, 8.0}};
  m_fleet.Load(4'000, full);
  const double before = m_fleet.Of(id);
  ASSERT_GT(before, 1.0);
  m_fleet.m_speeds[id] = kFast / 6;
  m_fleet.Load(8'000, full);
  const VmState& vm = *m_fleet.m_cell.Core().State().FindListedVm(id);
  EXPECT_GT(vm.m_impaired_until_ms, 0);
  EXPECT_GT(m_fleet.Of(id), before / 1.1);
  m_fleet.m_speeds[id] = kFast;
  m_fleet.Load(5'000, full);
  EXPECT_GT(m_fleet.Of(id), before / 1.1);
}

// Fails if a VM that was replaced under its id keeps the former estimate.
TEST_F(VmSpeedPlacementTest, ReplacedVmIsUnknown) {
  const std::string id = "vm-0";
  ASSERT_LT(m_fleet.Of(id), 0.8);
  m_fleet.m_cell.Restart(id, 5).m_percent_per_ms = 0;
  m_fleet.m_cell.List(id);
  m_fleet.m_speeds[id] = kFast;
  m_fleet.RunFor(200);
  EXPECT_DOUBLE_EQ(m_fleet.Of(id), 1.0);
  m_fleet.Load(15'000, {{Kind::kBatch, 4.0}, {Kind::kGang, 0.5}});
  EXPECT_GT(m_fleet.Of(id), 0.95);
}

// Fails if a new owner does not learn the speeds again.
TEST_F(VmSpeedPlacementTest, NewOwnerLearnsAgain) {
  m_fleet.m_cell.TakeOver();
  EXPECT_TRUE(m_fleet.m_cell.Core().Speeds().Empty());
  m_fleet.Load(15'000, kLearningLoad);
  EXPECT_LT(m_fleet.Of("vm-0"), 0.8);
}

// Fails if a deployment that does not turn the feature on pays for it.
TEST(VmSpeedLoadTest, NothingIsLearnedUnlessTurnedOn) {
  LoadedFleet fleet(false);
  fleet.AddVms(LoadedFleet::QuarterSlow(24));
  fleet.Load(5'000, kLearningLoad);
  EXPECT_TRUE(fleet.m_cell.Core().Speeds().Empty());
  EXPECT_TRUE(fleet.m_cell.m_speed_changes.empty());
}

}  // namespace
}  // namespace mustardslip
