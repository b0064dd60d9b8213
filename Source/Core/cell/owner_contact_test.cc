// Tests of OwnerContact. The comment of each names the failure that it guards
// against.
#include "cell/owner_contact.h"

#include <gtest/gtest.h>

namespace mustardslip {
namespace {

constexpr std::int64_t kNowMs = 50'000;

// Fails if a daemon that is cut off from the store and the owner keeps its
// callers, whom other daemons could serve.
TEST(OwnerContactTest, DaemonThatIsCutOffIsIsolatedSoon) {
  OwnerContact contact;
  contact.OnConnected(kNowMs, true);
  EXPECT_FALSE(contact.Isolated(kNowMs + OwnerContact::kMaxLocateMs, true));
  EXPECT_TRUE(contact.Isolated(kNowMs + OwnerContact::kMaxLocateMs + 1, true));
}

// Fails if a change of the owner sends callers away.
TEST(OwnerContactTest, ChangeOfTheOwnerIsAwaited) {
  OwnerContact contact;
  contact.OnConnected(kNowMs, true);
  EXPECT_FALSE(
      contact.Isolated(kNowMs + OwnerContact::kMaxOwnerChangeMs, false));
  EXPECT_TRUE(
      contact.Isolated(kNowMs + OwnerContact::kMaxOwnerChangeMs + 1, false));
}

// Fails if all daemons give up their callers' requests at the end of an outage
// of the store, in the moment between two owners.
TEST(OwnerContactTest, OwnerIsAwaitedAfterAnOutageOfTheStore) {
  OwnerContact contact;
  contact.OnConnected(kNowMs - 1, true);
  contact.OnConnected(kNowMs, false);
  EXPECT_FALSE(
      contact.Isolated(kNowMs + OwnerContact::kMaxOwnerChangeMs, true));
  EXPECT_TRUE(
      contact.Isolated(kNowMs + OwnerContact::kMaxOwnerChangeMs + 1, true));
}

// Fails if an outage that is over still hides that a daemon is cut off.
TEST(OwnerContactTest, StoreThatIsBackEndsTheException) {
  OwnerContact contact;
  contact.OnConnected(kNowMs, false);
  contact.OnConnected(kNowMs + 400, true);
  EXPECT_TRUE(
      contact.Isolated(kNowMs + 400 + OwnerContact::kMaxLocateMs + 1, true));
}

}  // namespace
}  // namespace mustardslip
