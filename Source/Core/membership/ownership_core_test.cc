// State-machine tests of OwnershipCore: several daemons against one store under
// a manual clock, with random crashes, pauses, clock steps, lost requests and
// lost answers. RC_PARAMS fixes the seed.
#include "membership/ownership_core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>
#include <variant>

#include "membership/store_operations.h"
#include "membership/test_store.h"

namespace mustardslip {
namespace {

constexpr int kDaemons = 3;
constexpr int kShards = 4;
constexpr Milliseconds kLease{3000};
constexpr Milliseconds kStep{500};

std::set<ShardId> WantedShards() {
  std::set<ShardId> wanted{ShardId::Group("zone-a")};
  for (int number = 1; number < kShards; ++number) {
    wanted.insert(ShardId::Team(number));
  }
  return wanted;
}

// What all daemons together did; checked at each acquisition.
struct History {
  std::set<std::pair<ShardId, Epoch>> m_owned;
  std::map<ShardId, Epoch> m_newest;
};

// Carries out the core's decisions step by step, as MemberSession does.
class Daemon {
 public:
  Daemon(TestStore& store, const ManualClock& clock, History& history, int id)
      : m_store(store), m_clock(clock), m_history(history), m_id(id) {}

  // One round: renewal, reads, decisions. A paused daemon skips rounds.
  void Round() {
    if (!m_registration) {
      Register();
    } else {
      Renew();
    }
    if (m_registration) {
      const Result<ClusterView> view = ReadCluster(m_store);
      if (view) {
        Execute(m_core->Observe(*view, WantedShards(), m_clock.Now()));
      }
    }
  }

  // Loses all memory; the records and the lease stay in the store.
  void Crash() {
    m_core = std::make_unique<OwnershipCore>();
    m_registration.reset();
  }

  void ReportStale(const ShardId& shard, Epoch seen) {
    Execute(m_core->StaleEpoch(shard, seen));
  }

  std::map<ShardId, Epoch> Held() const { return m_core->Held(); }

 private:
  void Register() {
    Member member;
    member.m_incarnation =
        std::to_string(m_id) + "-" + std::to_string(++m_lives);
    member.m_rpc_address = {"127.0.0.1", static_cast<std::uint16_t>(m_id + 1)};
    const Result<Registration> registration =
        RegisterMember(m_store, member, kLease);
    if (registration) {
      m_registration = *registration;
      m_core->Registered(member.m_incarnation, m_clock.Now());
    }
  }

  void Renew() {
    const Result<void> renewed = m_store.RenewLease(m_registration->m_lease);
    if (!renewed && renewed.error().Code() == ErrorCode::kNotFound) {
      Execute(m_core->LeaseLost());
    }
  }

  void Execute(const OwnershipDecisions& decisions) {
    for (const OwnershipDecision& decision : decisions) {
      std::visit([this](const auto& value) { this->Carry(value); }, decision);
    }
  }

  void Carry(const AcquireShard& decision) {
    const ShardRecord record{m_registration->m_member.m_incarnation,
                             m_registration->m_member.m_rpc_address,
                             decision.m_epoch, kAbsent};
    const Result<StoreRevision> version = WriteShardRecord(
        m_store, decision.m_shard, record, decision.m_expected_version);
    const bool owned = m_core->AcquireDone(
        decision, version ? std::optional(*version) : std::nullopt);
    if (owned) {
      CheckAcquired(decision.m_shard, decision.m_epoch);
    }
  }

  // At most one owner per epoch, and each owner's epoch is above all earlier
  // ones, so that a paused predecessor is refused.
  void CheckAcquired(const ShardId& shard, Epoch epoch) {
    RC_ASSERT(m_history.m_owned.emplace(shard, epoch).second);
    RC_ASSERT(epoch > m_history.m_newest[shard]);
    m_history.m_newest[shard] = epoch;
  }

  void Carry(const StopShard& decision) {
    Execute(m_core->ShardStopped(decision.m_shard, decision.m_epoch));
  }

  void Carry(const ReleaseShard& decision) {
    const Result<StoreRevision> version =
        WriteShardRecord(m_store, decision.m_shard,
                         ShardRecord{"", {}, decision.m_epoch, kAbsent},
                         decision.m_expected_version);
    m_core->ReleaseDone(
        decision, version || version.error().Code() == ErrorCode::kConflict);
  }

  void Carry(const DropShard& decision) {
    RC_ASSERT(!m_core->Held().contains(decision.m_shard));
  }

  void Carry(const TakeNewIncarnation& /*decision*/) {
    RC_ASSERT(m_core->Held().empty());
    m_registration.reset();
  }

  TestStore& m_store;
  const ManualClock& m_clock;
  History& m_history;
  const int m_id;
  int m_lives = 0;
  std::unique_ptr<OwnershipCore> m_core = std::make_unique<OwnershipCore>();
  std::optional<Registration> m_registration;
};

class Cluster {
 public:
  Cluster() {
    for (int id = 0; id < kDaemons; ++id) {
      m_daemons.push_back(
          std::make_unique<Daemon>(m_store, m_clock, m_history, id));
    }
  }

  // `code` decides everything about the event.
  void RandomEvent(std::uint32_t code) {
    std::minstd_rand random(code);
    Daemon& daemon = *m_daemons[random() % kDaemons];
    switch (random() % 40) {
      case 0:
        daemon.Crash();
        break;
      case 1:  // A pause of all that did not run: their leases lapse.
        m_clock.Advance(kLease + kStep);
        break;
      case 2:
        m_clock.Advance(Milliseconds(random() % 2000));
        break;
      case 3:
        InjectFaults(random());
        break;
      case 4:
        m_store.SetFaults(nullptr);
        break;
      case 5:  // A receiver has seen an epoch that this daemon does not know.
        daemon.ReportStale(ShardId::Team(1),
                           m_history.m_newest[ShardId::Team(1)] + 1);
        break;
      default:
        m_clock.Advance(kStep / kDaemons);
        daemon.Round();
        break;
    }
  }

