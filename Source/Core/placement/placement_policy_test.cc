// Tests of the single rules of the placement policy.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "placement/placement_core.h"

namespace mustardslip {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr Resources kVmSize{8'000, 16'000, 0};
constexpr Resources kOneProcessor{1'000, 1'000, 0};
constexpr Resources kWholeVm{8'000, 8'000, 0};

TimePoint At(std::int64_t milliseconds) {
  return TimePoint{} + Milliseconds(milliseconds);
}

AttemptSpec Task(const std::string& id, Resources size = kOneProcessor,
                 const std::string& team = "a") {
  AttemptSpec spec;
  spec.m_attempt = id;
  spec.m_job = "job-" + id;
  spec.m_team = team;
  spec.m_resources = size;
  spec.m_run_time_ms = 1'000;
  return spec;
}

AttemptSpec Urgent(const std::string& id, Resources size = kOneProcessor,
                   const std::string& team = "a") {
  AttemptSpec spec = Task(id, size, team);
  spec.m_priority = Priority::kUrgent;
  return spec;
}

std::string Describe(const Decision& decision) {
  if (const auto* start = std::get_if<StartTask>(&decision)) {
    return "start " + start->m_attempt + " " + start->m_vm;
  }
  if (const auto* preempt = std::get_if<PreemptTask>(&decision)) {
    return "preempt " + preempt->m_attempt;
  }
  if (const auto* refuse = std::get_if<RefuseAttempt>(&decision)) {
    return "refuse " + refuse->m_attempt + " " + refuse->m_reason;
  }
  return "gang " + std::to_string(std::get<StartGang>(decision).m_tasks.size());
}

class PlacementPolicyTest : public ::testing::Test {
 protected:
  void AddVms(int count, int per_rack = 1) {
    for (int i = 0; i < count; ++i) {
      m_core.SetVm({"vm" + std::to_string(i), "zone",
                    "rack" + std::to_string(i / per_rack), kVmSize},
                   VmCondition::kReady);
    }
  }

  std::vector<std::string> Enqueue(std::vector<AttemptSpec> specs,
                                   std::int64_t now = 0, bool gang = false) {
    return Describe(m_core.Enqueue(specs, gang, At(now)));
  }

  std::vector<std::string> Decide(std::int64_t now = 0) {
    auto decisions = Describe(m_core.Decide(At(now)));
    m_core.CheckInvariants();
    return decisions;
  }

  static std::vector<std::string> Describe(const std::vector<Decision>& list) {
    std::vector<std::string> texts;
    texts.reserve(list.size());
    for (const Decision& decision : list) {
      texts.push_back(mustardslip::Describe(decision));
    }
    return texts;
  }

  // Adds a running task on the VM and reports its failure.
  void FailOn(const std::string& vm, const std::string& job, int& counter,
              std::int64_t now) {
    AttemptSpec spec = Task("f" + std::to_string(counter++));
    spec.m_job = job;
    m_core.AddRunning(spec, vm, At(now));
    m_core.Ended(spec.m_attempt, TaskEndReason::kFailed, At(now));
  }

