// Tests the estimate of the VMs' speeds from the times of their runs.
#include "cell/vm_speed.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <set>

#include "cell/speed_choice.h"

namespace mustardslip {
namespace {

constexpr double kSlow = 0.55;
constexpr double kFast = 1.2;

// A service whose VMs run steps of independent tasks, each on random VMs.
class Fleet {
 public:
  explicit Fleet(std::vector<double> speeds) : m_true(std::move(speeds)) {}

  // Every fourth VM is slow.
  static std::vector<double> QuarterSlow(std::size_t vms) {
    std::vector<double> speeds(vms, kFast);
    for (std::size_t i = 0; i < vms; i += 4) {
      speeds[i] = kSlow;
    }
    return speeds;
  }

  static VmIncarnation Vm(std::size_t i, std::int64_t born = 1) {
    return {"vm-" + std::to_string(i), born};
  }

  // Steps per second of `tasks` tasks that take `m_work_ms` at speed 1.
  void Run(int seconds, int steps, std::uint32_t tasks) {
    for (int second = 0; second < seconds; ++second) {
      for (int i = 0; i < steps; ++i) {
        m_now_ms += 1'000 / steps;
        RunStep(tasks);
      }
      for (const VmSpeedChange& change : m_speeds.Refresh(m_now_ms)) {
        m_changes.push_back(change);
      }
    }
  }

  // With `m_apart`, a step runs on slow VMs only or on fast ones only.
  void RunStep(std::uint32_t tasks) {
    StepTraits traits{"svc", "queue", 0, tasks};
    // Wrong by a factor for all tasks of the step.
    const double error = m_estimate_error * (2 * Uniform() - 1);
    traits.m_estimate_ms =
        std::max<std::int64_t>(1, std::llround(m_work_ms * (1 + error)));
    const StepRef step{std::to_string(++m_step), 0, 0};
    const bool slow = Uniform() < 0.25;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      std::size_t vm = 0;
      do {
        vm = static_cast<std::size_t>(Uniform() *
                                      static_cast<double>(m_true.size()));
      } while (m_apart && slow != (m_true[vm] < 1));
      const double tail = Uniform() < m_tail_share ? 7 : 1;
      const double work = m_work_ms * tail * (0.8 + 0.4 * Uniform());
      m_speeds.OnRun(step, traits, Vm(vm, m_born), work / m_true[vm], m_now_ms);
    }
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  double Of(std::size_t i) const { return m_speeds.Of(Vm(i, m_born)); }

  // The largest error of an estimate relative to the mean of the true speeds,
  // as a logarithm.
  double WorstError() const {
    double center = 0;
    for (const double speed : m_true) {
      center += std::log(speed) / static_cast<double>(m_true.size());
    }
    double worst = 0;
    for (std::size_t i = 0; i < m_true.size(); ++i) {
      worst = std::max(
          worst, std::abs(std::log(Of(i)) + center - std::log(m_true[i])));
    }
    return worst;
  }

