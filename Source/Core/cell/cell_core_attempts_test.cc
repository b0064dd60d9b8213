// Tests of which limit of attempts decides that a job has failed: the one in
// force at the owner, whichever configuration the job was accepted with.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

class CellCoreAttemptsTest : public CellCoreTest {
 protected:
  void Configure(std::int64_t version, std::int64_t max_attempts) {
    m_cell.Configure(version, {QueueWithAttempts(max_attempts)});
  }

  // The queue goes to another pool, with four attempts.
  void MoveQueue(std::int64_t version) {
    QueueRules moved = QueueWithAttempts(4);
    moved.m_service = "other";
    m_cell.AddVm("vm-other", kVmCapacity).m_description.m_service = "other";
    m_cell.List("vm-other");
    m_cell.Configure(version, {moved});
  }

  // Submits job 1, a single task.
  void SubmitWithAttempts(std::int64_t max_attempts) {
    m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 1'000)},
                             QueueWithAttempts(max_attempts)));
    m_cell.Run(200);
  }

  // Submits job 1 under a configuration with this limit.
  void SubmitUnderLimit(std::int64_t max_attempts) {
    AddVms(4);
    Configure(1, max_attempts);
    SubmitWithAttempts(max_attempts);
  }

  // Submits job 1, one task or a gang of two, with one attempt.
  void SubmitWithOneAttempt(bool gang) {
    m_cell = CellHarness();
    AddVms(4);
    Configure(1, 1);
    SubmitStep(gang, 1);
  }

  void SubmitStep(bool gang, std::int64_t max_attempts) {
    StepSpec step = CellHarness::Step(gang ? 2 : 1, 40'000);
    step.m_gang = gang;
    m_cell.Submit(m_cell.Job(1, {step}, QueueWithAttempts(max_attempts)));
    m_cell.Run(200);
    ASSERT_EQ(m_cell.RunningOf(1), gang ? 2U : 1U);
  }

  // A later run of job 1 is open with its one attempt left, which a failure
  // takes.
  void ExpectOneAttemptLeft(bool gang) {
    EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
    EXPECT_TRUE(m_cell.m_failures.empty());
    EXPECT_EQ(m_cell.RunningOf(1), gang ? 2U : 1U);
    const std::uint32_t run = m_cell.m_starts.back().m_run;
    EXPECT_GT(run, 1U);
    FailRun();
    EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
    ASSERT_EQ(m_cell.m_failures.size(), 1U);
    EXPECT_EQ(m_cell.m_failures[0].m_runs, std::vector<std::uint32_t>{run});
    EXPECT_EQ(m_cell.m_failures[0].m_failures, 1U);
  }

  void FailMember(std::uint32_t index) {
    for (int i = 0; i < 4; ++i) {
      SimulatedVm& vm = m_cell.Vm("vm-" + std::to_string(i));
      const std::vector<SimulatedVm::Running> running = vm.m_running;
      for (const SimulatedVm::Running& run : running) {
        if (run.m_task.m_index == index) {
          CellHarness::EndRun(vm, run, RunEnd::kFailed);
        }
      }
    }
    m_cell.Run(500);
  }

  // Fails the open run of job 1 and lets the next one start.
  void FailRun() {
    m_cell.End(1, RunEnd::kFailed);
    m_cell.Run(200);
  }
};

// Fails if a new owner judges a job's failures by the limit with which it was
// accepted: the job would be shown as failed although it has attempts left.
TEST_F(CellCoreAttemptsTest, RaisedLimitHoldsAtTheNextOwner) {
  SubmitUnderLimit(2);
  Configure(2, 4);
  FailRun();
  FailRun();
  m_cell.TakeOver();
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.RunningOf(1), 1U);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
}

