// Tests TeamOwner with its threads on an in-memory store and simulated groups.
#include "jobs/team_owner.h"

#include <gtest/gtest.h>

#include <future>

#include "jobs/test_fakes.h"

namespace mustardslip {
namespace {

// Guards against a thread that is never woken: the submission, placement and
// end of a job involve all three threads, and a graceful stop ends them.
TEST(TeamOwnerTest, RunsJobAndServiceRequestThroughItsThreads) {
  TestStore store;
  TestGroups groups;
  groups.AnswerImmediately();
  TeamOwner<TestStore, TestGroups> owner(
      3, 1, store, groups, {}, [](const std::string&) {
        return std::optional<Resources>(Resources{100'000, 100'000, 0});
      });
  owner.Start();
  while (!owner.Ready()) {
    std::this_thread::yield();
  }
  std::promise<Result<JobStatus>> submitted;
  SubmitJobRequest request;
  request.m_spec.m_team = "a";
  request.m_spec.m_resources = {1000, 100, 0};
  owner.SubmitJob(request, [&submitted](Result<JobStatus> status) {
    submitted.set_value(std::move(status));
  });
  const Result<JobStatus> status = submitted.get_future().get();
  ASSERT_TRUE(status.has_value());
  EXPECT_EQ(status->m_outcome, Outcome::kQueued);
  std::vector<AttemptSpec> placed;
  while (placed.empty()) {
    placed = groups.PlacedAttempts();
    std::this_thread::yield();
  }
  AttemptReport report;
  report.m_attempt = placed.front().m_attempt;
  report.m_job = status->m_job;
  report.m_team = "a";
  report.m_state = AttemptState::kEnded;
  ASSERT_TRUE(owner.OnTaskEvents({"z1", 1, 3, {report}}).has_value());
  const Result<JobStatus> ended = owner.LookupJob({status->m_job, "a", 0});
  ASSERT_TRUE(ended.has_value());
  EXPECT_EQ(ended->m_outcome, Outcome::kDone);
  owner.Stop(true);
}

}  // namespace
}  // namespace mustardslip
