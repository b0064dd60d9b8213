// Ownership of the cell with several daemons and a faulty store.
#include "cell/ownership.h"

#include <gtest/gtest.h>

#include "cell/fake_async_store.h"
#include "cell/handover.h"

namespace mustardslip {
namespace {

using Fault = FakeAsyncStore::Fault;

// A daemon with its own connection to the shared store.
struct Daemon {
  Daemon(FakeStoreState& state, ManualLoop& loop, const std::string& name,
         std::int64_t cpu_millis = 500)
      : m_store(state, loop),
        m_ownership(m_store, loop, Options(name, cpu_millis),
                    {[this](const OwnerRecord& owner) {
                       m_fence = owner.m_revision;
                       ++m_acquired;
                     },
                     [this] { ++m_lost; },
                     [this](const std::optional<OwnerRecord>& owner) {
                       m_seen = owner;
                     }}) {}

  static OwnershipOptions Options(const std::string& name,
                                  std::int64_t cpu_millis) {
    OwnershipOptions options;
    options.m_cpu_millis = cpu_millis;
    options.m_instance = name;
    options.m_address = name + ":1";
    return options;
  }

  FakeAsyncStore m_store;
  Ownership<FakeAsyncStore, ManualLoop> m_ownership;
  Revision m_fence = 0;
  int m_acquired = 0;
  int m_lost = 0;
  std::optional<OwnerRecord> m_seen;
};

class OwnershipTest : public testing::Test {
 protected:
  OwnershipTest()
      : m_a(m_state, m_loop, "a"),
        m_b(m_state, m_loop, "b"),
        m_small(m_state, m_loop, "small", 120) {}

  void StartBoth() {
    m_a.m_ownership.Start();
    m_loop.Run(200);
    m_b.m_ownership.Start();
    m_loop.Run(200);
  }

  // Starts a and b, then a daemon with less CPU.
  void StartAll() {
    StartBoth();
    m_small.m_ownership.Start();
    m_loop.Run(200);
  }

  // Expires the owner's lease in the store.
  void EndLeaseOfOwner() {
    m_state.EndLease(m_state.m_values.at(std::string(kOwnerKey)).m_lease);
  }