  PlacementCore m_core{PlacementOptions{}};
};

// Guards against dividing a full fleet by order of arrival instead of weight.
TEST_F(PlacementPolicyTest, FullFleetIsDividedByWeight) {
  AddVms(4);
  m_core.SetTeamShare("large", 3);
  m_core.SetTeamShare("small", 1);
  for (int i = 0; i < 40; ++i) {
    Enqueue({Task("l" + std::to_string(i), kOneProcessor, "large"),
             Task("s" + std::to_string(i), kOneProcessor, "small")});
  }
  EXPECT_THAT(Decide(), SizeIs(32));
  EXPECT_EQ(m_core.TeamUsage("large").m_cpu_millis, 24'000);
  EXPECT_EQ(m_core.TeamUsage("small").m_cpu_millis, 8'000);
}

// Guards against a team whose urgent work starves all other teams.
TEST_F(PlacementPolicyTest, UrgentWorkAboveFairShareHasNoPrecedence) {
  AddVms(2);
  for (int i = 0; i < 16; ++i) {
    Enqueue({Urgent("u" + std::to_string(i), kOneProcessor, "pushy"),
             Task("n" + std::to_string(i), kOneProcessor, "modest")});
  }
  Decide();
  EXPECT_EQ(m_core.TeamUsage("pushy").m_cpu_millis, 8'000);
  EXPECT_EQ(m_core.TeamUsage("modest").m_cpu_millis, 8'000);
}

// Guards against urgent work that waits for running batch work to end, and
// against preempting the task that has run longest.
TEST_F(PlacementPolicyTest, UrgentWorkPreemptsLeastWorkAtRisk) {
  AddVms(1);
  for (int i = 0; i < 8; ++i) {
    AttemptSpec spec = Task("t" + std::to_string(i));
    spec.m_checkpointable = i >= 6;
    Enqueue({spec}, std::int64_t{100} * i);
    Decide(std::int64_t{100} * i);
  }
  Enqueue({Urgent("u")}, 1'000);
  EXPECT_THAT(Decide(1'000), IsEmpty());
  EXPECT_THAT(Decide(1'600), ElementsAre("preempt t7"));
  // The freed capacity is reserved for the urgent task.
  Enqueue({Task("late")}, 1'700);
  EXPECT_THAT(Decide(1'700), IsEmpty());
  m_core.Ended("t7", TaskEndReason::kCheckpointed, At(1'800));
  EXPECT_THAT(Decide(1'800), ElementsAre("start u vm0"));
}

// Guards against placing all tasks of a service in one rack.
TEST_F(PlacementPolicyTest, ServicesAreSpreadOverRacks) {
  AddVms(8, 2);
  for (int i = 0; i < 4; ++i) {
    AttemptSpec spec = Task("s" + std::to_string(i));
    spec.m_kind = JobKind::kService;
    spec.m_service = "lookup";
    Enqueue({spec});
  }
  std::set<char> racks;
  for (const std::string& start : Decide()) {
    racks.insert(static_cast<char>((start.back() - '0') / 2));
  }
  EXPECT_THAT(racks, SizeIs(4));
}

// Guards against fragmentation: small tasks spread over VMs block a large one.
TEST_F(PlacementPolicyTest, BatchWorkIsPlacedBestFit) {
  AddVms(2);
  for (int i = 0; i < 8; ++i) {
    Enqueue({Task("t" + std::to_string(i))});
  }
  Decide();
  Enqueue({Task("whole", kWholeVm)});
  EXPECT_THAT(Decide(), SizeIs(1));
}

// Guards against starting a task before one with an earlier deadline, and
// against starting a task whose deadline has passed.
TEST_F(PlacementPolicyTest, EarliestDeadlineIsFirst) {
  AddVms(1);
  Enqueue({Task("blocker", kWholeVm)});
  Decide();
  AttemptSpec late = Task("late", kWholeVm);
  late.m_deadline_unix_ms = 9'000;
  AttemptSpec early = Task("early", kWholeVm);
  early.m_deadline_unix_ms = 5'000;
  Enqueue({Task("none", kWholeVm), late, early});
  m_core.Ended("blocker", TaskEndReason::kSucceeded, At(1'000));
  EXPECT_THAT(Decide(1'000), ElementsAre("start early vm0"));
  EXPECT_THAT(Decide(9'000), ElementsAre("refuse late deadline_passed"));
  AttemptSpec past = Task("past");
  past.m_deadline_unix_ms = 9'000;
  EXPECT_THAT(Enqueue({past}, 9'500),
              ElementsAre("refuse past deadline_passed"));
}

// Guards against starvation of a gang by small tasks.
TEST_F(PlacementPolicyTest, WaitingGangGetsAReservation) {
  AddVms(2);
  int next = 0;
  std::vector<std::string> running;
  const auto refill = [&](std::int64_t now) {
    bool gang_started = false;
    for (int i = 0; i < 16; ++i) {
      Enqueue({Task("t" + std::to_string(next++), kOneProcessor, "small")},
              now);
    }
    for (const std::string& text : Decide(now)) {
      gang_started = gang_started || text == "gang 2";
      if (text.starts_with("start ")) {
        running.push_back(text.substr(6, text.rfind(' ') - 6));
      }
    }
    return gang_started;
  };
  refill(0);
  Enqueue({Task("g0", kWholeVm, "gang"), Task("g1", kWholeVm, "gang")}, 0,
          true);
  bool started = false;
  // Once a second a task ends, and small tasks compete for its capacity.
  for (int second = 1; second < 60 && !started; ++second) {
    ASSERT_FALSE(running.empty());
    m_core.Ended(running.front(), TaskEndReason::kSucceeded,
                 At(std::int64_t{1'000} * second));
    running.erase(running.begin());
    started = refill(std::int64_t{1'000} * second);
  }
  EXPECT_TRUE(started);
}

// Guards against queueing a gang again while some of its members still run
// after a failed start.
TEST_F(PlacementPolicyTest, GangIsQueuedAgainAfterAllStartsFailed) {
  AddVms(3);
  Enqueue({Task("g0", kWholeVm), Task("g1", kWholeVm)}, 0, true);
  EXPECT_THAT(Decide(), ElementsAre("gang 2"));
  m_core.StartFailed("g0", At(10));
  EXPECT_THAT(Decide(2'000), IsEmpty());
  m_core.StartFailed("g1", At(2'000));
  EXPECT_THAT(Decide(4'000), ElementsAre("gang 2"));
}

// Guards against repeating a failed start on the same VM without delay.
TEST_F(PlacementPolicyTest, FailedStartSuspendsTheVm) {
  AddVms(1);
  Enqueue({Task("t")});
  EXPECT_THAT(Decide(), ElementsAre("start t vm0"));
  m_core.StartFailed("t", At(10));
  EXPECT_THAT(Decide(20), IsEmpty());
  EXPECT_THAT(Decide(1'100), ElementsAre("start t vm0"));
}

// Guards against placing a task outside its zones and racks.
TEST_F(PlacementPolicyTest, PlacementLimitsAreApplied) {
  AddVms(4, 2);
  AttemptSpec spec = Task("t");
  spec.m_limits.m_racks = {"rack1"};
  AttemptSpec nowhere = Task("nowhere");
  nowhere.m_limits.m_zones = {"other"};
  EXPECT_THAT(Enqueue({spec, nowhere}),
              ElementsAre("refuse nowhere never_fits"));
  EXPECT_THAT(Decide(), ElementsAre("start t vm2"));
}

// Guards against unbounded queues, and against batch work that fills the queue
// so that urgent work is refused.
TEST_F(PlacementPolicyTest, QueueLimitReservesPlacesForUrgentWork) {
  PlacementOptions options;
  options.m_max_queued_per_team = 10;
  PlacementCore core(options);
  core.SetVm({"vm0", "zone", "rack", kVmSize}, VmCondition::kLeaving);
  for (int i = 0; i < 9; ++i) {
    EXPECT_THAT(core.Enqueue({Task(std::to_string(i))}, false, At(0)),
                IsEmpty());
  }
  EXPECT_THAT(Describe(core.Enqueue({Task("t")}, false, At(0))),
              ElementsAre("refuse t queue_full"));
  EXPECT_THAT(core.Enqueue({Urgent("u")}, false, At(0)), IsEmpty());
  EXPECT_THAT(Describe(core.Enqueue({Urgent("v")}, false, At(0))),
              ElementsAre("refuse v queue_full"));
}

// Guards against attempts that stay queued after a mass cancellation.
TEST_F(PlacementPolicyTest, TwentyThousandCancellationsEmptyTheQueue) {
  AddVms(1);
  Enqueue({Task("blocker", kWholeVm)});
  Decide();
  for (int i = 0; i < 20'000; ++i) {
    Enqueue({Task("t" + std::to_string(i))});
  }
  for (int i = 0; i < 20'000; ++i) {
    EXPECT_TRUE(m_core.Cancel("t" + std::to_string(i)));
  }
  EXPECT_EQ(m_core.QueueLength(), 0);
  EXPECT_FALSE(m_core.Cancel("blocker"));
  m_core.CheckInvariants();
}

// Guards against a worker on which all tasks fail: its free capacity would
// attract ever more tasks.
TEST_F(PlacementPolicyTest, WorkerThatFailsThreeJobsIsQuarantined) {
  AddVms(2);
  int counter = 0;
  for (const char* job : {"j1", "j2", "j2"}) {
    FailOn("vm0", job, counter, 0);
  }
  EXPECT_EQ(m_core.QuarantinedCount(), 0);
  FailOn("vm0", "j3", counter, 0);
  EXPECT_EQ(m_core.QuarantinedCount(), 1);
  Decide(29'000);
  EXPECT_EQ(m_core.QuarantinedCount(), 1);
  Decide(30'000);
  EXPECT_EQ(m_core.QuarantinedCount(), 0);
  // On probation one failure is enough, and the quarantine is twice as long.
  FailOn("vm0", "j4", counter, 30'000);
  Decide(89'000);
  EXPECT_EQ(m_core.QuarantinedCount(), 1);
  Decide(90'000);
  EXPECT_EQ(m_core.QuarantinedCount(), 0);
}

// Guards against a failing job that causes the quarantine of many workers.
TEST_F(PlacementPolicyTest, FailingJobsDoNotQuarantineTheFleet) {
  AddVms(20);
  int counter = 0;
  for (int vm = 0; vm < 20; ++vm) {
    for (int repeat = 0; repeat < 4; ++repeat) {
      FailOn("vm" + std::to_string(vm), "bad", counter, 0);
    }
  }
  EXPECT_EQ(m_core.QuarantinedCount(), 0);
  // Many failing jobs quarantine at most a tenth of the fleet.
  for (int vm = 0; vm < 20; ++vm) {
    for (int job = 0; job < 4; ++job) {
      FailOn("vm" + std::to_string(vm), "bad" + std::to_string(counter),
             counter, 0);
    }
  }
  EXPECT_EQ(m_core.QuarantinedCount(), 2);
}

// Guards against charging oversized declarations in full, and against a
// correction before there are enough reports.
TEST_F(PlacementPolicyTest, DeclaredSizesAreCorrectedByUsage) {
  AddVms(1);
  Enqueue({Task("t", {4'000, 4'000, 0})});
  Decide();
  for (int i = 0; i < 64; ++i) {
    EXPECT_EQ(m_core.ChargedSize("t").m_cpu_millis, 4'000);
    m_core.ReportUsage("t", {1'000, 2'000, 0});
  }
  Enqueue({Task("corrected", {4'000, 4'000, 0})});
  Decide();
  EXPECT_EQ(m_core.ChargedSize("corrected"), (Resources{1'100, 2'200, 0}));
  // The charge of a task that uses more is raised, up to the size of the VM.
  m_core.ReportUsage("corrected", {9'000, 2'200, 0});
  EXPECT_EQ(m_core.ChargedSize("corrected").m_cpu_millis, 4'000);
  EXPECT_EQ(m_core.ChargedResources().m_cpu_millis, kVmSize.m_cpu_millis);
}

// Guards against charging a VM above its size during a rebuild, and against
// losing the tasks of a removed VM.
TEST_F(PlacementPolicyTest, RebuildDoesNotOverchargeTheVm) {
  AddVms(1);
  m_core.AddRunning(Task("t0", {6'000, 1'000, 0}), "vm0");
  m_core.AddRunning(Task("t1", {6'000, 1'000, 0}), "vm0");
  m_core.CheckInvariants();
  EXPECT_EQ(m_core.ChargedResources().m_cpu_millis, 8'000);
  m_core.SetVm({"vm0", "zone", "rack0", kVmSize}, VmCondition::kRemoved);
  EXPECT_THAT(m_core.AttemptsOn("vm0"), SizeIs(2));
  m_core.Ended("t0", TaskEndReason::kLeaseExpired, At(1));
  m_core.Ended("t1", TaskEndReason::kLeaseExpired, At(1));
  EXPECT_EQ(m_core.VmCount(), 0);
  m_core.CheckInvariants();
}

}  // namespace
}  // namespace mustardslip
