// Tests of evacuated zones. The comment of each test names the failure that it
// guards against.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/zone_fixture.h"

namespace mustardslip {
namespace {

// Fails if tasks are started in an evacuated zone although others are full, or
// not started there after the zone is restored.
TEST_F(ZoneTest, TasksWaitInsteadOfStartingInAnEvacuatedZone) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  Evacuate("a");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, kLargeTask)}));
  m_cell.Run(1'000);
  EXPECT_EQ(RunningOn("a-0"), 0U);
  EXPECT_EQ(RunningOn("b-0"), 1U);
  Restore("a");
  m_cell.Run(100);
  EXPECT_EQ(RunningOn("a-0"), 1U);
}

// Fails if only one zone can be evacuated at a time, if the restoration of one
// zone restores another, or if VMs without a zone are evacuated with any.
TEST_F(ZoneTest, EachZoneIsEvacuatedByItself) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  AddVmIn("c-0").m_description.m_zone = "";
  m_cell.List("c-0");
  Evacuate("a");
  Evacuate("b");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(3, kLargeTask)}));
  m_cell.Run(500);
  EXPECT_EQ(RunningOn("c-0"), 1U);
  EXPECT_EQ(m_cell.m_starts.size(), 1U);
  Restore("b");
  m_cell.Run(100);
  EXPECT_EQ(RunningOn("b-0"), 1U);
  EXPECT_EQ(RunningOn("a-0"), 0U);
}

// Fails if all zones cannot be evacuated at the same time, or accepted jobs are
// lost or failed while they are.
TEST_F(ZoneTest, JobsWaitWhileAllZonesAreEvacuated) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  Evacuate("a");
  Evacuate("b");
  m_cell.Submit(m_cell.Job(1, {GangStep(2, kLargeTask)}));
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 1'000)}));
  m_cell.Run(30'000);
  EXPECT_TRUE(m_cell.m_starts.empty());
  EXPECT_EQ(PhaseOf(1), JobPhase::kQueued);
  EXPECT_EQ(PhaseOf(2), JobPhase::kQueued);
  EXPECT_EQ(m_cell.Core().EvacuatedVms(), 2U);
  Restore("a");
  Restore("b");
  m_cell.Run(1'000);
  EXPECT_EQ(m_cell.RunningOf(1), 2U);
  EXPECT_EQ(m_cell.RunningOf(2), 1U);
}

// Fails if VMs that are listed, change their zone or restart after the
// evacuation get starts, or one that has left the zone gets none.
TEST_F(ZoneTest, ZoneAppliesToVmsThatAreListedLater) {
  Evacuate("a");
  AddVmIn("a-0");
  AddVmIn("b-0").m_description.m_zone = "a";
  m_cell.List("b-0");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, kLargeTask)}));
  m_cell.Run(500);
  EXPECT_TRUE(m_cell.m_starts.empty());
  m_cell.Restart("a-0", 2);
  m_cell.List("a-0");
  m_cell.Run(500);
  EXPECT_TRUE(m_cell.m_starts.empty());
  m_cell.Vm("b-0").m_description.m_zone = "b";
  m_cell.List("b-0");
  m_cell.Run(500);
  EXPECT_EQ(RunningOn("b-0"), 1U);
  EXPECT_EQ(RunningOn("a-0"), 0U);
}

// Fails if a zone's name that no VM has affects any VM.
TEST_F(ZoneTest, UnknownZoneHasNoEffect) {
  AddVmIn("a-0");
  Evacuate("A");
  EXPECT_FALSE(m_cell.Core().UseOfZone("A").m_known);
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.Run(200);
  EXPECT_EQ(m_cell.RunningOf(1), 1U);
  EXPECT_EQ(m_cell.Core().EvacuatedVms(), 0U);
}

// Fails if a start that was planned before the evacuation is sent after it, or
// is not planned again elsewhere, or counts as an attempt.
TEST_F(ZoneTest, PlannedStartIsNotSentAfterTheEvacuation) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  m_cell.Submit(
      m_cell.Job(1, {CellHarness::Step(2, kLargeTask)}, QueueWithAttempts(1)));
  PlanAndWrite();
  Evacuate("a");
  FinishWrite();
  EXPECT_EQ(StartsIn("a"), 0U);
  EXPECT_EQ(StartsIn("b"), 1U);
  EXPECT_EQ(EndedAs(RunEnd::kNotStarted), 1U);
  AddVmIn("b-1");
  m_cell.Run(200);
  EXPECT_EQ(StartsIn("b"), 2U);
  EXPECT_EQ(m_cell.RunningOf(1), 2U);
  EXPECT_TRUE(m_cell.m_failures.empty());
}

