// Tests of BacklogForecast and of the refusal of jobs that could not end in
// time. The comment of each names the failure that it guards against.
#include "cell/backlog_forecast.h"

#include <gtest/gtest.h>

#include <set>

#include "cell/cell_core_fixture.h"
#include "cell/ready_steps.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kNow = 1'800'000'000'000;

TEST(BacklogForecastTest, OnlyWorkThatGoesFirstCounts) {
  BacklogForecast forecast;
  forecast.AddCapacity("svc", 1'000);
  forecast.AddWork("svc", MakeReadyOrder(0, false, kNow + 100), 2'000'000);
  forecast.AddWork("svc", MakeReadyOrder(1, false, kNow + 100), 3'000'000);
  forecast.AddWork("svc", MakeReadyOrder(1, false, kNow + 900), 5'000'000);
  forecast.AddWork("svc", MakeReadyOrder(2, false, kNow + 100), 7'000'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(0, false, kNow)), 0);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(0, false, kNow + 200)),
            2'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(1, false, kNow + 500)),
            5'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(1, false, kNow + 901)),
            10'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(3, false, kNow)), 17'000);
  EXPECT_EQ(forecast.MinWaitMs("other", MakeReadyOrder(1, false, kNow)),
            std::nullopt);
}

// Fails if a job is refused because of work beyond its team's rate, which goes
// after the job.
TEST(BacklogForecastTest, WorkBeyondItsTeamsRateGoesLater) {
  BacklogForecast forecast;
  forecast.AddCapacity("svc", 1'000);
  forecast.AddWork("svc", MakeReadyOrder(1, false, kNow + 900), 3'000'000);
  forecast.AddWork("svc", MakeReadyOrder(0, true, kNow + 100), 5'000'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(1, false, kNow + 500)), 0);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(1, false, kNow + 901)),
            3'000);
  EXPECT_EQ(forecast.MinWaitMs("svc", MakeReadyOrder(2, false, kNow)), 8'000);
}

class RefusalTest : public testing::Test {
 protected:
  static constexpr CellFeatures kRefuse{.m_refuse_hopeless = true};

  // One VM with 64 cores, and `jobs` urgent jobs of 64 core-seconds each.
  void Fill(const CellFeatures& features, int jobs) {
    m_cell = CellHarness(features);
    m_cell.AddVm("vm-0", kVmCapacity);
    m_cell.Run(100);
    QueueRules urgent = m_cell.Queue("urgent");
    urgent.m_target_latency_ms = 600'000;
    for (int i = 0; i < jobs; ++i) {
      m_cell.Submit(
          m_cell.Job(100 + i, {CellHarness::Step(1, 64'000)}, urgent));
    }
    m_cell.Run(500);
  }

  // A less urgent job of 1 s with an objective of 3 s.
  CellAnswer SubmitLessUrgent(int number) {
    QueueRules queue = m_cell.Queue();
    queue.m_priority = 1;
    m_cell.Submit(m_cell.Job(number, {CellHarness::Step(1, 1'000)}, queue));
    m_cell.Pump();
    return *m_cell.LastAnswer();
  }

  CellHarness m_cell;
};

// Fails if a job is accepted that cannot end before its result is useless.
TEST_F(RefusalTest, JobThatCannotEndInTimeIsRefusedAtOnce) {
  Fill(kRefuse, 30);
  const CellAnswer answer = SubmitLessUrgent(1);
  EXPECT_EQ(answer.m_outcome, CellOutcome::kRefused);
  EXPECT_EQ(answer.m_reason, "no_capacity_in_time");
  EXPECT_GE(answer.m_retry_after_ms, 1'000);
  EXPECT_EQ(m_cell.Lookup(1).m_outcome, CellOutcome::kNotFound);
}

// Fails if a job is refused that could still be of use, though late.
TEST_F(RefusalTest, LateJobThatIsOfUseIsAccepted) {
  Fill(kRefuse, 7);
  EXPECT_EQ(SubmitLessUrgent(1).m_outcome, CellOutcome::kAccepted);
}

// Fails if the setting has an effect while it is off.
TEST_F(RefusalTest, NothingIsRefusedWithoutTheSetting) {
  Fill({}, 30);
  EXPECT_EQ(SubmitLessUrgent(1).m_outcome, CellOutcome::kAccepted);
}

// Fails if a job that was accepted is refused when its caller asks again.
TEST_F(RefusalTest, AcceptedJobIsNotRefusedLater) {
  Fill(kRefuse, 0);
  EXPECT_EQ(SubmitLessUrgent(1).m_outcome, CellOutcome::kAccepted);
  QueueRules urgent = m_cell.Queue("urgent");
  urgent.m_target_latency_ms = 600'000;
  for (int i = 0; i < 30; ++i) {
    m_cell.Submit(m_cell.Job(100 + i, {CellHarness::Step(1, 64'000)}, urgent));
  }
  m_cell.Run(500);
  EXPECT_EQ(SubmitLessUrgent(1).m_outcome, CellOutcome::kAccepted);
  EXPECT_EQ(SubmitLessUrgent(2).m_outcome, CellOutcome::kRefused);
}

// Fails if services and schedules, which have no end to be late, are refused.
TEST_F(RefusalTest, ServicesAndSchedulesAreAccepted) {
  Fill(kRefuse, 30);
  QueueRules queue = m_cell.Queue();
  queue.m_priority = 1;
  StepSpec service = CellHarness::Step(1, 1'000);
  service.m_long_lived = true;
  m_cell.Submit(m_cell.Job(1, {service}, queue));
  m_cell.Pump();
  EXPECT_EQ(m_cell.LastAnswer()->m_outcome, CellOutcome::kAccepted);
  WorkflowSpec scheduled = m_cell.Job(2, {CellHarness::Step(1, 1'000)}, queue);
  scheduled.m_schedule = {kNow, 1'000, 3};
  m_cell.Submit(scheduled);
  m_cell.Pump();
  EXPECT_EQ(m_cell.LastAnswer()->m_outcome, CellOutcome::kAccepted);
}

// Fails if callers who are refused together are told to return together.
TEST_F(RefusalTest, ReturnsAreSpread) {
  Fill(kRefuse, 60);
  std::set<std::int64_t> retries;
  for (int i = 0; i < 20; ++i) {
    retries.insert(SubmitLessUrgent(1 + i).m_retry_after_ms);
  }
  EXPECT_GT(retries.size(), 10U);
}

}  // namespace
}  // namespace mustardslip
