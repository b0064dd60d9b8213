// The dry run and its JSON form.
#include "cell/dry_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

#include "cell/contention.h"
#include "cell/pool_capacity.h"
#include "cell/vm_speed.h"

namespace mustardslip {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxChoices = 5;

VmVerdict Judge(const VmState& vm, const StepSpec& step, const CellTime& now) {
  if (!vm.m_listed) {
    return VmVerdict::kUnlisted;
  }
  if (vm.m_description.m_draining) {
    return VmVerdict::kDraining;
  }
  if (vm.m_evacuated) {
    return VmVerdict::kEvacuated;
  }
  if (!IsUsable(vm, now.m_steady_ms)) {
    return VmVerdict::kSilent;
  }
  if (!vm.HasRequiredLabel(step)) {
    return VmVerdict::kLabel;
  }
  if (FitCount(step.Charge(), vm.m_description.m_capacity) == 0) {
    return VmVerdict::kTooSmall;
  }
  return FitCount(step.Charge(), vm.Free()) > 0 ? VmVerdict::kFits
                                                : VmVerdict::kFull;
}

std::int64_t TasksThatFit(const VmState& vm, const StepSpec& step) {
  std::int64_t fit = std::min<std::int64_t>(FitCount(step.Charge(), vm.Free()),
                                            kMaxTasksPerStep);
  if (step.m_max_per_vm > 0) {
    fit = std::min<std::int64_t>(fit, step.m_max_per_vm);
  }
  return fit;
}

StepDryRun ExplainStep(const DryRunView& view, const std::string& service,
                       const StepSpec& step, const CellTime& now) {
  StepDryRun result;
  result.m_tasks = step.m_count;
  result.m_gang = step.m_gang;
  for (const auto& [life, vm] : view.m_state.Vms()) {
    if (vm.m_description.m_service != service) {
      continue;
    }
    const VmVerdict verdict = Judge(vm, step, now);
    ++result.m_vms.at(static_cast<std::size_t>(verdict));
    if (verdict != VmVerdict::kFits) {
      continue;
    }
    VmChoice choice{vm.Incarnation().m_id, TasksThatFit(vm, step)};
    if (view.m_speeds != nullptr) {
      choice.m_speed = view.m_speeds->Of(vm.Incarnation());
    }
    if (view.m_contention != nullptr) {
      choice.m_contention = view.m_contention->Cost(vm, step.m_image);
    }
    result.m_fit_now += choice.m_tasks;
    result.m_first_choices.push_back(std::move(choice));
  }
  std::stable_sort(result.m_first_choices.begin(), result.m_first_choices.end(),
                   [](const VmChoice& a, const VmChoice& b) {
                     return std::tuple(-a.m_speed, a.m_contention, a.m_tasks) <
                            std::tuple(-b.m_speed, b.m_contention, b.m_tasks);
                   });
  if (result.m_first_choices.size() > kMaxChoices) {
    result.m_first_choices.resize(kMaxChoices);
  }
  return result;
}

// Steps on time that go before one at this place.
void CountAhead(const DryRunView& view, const ReadyOrder& own, DryRun& result,
                const CellTime& now) {
  view.m_ready.Visit(now.m_unix_ms, [&](const ReadyStep& step) {
    const bool same_service =
        step.m_job->m_spec.m_queue.m_service == result.m_service;
    const ReadyOrder& order = *step.m_state->m_ready_order;
    const bool on_time = order.m_latest_start_unix_ms >= now.m_unix_ms;
    if (same_service && on_time && order < own) {
      ++result.m_steps_ahead;
      result.m_cpu_ahead_millis +=
          step.Spec().Charge().m_cpu_millis * step.m_state->WaitingTasks();
    }
    return true;
  });
}

void FillTeam(const DryRunView& view, DryRun& result) {
  result.m_team_over_rate = view.m_team_over_rate;
  result.m_team_used = view.m_state.TeamUsage(result.m_team).m_total;
  const auto limits = view.m_rules.m_teams.find(result.m_team);
  if (limits != view.m_rules.m_teams.end()) {
    result.m_team_has_limits = true;
    result.m_team_weight = limits->second.m_weight;
    result.m_team_cap = limits->second.m_cap;
  }
}

// True if the team's cap leaves room for a task of the step, or for all of a
// gang.
bool WithinCap(const DryRun& result, const StepSpec& step) {
  const Resources room =
      TeamLimits{result.m_team_cap}.EffectiveCap() - result.m_team_used;
  return FitCount(step.m_resources, room) >= (step.m_gang ? step.m_count : 1);
}

// Sets what a job waits for that is accepted.
void DecideWait(const WorkflowSpec& spec, DryRun& result) {
  result.m_decision = DryRunDecision::kWaits;
  const StepSpec& first = spec.m_steps.front();
  const StepDryRun& room = result.m_steps.front();
  const std::int64_t needed = first.m_gang ? first.m_count : 1;
  if (!WithinCap(result, first)) {
    result.m_reason = "team_cap";
  } else if (room.m_fit_now < needed) {
    result.m_reason = "room";
  } else if (result.m_cpu_ahead_millis > 0 && result.m_min_wait_ms > 0) {
    result.m_reason = "work_ahead";
  } else if (result.m_needs_advice) {
    result.m_reason = "advice";
  } else {
    result.m_decision = DryRunDecision::kStarts;
  }
}

void Decide(const DryRunView& view, const Job& job, DryRun& result,
            const CellTime& now) {
  if (view.m_state.Jobs().count(job.m_spec.m_id) != 0) {
    result.m_decision = DryRunDecision::kKnown;
    result.m_reason = "accepted_earlier";
    return;
  }
  if (!view.m_store_writable) {
    result.m_decision = DryRunDecision::kRefused;
    result.m_reason = "store_unavailable";
    result.m_retry_after_ms = kRetryWithoutStoreMs;
    return;
  }
  const auto retry_after_ms =
      view.m_refuses_hopeless
          ? RetryAfterIfHopeless(view.m_forecast, job, now.m_unix_ms)
          : std::nullopt;
  if (retry_after_ms) {
    result.m_decision = DryRunDecision::kRefused;
    result.m_reason = std::string(kNoCapacityInTime);
    result.m_retry_after_ms = *retry_after_ms;
    return;
  }
  DecideWait(job.m_spec, result);
}

Json ToJson(const Resources& amount) {
  return {{"cpu_millis", amount.m_cpu_millis},
          {"memory_mb", amount.m_memory_mb},
          {"accelerators", amount.m_accelerators}};
}

Json ToJson(const StepDryRun& step) {
  Json vms = Json::object();
  for (std::size_t i = 0; i < kVmVerdicts; ++i) {
    vms[std::string(ToString(static_cast<VmVerdict>(i)))] = step.m_vms.at(i);
  }
  Json choices = Json::array();
  for (const VmChoice& choice : step.m_first_choices) {
    choices.push_back({{"vm", choice.m_vm},
                       {"tasks", choice.m_tasks},
                       {"speed", choice.m_speed},
                       {"contention", choice.m_contention}});
  }
  return {{"step", step.m_step},   {"tasks", step.m_tasks},
          {"gang", step.m_gang},   {"fit_now", step.m_fit_now},
          {"vms", std::move(vms)}, {"first_choices", std::move(choices)}};
}

}  // namespace

