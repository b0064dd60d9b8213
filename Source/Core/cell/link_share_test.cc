// What an owner may send and accept over a narrow link, and what waits for it.
#include "cell/link_share.h"

#include <gtest/gtest.h>

#include "cell/link_budget.h"
#include "cell/submission_queue.h"
#include "transport/link_backlog.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kNarrowBytesPerMs = 250;

WorkflowSpec Spec(const std::string& id, std::size_t bytes) {
  WorkflowSpec spec;
  spec.m_id = id;
  spec.m_payload = std::string(bytes, 'x');
  return spec;
}

// Fails if the bytes that wait are not drained at the link's rate.
TEST(LinkBacklogTest, DrainsAtTheRateOfTheLink) {
  LinkBacklog backlog(kNarrowBytesPerMs);
  EXPECT_EQ(backlog.Ms(0, 1'000), 0);
  EXPECT_EQ(backlog.Ms(50'000, 1'000), 200);
  EXPECT_EQ(backlog.Ms(50'000, 1'150), 50);
  EXPECT_EQ(backlog.Ms(50'000, 2'000), 0);
  EXPECT_EQ(backlog.Ms(75'000, 2'000), 100);
}

TEST(LinkBacklogTest, UnlimitedLinkHasNone) {
  LinkBacklog backlog(0);
  EXPECT_EQ(backlog.Ms(1'000'000'000, 1), 0);
}

// Fails if one batch of an owner with a narrow link takes so long that a lease
// of a second is not renewed beside it.
TEST(LinkShareTest, BatchLeavesTimeForTheLease) {
  const LinkShare narrow(kNarrowBytesPerMs);
  EXPECT_LE(narrow.WriteMs(narrow.MaxBatchBytes()), 100);
  EXPECT_EQ(LinkShare().WriteMs(1'000'000), 0);
  EXPECT_EQ(LinkShare().MaxStartBytes(),
            std::numeric_limits<std::int64_t>::max());
}

WorkflowSpec JobOfTasks(std::uint32_t tasks) {
  WorkflowSpec spec = Spec("job", 600);
  spec.m_steps.resize(1);
  spec.m_steps.front().m_count = tasks;
  return spec;
}

// How many of the jobs that come in 10 s, one each `interval_ms`, are accepted.
int AcceptedIn10S(std::int64_t bytes_per_ms, std::int64_t interval_ms,
                  const WorkflowSpec& spec) {
  LinkBudget budget(bytes_per_ms);
  int accepted = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += interval_ms) {
    constexpr std::int64_t kStartMs = 1'000;
    if (!budget.Exhausted(kStartMs + ms)) {
      budget.Spend(spec);
      ++accepted;
    }
  }
  return accepted;
}

// Fails if an owner accepts more work than its link can start: all of it then
// ends too late, and nothing more is served.
TEST(LinkBudgetTest, AcceptsNoMoreThanTheLinkCarries) {
  constexpr std::int64_t kStartBytes = 950;
  constexpr std::uint32_t kTasks = 6;
  constexpr std::int64_t kCarriedBytes = 10'000 * kNarrowBytesPerMs;
  const std::int64_t accepted =
      AcceptedIn10S(kNarrowBytesPerMs, 10, JobOfTasks(kTasks));
  const std::int64_t needed_bytes = accepted * kTasks * kStartBytes;
  EXPECT_LE(needed_bytes, kCarriedBytes);
  EXPECT_GE(needed_bytes, kCarriedBytes / 4);
}

// Fails if a job larger than the budget is never accepted, or keeps all others
// out for as long as its starts take.
TEST(LinkBudgetTest, OneHugeJobDoesNotKeepOthersOut) {
  EXPECT_GE(AcceptedIn10S(kNarrowBytesPerMs, 50, JobOfTasks(10'000)), 4);
}

TEST(LinkBudgetTest, UnlimitedLinkAcceptsAll) {
  EXPECT_EQ(AcceptedIn10S(0, 10, JobOfTasks(1'000)), 1'000);
}

// Fails if submissions wait without a bound for a log that takes less than what
// comes: all of them then end too late, instead of some being refused at once.
TEST(SubmissionQueueTest, IsFullOnceTheWaitIsSeveralWrites) {
  constexpr std::int64_t kBatchBytes = 4'000;
  SubmissionQueue queue(kBatchBytes);
  std::uint64_t pushed = 0;
  while (!queue.Full() && pushed < 1'000) {
    ++pushed;
    queue.Push(pushed, Spec(std::to_string(pushed), 900));
  }
  EXPECT_GE(pushed, 10U);
  EXPECT_LE(pushed, 20U);
  EXPECT_FALSE(queue.Pop(kBatchBytes).has_value());
  EXPECT_EQ(queue.Pop(0)->m_token, 1U);
  EXPECT_FALSE(queue.Full());
}

// Fails if a caller is told that a job does not exist while its submission
// waits: it would run after a cancel that was answered.
TEST(SubmissionQueueTest, SubmissionOfAJobIsFoundByItsId) {
  SubmissionQueue queue(4'000);
  queue.Push(1, Spec("a", 10));
  queue.Push(2, Spec("b", 10));
  EXPECT_FALSE(queue.Take("c").has_value());
  EXPECT_EQ(queue.Take("b")->m_token, 2U);
  EXPECT_EQ(queue.Pop(0)->m_token, 1U);
  EXPECT_TRUE(queue.Empty());
}

}  // namespace
}  // namespace mustardslip