// Fails if a start that was in the open batch at the evacuation is sent.
TEST_F(ZoneTest, StartInTheOpenBatchIsNotSent) {
  AddVmIn("a-0");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.m_store_up = false;
  m_cell.Run(500);
  Evacuate("a");
  m_cell.m_store_up = true;
  m_cell.Run(500);
  EXPECT_TRUE(m_cell.m_starts.empty());
  EXPECT_EQ(EndedAs(RunEnd::kNotStarted), 1U);
  Restore("a");
  m_cell.Run(100);
  EXPECT_EQ(m_cell.RunningOf(1), 1U);
}

// Fails if members of a gang start although another one may not, whether they
// come before or after it in the batch, or if the gang does not start as a
// whole once there is room elsewhere, or another gang of the batch is aborted.
TEST_F(ZoneTest, GangWithAMemberInTheZoneIsAbortedAsAWhole) {
  for (const std::string zone : {"a", "b"}) {
    SCOPED_TRACE(zone);
    m_cell = CellHarness();
    AddVmIn("a-0");
    AddVmIn("b-0");
    AddVmIn("c-0", kVmCapacity, {"c"});
    AddVmIn("c-1", kVmCapacity, {"c"});
    StepSpec other = GangStep(2, kLargeTask);
    other.m_required_label = "c";
    m_cell.Submit(m_cell.Job(2, {other}));
    m_cell.Run(50);
    m_cell.End(2, RunEnd::kFailed);
    m_cell.Run(50);
    m_cell.Submit(
        m_cell.Job(1, {GangStep(2, kLargeTask)}, QueueWithAttempts(1)));
    m_cell.m_starts.clear();
    PlanAndWrite();
    Evacuate(zone);
    FinishWrite();
    EXPECT_EQ(StartsIn("a"), 0U);
    EXPECT_EQ(StartsIn("b"), 0U);
    EXPECT_EQ(EndedAs(RunEnd::kNotStarted), 2U);
    m_cell.Run(100);
    EXPECT_EQ(m_cell.RunningOf(1), 0U);
    AddVmIn("d-0");
    m_cell.Run(700);
    EXPECT_EQ(m_cell.RunningOf(1), 2U);
    EXPECT_EQ(StartsIn(zone), 0U);
    EXPECT_TRUE(m_cell.m_failures.empty());
  }
}

// Fails if the runs of an evacuated zone are stopped, their leases expire, or
// their ends are not taken; services among them.
TEST_F(ZoneTest, RunsInTheZoneContinue) {
  m_cell.m_simulate_leases = true;
  AddVmIn("a-0");
  AddVmIn("a-1");
  StepSpec service = CellHarness::Step(1, kLargeTask);
  service.m_long_lived = true;
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.Submit(m_cell.Job(2, {service}));
  m_cell.Run(200);
  ASSERT_EQ(m_cell.RunningOf(1) + m_cell.RunningOf(2), 2U);
  Evacuate("a");
  EXPECT_EQ(m_cell.Core().UseOfZone("a"), (ZoneUse{2, 2, true}));
  m_cell.Run(3 * kVmLeaseMs);
  EXPECT_EQ(m_cell.RunningOf(1), 1U);
  EXPECT_EQ(m_cell.RunningOf(2), 1U);
  EXPECT_TRUE(m_cell.m_stops.empty());
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// Fails if a task that failed in the zone is repeated there, or not elsewhere.
TEST_F(ZoneTest, TaskThatFailedInTheZoneIsRepeatedElsewhere) {
  AddVmIn("a-0");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.Run(200);
  Evacuate("a");
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(2'000);
  EXPECT_EQ(m_cell.m_starts.size(), 1U);
  AddVmIn("b-0");
  m_cell.Run(200);
  EXPECT_EQ(RunningOn("b-0"), 1U);
}

// Fails if a VM of the zone that is lost during the evacuation keeps its runs,
// or they are started in the zone again.
TEST_F(ZoneTest, RunsOfALostVmOfTheZoneAreRepeatedElsewhere) {
  AddVmIn("a-0");
  AddVmIn("a-1");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, kLargeTask)}));
  m_cell.Run(200);
  Evacuate("a");
  m_cell.Vm("a-0").m_reachable = false;
  AddVmIn("b-0");
  m_cell.Run(kVmLeaseMs + 1'000);
  EXPECT_EQ(RunningOn("b-0"), 1U);
  EXPECT_EQ(RunningOn("a-1"), 1U);
  EXPECT_EQ(StartsIn("a"), 2U);
}

