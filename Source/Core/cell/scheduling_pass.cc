// SchedulingPass: set-up, order, independent tasks, suspects of crashes, and
// requests for advice. Gangs are in scheduling_pass_gangs.cc and
// scheduling_pass_preemption.cc.
#include "cell/scheduling_pass.h"

#include <algorithm>
#include <utility>

#include "cell/advice_plan.h"
#include "cell/crash_timing.h"
#include "cell/link_share.h"
#include "cell/speed_choice.h"

namespace mustardslip {
namespace {

// Minimum interval between advice calls for the same step.
constexpr std::int64_t kAdviceIntervalMs = 60;
// Limit on gangs that reserve free capacity against later steps in the order:
// one per kVmsPerGang VMs, at least kMinReservingGangs. More would leave VMs
// idle behind gangs that wait for each other.
constexpr int kMinReservingGangs = 2;
constexpr int kVmsPerGang = 24;
// At most one in this many VMs is kept for suspects at a time.
constexpr std::size_t kProbationDivisor = 4;

}  // namespace

SchedulingPass::SchedulingPass(Scheduler& scheduler, CellState& state,
                               const CellRules& rules, const CellTime& now,
                               const FreeAdviceCalls& free_advice_calls,
                               std::int64_t max_start_bytes,
                               const VmSpeeds* speeds, PassKind kind)
    : m_scheduler(scheduler),
      m_state(state),
      m_rules(rules),
      m_now(now),
      m_free_advice_calls(free_advice_calls),
      m_kind(kind),
      m_start_bytes_left(max_start_bytes),
      m_contention(scheduler.Contention()) {
  for (auto& [life, vm] : m_state.Vms()) {
    if (!IsUsable(vm, now.m_steady_ms)) {
      continue;
    }
    Pool& pool = m_pools[vm.m_description.m_service];
    if (vm.m_probation_until_ms > now.m_steady_ms) {
      ++pool.m_on_probation;
    } else {
      pool.m_capacity.Add(vm);
    }
  }
  // All VMs of a small pool may be on probation.
  std::erase_if(m_pools, [](const auto& entry) {
    return entry.second.m_capacity.Slots().empty();
  });
  for (auto& [service, pool] : m_pools) {
    pool.m_capacity.Finish(now.m_steady_ms);
    SetSpeeds(speeds, pool.m_capacity);
    pool.m_max_reserving_gangs = std::max(
        kMinReservingGangs,
        static_cast<int>(pool.m_capacity.Slots().size()) / kVmsPerGang);
    for (const Slot& slot : pool.m_capacity.Slots()) {
      pool.m_total_cpu_millis +=
          slot.m_vm->m_description.m_capacity.m_cpu_millis;
    }
  }
}

ScheduleResult SchedulingPass::Run(const ReadySteps& ready) {
  if (m_scheduler.Features().m_preemption) {
    FindOverloadedPools(ready);
  }
  ServeReservations();
  PlaceOverdueGangs(ready);
  ready.Visit(m_now.m_unix_ms, [this](const ReadyStep& step) {
    const auto pool = m_pools.find(step.m_job->m_spec.m_queue.m_service);
    if (pool == m_pools.end()) {
      return true;
    }
    if (step.Spec().m_gang) {
      if (m_served_gangs.count(step.m_state) == 0) {
        PlaceGang(step, pool->second, false);
      }
    } else {
      PlaceTasks(step, pool->second);
    }
    m_result.m_more_to_start = m_start_bytes_left <= 0;
    return !m_result.m_more_to_start;
  });
  for (const auto& [service, pool] : m_pools) {
    m_result.m_vms_examined += pool.m_capacity.Examined();
  }
  return std::move(m_result);
}

// How many more tasks of this step the team's cap allows.
std::int64_t SchedulingPass::TeamHeadroom(const ReadyStep& step) {
  const std::string& team = step.m_job->m_spec.m_team;
  const auto limits = m_rules.m_teams.find(team);
  if (limits == m_rules.m_teams.end()) {
    return INT64_MAX;
  }
  const Resources capacity = limits->second.EffectiveCap() -
                             m_state.TeamUsage(team).m_total -
                             m_team_planned[team];
  return FitCount(step.Spec().m_resources, capacity);
}

void SchedulingPass::Plan(StepPlacement& step, PoolCapacity& pool, Slot& slot,
                          std::uint32_t index, std::uint32_t run) {
  const StepRef ref = step.Step().Ref();
  Placement placement;
  placement.m_task = {ref.m_job, ref.m_occurrence, ref.m_step, index};
  placement.m_run = run;
  placement.m_vm = slot.m_vm->Incarnation();
  if (const Advice* advice = step.AdviceFor(slot)) {
    placement.m_ticket = advice->m_ticket;
  }
  m_result.m_placements.push_back(std::move(placement));
  m_start_bytes_left -=
      kStartOrderBytes +
      static_cast<std::int64_t>(step.OwningJob().m_spec.m_payload.size());
  m_planned_vms.insert(slot.m_vm);
  m_contention.OnPlanned(*slot.m_vm, step.Spec().m_image);
  pool.Reserve(slot, step.Spec().Charge());
  step.CountPlaced(slot);
  Resources& planned = m_team_planned[step.OwningJob().m_spec.m_team];
  planned = planned + step.Spec().m_resources;
}

void SchedulingPass::PlaceTasks(const ReadyStep& ready, Pool& pool) {
  const StepState& state = *ready.m_state;
  const bool pending = !state.m_pending_advice_vms.empty();
  StepPlacement step(ready, m_now.m_steady_ms);
  step.SetSpeedWish(SpeedWishOf(ready, pool.m_capacity, m_now.m_unix_ms));
  const bool may_start =
      step.MayHaveTickets() && pool.m_capacity.HasRoom(step.Spec().Charge());
  const bool may_ask =
      step.NeedsAdvice() && MayRequestAdvice(step.Queue(), state);
  if (!may_start && !may_ask && !pending) {
    return;
  }
  const std::int64_t waiting =
      std::min(state.WaitingTasks(), TeamHeadroom(ready));
  const std::int64_t placed = may_start ? StartTasks(step, pool, waiting) : 0;
  if (waiting - placed <= 0 || !step.NeedsAdvice()) {
    return;
  }
  if (!pending && may_ask) {
    RequestAdvice(step, ChooseVmsForTasks(step, pool.m_capacity,
                                          waiting - placed, GoodShare(step)));
  }
  ReserveForPendingAdvice(step, pool.m_capacity, waiting - placed);
}

// Starts up to `waiting` tasks in order. Returns the number started.
std::int64_t SchedulingPass::StartTasks(StepPlacement& step, Pool& pool,
                                        std::int64_t waiting) {
  const std::vector<TaskState>& tasks = step.State().m_tasks;
  const std::vector<Slot*> slots = StartableSlots(step, pool.m_capacity);
  std::int64_t placed = 0;
  for (std::uint32_t i = 0;
       i < tasks.size() && placed < waiting && m_start_bytes_left > 0; ++i) {
    if (tasks[i].m_done || !tasks[i].m_open.empty()) {
      continue;
    }
    const bool suspect = step.State().IsSuspect(step.Spec(), i);
    Slot* slot = suspect ? QuietSlot(step, pool, slots)
                         : BestSlot(step, tasks[i], slots);
    if (slot == nullptr) {
      if (suspect) {
        continue;
      }
      break;
    }
    Plan(step, pool.m_capacity, *slot, i, tasks[i].m_last_run + 1);
    if (suspect) {
      KeepApart(pool, *slot);
    }
    ++placed;
  }
  return placed;
}

std::vector<Slot*> SchedulingPass::StartableSlots(const StepPlacement& step,
                                                  PoolCapacity& pool) {
  std::vector<Slot*> slots;
  const auto add = [&](Slot& slot) {
    if (step.HasTicket(slot) && step.HasRequiredLabel(slot) &&
        step.Fit(slot) > 0) {
      slots.push_back(&slot);
    }
    return true;
  };
  if (step.NeedsAdvice()) {
    step.VisitRecommended(pool, add);
  } else {
    pool.VisitFitting(step.Spec().Charge(), 0, add);
  }
  return slots;
}

// True if a suspect may start there: a crash will have no other suspect.
bool SchedulingPass::IsQuiet(const Pool& pool, const Slot& slot) const {
  const bool full =
      pool.m_on_probation * kProbationDivisor >= pool.m_capacity.Slots().size();
  return !full && m_planned_vms.count(slot.m_vm) == 0 &&
         m_now.m_steady_ms - slot.m_vm->m_last_start_ms >=
             kQuietAroundSuspectMs;
}

// The quiet VM, cold ones last, on which a crash would end the fewest runs; or
// null.
Slot* SchedulingPass::QuietSlot(const StepPlacement& step, const Pool& pool,
                                const std::vector<Slot*>& slots) const {
  Slot* best = nullptr;
  for (Slot* slot : slots) {
    if (step.Fit(*slot) > 0 && IsQuiet(pool, *slot) &&
        (best == nullptr ||
         std::pair(slot->m_cold, slot->m_vm->m_open.size()) <
             std::pair(best->m_cold, best->m_vm->m_open.size()))) {
      best = slot;
    }
  }
  return best;
}

// Nothing else is planned there by this pass; CellCore sets the probation.
void SchedulingPass::KeepApart(Pool& pool, Slot& slot) {
  pool.m_capacity.ReserveAll(slot);
  ++pool.m_on_probation;
}

Slot* SchedulingPass::BestSlot(const StepPlacement& step, const TaskState& task,
                               const std::vector<Slot*>& slots) {
  Slot* best = FirstInRank(step, task, slots, m_contention);
  if (m_contention.Matters(step.Spec().m_image) &&
      best != FirstInRank(step, task, slots, PassContention(nullptr))) {
    ++m_result.m_starts_apart;
  }
  return best;
}

Slot* SchedulingPass::FirstInRank(const StepPlacement& step,
                                  const TaskState& task,
                                  const std::vector<Slot*>& slots,
                                  const PassContention& contention) {
  Slot* best = nullptr;
  SlotRank best_rank;
  for (Slot* slot : slots) {
    if (step.Fit(*slot) <= 0) {
      continue;
    }
    const auto rank = Rank(step, task, *slot, contention);
    if (best == nullptr || rank < best_rank) {
      best = slot;
      best_rank = rank;
    }
  }
  return best;
}

// Smaller is better: not cold, then in the preferred rack, then not the VM of
// the last failure, then of the wanted speed, then the least contention, then
// the least free CPU (best fit).
SchedulingPass::SlotRank SchedulingPass::Rank(
    const StepPlacement& step, const TaskState& task, const Slot& slot,
    const PassContention& contention) {
  const std::string& rack = step.Spec().m_rack_affinity;
  return {slot.m_cold,
          !rack.empty() && !slot.m_vm->HasLabel(rack),
          task.m_last_failed_vm == slot.VmId(),
          SpeedRank(step.WantedSpeed(), slot),
          contention.CostLevel(*slot.m_vm, step.Spec().m_image),
          slot.m_free.m_cpu_millis};
}

bool SchedulingPass::MayRequestAdvice(const QueueRules& queue,
                                      const StepState& step) const {
  const bool lane_has_room = !IsLongAdviceCall(queue) ||
                             m_long_advice_calls < m_free_advice_calls.m_long;
  return lane_has_room &&
         m_result.m_advice_requests.size() < m_free_advice_calls.m_any &&
         step.m_pending_advice_vms.empty() &&
         step.m_next_advice_call_ms <= m_now.m_steady_ms;
}

double SchedulingPass::GoodShare(const StepPlacement& step) const {
  return m_scheduler.GoodShare(step.Queue().m_name);
}

void SchedulingPass::RequestAdvice(const StepPlacement& step,
                                   std::vector<std::string> vms) {
  if (vms.empty()) {
    return;
  }
  AdviceRequest request;
  request.m_step = step.Step().Ref();
  request.m_expected_ms = AdviceCallMs(step.Queue(), vms.size());
  request.m_long = IsLongAdviceCall(step.Queue());
  m_long_advice_calls += request.m_long ? 1 : 0;
  step.State().m_pending_advice_vms = vms;
  step.State().m_next_advice_call_ms = m_now.m_steady_ms + kAdviceIntervalMs;
  request.m_vms = std::move(vms);
  m_result.m_advice_requests.push_back(std::move(request));
}

// Reserves capacity on the VMs of a pending advice call, so that it is still
// free when the tickets arrive.
void SchedulingPass::ReserveForPendingAdvice(const StepPlacement& step,
                                             PoolCapacity& pool,
                                             std::int64_t tasks) {
  for (const std::string& id : step.State().m_pending_advice_vms) {
    Slot* slot = pool.Find(id);
    if (tasks <= 0) {
      return;
    }
    if (slot != nullptr && step.Fit(*slot) > 0) {
      pool.Reserve(*slot, step.Spec().Charge());
      --tasks;
    }
  }
}

}  // namespace mustardslip
