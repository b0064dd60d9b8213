// Tests that VMs that are cold after a restart are used last and never left
// out. The comment of each test names the failure that it guards against.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "cell/zone_fixture.h"

namespace mustardslip {
namespace {

class ColdVmsTest : public ZoneTest {};

// Fails if a task starts on a cold VM while another has room, or waits while
// only cold ones have, or if a VM stays cold.
TEST_F(ColdVmsTest, ColdVmsAreUsedLast) {
  // Best fit would prefer the smaller VM.
  AddCold("a-0", {32'000, 128'000, 0}, 4'000);
  AddVmIn("a-1");
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(2, 32'000)}));
  m_cell.Run(200);
  EXPECT_EQ(RunningOn("a-1"), 2U);
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 32'000)}));
  m_cell.Run(200);
  EXPECT_EQ(RunningOn("a-0"), 1U);
  m_cell.End(1, RunEnd::kDone);
  m_cell.End(2, RunEnd::kDone);
  m_cell.Run(5'000);
  m_cell.Submit(m_cell.Job(3, {CellHarness::Step(1, 32'000)}));
  m_cell.Run(200);
  EXPECT_EQ(RunningOn("a-0"), 1U);
}

// Fails if cold VMs are left out, as VMs to avoid are.
TEST_F(ColdVmsTest, ColdVmsAreNeverExcluded) {
  for (int i = 0; i < 8; ++i) {
    AddCold("a-" + std::to_string(i), kVmCapacity, 60'000);
  }
  m_cell.Submit(m_cell.Job(1, {GangStep(8, 60'000)}));
  m_cell.Run(200);
  EXPECT_EQ(m_cell.RunningOf(1), 8U);
}

// Fails if an entry that is read again, as after each failure of the store,
// makes its VM cold anew; or if a new value in it is ignored.
TEST_F(ColdVmsTest, ReadingAnEntryAgainDoesNotCoolTheVm) {
  const auto cold = [this] {
    return m_cell.Core().State().FindListedVm("a-0")->IsCold(
        m_cell.Now().m_steady_ms);
  };
  AddCold("a-0", kVmCapacity, 1'000);
  EXPECT_TRUE(cold());
  m_cell.Run(1'100);
  EXPECT_FALSE(cold());
  m_cell.List("a-0");
  EXPECT_FALSE(cold());
  m_cell.Vm("a-0").m_description.m_cold_left_ms = 2'000;
  m_cell.List("a-0");
  EXPECT_TRUE(cold());
  m_cell.Vm("a-0").m_description.m_cold_left_ms = 0;
  m_cell.List("a-0");
  EXPECT_FALSE(cold());
}

// Fails if a gang runs on cold VMs, of which it runs at the speed of the
// slowest, while others have room; also if it prefers one rack.
TEST_F(ColdVmsTest, GangsUseColdVmsLast) {
  for (const bool same_rack : {false, true}) {
    SCOPED_TRACE(same_rack);
    m_cell = CellHarness();
    for (const std::string id : {"a-0", "a-1", "b-0", "b-1"}) {
      const bool is_cold = id.starts_with("a");
      // The larger VMs come first.
      AddVmIn(id, {is_cold ? 64'000 : 48'000, 128'000, 0}, {id.substr(0, 1)})
          .m_description.m_cold_left_ms = is_cold ? 60'000 : 0;
      m_cell.List(id);
    }
    StepSpec gang = GangStep(2, kLargeTask);
    gang.m_same_rack = same_rack;
    m_cell.Submit(m_cell.Job(1, {gang}));
    m_cell.Run(200);
    EXPECT_EQ(StartsIn("b"), 2U);
    EXPECT_EQ(StartsIn("a"), 0U);
  }
}

// Fails if calls to the advice service name cold VMs before others, however
// many of them come first in the pool.
TEST_F(ColdVmsTest, AdviceNamesColdVmsLast) {
  for (const bool is_gang : {false, true}) {
    SCOPED_TRACE(is_gang);
    m_cell = CellHarness();
    // Without regard to the cold, tasks prefer small VMs and gangs large ones.
    const Resources small{48'000, 128'000, 0};
    for (int i = 0; i < 300; ++i) {
      const std::string id = "a-" + std::to_string(i);
      m_cell.AddVm(id, is_gang ? kVmCapacity : small)
          .m_description.m_cold_left_ms = 60'000;
      m_cell.List(id);
    }
    for (int i = 0; i < 40; ++i) {
      m_cell.AddVm("b-" + std::to_string(i), is_gang ? small : kVmCapacity);
    }
    m_cell.Run(100);
    QueueRules advised = m_cell.Queue("advised");
    advised.m_needs_advice = true;
    StepSpec step = CellHarness::Step(1, kLargeTask);
    step.m_gang = is_gang;
    // The search for VMs begins at another one for each job.
    for (int job = 1; job <= 10; ++job) {
      m_cell.m_asked.clear();
      m_cell.Submit(m_cell.Job(job, {step}, advised));
      m_cell.Run(50);
      ASSERT_FALSE(m_cell.m_asked.empty());
      EXPECT_EQ(AskedIn("a"), 0U);
      EXPECT_GT(AskedIn("b"), 0U);
    }
  }
}

// Fails if a waiting gang reserves cold VMs and leaves the others to later
// tasks.
TEST_F(ColdVmsTest, GangsReserveColdVmsLast) {
  const std::pair<std::string, std::int64_t> busy[] = {
      {"a-0", 30'000}, {"b-0", 32'000}, {"b-1", 36'000}};
  int job = 10;
  for (const auto& [id, cpu] : busy) {
    AddVmIn(id, kVmCapacity, {id});
    StepSpec step = CellHarness::Step(1, cpu);
    step.m_required_label = id;
    m_cell.Submit(m_cell.Job(++job, {step}));
  }
  m_cell.Vm("a-0").m_description.m_cold_left_ms = 60'000;
  m_cell.List("a-0");
  m_cell.Run(100);
  ASSERT_EQ(m_cell.m_starts.size(), 3U);
  m_cell.Submit(m_cell.Job(1, {GangStep(2, kLargeTask)}));
  m_cell.Run(50);
  m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 20'000)}));
  m_cell.Run(100);
  EXPECT_EQ(RunningOn("a-0"), 2U);
  EXPECT_EQ(StartsIn("b"), 2U);
}

// Fails if a suspect of a crash is tried on a cold VM while another is quiet.
TEST_F(ColdVmsTest, SuspectsUseColdVmsLast) {
  for (int i = 0; i < 5; ++i) {
    AddCold("a-" + std::to_string(i), kVmCapacity, 60'000);
    AddVmIn("b-" + std::to_string(i));
  }
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, kLargeTask)}));
  m_cell.Run(100);
  ASSERT_EQ(StartsIn("b"), 1U);
  const std::string crashed = m_cell.m_starts.front().m_vm.m_id;
  m_cell.Vm(crashed).m_reachable = false;
  m_cell.Vm(crashed).m_failure = VmCallFailure::kGone;
  m_cell.Unlist(crashed);
  m_cell.Run(kVmLeaseMs + 3'000);
  EXPECT_EQ(m_cell.m_starts.size(), 2U);
  EXPECT_EQ(StartsIn("b"), 2U);
}

}  // namespace
}  // namespace mustardslip
