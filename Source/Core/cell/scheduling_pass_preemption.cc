// SchedulingPass: gangs for which less urgent tasks are stopped.
//
// A reservation names the VMs of a gang. While the tickets for them are being
// requested it keeps the room that is free there, and the runs there go on;
// they are stopped once the tickets are valid, so that little time passes in
// which the room is idle.
#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/advice_plan.h"
#include "cell/scheduling_pass.h"
#include "cell/speed_choice.h"

namespace mustardslip {
namespace {

// A pool is overloaded if the tasks that wait need this share of it.
constexpr std::int64_t kOverloadPercent = 100;
// Gangs that keep room idle in an overloaded pool: those too large for
// preemption have their turn, too.
constexpr int kReservingGangsUnderOverload = 2;
// Gangs with a reservation take at most this share of a pool, but for one that
// is larger alone.
constexpr std::int64_t kMaxReservedPercent = 40;
// Tickets must stay valid for this long when runs are stopped: the stops, their
// report and the start.
constexpr std::int64_t kStopAndStartMs = 700;
// The same once runs were stopped: the start alone.
constexpr std::int64_t kStartMs = 300;
// How long the answer to a request for tickets may take beyond what is
// expected, before the reservation is given up.
constexpr std::int64_t kLateAdviceMs = 400;
// A gang that knows enough VMs looks for further ones at this interval: the
// choice looks at all VMs of the pool.
constexpr std::int64_t kNextChoiceMs = 250;

}  // namespace

// Finds the pools in which so much work waits that room does not become free
// for a gang by itself. There, room is made instead of kept idle.
void SchedulingPass::FindOverloadedPools(const ReadySteps& ready) {
  ready.Visit(m_now.m_unix_ms, [this](const ReadyStep& step) {
    const auto found = m_pools.find(step.m_job->m_spec.m_queue.m_service);
    if (found == m_pools.end()) {
      return true;
    }
    Pool& pool = found->second;
    pool.m_waiting_cpu_millis +=
        step.Spec().Charge().m_cpu_millis * step.m_state->WaitingTasks();
    pool.m_preempts = pool.m_waiting_cpu_millis * 100 >=
                      pool.m_total_cpu_millis * kOverloadPercent;
    if (pool.m_preempts) {
      pool.m_max_reserving_gangs = kReservingGangsUnderOverload;
    }
    // Most deployments have one pool.
    return m_pools.size() > 1 || !pool.m_preempts;
  });
}

// Gangs with a reservation go before all others: room has been made for them.
void SchedulingPass::ServeReservations() {
  std::erase_if(m_scheduler.ReservingGangs(),
                [this](const StepRef& ref) { return !ServeReservation(ref); });
}

// Returns false if the reservation is over.
bool SchedulingPass::ServeReservation(const StepRef& ref) {
  Job* job = m_state.FindJob(ref.m_job);
  StepState* state =
      m_state.FindStep({ref.m_job, ref.m_occurrence, ref.m_step, 0});
  if (job == nullptr || state == nullptr) {
    return false;
  }
  const auto pool = m_pools.find(job->m_spec.m_queue.m_service);
  const bool expired = state->m_reservation.m_until_ms < m_now.m_steady_ms;
  if (!state->m_ready_order || state->m_open > 0 || expired ||
      pool == m_pools.end()) {
    state->m_reservation = {};
    return false;
  }
  const ReadyStep ready{job, state, ref.m_occurrence, ref.m_step};
  StepPlacement step(ready, m_now.m_steady_ms);
  const std::int64_t tasks = TaskCount(ready);
  if (m_kind == PassKind::kPlan) {
    if (step.MayHaveTickets() && TeamHeadroom(ready) >= tasks &&
        StartGang(step, pool->second, tasks)) {
      NoteStart(step, {});
      m_served_gangs.insert(state);
      state->m_reservation = {};
      return false;
    }
    if (state->m_pending_advice_vms.empty()) {
      if (!VmsWithoutTicket(step, pool->second, kStartMs).empty()) {
        state->m_reservation = {};
        return false;
      }
      StopRunsFor(step, pool->second);
    }
  }
  m_served_gangs.insert(state);
  KeepReservation(step, pool->second);
  return true;
}

// Only for a gang that can still meet its objective and whose team is within
// its rate: the tasks that it stops end later for it.
bool SchedulingPass::MayPreemptFor(const ReadyStep& ready,
                                   const Pool& pool) const {
  const std::int64_t reserved =
      pool.m_reserved_cpu_millis + NeededCpuMillis(ready);
  return pool.m_preempts && !ready.m_job->m_over_rate &&
         LatestStart(ready) > m_now.m_unix_ms &&
         (pool.m_reserved_cpu_millis == 0 ||
          reserved * 100 <= pool.m_total_cpu_millis * kMaxReservedPercent);
}

// Returns false if stopping runs would not make room for the whole gang, or
// its tickets cannot be requested now.
bool SchedulingPass::ReserveByPreemption(StepPlacement& step, Pool& pool,
                                         std::int64_t tasks) {
  StepState& state = step.State();
  if (!state.m_pending_advice_vms.empty()) {
    return false;
  }
  std::vector<GangReservation::Vm> vms = ChooseVmsToReserve(step, pool, tasks);
  if (vms.empty()) {
    return false;
  }
  state.m_reservation.m_vms = std::move(vms);
  const std::vector<std::string> missing =
      VmsWithoutTicket(step, pool, kStopAndStartMs);
  if (!missing.empty() && !MayRequestAdvice(step.Queue(), state)) {
    state.m_reservation = {};
    return false;
  }
  if (missing.empty()) {
    StopRunsFor(step, pool);
  } else {
    state.m_reservation.m_until_ms =
        m_now.m_steady_ms + AdviceCallMs(step.Queue(), missing.size()) +
        kLateAdviceMs;
    RequestAdvice(step, missing);
  }
  KeepReservation(step, pool);
  m_scheduler.ReservingGangs().push_back(step.Step().Ref());
  return true;
}

void SchedulingPass::RequestAdviceForPreemption(const StepPlacement& step,
                                                Pool& pool,
                                                std::int64_t tasks) {
  std::vector<std::string> vms = ChooseVmsForPreemption(
      step, pool.m_capacity, tasks, GoodShare(step),
      [&](const Slot& slot) { return FitAfterStopsFor(step, slot); });
  if (vms.empty()) {
    step.State().m_next_advice_call_ms = m_now.m_steady_ms + kNextChoiceMs;
    return;
  }
  RequestAdvice(step, std::move(vms));
}

// How many members fit on the VM once less urgent runs have been stopped there
// that no other gang counts on.
std::int64_t SchedulingPass::FitAfterStopsFor(const StepPlacement& step,
                                              const Slot& slot) {
  Slot emptied = slot;
  Resources capacity =
      PreemptibleOn(*slot.m_vm).CapacityBelow(step.Queue().m_priority);
  if (const auto claimed = m_claimed.find(slot.m_vm);
      claimed != m_claimed.end()) {
    capacity = Max(capacity - claimed->second, {});
  }
  emptied.m_free = slot.m_free + capacity;
  return step.Fit(emptied);
}

// The recommended VMs that hold the gang once less urgent runs have been
// stopped there, those with the most free room first. Empty if they do not.
std::vector<GangReservation::Vm> SchedulingPass::ChooseVmsToReserve(
    const StepPlacement& step, Pool& pool, std::int64_t tasks) {
  // How many members fit after the stops.
  std::vector<SlotFit> candidates;
  VisitAllowed(step, pool.m_capacity, [&](Slot& slot) {
    const std::int64_t fit = FitAfterStopsFor(step, slot);
    if (fit > 0) {
      candidates.push_back({&slot, fit});
    }
  });
  KeepFastest(tasks, candidates);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&](const SlotFit& a, const SlotFit& b) {
        return std::tuple(!a.m_slot->m_cold, step.Fit(*a.m_slot), a.m_fit) >
               std::tuple(!b.m_slot->m_cold, step.Fit(*b.m_slot), b.m_fit);
      });
  std::vector<GangReservation::Vm> chosen;
  std::int64_t left = tasks;
  for (const auto& [slot, fit] : candidates) {
    if (left == 0) {
      break;
    }
    const std::int64_t members = std::min(fit, left);
    chosen.push_back({slot->VmId(), members});
    left -= members;
  }
  return left == 0 ? chosen : std::vector<GangReservation::Vm>{};
}

