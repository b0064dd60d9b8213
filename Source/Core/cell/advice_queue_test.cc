// Tests of AdviceQueue under more calls than the daemons can make. The comment
// of each names the failure that it guards against.
#include "cell/advice_queue.h"

#include <gtest/gtest.h>

#include <set>

namespace mustardslip {
namespace {

constexpr std::uint64_t kDaemons = 20;
constexpr std::int64_t kLongMs = 1'000;
constexpr std::int64_t kShortMs = 10;

AdviceRequest LongCall() { return {{"job", 0, 0}, {"vm"}, kLongMs, true}; }
AdviceRequest ShortCall() { return {{"job", 0, 1}, {"vm"}, kShortMs, false}; }

AdviceQueue MakeQueue(bool short_lane, std::uint64_t daemons = kDaemons) {
  AdviceQueue queue(short_lane);
  for (std::uint64_t daemon = 0; daemon < daemons; ++daemon) {
    queue.AddDaemon(daemon);
  }
  return queue;
}

// Assigns long calls until none is taken any more.
std::set<std::uint64_t> FillWithLongCalls(AdviceQueue& queue) {
  std::set<std::uint64_t> daemons;
  while (const auto assignment = queue.Assign(LongCall(), 0)) {
    daemons.insert(assignment->m_daemon);
  }
  return daemons;
}

// Fails if a short call of an urgent step waits behind long calls although a
// lane for it was asked for.
TEST(AdviceQueueTest, ShortCallDoesNotWaitBehindLongOnes) {
  AdviceQueue queue = MakeQueue(true);
  const std::set<std::uint64_t> busy = FillWithLongCalls(queue);
  EXPECT_EQ(busy.size(), kDaemons * 9 / 10);
  const auto assignment = queue.Assign(ShortCall(), 0);
  ASSERT_TRUE(assignment.has_value());
  EXPECT_EQ(busy.count(assignment->m_daemon), 0U);
}

// Fails if the setting has an effect while it is off.
TEST(AdviceQueueTest, WithoutALaneAllDaemonsMakeLongCalls) {
  AdviceQueue queue = MakeQueue(false);
  EXPECT_EQ(queue.FreeCalls(), (FreeAdviceCalls{40, 40}));
  EXPECT_EQ(FillWithLongCalls(queue).size(), kDaemons);
  EXPECT_EQ(queue.FreeCalls(), FreeAdviceCalls{});
}

// Fails if a pass plans more long calls than the queue then takes: the step
// would wait for the answer to a call that nobody makes.
TEST(AdviceQueueTest, FreeCallsAreTaken) {
  AdviceQueue queue = MakeQueue(true);
  ASSERT_TRUE(queue.Assign(ShortCall(), 0));
  for (const std::size_t free = queue.FreeCalls().m_long;
       queue.FreeCalls().m_long > 0;) {
    EXPECT_LE(queue.FreeCalls().m_long, free);
    ASSERT_TRUE(queue.Assign(LongCall(), 0));
  }
  EXPECT_FALSE(queue.Assign(LongCall(), 0));
  EXPECT_GT(queue.FreeCalls().m_any, 0U);
}

// Fails if a cell of few daemons cannot make long calls at all.
TEST(AdviceQueueTest, FewDaemonsMakeLongCalls) {
  for (const std::uint64_t daemons : {1, 2, 8}) {
    AdviceQueue queue = MakeQueue(true, daemons);
    EXPECT_EQ(FillWithLongCalls(queue).size(), daemons);
  }
}

// Fails if the lane is lost when daemons leave.
TEST(AdviceQueueTest, DaemonsThatLeaveKeepTheLane) {
  AdviceQueue queue = MakeQueue(true);
  const std::set<std::uint64_t> busy = FillWithLongCalls(queue);
  for (std::uint64_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (busy.count(daemon) == 0) {
      EXPECT_TRUE(queue.RemoveDaemon(daemon).empty());
    }
  }
  EXPECT_FALSE(queue.Assign(LongCall(), 0));
  const std::uint64_t answered = *busy.begin();
  queue.RemoveDaemon(answered);
  queue.AddDaemon(answered);
  const auto assignment = queue.Assign(ShortCall(), 0);
  ASSERT_TRUE(assignment.has_value());
  EXPECT_EQ(assignment->m_daemon, answered);
  EXPECT_FALSE(queue.Assign(LongCall(), 0));
}

}  // namespace
}  // namespace mustardslip
