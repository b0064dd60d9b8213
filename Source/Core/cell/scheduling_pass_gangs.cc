// SchedulingPass: gangs, whose members start together or not at all.
#include <algorithm>
#include <utility>

#include "cell/advice_plan.h"
#include "cell/backlog_forecast.h"
#include "cell/scheduling_pass.h"
#include "cell/speed_choice.h"

namespace mustardslip {
namespace {

// Large gangs that miss their objective have the first choice of the capacity
// of one in kOverdueGangsDivisor VMs: behind all steps that can be on time,
// they would not start before the load falls. A gang is large if it needs more
// than one in kLargeGangDivisor of the pool's capacity; a smaller one finds
// room.
constexpr std::int64_t kOverdueGangsDivisor = 40;
constexpr std::int64_t kLargeGangDivisor = 64;
// A gang that is too large is checked again at this interval: the check looks
// at all VMs of the pool.
constexpr std::int64_t kSizeCheckIntervalMs = 500;
// In an overloaded pool a gang that cannot start is tried again at this
// interval: each attempt looks at all VMs that are recommended to it.
constexpr std::int64_t kAttemptIntervalMs = 100;
// A gang that waits is logged at this interval, and one that starts if it has
// waited for longer than the second time.
constexpr std::int64_t kGangDelayIntervalMs = 4'000;
constexpr std::int64_t kLoggedGangDelayMs = 1'000;

std::string RackOf(const Slot& slot) {
  const std::vector<std::string>& labels = slot.m_vm->m_description.m_labels;
  return labels.empty() ? "" : labels.back();
}

// Keeps only the VMs of one rack if that rack fits the whole gang, without its
// cold VMs if there is such a rack.
void PreferOneRack(const std::string& preferred, std::int64_t tasks,
                   std::vector<SlotFit>& fits) {
  std::string chosen;
  for (const bool with_cold : {false, true}) {
    std::map<std::string, std::int64_t> by_rack;
    for (const auto& [slot, fit] : fits) {
      by_rack[RackOf(*slot)] += with_cold || !slot->m_cold ? fit : 0;
    }
    for (const auto& [rack, total] : by_rack) {
      if (total >= tasks && (chosen.empty() || rack == preferred)) {
        chosen = rack;
      }
    }
    if (!chosen.empty()) {
      break;
    }
  }
  if (!chosen.empty()) {
    std::erase_if(fits, [&](const SlotFit& one) {
      return RackOf(*one.m_slot) != chosen;
    });
  }
}

}  // namespace

// Serves the large gangs that miss their objective and are still of use, the
// longest overdue first, up to their share of the pool.
void SchedulingPass::PlaceOverdueGangs(const ReadySteps& ready) {
  std::vector<ReadyStep> overdue;
  ready.VisitLate(m_now.m_unix_ms, [&](const ReadyStep& step) {
    // The objective is worth its computation only for a large gang.
    if (step.Spec().m_gang && IsLarge(step) && IsOfUse(step)) {
      overdue.push_back(step);
    }
    return true;
  });
  std::stable_sort(overdue.begin(), overdue.end(),
                   [](const ReadyStep& a, const ReadyStep& b) {
                     return LatestStart(a) < LatestStart(b);
                   });
  for (const ReadyStep& step : overdue) {
    Pool& pool = m_pools.at(step.m_job->m_spec.m_queue.m_service);
    if (pool.m_overdue_share_used || m_served_gangs.count(step.m_state) != 0 ||
        WhyTooLarge(step, pool.m_capacity)) {
      continue;
    }
    m_served_gangs.insert(step.m_state);
    PlaceGang(step, pool, true);
    CountOverdue(step, pool);
  }
}

// Compared with its pool; false without a usable VM.
bool SchedulingPass::IsLarge(const ReadyStep& step) const {
  const auto pool = m_pools.find(step.m_job->m_spec.m_queue.m_service);
  return pool != m_pools.end() && NeededCpuMillis(step) * kLargeGangDivisor >=
                                      pool->second.m_total_cpu_millis;
}

std::int64_t SchedulingPass::LatestStart(const ReadyStep& step) {
  return step.m_state->m_ready_order->m_latest_start_unix_ms;
}

bool SchedulingPass::IsOfUse(const ReadyStep& step) const {
  return m_now.m_unix_ms + step.Spec().m_estimate_ms <
         LastUsefulEndUnixMs(*step.m_job, step.m_occurrence);
}

std::int64_t SchedulingPass::TaskCount(const ReadyStep& step) {
  return static_cast<std::int64_t>(step.m_state->m_tasks.size());
}

// Of all members of a gang.
std::int64_t SchedulingPass::NeededCpuMillis(const ReadyStep& step) {
  return step.Spec().Charge().m_cpu_millis * TaskCount(step);
}

// Counts the gang's need against the share of the pool for overdue gangs. The
// gang that reaches it is the last one, however large.
void SchedulingPass::CountOverdue(const ReadyStep& step, Pool& pool) {
  pool.m_overdue_cpu_millis += NeededCpuMillis(step);
  pool.m_overdue_share_used =
      pool.m_overdue_cpu_millis * kOverdueGangsDivisor >=
      pool.m_total_cpu_millis;
}

// What the gang could not start for, and so must not wait for, if all runs had
// ended that are not long-lived: its team's cap, or the VMs that may run it,
// with those that the advice service has not judged yet. Nullopt if it could.
std::optional<GangWaitCause> SchedulingPass::WhyTooLarge(
    const ReadyStep& ready, const PoolCapacity& pool) const {
  StepState& state = *ready.m_state;
  if (m_now.m_steady_ms < state.m_next_size_check_ms) {
    return state.m_wait.Cause();
  }
  std::optional<GangWaitCause> cause;
  if (!TeamMayHold(ready)) {
    cause = GangWaitCause::kTeamLimit;
  } else if (!PoolMayHold(ready, pool)) {
    cause = GangWaitCause::kTooLarge;
  }
  state.m_next_size_check_ms =
      cause ? m_now.m_steady_ms + kSizeCheckIntervalMs : 0;
  return cause;
}

bool SchedulingPass::TeamMayHold(const ReadyStep& ready) const {
  const std::string& team = ready.m_job->m_spec.m_team;
  const auto limits = m_rules.m_teams.find(team);
  if (limits == m_rules.m_teams.end()) {
    return true;
  }
  const Resources in_time =
      limits->second.EffectiveCap() - m_state.TeamUsage(team).m_long_lived;
  return FitCount(ready.Spec().m_resources, in_time) >= TaskCount(ready);
}

bool SchedulingPass::PoolMayHold(const ReadyStep& ready,
                                 const PoolCapacity& pool) const {
  const StepPlacement step(ready, m_now.m_steady_ms);
  const std::int64_t tasks = TaskCount(ready);
  std::int64_t held = 0;
  for (const Slot& slot : pool.Slots()) {
    if (step.HasRequiredLabel(slot) && !step.IsRejected(slot)) {
      held += std::min(step.FitInTime(slot), tasks);
    }
    if (held >= tasks) {
      return true;
    }
  }
  return false;
}

// `overdue`: the gang may reserve, whatever others have reserved, and also of
// its team's cap.
void SchedulingPass::PlaceGang(const ReadyStep& ready, Pool& pool,
                               bool overdue) {
  const StepState& state = *ready.m_state;
  if (state.m_open > 0 || state.Done()) {
    return;
  }
  StepPlacement step(ready, m_now.m_steady_ms);
  if (const auto cause = WhyTooLarge(ready, pool.m_capacity)) {
    NoteWait(step, *cause, {});
    return;
  }
  const bool may_ask =
      step.NeedsAdvice() && MayRequestAdvice(step.Queue(), state);
  const bool may_reserve =
      overdue || pool.m_reserving_gangs < pool.m_max_reserving_gangs;
  if (!step.MayHaveTickets() && !may_ask && !may_reserve) {
    NoteWait(step, GangWaitCause::kOtherGangs, {});
    return;
  }
  if (pool.m_preempts && !may_reserve &&
      m_now.m_steady_ms < state.m_next_attempt_ms) {
    NoteWait(step, state.m_wait.Cause(), {});
    return;
  }
  const std::int64_t tasks = TaskCount(ready);
  if (TeamHeadroom(ready) < tasks) {
    NoteWait(step, GangWaitCause::kTeamLimit, {});
    if (overdue) {
      // Keeps other steps of the team from taking what becomes free of its cap.
      Resources& planned = m_team_planned[ready.m_job->m_spec.m_team];
      planned = planned + ready.Spec().m_resources * tasks;
    }
    return;
  }
  const GangRoom room = RoomForGang(step, pool.m_capacity);
  if (step.MayHaveTickets() && StartGang(step, pool, tasks)) {
    NoteStart(step, room);
    return;
  }
  NoteWait(step, WaitCauseOf(step, room, tasks), room);
  step.State().m_next_attempt_ms = m_now.m_steady_ms + kAttemptIntervalMs;
  if (MayPreemptFor(ready, pool) && ReserveByPreemption(step, pool, tasks)) {
    return;
  }
  if (may_ask && pool.m_preempts) {
    RequestAdviceForPreemption(step, pool, tasks);
  } else if (may_ask) {
    RequestAdvice(
        step, ChooseVmsForGang(step, pool.m_capacity, tasks, GoodShare(step)));
  }
  if (may_reserve) {
    ReserveForGang(step, pool, tasks);
  }
}

SchedulingPass::GangRoom SchedulingPass::RoomForGang(const StepPlacement& step,
                                                     PoolCapacity& pool) {
  GangRoom room;
  VisitAllowed(step, pool, [&](const Slot& slot) {
    room.m_in_time += step.FitInTime(slot);
    room.m_now += step.Fit(slot);
  });
  return room;
}

GangWaitCause SchedulingPass::WaitCauseOf(const StepPlacement& step,
                                          const GangRoom& room,
                                          std::int64_t tasks) const {
  if (room.m_in_time < tasks) {
    const StepState& state = step.State();
    return state.m_pending_advice_vms.empty() &&
                   state.m_next_advice_call_ms <= m_now.m_steady_ms
               ? GangWaitCause::kRecommendation
               : GangWaitCause::kAdviceCall;
  }
  return room.m_now < tasks ? GangWaitCause::kRoom : GangWaitCause::kTicket;
}

void SchedulingPass::NoteWait(const StepPlacement& step, GangWaitCause cause,
                              const GangRoom& room) {
  StepState& state = step.State();
  state.m_wait.OnWaiting(cause, m_now.m_steady_ms);
  if (state.m_wait_logged_ms == 0) {
    state.m_wait_logged_ms = m_now.m_steady_ms;
  }
  if (m_now.m_steady_ms - state.m_wait_logged_ms >= kGangDelayIntervalMs) {
    state.m_wait_logged_ms = m_now.m_steady_ms;
    AddDelay(step, room, false);
  }
}

void SchedulingPass::NoteStart(const StepPlacement& step,
                               const GangRoom& room) {
  StepState& state = step.State();
  if (state.m_wait.Waiting()) {
    state.m_wait.OnWaiting(state.m_wait.Cause(), m_now.m_steady_ms);
    if (state.m_wait.TotalMs(m_now.m_steady_ms) >= kLoggedGangDelayMs) {
      AddDelay(step, room, true);
    }
  }
  state.m_wait = {};
  state.m_wait_logged_ms = 0;
}

void SchedulingPass::AddDelay(const StepPlacement& step, const GangRoom& room,
                              bool starts) {
  const StepState& state = step.State();
  m_result.m_gang_delays.push_back(
      {step.OwningJob().m_spec.m_id, ToString(step.Step().Ref()),
       state.m_tasks.size(), starts, state.m_wait.TotalMs(m_now.m_steady_ms),
       state.m_wait, room.m_in_time, room.m_now});
}

// Starts all members, or none if they do not fit.
bool SchedulingPass::StartGang(StepPlacement& step, Pool& pool,
                               std::int64_t tasks) {
  const bool suspect = step.State().IsSuspect(step.Spec(), 0);
  std::vector<SlotFit> fits;
  for (Slot* slot : StartableSlots(step, pool.m_capacity)) {
    if (!suspect || IsQuiet(pool, *slot)) {
      fits.push_back({slot, step.Fit(*slot)});
    }
  }
  if (TotalFit(fits) < tasks) {
    return false;
  }
  SortLargestFirst(fits);
  m_contention.SortByCost(step.Spec().m_image, fits,
                          [](const SlotFit& one) { return one.m_slot->m_vm; });
  std::stable_partition(fits.begin(), fits.end(),
                        [](const SlotFit& one) { return !one.m_slot->m_cold; });
  if (step.Spec().m_same_rack || !step.Spec().m_rack_affinity.empty()) {
    PreferOneRack(step.Spec().m_rack_affinity, tasks, fits);
  }
  KeepFastest(tasks, fits);
  const std::uint32_t run = step.State().m_last_run + 1;
  std::uint32_t index = 0;
  for (const auto& [slot, fit] : fits) {
    if (index == tasks) {
      break;
    }
    for (std::int64_t i = 0; i < fit && index < tasks; ++i) {
      Plan(step, pool.m_capacity, *slot, index, run);
      ++index;
    }
    if (suspect) {
      KeepApart(pool, *slot);
    }
  }
  return true;
}

// Reserves capacity against later steps, which would otherwise take freed
// capacity first, so that the gang would starve: the room that it can use
// now, and for the members that do not fit yet the VMs with the most free
// capacity, as many as hold these members in time; of each what the members
// need there.
void SchedulingPass::ReserveForGang(const StepPlacement& step, Pool& pool,
                                    std::int64_t tasks) {
  std::vector<Slot*> usable;
  VisitAllowed(step, pool.m_capacity, [&](Slot& slot) {
    if (slot.m_free.m_cpu_millis > 0) {
      usable.push_back(&slot);
    }
  });
  if (usable.empty()) {
    return;
  }
  ++pool.m_reserving_gangs;
  std::stable_sort(usable.begin(), usable.end(),
                   [](const Slot* a, const Slot* b) {
                     return std::pair(a->m_cold, b->m_free.m_cpu_millis) <
                            std::pair(b->m_cold, a->m_free.m_cpu_millis);
                   });
  const Resources charge = step.Spec().Charge();
  std::vector<Slot*> too_full;
  for (Slot* slot : usable) {
    const std::int64_t fit = std::min(step.Fit(*slot), tasks);
    if (fit > 0) {
      pool.m_capacity.Reserve(*slot, charge * fit);
      tasks -= fit;
    } else {
      too_full.push_back(slot);
    }
  }
  for (Slot* slot : too_full) {
    const std::int64_t fit = std::min(step.FitInTime(*slot), tasks);
    if (fit > 0) {
      pool.m_capacity.Reserve(*slot, Min(charge * fit, slot->m_free));
      tasks -= fit;
    }
  }
}

}  // namespace mustardslip