// The VMs of the reservation on which the gang cannot start `margin_ms` from
// now, those that are not usable any more included.
std::vector<std::string> SchedulingPass::VmsWithoutTicket(
    const StepPlacement& step, Pool& pool, std::int64_t margin_ms) const {
  std::vector<std::string> missing;
  for (const GangReservation::Vm& vm : step.State().m_reservation.m_vms) {
    const Slot* slot = pool.m_capacity.Find(vm.m_id);
    if (slot == nullptr || !step.HasTicket(*slot, margin_ms)) {
      missing.push_back(vm.m_id);
    }
  }
  return missing;
}

// Stops what is in the way on the reserved VMs, beyond what is ending there
// already. The reservation lasts as long as the tickets; without tickets, later
// passes do not extend it, so that a gang that cannot start gives the VMs up.
void SchedulingPass::StopRunsFor(const StepPlacement& step, Pool& pool) {
  GangReservation& reservation = step.State().m_reservation;
  if (step.NeedsAdvice()) {
    reservation.m_until_ms = step.State().m_tickets_until_ms;
  } else if (reservation.m_until_ms == 0) {
    reservation.m_until_ms = m_now.m_steady_ms + kStopAndStartMs;
  }
  for (const GangReservation::Vm& vm : reservation.m_vms) {
    const Slot* slot = pool.m_capacity.Find(vm.m_id);
    if (slot == nullptr || m_kind == PassKind::kAdviceOnly) {
      continue;
    }
    const Resources room =
        slot->m_free +
        CapacityBeingFreed(*slot->m_vm, m_state, m_now.m_steady_ms);
    for (const PreemptibleRun& run : ChooseRunsToStop(
             PreemptibleOn(*slot->m_vm).Runs(), step.Queue().m_priority, room,
             step.Spec().Charge() * vm.m_members)) {
      if (m_preempted.insert(run.m_run).second) {
        m_result.m_preemptions.push_back(run.m_run);
      }
    }
  }
}

