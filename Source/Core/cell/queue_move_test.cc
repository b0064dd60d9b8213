// Tests of a queue that a configuration sends to another pool (service) while
// its accepted jobs wait and run. The comment of each test names the failure
// that it guards against.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

constexpr const char* kNewService = "svc-new";
constexpr const char* kLabel = "b";
constexpr int kVmsPerPool = 4;
// One task fills a VM.
constexpr std::int64_t kWholeVm = kVmCapacity.m_cpu_millis;

class QueueMoveTest : public CellCoreTest {
 protected:
  void SetUp() override { AddPools(); }

  // Uses these features from here on.
  void Restart(CellFeatures features) {
    m_cell = CellHarness(features);
    AddPools();
  }

  void AddPools() {
    for (int i = 0; i < kVmsPerPool; ++i) {
      AddVm("old-" + std::to_string(i), CellHarness::kService);
      AddVm("new-" + std::to_string(i), kNewService);
    }
    SendTo(CellHarness::kService);
    m_cell.Run(100);
  }

  void AddVm(const std::string& id, const std::string& service) {
    m_cell.AddVm(id, kVmCapacity, {kLabel}).m_description.m_service = service;
    m_cell.List(id);
  }

  // A new configuration sends the queue to this pool.
  void SendTo(const std::string& service) {
    m_queue.m_service = service;
    m_cell.Configure(++m_version, {m_queue});
  }

  // A new configuration without the queue.
  void RemoveQueue() { m_cell.Configure(++m_version, {}); }

  void Submit(int job, std::vector<StepSpec> steps) {
    m_cell.Submit(m_cell.Job(job, std::move(steps), m_queue));
    m_cell.Run(200);
  }

  // The VM is gone with its entry.
  void Leave(const std::string& id) {
    m_cell.Vm(id).m_reachable = false;
    m_cell.Vm(id).m_has_entry = false;
    m_cell.Vm(id).m_running.clear();
    m_cell.Unlist(id);
  }

  std::size_t RunsIn(const std::string& prefix) {
    std::size_t runs = 0;
    for (int i = 0; i < kVmsPerPool; ++i) {
      runs += m_cell.Vm(prefix + std::to_string(i)).m_running.size();
    }
    return runs;
  }
  std::size_t OldRuns() { return RunsIn("old-"); }
  std::size_t NewRuns() { return RunsIn("new-"); }

  // Ends all runs of the job as done, until it has none.
  void Finish(int job) {
    for (int i = 0; i < 20 && m_cell.RunningOf(job) > 0; ++i) {
      m_cell.End(job, RunEnd::kDone);
      m_cell.Run(200);
    }
  }

  QueueRules m_queue = m_cell.Queue();
  std::int64_t m_version = 0;
};

// Fails if an accepted job stays with the pool that its queue had when it came,
// whose last VM with the required label has left (LOST, review/15).
TEST_F(QueueMoveTest, WaitingTasksStartInTheNewPool) {
  for (int i = 1; i < kVmsPerPool; ++i) {
    m_cell.Vm("old-" + std::to_string(i)).m_description.m_labels = {"a"};
    m_cell.List("old-" + std::to_string(i));
  }
  StepSpec step = CellHarness::Step(4, kWholeVm);
  step.m_required_label = kLabel;
  Submit(1, {step});
  ASSERT_EQ(m_cell.RunningOf(1), 1U);
  SendTo(kNewService);
  m_cell.Run(200);
  EXPECT_EQ(NewRuns(), 3U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(200);
  Leave("old-0");
  m_cell.Run(200);
  Finish(1);
  EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
  EXPECT_EQ(m_cell.m_starts.size(), 4U);
}

// Fails if a job waits in the old pool behind others while the new one is idle.
TEST_F(QueueMoveTest, JobLeavesACrowdedPool) {
  QueueRules other = m_cell.Queue("other");
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(8, kWholeVm)}, other));
  m_cell.Run(200);
  Submit(1, {CellHarness::Step(3, kWholeVm)});
  ASSERT_EQ(m_cell.RunningOf(1), 0U);
  SendTo(kNewService);
  m_cell.Run(200);
  EXPECT_EQ(NewRuns(), 3U);
  EXPECT_EQ(m_cell.RunningOf(2), 4U);
}