// Fails if a new owner starts a task more often than the configuration in force
// allows, because the job was accepted with a higher limit.
TEST_F(CellCoreAttemptsTest, LoweredLimitHoldsAtTheNextOwner) {
  SubmitUnderLimit(4);
  Configure(2, 2);
  FailRun();
  m_cell.TakeOver();
  m_cell.Run(200);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// Fails if a job that callers have seen as failed runs again at a new owner.
TEST_F(CellCoreAttemptsTest, FailedJobStaysFailedAtTheNextOwner) {
  SubmitUnderLimit(4);
  Configure(2, 2);
  FailRun();
  FailRun();
  ASSERT_EQ(PhaseOf(1), JobPhase::kFailed);
  Configure(3, 4);
  m_cell.TakeOver();
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  TakeOverFromSnapshot();
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// Fails if an owner that has not read the configuration yet fails a job by the
// limit with which it was accepted, or starts tasks without the teams' caps.
TEST_F(CellCoreAttemptsTest, OwnerWithoutConfigurationDecidesNothing) {
  SubmitUnderLimit(2);
  FailRun();
  Configure(2, 4);
  m_cell.TakeOverWithoutConfiguration();
  m_cell.Run(200);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
  Configure(2, 4);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.m_starts.size(), 3U);
}

// Fails if a waiting task is started once more after the limit was lowered.
TEST_F(CellCoreAttemptsTest, LoweredLimitEndsAJobThatWaitsForItsNextRun) {
  AddVms(1);
  Configure(1, 4);
  SubmitWithAttempts(4);
  FailRun();
  m_cell.Vm("vm-0").m_reachable = false;
  m_cell.Look();
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(200);
  m_cell.Vm("vm-0").m_reachable = true;
  m_cell.Look();
  Configure(2, 2);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// Fails if a job runs again whose failure an earlier version left to be
// concluded from the ends in the log.
TEST_F(CellCoreAttemptsTest, FailureInALogOfAnEarlierVersionIsKept) {
  SubmitUnderLimit(2);
  FailRun();
  FailRun();
  std::erase_if(m_cell.m_log, [](const LogRecord& record) {
    const auto* progress = std::get_if<JobProgress>(&record);
    return progress != nullptr && progress->m_failed;
  });
  m_cell.TakeOver();
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
}

// Fails if a job that a daemon with an older configuration handed in is shown
// as failed by the limit of that configuration.
TEST_F(CellCoreAttemptsTest, JobFromAnOlderConfigurationGetsTheLimitInForce) {
  AddVms(4);
  Configure(2, 3);
  SubmitWithAttempts(1);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.RunningOf(1), 1U);
}

// Fails if an end that a VM reports and that is no failure of the task takes an
// attempt.
TEST_F(CellCoreAttemptsTest, ReportedEndsOtherThanFailuresTakeNoAttempt) {
  for (const bool gang : {false, true}) {
    for (const RunEnd how :
         {RunEnd::kStopped, RunEnd::kLeaseExpired, RunEnd::kGangMemberEnded,
          RunEnd::kGangIncomplete, RunEnd::kLost, RunEnd::kNotStarted}) {
      SCOPED_TRACE(std::string(ToString(how)) + (gang ? " gang" : ""));
      ASSERT_NO_FATAL_FAILURE(SubmitWithOneAttempt(gang));
      m_cell.End(1, how);
      m_cell.Run(500);
      ASSERT_NO_FATAL_FAILURE(ExpectOneAttemptLeft(gang));
    }
  }
}

// Fails if a run that was lost with its VM's incarnation takes an attempt.
TEST_F(CellCoreAttemptsTest, LostRunTakesNoAttempt) {
  for (const bool gang : {false, true}) {
    SCOPED_TRACE(gang);
    ASSERT_NO_FATAL_FAILURE(SubmitWithOneAttempt(gang));
    for (int i = 0; i < 4; ++i) {
      const std::string vm = "vm-" + std::to_string(i);
      m_cell.Restart(vm, 2);
      m_cell.List(vm);
    }
    m_cell.Run(1'000);
    EXPECT_GT(m_cell.Core().Counters().m_ends.at(RunEnd::kLost), 0U);
    ASSERT_NO_FATAL_FAILURE(ExpectOneAttemptLeft(gang));
  }
}

// Fails if a run whose VM was silent until its lease ended takes an attempt.
TEST_F(CellCoreAttemptsTest, RunOfASilentVmTakesNoAttempt) {
  for (const bool gang : {false, true}) {
    SCOPED_TRACE(gang);
    ASSERT_NO_FATAL_FAILURE(SubmitWithOneAttempt(gang));
    SimulatedVm& vm = m_cell.Vm(m_cell.m_starts.back().m_vm.m_id);
    vm.m_reachable = false;
    m_cell.Run(2 * kVmLeaseMs);
    EXPECT_GT(m_cell.Core().Counters().m_ends.at(RunEnd::kLost), 0U);
    // The VM ended the run itself meanwhile.
    CellHarness::EndRun(vm, vm.m_running.at(0), RunEnd::kLeaseExpired);
    vm.m_reachable = true;
    m_cell.Run(500);
    ASSERT_NO_FATAL_FAILURE(ExpectOneAttemptLeft(gang));
  }
}

// Fails if a start that a VM refused takes an attempt.
TEST_F(CellCoreAttemptsTest, RefusedStartTakesNoAttempt) {
  for (const bool gang : {false, true}) {
    SCOPED_TRACE(gang);
    ASSERT_NO_FATAL_FAILURE(SubmitWithOneAttempt(gang));
    m_cell.End(1, RunEnd::kStopped);
    for (int i = 0; i < 4; ++i) {
      m_cell.Vm("vm-" + std::to_string(i)).m_delays_starts = true;
    }
    m_cell.Run(200);
    const StartRun refused = m_cell.m_starts.back();
    ASSERT_EQ(refused.m_run, 2U);
    for (int i = 0; i < 4; ++i) {
      m_cell.Vm("vm-" + std::to_string(i)).m_delays_starts = false;
    }
    m_cell.Core().OnStartAnswer({refused.m_task, refused.m_run, refused.m_vm,
                                 StartOutcome::kRefused, 0, "room"},
                                m_cell.Now());
    m_cell.Run(2'000);
    ASSERT_NO_FATAL_FAILURE(ExpectOneAttemptLeft(gang));
  }
}

// Fails if two members that fail in one run of a gang take two attempts, or if
// failures of different members in different runs are counted apart.
TEST_F(CellCoreAttemptsTest, GangFailsOncePerRun) {
  AddVms(4);
  Configure(1, 3);
  ASSERT_NO_FATAL_FAILURE(SubmitStep(true, 3));
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(500);
  FailMember(0);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.RunningOf(1), 2U);
  FailMember(1);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  const JobFailure expected{{CellHarness::Id(1), 0, 0, 1}, {1, 2, 3}, 3, 3, 1};
  EXPECT_EQ(m_cell.m_failures, std::vector<JobFailure>{expected});
}

// Fails if snapshots of snapshots lose failures or count them again.
TEST_F(CellCoreAttemptsTest, CountIsExactOverSeveralSnapshots) {
  for (const bool gang : {false, true}) {
    SCOPED_TRACE(gang);
    m_cell = CellHarness();
    AddVms(4);
    Configure(1, 3);
    ASSERT_NO_FATAL_FAILURE(SubmitStep(gang, 3));
    for (int i = 0; i < 2; ++i) {
      m_cell.End(1, RunEnd::kFailed);
      m_cell.Run(500);
      TakeOverFromSnapshot();
      m_cell.Run(500);
      TakeOverFromSnapshot();
      m_cell.Run(500);
      ASSERT_EQ(PhaseOf(1), JobPhase::kRunning);
      ASSERT_EQ(m_cell.RunningOf(1), gang ? 2U : 1U);
    }
    m_cell.End(1, RunEnd::kFailed);
    m_cell.Run(500);
    EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
    ASSERT_EQ(m_cell.m_failures.size(), 1U);
    EXPECT_EQ(m_cell.m_failures[0].m_failures, 3U);
    EXPECT_EQ(m_cell.m_failures[0].m_runs,
              (std::vector<std::uint32_t>{1, 2, 3}));
  }
}

// Fails if a job is told or logged as failed before the record is durable: the
// next owner may not regard it as failed.
TEST_F(CellCoreAttemptsTest, FailureIsNotToldBeforeItIsDurable) {
  SubmitUnderLimit(1);
  m_cell.m_store_up = false;
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  m_cell.Write();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_TRUE(m_cell.m_failures.empty());
  m_cell.Cancel(1);
  m_cell.Pump();
  EXPECT_FALSE(m_cell.LastAnswer().has_value());
  m_cell.ConfirmWrite();
  m_cell.Pump();
  ASSERT_TRUE(m_cell.LastAnswer().has_value());
  EXPECT_EQ(m_cell.LastAnswer()->m_phase, JobPhase::kFailed);
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
  EXPECT_EQ(m_cell.m_failures.size(), 1U);
}

// Fails if a failure that an owner could not write binds the next one, or is
// lost there.
TEST_F(CellCoreAttemptsTest, UnwrittenFailureIsDecidedByTheNextOwner) {
  SubmitUnderLimit(1);
  m_cell.m_store_up = false;
  m_cell.End(1, RunEnd::kFailed);
  m_cell.Run(200);
  ASSERT_EQ(PhaseOf(1), JobPhase::kRunning);
  Configure(2, 2);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  m_cell.TakeOver();
  m_cell.m_store_up = true;
  m_cell.Run(500);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
}

// Fails if a new owner forgets the limit that the last configuration with the
// queue set for its jobs: the queue may return, and its jobs with it.
TEST_F(CellCoreAttemptsTest, LimitOfARemovedQueueHoldsAtTheNextOwner) {
  SubmitUnderLimit(2);
  Configure(2, 4);
  FailRun();
  FailRun();
  m_cell.Configure(3, {});
  m_cell.Run(200);
  ASSERT_EQ(PhaseOf(1), JobPhase::kRunning);
  m_cell.TakeOver();
  m_cell.Run(200);
  FailRun();
  Configure(4, 4);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
}

// Fails if a job whose queue has moved to another pool keeps the limit of its
// acceptance.
TEST_F(CellCoreAttemptsTest, LimitHoldsForJobsOfAQueueThatMovedToAnotherPool) {
  SubmitUnderLimit(2);
  MoveQueue(2);
  FailRun();
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.m_starts.size(), 3U);
  FailRun();
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kFailed);
}