  void Heal() {
    m_store.SetFaults(nullptr);
    // Longer than a lease, the waits of a new member and all hand-overs.
    constexpr int kRounds = 18;
    for (int round = 0; round < kRounds; ++round) {
      m_clock.Advance(2 * kStep);
      for (const auto& daemon : m_daemons) {
        daemon->Round();
      }
    }
  }

  // Each shard has exactly one owner, and the store names it.
  void CheckAllOwned() {
    const Result<ClusterView> view = ReadCluster(m_store);
    RC_ASSERT(view.has_value());
    std::map<ShardId, Epoch> held;
    for (const auto& daemon : m_daemons) {
      for (const auto& [shard, epoch] : daemon->Held()) {
        RC_ASSERT(held.emplace(shard, epoch).second);
        RC_ASSERT(view->m_shards.at(shard).m_epoch == epoch);
      }
    }
    RC_ASSERT(held.size() == WantedShards().size());
  }

  // Of all daemons that believe to hold a shard, only the newest one's epoch is
  // the highest; all others are refused by who has seen it.
  void CheckBelievers() {
    std::set<std::pair<ShardId, Epoch>> held;
    for (const auto& daemon : m_daemons) {
      for (const auto& entry : daemon->Held()) {
        RC_ASSERT(held.insert(entry).second);
        RC_ASSERT(entry.second <= m_history.m_newest[entry.first]);
      }
    }
  }

 private:
  // Faults for a third of the calls from now on.
  void InjectFaults(std::uint32_t seed) {
    auto random = std::make_shared<std::minstd_rand>(seed);
    m_store.SetFaults([random](bool /*write*/) {
      const auto fault = (*random)() % 12;
      return fault < 4 ? static_cast<Fault>(fault) : Fault::kNone;
    });
  }

  ManualClock m_clock;
  TestStore m_store{[this] { return m_clock.Now(); }};
  History m_history;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
};

// Failures: two owners of one epoch, an epoch that falls, a predecessor that
// fencing cannot tell from its successor, a shard that stays without an owner.
RC_GTEST_PROP(OwnershipCoreTest, OneOwnerPerEpochAndAllOwnedInTheEnd, ()) {
  constexpr std::size_t kEvents = 90;
  const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(
      kEvents, rc::gen::arbitrary<std::uint32_t>());
  Cluster cluster;
  for (const std::uint32_t code : codes) {
    cluster.RandomEvent(code);
    cluster.CheckBelievers();
  }
  cluster.Heal();
  cluster.CheckAllOwned();
}

ClusterView ViewOf(const std::string& owner, Epoch epoch,
                   StoreRevision version) {
  ClusterView view;
  view.m_members["a"] = {"a", {"127.0.0.1", 1}, "zone-a", false};
  view.m_members["b"] = {"b", {"127.0.0.1", 2}, "zone-a", true};
  view.m_shards[ShardId::Team(1)] = {owner, {"127.0.0.1", 1}, epoch, version};
  return view;
}

// An owner "a" of team shard 1 with epoch 1 and record version 5.
OwnershipCore OwnerOfOneShard() {
  OwnershipCore core(OwnershipTimes{Milliseconds(0), {}, {}});
  core.Registered("a", TimePoint());
  EXPECT_TRUE(core.AcquireDone({ShardId::Team(1), kAbsent, 1}, 5));
  return core;
}

// Failure: an owner goes on although the record names another one.
TEST(OwnershipCoreUnitTest, DropsAShardWhoseRecordNamesAnother) {
  OwnershipCore core = OwnerOfOneShard();
  const OwnershipDecisions decisions =
      core.Observe(ViewOf("b", 2, 6), {ShardId::Team(1)}, TimePoint());
  EXPECT_EQ(decisions, (OwnershipDecisions{DropShard{ShardId::Team(1), 1}}));
  EXPECT_TRUE(core.Held().empty());
}

// Failure: an old view makes an owner drop what it has just acquired.
TEST(OwnershipCoreUnitTest, IgnoresAViewOlderThanItsOwnWrite) {
  OwnershipCore core = OwnerOfOneShard();
  EXPECT_TRUE(
      core.Observe(ViewOf("b", 0, 4), {ShardId::Team(1)}, TimePoint()).empty());
  EXPECT_EQ(core.Held().size(), 1U);
}

// Failure: a release whose write failed is given up, so that the shard stays
// without an owner until the lease ends.
TEST(OwnershipCoreUnitTest, RepeatsAReleaseThatFailed) {
  OwnershipCore core = OwnerOfOneShard();
  EXPECT_EQ(core.StartLeaving(),
            (OwnershipDecisions{StopShard{ShardId::Team(1), 1}}));
  const ReleaseShard release{ShardId::Team(1), 5, 1};
  EXPECT_EQ(core.ShardStopped(ShardId::Team(1), 1),
            (OwnershipDecisions{release}));
  core.ReleaseDone(release, /*completed=*/false);
  EXPECT_EQ(core.Observe(ViewOf("a", 1, 5), {}, TimePoint()),
            (OwnershipDecisions{release}));
  core.ReleaseDone(release, /*completed=*/true);
  EXPECT_TRUE(core.Held().empty());
}

}  // namespace
}  // namespace mustardslip
