// Tests of team accounts, the retry budget and the refusal cache.
#include <gtest/gtest.h>

#include "admission/refusal_cache.h"
#include "admission/retry_budget.h"
#include "admission/team_account.h"

namespace mustardslip {
namespace {

// Guards requirement P4: a limit holds in each dimension and includes unknown
// usage, and a repeated refund has no effect.
TEST(TeamAccountTest, ChargesWithinTheLimit) {
  TeamAccount account;
  EXPECT_FALSE(account.Charge("a", {1, 1, 0}));
  account.SetLimit(Resources{10, 10, 1});
  EXPECT_TRUE(account.Charge("a", {6, 1, 0}));
  EXPECT_TRUE(account.Charge("a", {6, 1, 0}));
  EXPECT_EQ(account.Charged(), (Resources{6, 1, 0}));
  EXPECT_FALSE(account.Charge("b", {1, 1, 2}));
  account.SetUnknownUsage("z1", {3, 0, 0});
  EXPECT_FALSE(account.Charge("b", {2, 1, 0}));
  account.SetUnknownUsage("z1", {});
  EXPECT_TRUE(account.Charge("b", {2, 1, 0}));
  account.Refund("a");
  account.Refund("a");
  EXPECT_EQ(account.Charged(), (Resources{2, 1, 0}));
  // An attempt that was found running is charged even above the limit.
  account.ChargeUnchecked("c", {20, 0, 0});
  EXPECT_FALSE(account.CanCharge({1, 0, 0}));
}

// Guards against retry storms: without first attempts only the base rate is
// available, and a forward clock jump earns at most the burst.
TEST(RetryBudgetTest, BoundsRetries) {
  ManualClock clock;
  RetryBudget budget({.m_ratio = 0.5, .m_per_second = 1, .m_burst = 2});
  EXPECT_TRUE(budget.TryRetry(clock.Now()));
  EXPECT_TRUE(budget.TryRetry(clock.Now()));
  EXPECT_FALSE(budget.TryRetry(clock.Now()));
  budget.OnFirstAttempt();
  EXPECT_FALSE(budget.TryRetry(clock.Now()));
  budget.OnFirstAttempt();
  EXPECT_TRUE(budget.TryRetry(clock.Now()));
  clock.Advance(Milliseconds(3'600'000));
  EXPECT_TRUE(budget.TryRetry(clock.Now()));
  EXPECT_TRUE(budget.TryRetry(clock.Now()));
  EXPECT_FALSE(budget.TryRetry(clock.Now()));
}

// Guards against refusals that are returned after they expired or to another
// team, and against unbounded growth.
TEST(RefusalCacheTest, IsBoundedInTimeAndSize) {
  ManualClock clock;
  RefusalCache cache(2, Milliseconds(1000));
  cache.Put("t", "never", {"never_fits", 0}, clock.Now());
  EXPECT_EQ(cache.Size(), 0U);
  cache.Put("t", "1", {"queue_full", 5000}, clock.Now());
  EXPECT_EQ(cache.Find("t", "1", clock.Now())->m_retry_after_ms, 1000);
  EXPECT_FALSE(cache.Find("u", "1", clock.Now()).has_value());
  clock.Advance(Milliseconds(400));
  EXPECT_EQ(cache.Find("t", "1", clock.Now())->m_retry_after_ms, 600);
  cache.Put("t", "2", {"queue_full", 5000}, clock.Now());
  cache.Put("t", "3", {"queue_full", 5000}, clock.Now());
  EXPECT_EQ(cache.Size(), 2U);
  EXPECT_FALSE(cache.Find("t", "1", clock.Now()).has_value());
  clock.Advance(Milliseconds(1000));
  EXPECT_FALSE(cache.Find("t", "3", clock.Now()).has_value());
}

}  // namespace
}  // namespace mustardslip
