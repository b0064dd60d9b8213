// What an owner may send over a narrow link, and what waits for it.
#include "cell/link_share.h"

#include <gtest/gtest.h>

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