std::string_view ToString(DryRunDecision decision) {
  constexpr std::array<std::string_view, 4> kNames = {"known", "refused",
                                                      "starts", "waits"};
  return kNames.at(static_cast<std::size_t>(decision));
}

std::string_view ToString(VmVerdict verdict) {
  constexpr std::array<std::string_view, kVmVerdicts> kNames = {
      "unlisted", "draining",  "evacuated", "silent",
      "label",    "too_small", "full",      "fits"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

DryRun Explain(const DryRunView& view, const WorkflowSpec& spec,
               const CellTime& now) {
  const Job job = MakeJob({spec, now.m_unix_ms});
  DryRun result;
  result.m_queue = spec.m_queue.m_name;
  result.m_service = spec.m_queue.m_service;
  result.m_priority = spec.m_queue.m_priority;
  result.m_team = spec.m_team;
  result.m_needs_advice = spec.m_queue.m_needs_advice;
  result.m_recommended_share = view.m_recommended_share;
  result.m_configuration = view.m_rules.m_version;
  result.m_store_writable = view.m_store_writable;
  FillTeam(view, result);
  const ReadyOrder own =
      MakeReadyOrder(result.m_priority, result.m_team_over_rate,
                     job.ObjectiveUnixMs(0) - job.CriticalPathMs());
  CountAhead(view, own, result, now);
  result.m_min_wait_ms =
      view.m_forecast.MinWaitMs(result.m_service, own).value_or(0);
  for (std::uint32_t i = 0; i < spec.m_steps.size(); ++i) {
    result.m_steps.push_back(
        ExplainStep(view, result.m_service, spec.m_steps[i], now));
    result.m_steps.back().m_step = i;
  }
  std::stable_partition(
      result.m_steps.begin(), result.m_steps.end(),
      [&](const StepDryRun& step) {
        return spec.m_steps[step.m_step].m_dependencies.empty();
      });
  for (const auto& [life, vm] : view.m_state.Vms()) {
    if (vm.m_description.m_service == result.m_service &&
        IsUsable(vm, now.m_steady_ms)) {
      result.m_oldest_report_ms = std::max(
          result.m_oldest_report_ms, now.m_steady_ms - vm.m_last_answer_ms);
    }
  }
  Decide(view, job, result, now);
  return result;
}

std::string Encode(const DryRun& result) {
  Json team = {{"name", result.m_team},
               {"over_rate", result.m_team_over_rate},
               {"used", ToJson(result.m_team_used)}};
  if (result.m_team_has_limits) {
    team["weight"] = result.m_team_weight;
    team["cap"] = ToJson(result.m_team_cap);
  }
  Json steps = Json::array();
  for (const StepDryRun& step : result.m_steps) {
    steps.push_back(ToJson(step));
  }
  Json json = {{"decision", ToString(result.m_decision)},
               {"reason", result.m_reason}};
  if (result.m_decision == DryRunDecision::kRefused) {
    json["retry_after_ms"] = result.m_retry_after_ms;
  }
  json["queue"] = {{"name", result.m_queue},
                   {"service", result.m_service},
                   {"priority", result.m_priority}};
  json["team"] = std::move(team);
  json["ahead"] = {{"steps", result.m_steps_ahead},
                   {"cpu_millis", result.m_cpu_ahead_millis},
                   {"min_wait_ms", result.m_min_wait_ms}};
  if (result.m_needs_advice) {
    json["recommended_share"] = result.m_recommended_share;
  }
  json["steps"] = std::move(steps);
  json["view"] = {{"configuration", result.m_configuration},
                  {"store_writable", result.m_store_writable},
                  {"oldest_report_ms", result.m_oldest_report_ms}};
  return json.dump();
}

}  // namespace mustardslip
