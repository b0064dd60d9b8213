// Lower bounds on the wait, and the decision to refuse.
#include "cell/backlog_forecast.h"

#include <algorithm>
#include <functional>
#include <iterator>

#include "cell/ready_steps.h"

namespace mustardslip {
namespace {

// A job is of use to its caller until this many times its objective.
constexpr std::int64_t kUsefulObjectives = 3;
constexpr std::int64_t kMinRetryMs = 1'000;
constexpr std::int64_t kMaxRetryMs = 30'000;
// Callers who are refused together return over this part of their wait more.
constexpr std::int64_t kSpreadPercent = 50;

bool HasLongLivedStep(const Job& job) {
  const std::vector<StepSpec>& steps = job.m_spec.m_steps;
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.m_long_lived; });
}

}  // namespace

void BacklogForecast::AddWork(const std::string& service,
                              const ReadyOrder& order, std::int64_t work) {
  auto& steps = m_services[service].m_work;
  const std::int64_t before = steps.empty() ? 0 : steps.back().second;
  steps.emplace_back(order, before + work);
}

std::optional<std::int64_t> BacklogForecast::MinWaitMs(
    const std::string& service, const ReadyOrder& order) const {
  const auto found = m_services.find(service);
  if (found == m_services.end() || found->second.m_cpu_millis <= 0) {
    return std::nullopt;
  }
  const auto& steps = found->second.m_work;
  const auto end = std::lower_bound(
      steps.begin(), steps.end(), order,
      [](const auto& step, const ReadyOrder& own) { return step.first < own; });
  const std::int64_t ahead = end == steps.begin() ? 0 : std::prev(end)->second;
  return ahead / found->second.m_cpu_millis;
}

std::int64_t LastUsefulEndUnixMs(const Job& job, std::uint32_t occurrence) {
  const std::int64_t due = job.DueUnixMs(occurrence);
  return due + kUsefulObjectives * (job.ObjectiveUnixMs(occurrence) - due);
}

std::optional<std::int64_t> RetryAfterIfHopeless(
    const BacklogForecast& forecast, const Job& job, std::int64_t now_unix_ms) {
  if (job.m_spec.m_schedule.m_repeats > 0 || HasLongLivedStep(job)) {
    return std::nullopt;
  }
  const std::int64_t chain_ms = job.CriticalPathMs();
  const auto min_wait =
      forecast.MinWaitMs(job.m_spec.m_queue.m_service,
                         MakeReadyOrder(job.m_spec.m_queue.m_priority, false,
                                        job.ObjectiveUnixMs(0) - chain_ms));
  if (!min_wait) {
    return std::nullopt;
  }
  const std::int64_t late_ms =
      now_unix_ms + *min_wait + chain_ms - LastUsefulEndUnixMs(job, 0);
  if (late_ms <= 0) {
    return std::nullopt;
  }
  const auto hash = static_cast<std::int64_t>(
      std::hash<std::string>{}(job.m_spec.m_id) % kSpreadPercent);
  const std::int64_t retry_ms = std::clamp(late_ms, kMinRetryMs, kMaxRetryMs);
  return retry_ms + retry_ms * hash / 100;
}

}  // namespace mustardslip