// Keeps the reserved room, as far as it is free, from the steps that follow,
// and the runs that will be stopped from other gangs.
void SchedulingPass::KeepReservation(const StepPlacement& step, Pool& pool) {
  const Resources charge = step.Spec().Charge();
  for (const GangReservation::Vm& vm : step.State().m_reservation.m_vms) {
    pool.m_reserved_cpu_millis += charge.m_cpu_millis * vm.m_members;
    Slot* slot = pool.m_capacity.Find(vm.m_id);
    if (slot != nullptr) {
      const Resources need = charge * vm.m_members;
      const Resources kept = Min(need, slot->m_free);
      const Resources missing =
          need - kept -
          CapacityBeingFreed(*slot->m_vm, m_state, m_now.m_steady_ms);
      m_claimed[slot->m_vm] = m_claimed[slot->m_vm] + Max(missing, {});
      pool.m_capacity.Reserve(*slot, kept);
    }
  }
}

const PreemptibleOnVm& SchedulingPass::PreemptibleOn(const VmState& vm) {
  std::unique_ptr<PreemptibleOnVm>& known = m_preemptible[&vm];
  if (known == nullptr) {
    known = std::make_unique<PreemptibleOnVm>(PreemptibleRuns(vm, m_state));
  }
  return *known;
}

}  // namespace mustardslip
