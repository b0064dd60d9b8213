// Tests of the dry run. The comment of each names the failure that it guards
// against.
#include "cell/dry_run.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

using nlohmann::json;

class DryRunTest : public CellCoreTest {
 protected:
  json Explain(WorkflowSpec spec) {
    constexpr std::uint64_t kToken = 1'000'000;
    m_cell.Core().Explain(kToken, std::move(spec), m_cell.Now());
    m_cell.Pump();
    const auto answer = m_cell.Answer(kToken);
    EXPECT_TRUE(answer && answer->m_outcome == CellOutcome::kExplained);
    return json::parse(answer ? answer->m_explanation : "{}");
  }

  json Explain(const StepSpec& step) { return Explain(m_cell.Job(1, {step})); }
};

// Fails if asking has an effect on the cell.
TEST_F(DryRunTest, NothingIsAcceptedOrStarted) {
  AddVms(2);
  const json result = Explain(CellHarness::Step(1, 1'000));
  EXPECT_EQ(result["decision"], "starts");
  EXPECT_EQ(result["steps"][0]["fit_now"], 128);
  m_cell.Run(500);
  EXPECT_TRUE(m_cell.m_starts.empty());
  EXPECT_TRUE(m_cell.m_log.empty());
  EXPECT_EQ(m_cell.Lookup(1).m_outcome, CellOutcome::kNotFound);
}

// Fails if a VM is counted under a reason that does not hold.
TEST_F(DryRunTest, EachVmHasItsReason) {
  AddVms(2);
  m_cell.AddVm("vm-label", kVmCapacity, {"ssd"});
  m_cell.AddVm("vm-small", {1'000, 1'000, 0}, {"ssd"});
  m_cell.AddVm("vm-full", kVmCapacity, {"ssd", "hot"});
  m_cell.AddVm("vm-draining", kVmCapacity, {"ssd"});
  m_cell.AddVm("vm-silent", kVmCapacity, {"ssd"});
  m_cell.AddVm("vm-evacuated", kVmCapacity, {"ssd"}).m_description.m_zone =
      "gone";
  m_cell.Vm("vm-draining").m_description.m_draining = true;
  for (const char* vm : {"vm-draining", "vm-evacuated"}) {
    m_cell.List(vm);
  }
  m_cell.Core().OnZoneEvacuated("gone", true);
  m_cell.Run(100);
  StepSpec filler = CellHarness::Step(1, 64'000);
  filler.m_required_label = "hot";
  m_cell.Submit(m_cell.Job(2, {filler}));
  m_cell.Run(200);
  m_cell.Vm("vm-silent").m_reachable = false;
  m_cell.Run(3'000);

  StepSpec step = CellHarness::Step(1, 4'000);
  step.m_required_label = "ssd";
  const json vms = Explain(step)["steps"][0]["vms"];
  EXPECT_EQ(vms["fits"], 1);
  EXPECT_EQ(vms["label"], 2);
  EXPECT_EQ(vms["too_small"], 1);
  EXPECT_EQ(vms["full"], 1);
  EXPECT_EQ(vms["draining"], 1);
  EXPECT_EQ(vms["silent"], 1);
  EXPECT_EQ(vms["evacuated"], 1);
}

// Fails if a job that would wait is said to start, or for another reason.
TEST_F(DryRunTest, WaitHasItsReason) {
  AddVms(1);
  StepSpec gang = CellHarness::Step(3, 32'000);
  gang.m_gang = true;
  EXPECT_EQ(Explain(gang)["reason"], "room");
  QueueRules advised = m_cell.Queue();
  advised.m_needs_advice = true;
  EXPECT_EQ(
      Explain(m_cell.Job(1, {CellHarness::Step(1, 1'000)}, advised))["reason"],
      "advice");
  m_cell.SetTeam("team", {{2'000, 0, 0}, 1, 0});
  const json capped = Explain(
      m_cell.Job(1, {CellHarness::Step(1, 4'000)}, m_cell.Queue(), "team"));
  EXPECT_EQ(capped["decision"], "waits");
  EXPECT_EQ(capped["reason"], "team_cap");
  EXPECT_EQ(capped["team"]["cap"]["cpu_millis"], 2'000);
}

// Fails if an explanation shows more of other teams' jobs than their amount.
TEST_F(DryRunTest, OtherTeamsJobsAreAnAmountOnly) {
  AddVms(1);
  m_cell.Submit(m_cell.Job(7, {CellHarness::Step(100, 64'000)}, m_cell.Queue(),
                           "another"));
  m_cell.Run(200);
  const json result = Explain(
      m_cell.Job(1, {CellHarness::Step(1, 64'000)}, m_cell.Queue(), "team"));
  EXPECT_EQ(result["decision"], "waits");
  const std::string text = result.dump();
  EXPECT_EQ(text.find("another"), std::string::npos);
  EXPECT_EQ(text.find(CellHarness::Id(7)), std::string::npos);
}

// Fails if callers who ask at full rate use up the owner's processor.
TEST_F(DryRunTest, OnlyAFewASecondAreAnswered) {
  AddVms(1);
  constexpr std::uint64_t kFirst = 2'000'000;
  constexpr std::uint64_t kAsked = 100;
  std::uint64_t explained = 0;
  for (std::uint64_t token = kFirst; token < kFirst + kAsked; ++token) {
    m_cell.Core().Explain(token, m_cell.Job(1, {CellHarness::Step(1, 1'000)}),
                          m_cell.Now());
    m_cell.Pump();
    const auto answer = m_cell.Answer(token);
    ASSERT_TRUE(answer.has_value());
    explained += answer->m_outcome == CellOutcome::kExplained ? 1 : 0;
  }
  EXPECT_EQ(explained, 10U);
  m_cell.Run(1'000);
  EXPECT_EQ(Explain(CellHarness::Step(1, 1'000))["decision"], "starts");
}

// Fails if a refusal, or a job that is known, is not foreseen.
TEST_F(DryRunTest, RefusalsAndKnownJobsAreForeseen) {
  AddVms(1);
  m_cell.Submit(m_cell.Job(1, {CellHarness::Step(1, 1'000)}));
  m_cell.Run(100);
  EXPECT_EQ(Explain(CellHarness::Step(1, 1'000))["decision"], "known");
  m_cell.Core().SetStoreWritable(false);
  const json refused = Explain(m_cell.Job(2, {CellHarness::Step(1, 1'000)}));
  EXPECT_EQ(refused["decision"], "refused");
  EXPECT_EQ(refused["reason"], "store_unavailable");
  EXPECT_GT(refused["retry_after_ms"], 0);
}

}  // namespace
}  // namespace mustardslip
