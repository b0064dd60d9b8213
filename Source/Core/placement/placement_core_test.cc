// Basic cases of the placement policy: VM conditions, refusals and gangs.
#include "placement/placement_core.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace mustardslip {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;
using ::testing::VariantWith;

constexpr Resources kVmSize{8'000, 16'000, 0};

TimePoint At(std::int64_t milliseconds) {
  return TimePoint{} + Milliseconds(milliseconds);
}

AttemptSpec Task(const std::string& id, Resources size,
                 const std::string& team = "a",
                 JobKind kind = JobKind::kBatch) {
  AttemptSpec spec;
  spec.m_attempt = id;
  spec.m_job = "job-" + id;
  spec.m_team = team;
  spec.m_kind = kind;
  spec.m_service = kind == JobKind::kService ? "lookup" : "";
  spec.m_resources = size;
  spec.m_run_time_ms = 1'000;
  return spec;
}

class PlacementCoreTest : public ::testing::Test {
 protected:
  void AddVms(int count, Resources size = kVmSize) {
    for (int i = 0; i < count; ++i) {
      m_core.SetVm({"vm" + std::to_string(i), "zone",
                    "rack" + std::to_string(i / 2), size},
                   VmCondition::kReady);
    }
  }

  std::vector<Decision> Run(std::vector<AttemptSpec> specs, bool gang = false,
                            std::int64_t now = 0) {
    EXPECT_THAT(m_core.Enqueue(specs, gang, At(now)), IsEmpty());
    auto decisions = m_core.Decide(At(now));
    m_core.CheckInvariants();
    return decisions;
  }

  PlacementCore m_core{PlacementOptions{}};
};

// Guards against starts on VMs whose tasks are unknown or that are draining.
TEST_F(PlacementCoreTest, OnlyReadyVmsAcceptTasks) {
  m_core.SetVm({"vm0", "zone", "rack", kVmSize}, VmCondition::kUnknown);
  EXPECT_THAT(Run({Task("t", {1'000, 1'000, 0})}), IsEmpty());
  m_core.SetVm({"vm0", "zone", "rack", kVmSize}, VmCondition::kLeaving);
  EXPECT_THAT(m_core.Decide(At(1)), IsEmpty());
  m_core.SetVm({"vm0", "zone", "rack", kVmSize}, VmCondition::kReady);
  EXPECT_THAT(m_core.Decide(At(2)),
              ElementsAre(VariantWith<StartTask>(StartTask{"t", "vm0"})));
}

// Guards against queueing a task that is larger than every VM.
TEST_F(PlacementCoreTest, RefusesTaskThatNeverFits) {
  AddVms(2);
  const auto refusals =
      m_core.Enqueue({Task("t", {9'000, 1'000, 0})}, false, At(0));
  EXPECT_THAT(refusals, ElementsAre(VariantWith<RefuseAttempt>(
                            RefuseAttempt{"t", "never_fits"})));
  EXPECT_EQ(m_core.QueueLength(), 0);
}

// Guards against starting only some members of a gang.
TEST_F(PlacementCoreTest, GangStartsAllMembersOrNone) {
  AddVms(2);
  EXPECT_THAT(Run({Task("small", {4'000, 1'000, 0})}), SizeIs(1));
  const Resources size{8'000, 1'000, 0};
  EXPECT_THAT(Run({Task("g0", size), Task("g1", size)}, true), IsEmpty());
  m_core.Ended("small", TaskEndReason::kSucceeded, At(500));
  EXPECT_THAT(m_core.Decide(At(1'000)),
              ElementsAre(VariantWith<StartGang>(::testing::_)));
  EXPECT_EQ(m_core.RunningCount(), 2);
  m_core.CheckInvariants();
}

}  // namespace
}  // namespace mustardslip