  std::vector<double> m_true;
  double m_work_ms = 2'000;
  double m_estimate_error = 0;
  double m_tail_share = 0;
  bool m_apart = false;
  std::int64_t m_born = 1;
  std::int64_t m_now_ms = 1'000;
  int m_step = 0;
  std::mt19937_64 m_random{7};
  std::vector<VmSpeedChange> m_changes;
  VmSpeeds m_speeds;
};

// Half the distance between the two speeds: above it a VM is taken for one of
// the other kind.
double Separation() { return std::log(kFast / kSlow) / 2; }

// Fails if the speeds of a fleet are not found from steps of several tasks.
TEST(VmSpeedTest, FindsTheSpeedsOfAFleet) {
  Fleet fleet(Fleet::QuarterSlow(40));
  fleet.Run(20, 4, 10);
  EXPECT_LT(fleet.WorstError(), Separation() / 2);
}

// Fails if wrong declared times or tasks of several times the usual work are
// taken for differences between VMs.
TEST(VmSpeedTest, IsRobustToWrongEstimatesAndLongTasks) {
  Fleet fleet(Fleet::QuarterSlow(40));
  fleet.m_estimate_error = 0.9;
  fleet.m_tail_share = 0.03;
  fleet.Run(30, 10, 3);
  EXPECT_LT(fleet.WorstError(), Separation());
}

// Fails if steps of one task tell nothing: they are compared with their
// declared times.
TEST(VmSpeedTest, LearnsFromDeclaredTimes) {
  Fleet fleet(Fleet::QuarterSlow(40));
  fleet.m_estimate_error = 0.3;
  fleet.Run(30, 40, 1);
  EXPECT_LT(fleet.WorstError(), Separation());
}

// Fails if the estimates vanish once each step runs on VMs of like speed, as
// placement by speed makes it: the runs of a step are then alike.
TEST(VmSpeedTest, KeepsTheSpeedsOfVmsThatRunApart) {
  Fleet fleet(Fleet::QuarterSlow(40));
  fleet.m_estimate_error = 0.9;
  fleet.Run(30, 10, 4);
  fleet.m_apart = true;
  fleet.Run(60, 10, 4);
  EXPECT_LT(fleet.WorstError(), Separation());
}

// Fails if one or two runs make a VM slow or fast: such a task may have been
// longer.
TEST(VmSpeedTest, FewSamplesCountLittle) {
  Fleet fleet(std::vector<double>(20, 1.0));
  StepTraits traits{"svc", "queue", 0, 4};
  const StepRef step{"job", 0, 0};
  fleet.m_speeds.OnRun(step, traits, Fleet::Vm(0), 14'000, fleet.m_now_ms);
  for (std::size_t i = 1; i < 4; ++i) {
    fleet.m_speeds.OnRun(step, traits, Fleet::Vm(i), 2'000, fleet.m_now_ms);
  }
  EXPECT_LT(fleet.Of(0), 1.0);
  EXPECT_GT(fleet.Of(0), kSlow);
  EXPECT_DOUBLE_EQ(fleet.Of(10), 1.0);
}

// Fails if noise makes VMs of equal speed differ by a class: their distance
// from the mean would be more than half of it.
TEST(VmSpeedTest, EqualVmsStayAlike) {
  Fleet fleet(std::vector<double>(40, 1.0));
  fleet.m_estimate_error = 0.9;
  fleet.m_tail_share = 0.03;
  fleet.Run(60, 10, 3);
  EXPECT_LT(fleet.WorstError(), std::log(1.25) / 2);
  EXPECT_TRUE(fleet.m_changes.empty());
}

// Fails if a VM that was replaced under its id keeps its estimate, or if a
// report of the former incarnation changes that of the new one.
TEST(VmSpeedTest, NewIncarnationIsUnknown) {
  Fleet fleet(Fleet::QuarterSlow(8));
  fleet.Run(20, 10, 4);
  EXPECT_LT(fleet.Of(0), 0.8);
  fleet.m_born = 2;
  EXPECT_DOUBLE_EQ(fleet.Of(0), 1.0);
  fleet.m_true.assign(8, 1.0);
  fleet.Run(20, 10, 4);
  EXPECT_NEAR(fleet.Of(0), 1.0, 0.15);
  const double before = fleet.Of(0);
  fleet.m_born = 1;
  fleet.m_true = Fleet::QuarterSlow(8);
  fleet.RunStep(4);
  fleet.m_born = 2;
  EXPECT_NEAR(fleet.Of(0), before, 1e-9);
}

// Fails if an episode that nobody detected is remembered for long.
TEST(VmSpeedTest, ForgetsAnEpisode) {
  Fleet fleet(std::vector<double>(20, 1.0));
  fleet.Run(60, 10, 4);
  fleet.m_true[0] = 0.5;
  fleet.Run(5, 10, 4);
  fleet.m_true[0] = 1.0;
  EXPECT_GT(fleet.Of(0), 0.75);
  fleet.Run(30, 10, 4);
  EXPECT_NEAR(fleet.Of(0), 1.0, 0.15);
}

// Fails if a VM whose speed changed for good keeps its former estimate.
TEST(VmSpeedTest, FollowsALastingChange) {
  Fleet fleet(std::vector<double>(20, 1.0));
  fleet.Run(60, 10, 4);
  fleet.m_true[0] = 0.5;
  fleet.Run(60, 10, 4);
  EXPECT_LT(fleet.Of(0), 0.7);
  ASSERT_FALSE(fleet.m_changes.empty());
  EXPECT_EQ(fleet.m_changes.front().m_vm, Fleet::Vm(0));
  EXPECT_EQ(fleet.m_speeds.Changes(), fleet.m_changes.size());
}

// Fails if runs of a VM that turned out to be stalled count.
TEST(VmSpeedTest, RunsOfAnImpairedVmAreDropped) {
  VmSpeeds speeds;
  const StepTraits traits{"svc", "queue", 0, 10};
  for (int i = 0; i < 5; ++i) {
    const StepRef step{std::to_string(i), 0, 0};
    for (std::size_t vm = 0; vm < 4; ++vm) {
      speeds.OnRun(step, traits, Fleet::Vm(vm), vm == 0 ? 4'000 : 2'000, 1'000);
    }
  }
  speeds.OnImpaired(Fleet::Vm(0));
  speeds.Refresh(20'000);
  EXPECT_EQ(speeds.Size(), 3U);
  EXPECT_DOUBLE_EQ(speeds.Of(Fleet::Vm(0)), 1.0);
}

// Fails if a gang whose members report one rate for all hides the speeds, or if
// rates of its members by themselves tell nothing.
TEST(VmSpeedTest, GangTellsSpeedOnlyByDifferentRates) {
  StepTraits traits{"svc", "queue", 2'000, 4};
  traits.m_gang = true;
  VmSpeeds speeds;
  for (int i = 0; i < 20; ++i) {
    for (std::size_t vm = 0; vm < 4; ++vm) {
      speeds.OnRun({std::to_string(i), 0, 0}, traits, Fleet::Vm(vm),
                   vm == 0 ? 2'100 : 2'000, 1'000);
    }
  }
  EXPECT_TRUE(speeds.Empty());
  for (int i = 0; i < 20; ++i) {
    for (std::size_t vm = 0; vm < 4; ++vm) {
      speeds.OnRun({std::to_string(i), 0, 0}, traits, Fleet::Vm(vm),
                   vm == 0 ? 4'000 : 2'000, 1'000);
    }
  }
  speeds.Refresh(2'000);
  EXPECT_LT(speeds.Of(Fleet::Vm(0)), 0.7);
}

// Fails if VMs, queues and steps that are gone are kept.
TEST(VmSpeedTest, ForgetsWhatHasNoSamples) {
  Fleet fleet(std::vector<double>(20, 1.0));
  fleet.Run(30, 10, 4);
  EXPECT_EQ(fleet.m_speeds.Size(), 20U);
  fleet.m_speeds.Refresh(fleet.m_now_ms + 600'000);
  EXPECT_TRUE(fleet.m_speeds.Empty());
  fleet.m_now_ms += 600'000;
  fleet.Run(1, 10, 4);
  EXPECT_FALSE(fleet.m_speeds.Empty());
}

class KeepFastestTest : public testing::Test {
 protected:
  KeepFastestTest() {
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
      m_slots[i].m_speed_class = static_cast<int>(i % 3) - 1;
      m_fits.push_back({&m_slots[i], 2});
    }
  }

  // Classes -1, 0, 1, -1, 0, 1, two tasks on each VM.
  std::vector<Slot> m_slots = std::vector<Slot>(6);
  std::vector<SlotFit> m_fits;
};

// Fails if a gang that fits on the fast VMs gets a slow one: it ends with its
// slowest member.
TEST_F(KeepFastestTest, DropsTheSlowVmsWhileTheRestHoldsTheGang) {
  KeepFastest(5, m_fits);
  ASSERT_EQ(m_fits.size(), 4U);
  for (const SlotFit& one : m_fits) {
    EXPECT_GE(one.m_slot->m_speed_class, 0);
  }
}

// Fails if a gang waits because only slow VMs are free.
TEST_F(KeepFastestTest, KeepsAllIfTheGangNeedsThem) {
  const std::vector<SlotFit> before = m_fits;
  KeepFastest(9, m_fits);
  EXPECT_EQ(m_fits, before);
  KeepFastest(100, m_fits);
  EXPECT_EQ(m_fits, before);
}

// Fails if a step with slack takes a VM on which it would be late, or if one
// without takes any but the fastest.
TEST_F(KeepFastestTest, WantedSpeedDependsOnTheSlack) {
  for (Slot& slot : m_slots) {
    slot.m_speed = std::pow(1.25, slot.m_speed_class);
  }
  SortByWantedSpeed({}, m_fits);
  EXPECT_EQ(m_fits.front().m_slot->m_speed_class, 1);
  SortByWantedSpeed({true, 0.5}, m_fits);
  EXPECT_EQ(m_fits.front().m_slot->m_speed_class, -1);
  SortByWantedSpeed({true, 0.9}, m_fits);
  EXPECT_EQ(m_fits.front().m_slot->m_speed_class, 0);
  EXPECT_EQ(m_fits.back().m_slot->m_speed_class, -1);
}

// Fails if the VMs of two pools are compared with each other because a step has
// runs in both: its queue moved.
TEST(VmSpeedTest, PoolsOfOneStepAreKeptApart) {
  constexpr int kSteps = 60;
  constexpr std::size_t kPerPool = 4;
  VmSpeeds speeds;
  std::int64_t now_ms = 0;
  for (int i = 0; i < kSteps; ++i) {
    const StepRef step{std::to_string(i), 0, 0};
    now_ms += 1'000;
    for (std::size_t vm = 0; vm < 2 * kPerPool; ++vm) {
      const bool slow_pool = vm < kPerPool;
      const StepTraits traits{slow_pool ? "slow" : "fast", "queue", 0,
                              2 * kPerPool};
      speeds.OnRun(step, traits, Fleet::Vm(vm), slow_pool ? 4'000 : 1'000,
                   now_ms);
    }
    speeds.Refresh(now_ms);
  }
  speeds.Refresh(now_ms + 60'000);
  for (std::size_t vm = 0; vm < 2 * kPerPool; ++vm) {
    EXPECT_NEAR(speeds.Of(Fleet::Vm(vm)), 1.0, 0.05) << vm;
  }
}

}  // namespace
}  // namespace mustardslip