// Fails if a new owner forgets the limit of the last configuration before the
// queue moved to another pool.
TEST_F(CellCoreAttemptsTest, LimitBeforeAMoveOfTheQueueHoldsAtTheNextOwner) {
  SubmitUnderLimit(2);
  Configure(2, 4);
  MoveQueue(3);
  FailRun();
  FailRun();
  ASSERT_EQ(PhaseOf(1), JobPhase::kRunning);
  m_cell.TakeOver();
  m_cell.Run(200);
  FailRun();
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(m_cell.m_starts.size(), 4U);
}

// Fails if a new owner that has not seen the newest configuration yet fails a
// job that an owner with the newest one let go on.
TEST_F(CellCoreAttemptsTest, OwnerWithAnOlderConfigurationFailsNoJobByIt) {
  SubmitUnderLimit(2);
  Configure(2, 4);
  FailRun();
  FailRun();
  ASSERT_EQ(PhaseOf(1), JobPhase::kRunning);
  // Not for this owner, which has a newer one, but for the next.
  Configure(1, 2);
  ASSERT_EQ(m_cell.Core().RulesVersion(), 2);
  m_cell.TakeOver();
  m_cell.Run(200);
  FailRun();
  Configure(2, 4);
  m_cell.Run(200);
  EXPECT_EQ(PhaseOf(1), JobPhase::kRunning);
}

// Fails if the store does not keep which rules were in force.
TEST_F(CellCoreAttemptsTest, RulesInForceAreEncodedWhole) {
  SubmitUnderLimit(2);
  Configure(2, 4);
  m_cell.Run(200);
  const auto is_rules = [this](const LogRecord& record) {
    const auto* rules = std::get_if<RulesInForce>(&record);
    return rules != nullptr && rules->m_version == 2 &&
           rules->m_changed == std::vector<QueueRules>{QueueWithAttempts(4)};
  };
  ASSERT_EQ(std::count_if(m_cell.m_log.begin(), m_cell.m_log.end(), is_rules),
            1);
  const auto decoded = DecodeRecords(EncodeRecords(m_cell.m_log));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, m_cell.m_log);
}

}  // namespace
}  // namespace mustardslip
