// Compares the rates of a VM's runs with their own best rates and with those of
// their step's runs on other VMs.
#include "cell/vm_pace.h"

#include <algorithm>
#include <vector>

namespace mustardslip {
namespace {

// A VM is stalled if none of its runs made progress for this long.
constexpr std::int64_t kStallMs = 800;
// A VM is slow if its runs take this many times as long as expected.
constexpr double kSlowFactor = 2.5;
// Allows for the difference in work between the tasks of a step.
constexpr double kPeerRateFactor = 0.7;
// Expected remaining duration of a stall.
constexpr double kExpectedStallMs = 5'000;
// Overhead of a move: the stop, its report, the write of the new start, and a
// call to the advice service.
constexpr double kMoveOverheadMs = 700;
constexpr double kGangMoveOverheadMs = 1'700;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool HasMeasurableProgress(const StepSpec& spec, const OpenRun& run) {
  return !spec.m_gang && !spec.m_long_lived &&
         run.m_phase == RunPhase::kRunning && run.m_progress.Reported() &&
         !run.m_progress.WorkDone();
}

}  // namespace

std::string_view ToString(VmPace pace) {
  switch (pace) {
    case VmPace::kNormal:
      return "normal";
    case VmPace::kSlow:
      return "slow";
    case VmPace::kStalled:
      return "stalled";
  }
  return "";
}

double ExpectedRate(const StepState& step, const OpenRun& run) {
  std::vector<double> peers;
  for (const TaskState& task : step.m_tasks) {
    for (const OpenRun& peer : task.m_open) {
      if (peer.m_vm != run.m_vm && peer.m_progress.BestRate()) {
        peers.push_back(*peer.m_progress.BestRate());
      }
    }
  }
  const double own = run.m_progress.BestRate().value_or(0);
  return peers.empty() ? own : std::max(own, Median(peers) * kPeerRateFactor);
}

VmPace ClassifyPace(const VmState& vm, CellState& state) {
  std::size_t measured = 0;
  std::size_t stalled = 0;
  std::vector<double> factors;
  for (const auto& [key, charge] : vm.m_open) {
    const Job* job = state.FindJob(key.first.m_job);
    const OpenRun* run = state.FindRun(key.first, key.second);
    if (job == nullptr || run == nullptr ||
        !HasMeasurableProgress(job->m_spec.m_steps[key.first.m_step], *run)) {
      continue;
    }
    ++measured;
    stalled += run->m_progress.UnchangedForMs() >= kStallMs ? 1 : 0;
    const auto rate = run->m_progress.Rate();
    const double expected = ExpectedRate(*state.FindStep(key.first), *run);
    if (rate && expected > 0) {
      factors.push_back(*rate > 0 ? expected / *rate : kSlowFactor);
    }
  }
  if (measured > 0 && stalled == measured) {
    return VmPace::kStalled;
  }
  const bool slow = !factors.empty() && Median(factors) >= kSlowFactor;
  return slow ? VmPace::kSlow : VmPace::kNormal;
}

MoveCost EstimateMoveCost(const StepSpec& spec, const StepState& step,
                          const TaskState& task, const OpenRun& run,
                          VmPace pace) {
  const double expected = ExpectedRate(step, run);
  const auto work_ms = [&](double percent) {
    return expected > 0 ? percent / expected
                        : static_cast<double>(spec.m_estimate_ms) * percent /
                              RunProgress::kWholePercent;
  };
  const double left = RunProgress::kWholePercent - run.m_progress.Percent();
  MoveCost cost;
  const double rate = run.m_progress.Rate().value_or(0);
  cost.m_stay_ms = pace == VmPace::kStalled || rate <= 0
                       ? kExpectedStallMs + work_ms(left)
                       : left / rate;
  const bool resumes = spec.m_checkpoint && !task.m_checkpoint.empty();
  cost.m_move_ms = (spec.m_gang ? kGangMoveOverheadMs : kMoveOverheadMs) +
                   work_ms(resumes ? left : RunProgress::kWholePercent);
  return cost;
}

}  // namespace mustardslip
