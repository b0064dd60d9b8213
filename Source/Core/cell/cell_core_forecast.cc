// CellCore: the forecast of waits, refusal by it, and the dry run of a job.
#include "cell/cell_core.h"
#include "cell/dry_run.h"
#include "cell/pool_capacity.h"

namespace mustardslip {
namespace {

// A forecast goes over all waiting steps and VMs.
constexpr std::int64_t kForecastMs = 250;
constexpr std::int64_t kRetryDryRunMs = 1'000;

}  // namespace

void CellCore::RefreshForecast(const CellTime& now) {
  if (now.m_steady_ms < m_next_forecast_ms) {
    return;
  }
  m_next_forecast_ms = now.m_steady_ms + kForecastMs;
  m_forecast = {};
  for (const auto& [life, vm] : m_state.Vms()) {
    if (IsUsable(vm, now.m_steady_ms)) {
      m_forecast.AddCapacity(vm.m_description.m_service,
                             vm.m_description.m_capacity.m_cpu_millis);
    }
  }
  m_ready.Visit(now.m_unix_ms, [&](const ReadyStep& step) {
    const ReadyOrder& order = *step.m_state->m_ready_order;
    if (order.m_latest_start_unix_ms >= now.m_unix_ms) {
      m_forecast.AddWork(step.m_job->m_spec.m_queue.m_service, order,
                         step.m_state->WaitingTasks() *
                             step.Spec().Charge().m_cpu_millis *
                             step.Spec().m_estimate_ms);
    }
    return true;
  });
}

std::map<std::string, PoolUse> CellCore::UseOfPools(const CellTime& now) const {
  std::map<std::string, PoolUse> pools;
  for (const auto& [life, vm] : m_state.Vms()) {
    PoolUse& pool = pools[vm.m_description.m_service];
    pool.m_usable_vms += IsUsable(vm, now.m_steady_ms) ? 1 : 0;
    pool.m_runs += vm.m_open.size();
  }
  m_ready.Visit(now.m_unix_ms, [&](const ReadyStep& step) {
    pools[step.m_job->m_spec.m_queue.m_service].m_waiting_tasks +=
        step.m_state->WaitingTasks();
    return true;
  });
  return pools;
}

// Only while the backlog of more urgent work is that long; false if the job may
// be accepted.
bool CellCore::RefuseIfHopeless(std::uint64_t token, const WorkflowSpec& spec,
                                const CellTime& now) {
  if (!m_features.m_refuse_hopeless || !m_recovered) {
    return false;
  }
  const auto retry_after_ms = RetryAfterIfHopeless(
      m_forecast, MakeJob({spec, now.m_unix_ms}), now.m_unix_ms);
  if (!retry_after_ms) {
    return false;
  }
  ++m_counters.m_hopeless;
  Refuse(token, std::string(kNoCapacityInTime), *retry_after_ms);
  return true;
}

void CellCore::Explain(std::uint64_t token, WorkflowSpec spec,
                       const CellTime& now) {
  if (!m_dry_runs.Take(TimePoint(Milliseconds(now.m_steady_ms)))) {
    Refuse(token, "too_many_dry_runs", kRetryDryRunMs);
    return;
  }
  ApplyRules(spec);
  RefreshForecast(now);
  const auto limits = m_rules.m_teams.find(spec.m_team);
  const DryRunView view{
      .m_state = m_state,
      .m_ready = m_ready,
      .m_rules = m_rules,
      .m_forecast = m_forecast,
      .m_speeds = PlacementSpeeds(),
      .m_contention = m_contention.get(),
      .m_store_writable = m_store_writable,
      .m_refuses_hopeless = m_features.m_refuse_hopeless,
      .m_team_over_rate =
          limits != m_rules.m_teams.end() &&
          m_team_rate_limiter.WouldExceed(spec.m_team, limits->second.m_weight,
                                          now.m_steady_ms),
      .m_recommended_share = m_scheduler.GoodShare(spec.m_queue.m_name)};
  CellAnswer answer;
  answer.m_outcome = CellOutcome::kExplained;
  answer.m_explanation = Encode(mustardslip::Explain(view, spec, now));
  Reply(token, std::move(answer));
}

}  // namespace mustardslip
