// Choice of the runs that are stopped for a gang.
#include "cell/preemption.h"

#include <algorithm>

namespace mustardslip {
namespace {

// A run that ends within this time frees its capacity as soon as a stop would.
constexpr std::int64_t kMinLeftMs = 250;
// A task is preempted at most this often: each time costs it a stop, a new
// ticket and a restore.
constexpr std::uint32_t kMaxPreemptionsPerTask = 4;
// A stop without an effect for this long is taken for lost.
constexpr std::int64_t kStopPendingMs = 1'500;

std::int64_t LeftMs(const StepSpec& spec, const OpenRun& run) {
  const double left = RunProgress::kWholePercent - run.m_progress.Percent();
  const double rate = run.m_progress.Rate().value_or(0);
  return static_cast<std::int64_t>(
      rate > 0 ? left / rate
               : static_cast<double>(spec.m_estimate_ms) * left /
                     RunProgress::kWholePercent);
}

bool MayBePreempted(const StepSpec& spec) {
  return spec.m_checkpoint && !spec.m_gang && !spec.m_long_lived;
}

bool MayBeStopped(const TaskState& task, const OpenRun& run) {
  return task.m_preemptions < kMaxPreemptionsPerTask &&
         run.m_phase == RunPhase::kRunning && !run.m_progress.WorkDone();
}

}  // namespace

std::vector<PreemptibleRun> PreemptibleRuns(const VmState& vm,
                                            CellState& state) {
  std::vector<PreemptibleRun> runs;
  for (const auto& [key, charge] : vm.m_open) {
    const Job* job = state.FindJob(key.first.m_job);
    if (job == nullptr || job->Ended() ||
        !MayBePreempted(job->m_spec.m_steps[key.first.m_step])) {
      continue;
    }
    const OpenRun* run = state.FindRun(key.first, key.second);
    if (run == nullptr) {
      continue;
    }
    const StepSpec& spec = job->m_spec.m_steps[key.first.m_step];
    const std::int64_t left_ms = LeftMs(spec, *run);
    if (left_ms >= kMinLeftMs &&
        MayBeStopped(*state.FindTask(key.first), *run)) {
      runs.push_back(
          {key, job->m_spec.m_queue.m_priority, charge.m_amount, left_ms});
    }
  }
  std::stable_sort(runs.begin(), runs.end(),
                   [](const PreemptibleRun& a, const PreemptibleRun& b) {
                     return a.m_left_ms > b.m_left_ms;
                   });
  return runs;
}

const Resources& PreemptibleOnVm::CapacityBelow(std::int64_t priority) const {
  for (const auto& [known_priority, capacity] : m_capacity) {
    if (known_priority == priority) {
      return capacity;
    }
  }
  Resources total;
  for (const PreemptibleRun& run : m_runs) {
    if (run.m_priority > priority) {
      total = total + run.m_charge;
    }
  }
  m_capacity.emplace_back(priority, total);
  return m_capacity.back().second;
}

std::vector<PreemptibleRun> ChooseRunsToStop(
    const std::vector<PreemptibleRun>& runs, std::int64_t priority,
    Resources room, const Resources& need) {
  std::vector<PreemptibleRun> chosen;
  for (const PreemptibleRun& run : runs) {
    if (need.FitsIn(room)) {
      break;
    }
    if (run.m_priority > priority) {
      room = room + run.m_charge;
      chosen.push_back(run);
    }
  }
  return chosen;
}

Resources CapacityBeingFreed(const VmState& vm, CellState& state,
                             std::int64_t now_ms) {
  Resources total;
  for (const auto& [key, charge] : vm.m_open) {
    const OpenRun* run = state.FindRun(key.first, key.second);
    if (run != nullptr && run->m_stop_sent_ms != 0 &&
        now_ms - run->m_stop_sent_ms < kStopPendingMs) {
      total = total + charge.m_amount;
    }
  }
  return total;
}

}  // namespace mustardslip
