// Tests of which limit of attempts decides that a job has failed: the one in
// force at the owner, whichever configuration the job was accepted with.
#include <gtest/gtest.h>

#include <string>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

class CellCoreAttemptsTest : public CellCoreTest {
 protected:
  QueueRules QueueWithAttempts(std::int64_t max_attempts) const {
    QueueRules queue = m_cell.Queue();
    queue.m_max_attempts = max_attempts;
    return queue;
  }

  void Configure(std::int64_t version, std::int64_t max_attempts) {
    m_cell.Configure(version, {QueueWithAttempts(max_attempts)});
  }

  // Submits job 1, a single task.
  void SubmitWithAttempts(std::int64_t max_attempts) {
    m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 1'000)},
                             QueueWithAttempts(max_attempts)));
    m_cell.Run(200);
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
  AddVms(4);
  Configure(1, 2);
  SubmitWithAttempts(2);
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
  AddVms(4);
  Configure(1, 4);
  SubmitWithAttempts(4);
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
  AddVms(4);
  Configure(1, 4);
  SubmitWithAttempts(4);
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
  AddVms(4);
  Configure(1, 2);
  SubmitWithAttempts(2);
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
  AddVms(4);
  Configure(1, 2);
  SubmitWithAttempts(2);
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

}  // namespace
}  // namespace mustardslip
