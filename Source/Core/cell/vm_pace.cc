// Compares the rates of a VM's runs with their own best and with their peers'.
#include "cell/vm_pace.h"

#include <algorithm>
#include <vector>

namespace mustardslip {
namespace {

// A VM stands still if none of its runs moved for this long.
constexpr std::int64_t kStillMs = 800;
// A VM is slow if its runs take this many times as long as they should.
constexpr double kSlowFactor = 2.5;
// Tasks of a step differ by this much in their work.
constexpr double kPeerShare = 0.7;
// How long a VM that stands still is expected to go on doing so.
constexpr double kExpectedStillMs = 5'000;
// A stop, its report, the write of the new start, and a call for advice.
constexpr double kMoveMs = 700;
constexpr double kMoveGangMs = 1'700;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool CanBeJudged(const StepSpec& spec, const OpenRun& run) {
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

double SoundRate(const StepState& step, const OpenRun& run) {
  std::vector<double> peers;
  for (const TaskState& task : step.m_tasks) {
    for (const OpenRun& peer : task.m_open) {
      if (peer.m_vm != run.m_vm && peer.m_progress.BestRate()) {
        peers.push_back(*peer.m_progress.BestRate());
      }
    }
  }
  const double own = run.m_progress.BestRate().value_or(0);
  return peers.empty() ? own : std::max(own, Median(peers) * kPeerShare);
}

VmPace JudgePace(const VmState& vm, CellState& state) {
  std::size_t judged = 0;
  std::size_t still = 0;
  std::vector<double> factors;
  for (const auto& [key, charge] : vm.m_open) {
    const Job* job = state.FindJob(key.first.m_job);
    const OpenRun* run = state.FindRun(key.first, key.second);
    if (job == nullptr || run == nullptr ||
        !CanBeJudged(job->m_spec.m_steps[key.first.m_step], *run)) {
      continue;
    }
    ++judged;
    still += run->m_progress.StillForMs() >= kStillMs ? 1 : 0;
    const auto rate = run->m_progress.Rate();
    const double sound = SoundRate(*state.FindStep(key.first), *run);
    if (rate && sound > 0) {
      factors.push_back(*rate > 0 ? sound / *rate : kSlowFactor);
    }
  }
  if (judged > 0 && still == judged) {
    return VmPace::kStalled;
  }
  const bool slow = !factors.empty() && Median(factors) >= kSlowFactor;
  return slow ? VmPace::kSlow : VmPace::kNormal;
}

MoveCost CostOfMove(const StepSpec& spec, const StepState& step,
                    const TaskState& task, const OpenRun& run, VmPace pace) {
  const double sound = SoundRate(step, run);
  const auto work_ms = [&](double percent) {
    return sound > 0 ? percent / sound
                     : static_cast<double>(spec.m_estimate_ms) * percent /
                           RunProgress::kWholePercent;
  };
  const double left = RunProgress::kWholePercent - run.m_progress.Percent();
  MoveCost cost;
  const double rate = run.m_progress.Rate().value_or(0);
  cost.m_stay_ms = pace == VmPace::kStalled || rate <= 0
                       ? kExpectedStillMs + work_ms(left)
                       : left / rate;
  const bool resumes = spec.m_checkpoint && !task.m_checkpoint.empty();
  cost.m_move_ms = (spec.m_gang ? kMoveGangMs : kMoveMs) +
                   work_ms(resumes ? left : RunProgress::kWholePercent);
  return cost;
}

}  // namespace mustardslip