// Fails if a move stops or repeats a run that is underway in the old pool, or
// takes no note of its end.
TEST_F(QueueMoveTest, RunsUnderwayGoOn) {
  Submit(1, {CellHarness::Step(3, kWholeVm)});
  ASSERT_EQ(OldRuns(), 3U);
  SendTo(kNewService);
  m_cell.Run(5'000);
  EXPECT_EQ(OldRuns(), 3U);
  EXPECT_TRUE(m_cell.m_stops.empty());
  EXPECT_EQ(m_cell.m_starts.size(), 3U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
}

// Fails if work that did not exist yet when the queue moved, or a task that
// failed before the move, goes to the old pool.
TEST_F(QueueMoveTest, LaterStepsOccurrencesAndAttemptsFollow) {
  StepSpec second = CellHarness::Step(2, 1'000);
  second.m_dependencies = {0};
  Submit(1, {CellHarness::Step(1, 1'000), second});
  WorkflowSpec timed = m_cell.Job(2, {CellHarness::Step(1, 1'000)}, m_queue);
  timed.m_schedule = {m_cell.Now().m_unix_ms + 1'000, 500, 2};
  m_cell.Submit(timed);
  Submit(3, {CellHarness::Step(1, 1'000)});
  ASSERT_EQ(OldRuns(), 2U);
  SendTo(kNewService);
  m_cell.End(3, RunEnd::kFailed);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(3'000);
  EXPECT_EQ(OldRuns(), 0U);
  EXPECT_EQ(m_cell.RunningOf(1), 2U);
  EXPECT_EQ(m_cell.RunningOf(2), 2U);
  EXPECT_EQ(m_cell.RunningOf(3), 1U);
}

// Fails if the next owner, whose log or snapshot has the move, decides by the
// pool of the acceptance.
TEST_F(QueueMoveTest, NextOwnerFollows) {
  for (const bool from_snapshot : {false, true}) {
    Restart({});
    Submit(1, {CellHarness::Step(6, kWholeVm)});
    ASSERT_EQ(OldRuns(), 4U);
    m_cell.m_store_up = false;
    SendTo(kNewService);
    m_cell.m_store_up = true;
    m_cell.Pump();
    if (from_snapshot) {
      TakeOverFromSnapshot();
    } else {
      m_cell.TakeOver();
    }
    m_cell.Run(500);
    EXPECT_EQ(OldRuns(), 4U) << from_snapshot;
    EXPECT_EQ(NewRuns(), 2U) << from_snapshot;
    EXPECT_TRUE(m_cell.m_started_twice.empty());
    EXPECT_TRUE(m_cell.m_stops.empty());
  }
}

// Fails if the move is lost with the owner that did not write it: the next one
// has it from the configuration.
TEST_F(QueueMoveTest, OwnerThatFirstReadsTheMoveFollows) {
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  ASSERT_EQ(OldRuns(), 4U);
  m_cell.m_store_up = false;
  SendTo(kNewService);
  m_cell.m_store_up = true;
  m_cell.TakeOver();
  m_cell.Run(500);
  EXPECT_EQ(OldRuns(), 4U);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if an owner without a configuration starts tasks in some pool, or does
// not start them in the right one once it has read one.
TEST_F(QueueMoveTest, OwnerWithoutConfigurationWaits) {
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  SendTo(kNewService);
  m_cell.m_store_up = false;
  m_cell.TakeOverWithoutConfiguration();
  m_cell.m_store_up = true;
  m_cell.Run(500);
  EXPECT_EQ(m_cell.m_starts.size(), 4U);
  SendTo(kNewService);
  m_cell.Run(500);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if jobs of a removed queue lose the queue's last pool, at this owner or
// at the next.
TEST_F(QueueMoveTest, RemovedQueueKeepsItsLastPool) {
  for (const bool from_snapshot : {false, true}) {
    Restart({});
    Submit(1, {CellHarness::Step(12, kWholeVm)});
    SendTo(kNewService);
    m_cell.Run(100);
    RemoveQueue();
    m_cell.Run(100);
    ASSERT_EQ(NewRuns(), 4U);
    if (from_snapshot) {
      TakeOverFromSnapshot();
    } else {
      m_cell.TakeOver();
    }
    m_cell.Run(500);
    m_cell.End(1, RunEnd::kDone);
    m_cell.Run(200);
    EXPECT_EQ(OldRuns(), 0U) << from_snapshot;
    EXPECT_EQ(NewRuns(), 4U) << from_snapshot;
    Finish(1);
    EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
  }
}

// Fails if a queue that returns does not take its jobs with it.
TEST_F(QueueMoveTest, JobsReturnWithTheirQueue) {
  Submit(1, {CellHarness::Step(10, kWholeVm)});
  SendTo(kNewService);
  m_cell.Run(200);
  ASSERT_EQ(NewRuns(), 4U);
  SendTo(CellHarness::kService);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(200);
  EXPECT_EQ(OldRuns(), 2U);
  EXPECT_EQ(NewRuns(), 0U);
  Finish(1);
  EXPECT_EQ(PhaseOf(1), JobPhase::kComplete);
}

// Fails if a daemon that has an older configuration sends a job to the old
// pool, or one with a newer configuration makes the owner forget its own.
TEST_F(QueueMoveTest, JobOfADaemonWithAnotherConfigurationGetsTheOwnersPool) {
  SendTo(kNewService);
  QueueRules older = m_queue;
  older.m_service = CellHarness::kService;
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, kWholeVm)}, older));
  m_cell.Run(200);
  EXPECT_EQ(NewRuns(), 2U);
  QueueRules newer = m_queue;
  newer.m_service = CellHarness::kService;
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(4, kWholeVm)}, newer));
  m_cell.Run(200);
  ASSERT_EQ(NewRuns(), 4U);
  SendTo(CellHarness::kService);
  m_cell.Run(200);
  EXPECT_EQ(OldRuns(), 2U);
}

// Fails if a gang with a run underway in the old pool gets members in the new
// one before that run has ended, or restarts there in part.
TEST_F(QueueMoveTest, GangRestartsWholeInTheNewPool) {
  StepSpec gang = CellHarness::Step(3, kWholeVm);
  gang.m_gang = true;
  Submit(1, {gang});
  ASSERT_EQ(OldRuns(), 3U);
  SendTo(kNewService);
  m_cell.Run(1'000);
  EXPECT_EQ(OldRuns(), 3U);
  EXPECT_EQ(NewRuns(), 0U);
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(500);
  EXPECT_EQ(OldRuns(), 0U);
  EXPECT_EQ(NewRuns(), 3U);
}

// Fails if a gang that its former pool could not hold waits for the next check
// of its size although the new pool holds it.
TEST_F(QueueMoveTest, GangThatWasTooLargeStartsAtOnce) {
  for (int i = 1; i < kVmsPerPool; ++i) {
    Leave("old-" + std::to_string(i));
  }
  StepSpec gang = CellHarness::Step(2, kWholeVm);
  gang.m_gang = true;
  Submit(1, {gang});
  ASSERT_EQ(m_cell.RunningOf(1), 0U);
  m_cell.Run(1'000);
  SendTo(kNewService);
  m_cell.Run(50);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if a task that lasts is moved while it runs, or restarts in the old
// pool after its VM has left.
TEST_F(QueueMoveTest, TaskThatLastsRestartsInTheNewPool) {
  StepSpec service = CellHarness::Step(2, kWholeVm);
  service.m_long_lived = true;
  Submit(1, {service});
  SendTo(kNewService);
  m_cell.Run(2'000);
  ASSERT_EQ(OldRuns(), 2U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(300);
  EXPECT_EQ(OldRuns(), 0U);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if the runs in the old pool no longer count against the team's cap.
TEST_F(QueueMoveTest, CapCountsRunsInBothPools) {
  m_cell.SetTeam("team", {{3 * kWholeVm, 1'000'000, 0}, 1, 0});
  m_version = 100;
  m_cell.Submit(
      m_cell.Job(1, {CellHarness::Step(2, kWholeVm)}, m_queue, "team"));
  m_cell.Submit(
      m_cell.Job(2, {CellHarness::Step(6, kWholeVm)}, m_queue, "team"));
  m_cell.Run(200);
  ASSERT_EQ(OldRuns(), 3U);
  SendTo(kNewService);
  m_cell.Run(500);
  EXPECT_EQ(OldRuns() + NewRuns(), 3U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.Run(200);
  EXPECT_EQ(OldRuns() + NewRuns(), 3U);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if advice on VMs of the old pool lets a task start there, or none is
// requested on VMs of the new one.
TEST_F(QueueMoveTest, AdviceIsRequestedOnTheNewPool) {
  m_queue.m_needs_advice = true;
  SendTo(CellHarness::kService);
  m_cell.m_advice = [](const std::string& vm) { return vm != "new-0"; };
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  ASSERT_EQ(OldRuns(), 4U);
  m_cell.m_asked.clear();
  SendTo(kNewService);
  m_cell.Run(500);
  EXPECT_EQ(NewRuns(), 2U);
  EXPECT_TRUE(m_cell.Vm("new-0").m_running.empty());
  for (const AdviceRequest& request : m_cell.m_asked) {
    for (const std::string& vm : request.m_vms) {
      EXPECT_EQ(vm.rfind("new-", 0), 0U) << vm;
    }
  }
}

// Fails if a reservation in the old pool survives the move: room stays idle
// there, and the gang waits for it while the new pool is free.
TEST_F(QueueMoveTest, ReservationOfTheOldPoolIsGivenUp) {
  Restart({.m_preemption = true});
  QueueRules batch = m_cell.Queue("batch");
  batch.m_priority = 5;
  StepSpec task = CellHarness::Step(20, kWholeVm / 2);
  task.m_checkpoint = true;
  task.m_estimate_ms = 60'000;
  m_cell.Submit(m_cell.Job(2, {task}, batch));
  m_cell.Run(200);
  ASSERT_EQ(OldRuns(), 8U);
  for (auto i = 0; i < kVmsPerPool; ++i) {
    m_cell.Vm("old-" + std::to_string(i)).m_executes_stops = false;
  }
  m_queue.m_target_latency_ms = 60'000;
  SendTo(CellHarness::kService);
  StepSpec gang = CellHarness::Step(2, kWholeVm);
  gang.m_gang = true;
  Submit(1, {gang});
  ASSERT_FALSE(m_cell.m_stops.empty());
  SendTo(kNewService);
  m_cell.Run(50);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if the dry run, or the metric of the pools, shows the work in the pool
// that the queue has left.
TEST_F(QueueMoveTest, DryRunAndMetricsNameThePoolInForce) {
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  Submit(2, {CellHarness::Step(6, kWholeVm)});
  SendTo(kNewService);
  constexpr std::uint64_t kToken = 1'000'000;
  QueueRules older = m_queue;
  older.m_service = CellHarness::kService;
  m_cell.Core().Explain(kToken,
                        m_cell.Job(3, {CellHarness::Step(1, kWholeVm)}, older),
                        m_cell.Now());
  const auto pools = m_cell.Core().UseOfPools(m_cell.Now());
  EXPECT_EQ(pools.at(kNewService), (PoolUse{kVmsPerPool, 0, 8}));
  EXPECT_EQ(pools.at(CellHarness::kService), (PoolUse{kVmsPerPool, 4, 0}));
  m_cell.Pump();
  const auto answer = m_cell.Answer(kToken);
  ASSERT_TRUE(answer);
  const auto json = nlohmann::json::parse(answer->m_explanation);
  EXPECT_EQ(json["queue"]["service"], kNewService);
  EXPECT_EQ(json["ahead"]["cpu_millis"], 8 * kWholeVm);
  EXPECT_EQ(json["steps"][0]["fit_now"], 4);
}

// Fails if a job is refused for work that its pool lost, or accepted against
// work that its pool got, until the next forecast.
TEST_F(QueueMoveTest, ForecastFollowsAtOnce) {
  Restart({.m_refuse_hopeless = true});
  StepSpec backlog = CellHarness::Step(200, kWholeVm);
  backlog.m_estimate_ms = 10'000;
  m_queue.m_target_latency_ms = 10'000'000;
  m_queue.m_priority = 0;
  QueueRules stays = m_cell.Queue("stays");
  stays.m_priority = 1;
  QueueRules goes = m_queue;
  m_cell.Configure(++m_version, {goes, stays});
  Submit(1, {backlog});
  m_cell.Run(1'000);
  const auto submit = [&](int number) {
    m_cell.Submit(m_cell.Job(number, {CellHarness::Step(1, 1'000)}, stays));
    m_cell.Pump();
    return m_cell.LastAnswer()->m_outcome;
  };
  EXPECT_EQ(submit(2), CellOutcome::kRefused);
  goes.m_service = kNewService;
  m_cell.Configure(++m_version, {goes, stays});
  EXPECT_EQ(submit(3), CellOutcome::kAccepted);
  stays.m_service = kNewService;
  m_cell.Configure(++m_version, {goes, stays});
  EXPECT_EQ(submit(4), CellOutcome::kRefused);
}

// Fails if a move is not told to the operator with what it concerns.
TEST_F(QueueMoveTest, MoveIsReportedOnce) {
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  Submit(2, {CellHarness::Step(1, kWholeVm)});
  m_cell.m_moves.clear();
  SendTo(kNewService);
  m_cell.Run(100);
  const std::vector<QueueMoved> expected = {
      {"queue", CellHarness::kService, kNewService, m_version, 2, 4}};
  EXPECT_EQ(m_cell.m_moves, expected);
  EXPECT_EQ(m_cell.Core().Counters().m_jobs_moved, 2U);
}

// Fails if the log of an earlier version, which names the pool of the
// acceptance in its rules, keeps jobs there once the configuration is known.
TEST_F(QueueMoveTest, LogOfAnEarlierVersionIsRead) {
  Submit(1, {CellHarness::Step(6, kWholeVm)});
  QueueRules kept = m_queue;
  kept.m_max_attempts = 7;
  m_cell.m_log.emplace_back(RulesInForce{++m_version, {kept}});
  m_cell.TakeOver();
  m_queue.m_max_attempts = 7;
  SendTo(kNewService);
  m_cell.Run(500);
  EXPECT_EQ(OldRuns(), 4U);
  EXPECT_EQ(NewRuns(), 2U);
}

// Fails if runs in the old pool after the move are taken for evidence on the
// new one: the estimates of the VMs in the old pool then begin anew.
TEST_F(QueueMoveTest, RunsInTheOldPoolTellItsSpeeds) {
  Restart({.m_place_by_speed = true});
  constexpr int kSteps = 20;
  m_cell.Vm("old-0").m_percent_per_ms /= 2;
  const auto run_step = [this](int job) {
    Submit(job, {CellHarness::Step(kVmsPerPool, kWholeVm)});
    ASSERT_EQ(OldRuns(), kVmsPerPool);
  };
  for (int job = 1; job <= kSteps; ++job) {
    run_step(job);
    m_cell.Run(6'000);
    m_cell.End(job, RunEnd::kDone);
    m_cell.Run(200);
  }
  const VmIncarnation slow = m_cell.Vm("old-0").m_description.m_incarnation;
  const double speed = m_cell.Core().Speeds().Of(slow);
  ASSERT_LT(speed, 0.7);
  run_step(kSteps + 1);
  SendTo(kNewService);
  m_cell.Run(12'000);
  EXPECT_NEAR(m_cell.Core().Speeds().Of(slow), speed, 0.05);
}

// Fails for a mixture of moves, ends, removals, changes of the owner (from the
// log and from a snapshot) and VMs that leave in which a task is started twice
// or in another pool than the one in force, or a job does not end.
TEST_F(QueueMoveTest, DrawnMovesLoseAndRepeatNothing) {
  constexpr int kSeeds = 60;
  constexpr int kJobs = 12;
  for (int seed = 0; seed < kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    const auto draw = [&](int below) {
      return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    m_queue = m_cell.Queue();
    Restart({.m_place_by_speed = draw(2) == 0, .m_preemption = draw(2) == 0});
    for (int job = 1; job <= kJobs; ++job) {
      StepSpec first = CellHarness::Step(
          static_cast<std::uint32_t>(1 + draw(3)), kWholeVm / (1 + draw(3)));
      first.m_gang = draw(3) == 0;
      first.m_checkpoint = draw(2) == 0;
      StepSpec second = CellHarness::Step(2, kWholeVm / 4);
      second.m_dependencies = {0};
      m_cell.Submit(m_cell.Job(job, {first, second}, m_queue));
      m_cell.Pump();
      const std::size_t started = m_cell.m_starts.size();
      switch (draw(6)) {
        case 0:
          SendTo(draw(2) == 0 ? kNewService : CellHarness::kService);
          if (draw(3) == 0) {
            // The owner is gone before the move is in the log.
            m_cell.TakeOver();
          }
          break;
        case 1:
          RemoveQueue();
          break;
        case 2:
          m_cell.TakeOver();
          break;
        case 3:
          TakeOverFromSnapshot();
          break;
        default:
          m_cell.End(1 + draw(job), RunEnd::kDone);
      }
      m_cell.Run(100 + 50 * draw(10));
      for (std::size_t i = started; i < m_cell.m_starts.size(); ++i) {
        const std::string& vm = m_cell.m_starts[i].m_vm.m_id;
        EXPECT_EQ(m_cell.Vm(vm).m_description.m_service, m_queue.m_service);
      }
    }
    SendTo(kNewService);
    for (int round = 0; round < 100; ++round) {
      for (int job = 1; job <= kJobs; ++job) {
        m_cell.End(job, RunEnd::kDone);
      }
      m_cell.Run(200);
    }
    for (int job = 1; job <= kJobs; ++job) {
      EXPECT_EQ(PhaseOf(job), JobPhase::kComplete) << job;
    }
    EXPECT_TRUE(m_cell.m_started_twice.empty());
    EXPECT_TRUE(m_cell.m_started_after_done.empty());
  }
}

}  // namespace
}  // namespace mustardslip
