// Values derived from the state of a job.
#include "cell/job_state.h"

#include <algorithm>
#include <array>

namespace mustardslip {
namespace {

// Number of VMs per advice call assumed when estimating its duration.
constexpr double kAdviceVmsForEstimates = 30;

std::int64_t AdviceMs(const QueueRules& queue) {
  if (!queue.m_needs_advice) {
    return 0;
  }
  return queue.m_advice_base_ms +
         static_cast<std::int64_t>(queue.m_advice_per_vm_ms *
                                   kAdviceVmsForEstimates);
}

}  // namespace

std::string_view ToString(JobPhase phase) {
  constexpr std::array<std::string_view, 5> kNames = {
      "queued", "running", "complete", "failed", "cancelled"};
  return kNames.at(static_cast<std::size_t>(phase));
}

JobPhase Job::Phase() const {
  if (m_cancelled) {
    return JobPhase::kCancelled;
  }
  if (m_failed) {
    return JobPhase::kFailed;
  }
  if (m_complete) {
    return JobPhase::kComplete;
  }
  return m_started ? JobPhase::kRunning : JobPhase::kQueued;
}

std::uint32_t Job::OccurrenceCount() const {
  return std::max<std::uint32_t>(1, m_spec.m_schedule.m_repeats);
}

std::int64_t Job::DueUnixMs(std::uint32_t occurrence) const {
  const Schedule& schedule = m_spec.m_schedule;
  if (schedule.m_repeats == 0) {
    return m_accepted_unix_ms;
  }
  return schedule.m_first_unix_ms + schedule.m_interval_ms * occurrence;
}

Occurrence& Job::OccurrenceAt(std::uint32_t number) {
  const auto [found, created] = m_occurrences.try_emplace(number);
  if (created) {
    for (const StepSpec& step : m_spec.m_steps) {
      found->second.m_steps.emplace_back().m_tasks.resize(step.m_count);
    }
  }
  return found->second;
}

bool Job::StepIsReleased(const Occurrence& occurrence,
                         std::uint32_t step) const {
  const std::vector<std::uint32_t>& after = m_spec.m_steps[step].m_dependencies;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
    return occurrence.m_steps[before].Done();
  });
}

std::vector<std::int64_t> Job::CriticalPathsMs() const {
  // Dependencies point backwards, so one pass from the end is enough.
  const std::vector<StepSpec>& steps = m_spec.m_steps;
  std::vector<std::int64_t> chains(steps.size(), 0);
  const std::int64_t advice = AdviceMs(m_spec.m_queue);
  for (std::size_t i = steps.size(); i-- > 0;) {
    chains[i] += steps[i].m_estimate_ms + advice;
    for (const std::uint32_t before : steps[i].m_dependencies) {
      chains[before] = std::max(chains[before], chains[i]);
    }
  }
  return chains;
}

std::int64_t Job::CriticalPathFromMs(std::uint32_t step) const {
  return CriticalPathsMs()[step];
}

std::int64_t Job::CriticalPathMs() const {
  const std::vector<std::int64_t> chains = CriticalPathsMs();
  return chains.empty() ? 0 : *std::max_element(chains.begin(), chains.end());
}

std::int64_t Job::ObjectiveUnixMs(std::uint32_t occurrence) const {
  const QueueRules& queue = m_spec.m_queue;
  return DueUnixMs(occurrence) + queue.m_target_latency_ms +
         static_cast<std::int64_t>(queue.m_stretch *
                                   static_cast<double>(CriticalPathMs()));
}

Job MakeJob(const JobAccepted& record) {
  Job job;
  job.m_spec = record.m_spec;
  job.m_accepted_unix_ms = record.m_accepted_unix_ms;
  job.m_payload.m_text =
      std::make_shared<const std::string>(record.m_spec.m_payload);
  if (record.m_spec.m_schedule.m_repeats == 0) {
    job.OccurrenceAt(0);
  }
  return job;
}

}  // namespace mustardslip