// Fails if a new owner starts anything, or asks for advice, before it knows the
// evacuated zones, or uses those of which it learns then.
TEST_F(ZoneTest, NewOwnerWaitsForTheListOfZones) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  Evacuate("a");
  QueueRules advised = m_cell.Queue("advised");
  advised.m_needs_advice = true;
  m_cell.TakeOver();
  m_cell.Core().AwaitZones();
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, kLargeTask)}));
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(2, 1'000)}, advised));
  m_cell.Run(5'000);
  m_cell.Core().RequestAdviceAhead(m_cell.Now(), kFreeCalls);
  m_cell.Pump();
  EXPECT_TRUE(m_cell.m_starts.empty());
  EXPECT_TRUE(m_cell.m_asked.empty());
  // Accepting jobs does not depend on the zones.
  EXPECT_EQ(PhaseOf(1), JobPhase::kQueued);
  Evacuate("a");
  m_cell.Core().OnZonesListed();
  m_cell.Run(500);
  EXPECT_EQ(StartsIn("a"), 0U);
  EXPECT_GT(StartsIn("b"), 0U);
  EXPECT_EQ(AskedIn("a"), 0U);
}

// Fails if VMs of the zone are named in a call to the advice service, for tasks
// or gangs, or while a write is in flight.
TEST_F(ZoneTest, NoAdviceIsRequestedForTheZone) {
  for (int i = 0; i < 4; ++i) {
    AddVmIn("a-" + std::to_string(i));
    AddVmIn("b-" + std::to_string(i));
  }
  Evacuate("a");
  QueueRules advised = m_cell.Queue("advised");
  advised.m_needs_advice = true;
  m_cell.m_advice = [](const std::string& id) { return id != "b-0"; };
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(8, kLargeTask)}, advised));
  m_cell.Submit(m_cell.Job(2, {GangStep(3, 1'000)}, advised));
  m_cell.Core().RequestAdviceAhead(m_cell.Now(), kFreeCalls);
  m_cell.Run(5'000);
  EXPECT_EQ(AskedIn("a"), 0U);
  EXPECT_GT(AskedIn("b"), 0U);
  EXPECT_EQ(StartsIn("a"), 0U);
}

// Fails if a ticket from before the evacuation is used after it.
TEST_F(ZoneTest, TicketsOfTheZoneAreNotUsed) {
  AddVmIn("a-0");
  AddVmIn("b-0");
  QueueRules advised = m_cell.Queue("advised");
  advised.m_needs_advice = true;
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(4, kLargeTask)}, advised));
  m_cell.Run(200);
  ASSERT_EQ(StartsIn("a"), 1U);
  ASSERT_EQ(StartsIn("b"), 1U);
  Evacuate("a");
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(500);
  EXPECT_EQ(StartsIn("a"), 1U);
  EXPECT_EQ(StartsIn("b"), 2U);
}

// Fails if a gang that only the evacuated VMs could hold is given up, keeps
// room from others, or does not start after the restoration.
TEST_F(ZoneTest, GangThatNeedsTheZoneWaitsWithoutBlocking) {
  for (int i = 0; i < 3; ++i) {
    AddVmIn("a-" + std::to_string(i));
    AddVmIn("b-" + std::to_string(i));
  }
  Evacuate("a");
  m_cell.Submit(m_cell.Job(1, {GangStep(5, 60'000)}));
  for (int job = 100; job < 140; ++job) {
    m_cell.Submit(m_cell.Job(job, {CellHarness::Step(3, 60'000)}));
    m_cell.Run(1'000);
    ASSERT_EQ(m_cell.RunningOf(job), 3U) << job;
    m_cell.End(job, RunEnd::kDone);
  }
  EXPECT_EQ(PhaseOf(1), JobPhase::kQueued);
  EXPECT_EQ(StartsIn("a"), 0U);
  Restore("a");
  m_cell.Run(1'000);
  EXPECT_EQ(m_cell.RunningOf(1), 5U);
}

// Fails if a run is moved off a stalled VM for the sake of room in the zone: it
// would be stopped and could not start again.
TEST_F(ZoneTest, NoRunIsMovedForRoomInTheZone) {
  AddVmIn("b-0").m_percent_per_ms = 0.04;
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.Run(500);
  AddVmIn("a-0");
  Evacuate("a");
  m_cell.Vm("b-0").m_percent_per_ms = 0;
  m_cell.Run(3'000);
  EXPECT_TRUE(m_cell.m_stops.empty());
  Restore("a");
  m_cell.Run(1'000);
  EXPECT_EQ(RunningOn("a-0"), 1U);
}

// Fails if a gang with a member in the zone is stopped to move another member
// although the former could not start again, or if such a gang never moves.
TEST_F(ZoneTest, GangMovesOnlyIfItFitsOutsideTheZone) {
  constexpr double kUsualRate = 0.1;
  AddVmIn("a-0").m_percent_per_ms = kUsualRate;
  AddVmIn("b-0", kVmCapacity, {"here"}).m_percent_per_ms = kUsualRate;
  // The pace of a VM is that of its independent tasks. This one cannot move.
  StepSpec task = CellHarness::Step(1, 1'000);
  task.m_required_label = "here";
  m_cell.Submit(m_cell.Job(2, {task}));
  m_cell.Submit(m_cell.Job(1, {GangStep(2, kLargeTask)}));
  m_cell.Run(500);
  ASSERT_EQ(RunningOn("b-0"), 2U);
  Evacuate("a");
  AddVmIn("b-1").m_percent_per_ms = kUsualRate;
  m_cell.Vm("b-0").m_percent_per_ms = 0;
  m_cell.Run(1'500);
  EXPECT_TRUE(m_cell.m_stops.empty());
  EXPECT_EQ(m_cell.RunningOf(1), 2U);
  AddVmIn("b-2").m_percent_per_ms = kUsualRate;
  m_cell.Run(1'000);
  EXPECT_EQ(RunningOn("b-1"), 1U);
  EXPECT_EQ(RunningOn("b-2"), 1U);
}

// Fails if in any sequence of evacuations, restorations, changes of the owner,
// slow writes, failures and ends anything is started in an evacuated zone, a
// gang starts in part, or a job is not completed after the restoration.
RC_GTEST_PROP(ZoneModelTest, NothingStartsInAnEvacuatedZone, ()) {
  constexpr int kVms = 6;
  const std::vector<std::string> zones = {"a", "b", "c"};
  CellHarness cell;
  std::map<std::string, std::string> zone_of;
  for (int i = 0; i < kVms; ++i) {
    const std::string id = "vm-" + std::to_string(i);
    zone_of[id] = zones[static_cast<std::size_t>(i) % zones.size()];
    SimulatedVm& vm = cell.AddVm(id, kVmCapacity);
    vm.m_description.m_zone = zone_of[id];
    vm.m_description.m_cold_left_ms = *rc::gen::element(0, 500, 60'000);
    cell.List(id);
  }
  cell.Run(100);
  std::set<std::string> evacuated;
  std::map<std::pair<std::string, std::uint32_t>, std::size_t> gang_starts;
  int jobs = 0;
  std::map<std::string, std::uint32_t> gang_size;
  const auto check_starts = [&] {
    for (const StartRun& start : std::exchange(cell.m_starts, {})) {
      RC_ASSERT(evacuated.count(zone_of.at(start.m_vm.m_id)) == 0);
      ++gang_starts[{start.m_task.m_job, start.m_run}];
    }
    for (const auto& [run, count] : gang_starts) {
      const auto size = gang_size.find(run.first);
      // RC_ASSERT evaluates both sides of an operator.
      const bool whole = size == gang_size.end() || count == size->second;
      RC_ASSERT(whole);
    }
  };
  QueueRules queue = cell.Queue();
  queue.m_max_attempts = 1'000;
  const int events = *rc::gen::inRange(5, 50);
  for (int i = 0; i < events; ++i) {
    const std::string& zone = zones[*rc::gen::inRange<std::size_t>(0, 3)];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        evacuated.insert(zone);
        cell.Core().OnZoneEvacuated(zone, true);
        break;
      case 2:
        evacuated.erase(zone);
        cell.Core().OnZoneEvacuated(zone, false);
        break;
      case 3:
        cell.TakeOver();
        cell.Core().AwaitZones();
        cell.Run(*rc::gen::element(50, 500));
        RC_ASSERT(cell.m_starts.empty());
        for (const std::string& one : evacuated) {
          cell.Core().OnZoneEvacuated(one, true);
        }
        cell.Core().OnZonesListed();
        break;
      case 4:
        cell.m_store_up = !cell.m_store_up;
        break;
      case 5:
        cell.End(*rc::gen::inRange(1, jobs + 2),
                 *rc::gen::element(RunEnd::kDone, RunEnd::kFailed));
        break;
      default: {
        StepSpec step = CellHarness::Step(
            static_cast<std::uint32_t>(*rc::gen::inRange(1, 6)),
            *rc::gen::element(1'000, 20'000, 40'000));
        step.m_gang = *rc::gen::arbitrary<bool>();
        cell.Submit(cell.Job(++jobs, {step}, queue));
        if (step.m_gang) {
          gang_size[CellHarness::Id(jobs)] = step.m_count;
        }
        break;
      }
    }
    if (*rc::gen::arbitrary<bool>()) {
      cell.Run(*rc::gen::element(50, 200, 1'000));
    }
    check_starts();
  }
  cell.m_store_up = true;
  for (const std::string& zone : zones) {
    cell.Core().OnZoneEvacuated(zone, false);
  }
  evacuated.clear();
  for (int round = 0; round < 60; ++round) {
    cell.Run(1'000);
    for (int job = 1; job <= jobs; ++job) {
      cell.End(job, RunEnd::kDone);
    }
  }
  check_starts();
  RC_ASSERT(cell.Core().State().ActiveJobs().empty());
}

}  // namespace
}  // namespace mustardslip
