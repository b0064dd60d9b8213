// Membership and order of the ready steps.
#include "cell/ready_steps.h"

#include <algorithm>
#include <tuple>

namespace mustardslip {
namespace {

// Keeps sums with a priority in range.
constexpr std::int64_t kLowestPriority = 1'000'000;

bool HasTasksToStart(const StepState& step) { return step.WaitingTasks() > 0; }

}  // namespace

ReadyOrder MakeReadyOrder(std::int64_t priority, bool over_rate,
                          std::int64_t latest_start_unix_ms) {
  return {std::min(priority, kLowestPriority) + (over_rate ? 1 : 0), over_rate,
          std::min(latest_start_unix_ms,
                   std::numeric_limits<std::int64_t>::max() - 1)};
}

bool ReadySteps::Entry::operator<(const Entry& other) const {
  if (m_order != other.m_order) {
    return m_order < other.m_order;
  }
  if (m_step.m_job != other.m_step.m_job) {
    // A bound for a search has no job and is before all steps of its order.
    if (m_step.m_job == nullptr || other.m_step.m_job == nullptr) {
      return m_step.m_job == nullptr;
    }
    return m_step.m_job->m_spec.m_id < other.m_step.m_job->m_spec.m_id;
  }
  return std::tie(m_step.m_occurrence, m_step.m_step) <
         std::tie(other.m_step.m_occurrence, other.m_step.m_step);
}

void ReadySteps::Refresh(Job& job) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      StepState& step = occurrence.m_steps[s];
      const bool ready = HasTasksToStart(step) && !job.Ended() &&
                         job.StepIsReleased(occurrence, s);
      Update(job, number, s, step, ready);
    }
  }
}

void ReadySteps::Remove(Job& job) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      Update(job, number, s, occurrence.m_steps[s], false);
    }
  }
}

void ReadySteps::Reorder(Job& job) {
  Remove(job);
  Refresh(job);
}

void ReadySteps::Update(Job& job, std::uint32_t occurrence, std::uint32_t step,
                        StepState& state, bool ready) {
  if (ready == state.m_ready_order.has_value()) {
    return;
  }
  const ReadyStep entry{&job, &state, occurrence, step};
  if (!ready) {
    m_steps.erase(Entry{*state.m_ready_order, entry});
    state.m_ready_order.reset();
    return;
  }
  const std::int64_t latest_start =
      job.ObjectiveUnixMs(occurrence) - job.CriticalPathFromMs(step);
  state.m_ready_order = MakeReadyOrder(job.m_spec.m_queue.m_priority,
                                       job.m_over_rate, latest_start);
  m_steps.insert(Entry{*state.m_ready_order, entry});
}

}  // namespace mustardslip