  FakeStoreState m_state;
  ManualLoop m_loop;
  Daemon m_a;
  Daemon m_b;
  Daemon m_small;
};

// Fails if two daemons own the cell, or one takes a record that is owned.
TEST_F(OwnershipTest, OneDaemonOwnsAndTheOtherSeesTheOwner) {
  StartBoth();
  EXPECT_TRUE(m_a.m_ownership.Owns());
  EXPECT_FALSE(m_b.m_ownership.Owns());
  ASSERT_TRUE(m_b.m_seen.has_value());
  EXPECT_EQ(m_b.m_seen->m_instance, "a");
}

// Fails if the record of an owner without a lease is not taken over, or the
// successor's fence is not higher.
TEST_F(OwnershipTest, ExpiredOwnerIsReplacedWithAHigherFence) {
  StartBoth();
  m_a.m_store.m_fault = Fault::kSilent;
  EndLeaseOfOwner();
  m_loop.Run(1'000);
  EXPECT_TRUE(m_b.m_ownership.Owns());
  EXPECT_GT(m_b.m_fence, m_a.m_fence);
}

// Fails if a replaced owner stays owner after it reaches the store again.
TEST_F(OwnershipTest, ReplacedOwnerStepsDown) {
  StartBoth();
  m_a.m_store.m_fault = Fault::kSilent;
  EndLeaseOfOwner();
  m_loop.Run(1'000);
  m_a.m_store.m_fault = Fault::kNone;
  m_loop.Run(5'000);
  EXPECT_FALSE(m_a.m_ownership.Owns());
  EXPECT_TRUE(m_b.m_ownership.Owns());
}

// Fails if an owner known to be dead is replaced only when its lease expires.
TEST_F(OwnershipTest, DeadOwnerIsReplacedAtOnce) {
  StartBoth();
  m_a.m_store.m_fault = Fault::kSilent;
  m_b.m_ownership.OnOwnerDead(m_a.m_fence);
  m_loop.Run(100);
  EXPECT_TRUE(m_b.m_ownership.Owns());
}

// Fails if a late report of an earlier owner's death replaces the current one.
TEST_F(OwnershipTest, StaleReportOfADeadOwnerIsIgnored) {
  StartBoth();
  m_b.m_ownership.OnOwnerDead(m_a.m_fence - 1);
  m_loop.Run(1'000);
  EXPECT_TRUE(m_a.m_ownership.Owns());
  EXPECT_EQ(m_b.m_acquired, 0);
}

// Fails if a daemon does not notice that its own write of the record took
// effect although the answer was lost.
TEST_F(OwnershipTest, LostAnswerToTheRecordWriteIsResolved) {
  m_a.m_ownership.Start();
  m_loop.Run(12);  // The lease is granted.
  m_a.m_store.m_fault = Fault::kLoseAnswer;
  m_loop.Run(700);
  m_a.m_store.m_fault = Fault::kNone;
  m_loop.Run(2'000);
  EXPECT_TRUE(m_a.m_ownership.Owns());
  EXPECT_EQ(m_a.m_acquired, 1);
}

// Fails if an owner that asks for a successor loses the cell while the store is
// down for all, or keeps it although another daemon reaches the store.
TEST_F(OwnershipTest, YieldingOwnerIsReplacedOnlyByADaemonThatReachesTheStore) {
  StartBoth();
  m_a.m_store.m_fault = Fault::kRefuse;
  m_b.m_store.m_fault = Fault::kRefuse;
  m_b.m_ownership.OnTakeoverRequested(m_a.m_fence);
  m_loop.Run(2'000);
  m_a.m_store.m_fault = Fault::kNone;
  m_b.m_store.m_fault = Fault::kNone;
  m_loop.Run(3'000);
  EXPECT_TRUE(m_a.m_ownership.Owns());
  m_a.m_store.m_fault = Fault::kRefuse;
  m_b.m_ownership.OnTakeoverRequested(m_a.m_fence);
  m_loop.Run(500);
  EXPECT_TRUE(m_b.m_ownership.Owns());
}

// Fails if a successor requested while the store was down for all takes the
// cell when the store recovers, although the owner works again.
TEST_F(OwnershipTest, OwnerStaysWhenTheStoreRecoversForAll) {
  StartBoth();
  m_a.m_store.m_fault = Fault::kRefuse;
  m_b.m_store.m_fault = Fault::kRefuse;
  m_b.m_ownership.OnTakeoverRequested(m_a.m_fence);
  m_loop.Run(300);
  m_a.m_store.m_fault = Fault::kNone;
  m_b.m_store.m_fault = Fault::kNone;
  m_loop.Run(1'000);
  EXPECT_TRUE(m_a.m_ownership.Owns());
  EXPECT_EQ(m_b.m_acquired, 0);
}

// Fails if a daemon with little CPU takes the cell before one with more: on
// 0.12 of a core the log took 4.2 s to load, and nothing was served until the
// owner was replaced.
TEST_F(OwnershipTest, DaemonWithMoreCpuTakesTheCellFirst) {
  StartAll();
  m_small.m_ownership.OnOwnerDead(m_a.m_fence);
  m_loop.Run(10);
  m_b.m_ownership.OnOwnerDead(m_a.m_fence);
  m_loop.Run(500);
  EXPECT_TRUE(m_b.m_ownership.Owns());
  EXPECT_EQ(m_small.m_acquired, 0);
}

// Fails if the small daemon takes the cell first after a store outage.
TEST_F(OwnershipTest, CpuDecidesWhenTheStoreRecovers) {
  StartAll();
  m_small.m_store.m_fault = Fault::kRefuse;
  m_b.m_store.m_fault = Fault::kRefuse;
  m_small.m_ownership.OnOwnerDead(m_a.m_fence);
  m_b.m_ownership.OnOwnerDead(m_a.m_fence);
  m_loop.Run(2'050);
  m_small.m_store.m_fault = Fault::kNone;
  m_b.m_store.m_fault = Fault::kNone;
  m_loop.Run(500);
  EXPECT_TRUE(m_b.m_ownership.Owns());
}

// All daemons with much CPU are killed at once, and one is back after 600 ms.
// Fails if the small daemon has taken the cell by then: it took 2.6 s to be
// ready, handed the cell over, and nothing was served meanwhile.
TEST_F(OwnershipTest, SmallDaemonWaitsForKilledOnesToComeBack) {
  StartAll();
  m_a.m_store.m_fault = Fault::kSilent;
  m_b.m_store.m_fault = Fault::kSilent;
  EndLeaseOfOwner();
  m_loop.Run(600);
  EXPECT_EQ(m_small.m_acquired, 0);
  Daemon back(m_state, m_loop, "back");
  back.m_ownership.Start();
  m_loop.Run(200);
  EXPECT_TRUE(back.m_ownership.Owns());
  m_loop.Run(1'000);
  EXPECT_EQ(m_small.m_acquired, 0);
}

// Fails if a small daemon does not take the cell when no other candidate is
// left.
TEST_F(OwnershipTest, SmallDaemonTakesTheCellWithoutOtherCandidates) {
  StartAll();
  m_small.m_ownership.OnOwnerDead(m_a.m_fence);
  m_loop.Run(1'000);
  EXPECT_TRUE(m_small.m_ownership.Owns());
}

// Fails if a small owner keeps the cell although a peer has far more CPU, or
// hands it over for a small gain.
TEST(HandoverPolicyTest, ChoosesAPeerWithFarMoreCpu) {
  constexpr std::int64_t kSmall = 120;
  constexpr std::int64_t kReadyMs = 10'000;
  HandoverPolicy policy;
  const std::vector<PeerCapacity> peers = {
      {1, 120, 9'000}, {2, 500, 9'000}, {3, 130, 9'000}};
  EXPECT_EQ(policy.ChooseSuccessor(kSmall, kReadyMs, peers, kReadyMs + 100),
            std::nullopt);
  EXPECT_EQ(policy.ChooseSuccessor(kSmall, kReadyMs, {peers[0], peers[2]},
                                   kReadyMs + 5'000),
            std::nullopt);
  EXPECT_EQ(policy.ChooseSuccessor(500, kReadyMs, peers, kReadyMs + 5'000),
            std::nullopt);
  EXPECT_EQ(policy.ChooseSuccessor(kSmall, kReadyMs, peers, kReadyMs + 5'000),
            2U);
  // No second choice within the retry interval.
  EXPECT_EQ(policy.ChooseSuccessor(kSmall, kReadyMs, peers, kReadyMs + 5'100),
            std::nullopt);
}

// Fails if the cell is handed to a daemon that has just started.
TEST(HandoverPolicyTest, IgnoresAPeerThatHasJustStarted) {
  HandoverPolicy policy;
  EXPECT_EQ(policy.ChooseSuccessor(120, 0, {{1, 500, 9'000}}, 9'500),
            std::nullopt);
  EXPECT_EQ(policy.ChooseSuccessor(120, 0, {{1, 500, 9'000}}, 10'600), 1U);
}

// Fails if a lost answer delays the next renewals: with a third of the answers
// lost, the owner's record expired every 1.3 s.
TEST_F(OwnershipTest, RenewsWhileAnswersAreLost) {
  m_a.m_ownership.Start();
  m_loop.Run(200);
  ASSERT_TRUE(m_a.m_ownership.Owns());
  m_a.m_store.m_fault = Fault::kLoseAnswer;
  const std::size_t before = m_a.m_store.m_renewals;
  constexpr std::int64_t kLeases = 4;
  constexpr std::size_t kRenewals = 4 * kLeases;
  m_loop.Run(kLeases * Daemon::Options("a", 0).m_lease_ms);
  EXPECT_GE(m_a.m_store.m_renewals - before, kRenewals - 1);
}

// Fails if Verify confirms an owner that has not noticed its replacement: such
// an owner answered that jobs accepted by its successor do not exist (found by
// the soak, seeds 301 and 402).
TEST_F(OwnershipTest, ReplacedOwnerDoesNotVouchForItsState) {
  StartBoth();
  std::vector<bool> results;
  const auto verify = [&] {
    m_a.m_ownership.Verify([&](bool owns) { results.push_back(owns); });
  };
  verify();
  m_loop.Run(100);
  EXPECT_EQ(results, std::vector<bool>{true});
  m_a.m_store.m_fault = Fault::kSilent;
  m_loop.Run(4'000);  // Long enough for its watch to end too.
  m_b.m_ownership.OnTakeoverRequested(m_a.m_fence);
  m_loop.Run(300);
  ASSERT_TRUE(m_b.m_ownership.Owns());
  ASSERT_TRUE(m_a.m_ownership.Owns());
  m_a.m_store.m_fault = Fault::kNone;
  verify();
  verify();
  m_loop.Run(1'000);
  EXPECT_EQ(results, (std::vector<bool>{true, false, false}));
}

// Fails if a daemon keeps the cell after resigning, or takes it again.
TEST_F(OwnershipTest, ResigningDaemonHandsOver) {
  StartBoth();
  m_a.m_ownership.Resign();
  m_loop.Run(500);
  EXPECT_TRUE(m_b.m_ownership.Owns());
  m_b.m_store.m_fault = Fault::kSilent;
  EndLeaseOfOwner();
  m_loop.Run(3'000);
  EXPECT_FALSE(m_a.m_ownership.Owns());
}

// Fails if an unreadable owner record prevents any daemon from taking the cell.
TEST_F(OwnershipTest, UnreadableRecordIsReplaced) {
  m_state.Put(std::string(kOwnerKey), "[1,2");
  m_a.m_ownership.Start();
  m_loop.Run(500);
  EXPECT_TRUE(m_a.m_ownership.Owns());
}

// Fails if a feed misses changes when the store discards its history.
TEST(PrefixFeedTest, ListsAgainAfterDroppedHistory) {
  FakeStoreState state;
  ManualLoop loop;
  FakeAsyncStore store(state, loop);
  std::map<std::string, std::string> seen;
  PrefixFeed<FakeAsyncStore, ManualLoop>::Handlers handlers;
  handlers.m_on_item = [&](const StoreItem& item) {
    seen[item.m_key] = item.m_value;
  };
  handlers.m_on_deleted = [&](const std::string& key) { seen.erase(key); };
  handlers.m_on_listed = [&](const std::set<std::string>& keys) {
    std::erase_if(
        seen, [&](const auto& entry) { return keys.count(entry.first) == 0; });
  };
  PrefixFeed<FakeAsyncStore, ManualLoop> feed(store, loop, "p/", 500, handlers);
  for (int i = 0; i < 5; ++i) {
    state.Put("p/" + std::to_string(i), "old");
  }
  feed.Start();
  loop.Run(200);
  EXPECT_EQ(seen.size(), 5U);
  store.m_fault = Fault::kSilent;
  loop.Run(600);
  state.Put("p/0", "new");
  StoreTransaction removal;
  removal.m_removals = {"p/1"};
  state.Commit(removal);
  state.DropHistory();
  store.m_fault = Fault::kNone;
  loop.Run(2'000);
  EXPECT_EQ(seen.size(), 4U);
  EXPECT_EQ(seen["p/0"], "new");
}

}  // namespace
}  // namespace mustardslip
