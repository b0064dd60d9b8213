// Tests that GroupState starts no task twice after a change of owner or a
// delayed message, starts gangs completely or not at all, and keeps reports
// until they are acknowledged.
#include "dispatch/group_state.h"

#include <gtest/gtest.h>

namespace mustardslip {
namespace {

constexpr std::int64_t kShard = 3;

class GroupStateTest : public testing::Test {
 protected:
  GroupStateTest() : m_state("zone-a", 5, {{kShard, 2}}, {}) {
    m_state.SetVms({{"vm-1", "zone-a", "rack-1", {8'000, 16'000, 0}},
                    {"vm-2", "zone-a", "rack-1", {8'000, 16'000, 0}}});
    m_state.SetTeamShare("team", 1.0);
    m_state.SetVmList({1, {{"vm-1"}, {"vm-2"}}}, m_clock.Now());
  }

  void FenceAll() {
    for (const char* vm : {"vm-1", "vm-2"}) {
      m_state.OnFenced(vm, {"boot", {}}, m_clock.Now());
    }
  }

  static AttemptSpec Spec(const std::string& attempt, std::int64_t cpu) {
    AttemptSpec spec;
    spec.m_attempt = attempt;
    spec.m_job = "job";
    spec.m_team = "team";
    spec.m_resources = {cpu, 100, 0};
    return spec;
  }

  Result<void> Place(std::vector<AttemptSpec> attempts, bool gang = false,
                     bool resent = false, Epoch epoch = 2) {
    return m_state.Place({kShard, epoch, gang, resent, std::move(attempts)},
                         m_clock.Now());
  }

  std::vector<StartCommand> Starts() {
    std::vector<StartCommand> starts;
    for (const GroupCommand& command :
         m_state.Decide(m_clock.Now(), m_clock.UnixMillis())) {
      if (const auto* start = std::get_if<StartCommand>(&command)) {
        starts.push_back(*start);
      }
    }
    return starts;
  }

  ManualClock m_clock;
  GroupState m_state;
};

// A VM that has not answered the fence may have no free resources.
TEST_F(GroupStateTest, StartsNothingBeforeTheFenceIsAnswered) {
  ASSERT_TRUE(Place({Spec("a", 1'000)}));
  EXPECT_TRUE(Starts().empty());
  FenceAll();
  EXPECT_EQ(Starts().size(), 1U);
}

// The attempt may already run on the VM that has not answered the fence, and
// would then run twice.
TEST_F(GroupStateTest, RefusesAResentPlaceWhileAVmIsUnknown) {
  m_state.OnFenced("vm-1", {"boot", {}}, m_clock.Now());
  const auto refused = Place({Spec("a", 1'000)}, false, true);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().Reason(), "rebuilding");
  FenceAll();
  EXPECT_TRUE(Place({Spec("a", 1'000)}, false, true));
}

// A superseded team shard owner must not place work.
TEST_F(GroupStateTest, RefusesALowerTeamEpoch) {
  FenceAll();
  EXPECT_EQ(Place({Spec("a", 1'000)}, false, false, 1).error().Code(),
            ErrorCode::kStaleEpoch);
}

// A copy of Place that arrives after the attempt's end was acknowledged must
// not run the task again.
TEST_F(GroupStateTest, IgnoresADelayedPlaceAfterTheEnd) {
  FenceAll();
  ASSERT_TRUE(Place({Spec("a", 1'000)}));
  ASSERT_EQ(Starts().size(), 1U);
  m_state.OnStarted("a", m_clock.Now());
  const std::string vm = m_state.PeekReports(kShard).back().m_vm;
  m_state.OnEvents(vm, {"boot", {{1, "a"}}, {}}, m_clock.Now());
  const std::size_t reports = m_state.PeekReports(kShard).size();
  EXPECT_EQ(m_state.PeekReports(kShard).back().m_state, AttemptState::kEnded);
  m_state.AcknowledgeReports(kShard, reports);
  ASSERT_TRUE(Place({Spec("a", 1'000)}));
  EXPECT_TRUE(Starts().empty());
}

// Without adoption, the new owner would assign the resources of running tasks a
// second time.
TEST_F(GroupStateTest, AdoptsTasksOfAPredecessor) {
  FenceAll();
  ASSERT_TRUE(Place({Spec("a", 8'000)}));
  const auto starts = Starts();
  ASSERT_EQ(starts.size(), 1U);
  const TaskStart& start = starts.front().m_start;
  GroupState successor("zone-a", 6, {}, {});
  successor.SetVms({{"vm-1", "zone-a", "rack-1", {8'000, 16'000, 0}}});
  successor.OnFenced("vm-1",
                     {"boot",
                      {{"a", WorkerTaskState::kRunning, start.m_resources, 0,
                        start.m_labels}}},
                     m_clock.Now());
  EXPECT_EQ(successor.Summary().m_free.m_cpu_millis, 0);
  EXPECT_EQ(successor.FenceTeam({kShard, 3})->m_attempts.size(), 1U);
}

// No member of a gang may run if one member cannot start.
TEST_F(GroupStateTest, StopsHeldMembersWhenOneStartFails) {
  FenceAll();
  ASSERT_TRUE(Place({Spec("g0", 6'000), Spec("g1", 6'000)}, true));
  ASSERT_EQ(Starts().size(), 2U);
  EXPECT_TRUE(m_state.OnStarted("g0", m_clock.Now()).empty());
  const GroupCommands commands =
      m_state.OnStartFailed("g1", "no_room", m_clock.Now());
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(std::get<StopCommand>(commands.front()).m_attempt, "g0");
  for (const AttemptReport& report : m_state.PeekReports(kShard)) {
    EXPECT_EQ(report.m_state, AttemptState::kNotStarted);
  }
}

// A member released too early would run without the rest of its gang.
TEST_F(GroupStateTest, ReleasesAGangOnceAllMembersAreHeld) {
  FenceAll();
  ASSERT_TRUE(Place({Spec("g0", 6'000), Spec("g1", 6'000)}, true));
  ASSERT_EQ(Starts().size(), 2U);
  EXPECT_TRUE(m_state.OnStarted("g0", m_clock.Now()).empty());
  EXPECT_EQ(m_state.OnStarted("g1", m_clock.Now()).size(), 2U);
}

}  // namespace
}  // namespace mustardslip
