// Implements a scheduling pass over the ready steps (Scheduler::Pass).
#include "cell/scheduler.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "cell/advice_plan.h"
#include "cell/link_budget.h"
#include "cell/pool_capacity.h"
#include "cell/step_placement.h"

namespace mustardslip {
namespace {

// Share of recommended VMs assumed before the first answers for a queue.
constexpr double kInitialGoodShare = 0.5;
// Weight of the newest answer in the moving average.
constexpr double kGoodShareWeight = 0.1;
constexpr double kMinGoodShare = 0.05;
// Minimum interval between advice calls for the same step.
constexpr std::int64_t kAdviceIntervalMs = 60;
// Limit on gangs that reserve free capacity against later steps in the order:
// one per kVmsPerGang VMs, at least kMinReservingGangs. More would leave VMs
// idle behind gangs that wait for each other.
constexpr int kMinReservingGangs = 2;
constexpr int kVmsPerGang = 24;
// A suspect of a crash (cell_core_crashes.cc) starts only where nothing was
// started for this long.
constexpr std::int64_t kQuietMs = 300;
// At most one in this many VMs is kept for suspects at a time.
constexpr std::size_t kProbationDivisor = 4;
// Large gangs that miss their objective have the first choice of the capacity
// of one in kOverdueGangsDivisor VMs: behind all steps that can be on time,
// they would not start before the load falls. A gang is large if it needs more
// than one in kLargeGangDivisor of the pool's capacity; a smaller one finds
// room.
constexpr std::int64_t kOverdueGangsDivisor = 40;
constexpr std::int64_t kLargeGangDivisor = 64;
// A job is of use to its caller until this many times its objective.
constexpr std::int64_t kUsefulObjectives = 3;
// A gang that waits is logged at this interval, and one that starts if it has
// waited for longer than the second time.
constexpr std::int64_t kGangDelayIntervalMs = 4'000;
constexpr std::int64_t kLoggedGangDelayMs = 1'000;

// Replaces 0 (no limit) in each dimension of the cap by a very large value.
Resources Unlimited(const Resources& cap) {
  const auto limit_or_max = [](std::int64_t value) {
    return value > 0 ? value : INT64_MAX / 4;
  };
  return {limit_or_max(cap.m_cpu_millis), limit_or_max(cap.m_memory_mb),
          limit_or_max(cap.m_accelerators)};
}

std::int64_t WaitingTasks(const StepState& step) {
  return static_cast<std::int64_t>(step.m_tasks.size()) - step.m_done -
         step.m_open;
}

std::string RackOf(const Slot& slot) {
  const std::vector<std::string>& labels = slot.m_vm->m_description.m_labels;
  return labels.empty() ? "" : labels.back();
}

// Keeps only the VMs of one rack if that rack fits the whole gang.
void PreferOneRack(const std::string& preferred, std::int64_t tasks,
                   std::vector<SlotFit>& fits) {
  std::map<std::string, std::int64_t> by_rack;
  for (const auto& [slot, fit] : fits) {
    by_rack[RackOf(*slot)] += fit;
  }
  std::string chosen;
  for (const auto& [rack, total] : by_rack) {
    if (total >= tasks && (chosen.empty() || rack == preferred)) {
      chosen = rack;
    }
  }
  if (!chosen.empty()) {
    std::erase_if(fits, [&](const SlotFit& one) {
      return RackOf(*one.m_slot) != chosen;
    });
  }
}

}  // namespace

class Scheduler::Pass {
 public:
  Pass(const Scheduler& scheduler, CellState& state, const CellRules& rules,
       const CellTime& now, std::size_t free_advice_calls,
       std::int64_t max_start_bytes)
      : m_scheduler(scheduler),
        m_state(state),
        m_rules(rules),
        m_now(now),
        m_free_advice_calls(free_advice_calls),
        m_start_bytes_left(max_start_bytes) {
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
      pool.m_max_reserving_gangs = std::max(
          kMinReservingGangs,
          static_cast<int>(pool.m_capacity.Slots().size()) / kVmsPerGang);
      for (const Slot& slot : pool.m_capacity.Slots()) {
        pool.m_total_cpu_millis +=
            slot.m_vm->m_description.m_capacity.m_cpu_millis;
      }
    }
  }

  ScheduleResult Run(const ReadySteps& ready) {
    PlaceOverdueGangs(ready);
    ready.Visit(m_now.m_unix_ms, [this](const ReadyStep& step) {
      const auto pool = m_pools.find(step.m_job->m_spec.m_queue.m_service);
      if (pool == m_pools.end()) {
        return true;
      }
      if (step.Spec().m_gang) {
        if (m_overdue_gangs.count(step.m_state) == 0) {
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

 private:
  struct Pool {
    PoolCapacity m_capacity;
    // VMs that are left out as a suspect was just started there.
    std::size_t m_on_probation = 0;
    int m_max_reserving_gangs = 0;
    int m_reserving_gangs = 0;
    std::int64_t m_total_cpu_millis = 0;
    // Need of the overdue gangs that this pass served, and whether it reached
    // their share of the pool.
    std::int64_t m_overdue_cpu_millis = 0;
    bool m_overdue_share_used = false;
  };

  // How many more tasks of this step the team's cap allows.
  std::int64_t TeamHeadroom(const ReadyStep& step) {
    const std::string& team = step.m_job->m_spec.m_team;
    const auto limits = m_rules.m_teams.find(team);
    if (limits == m_rules.m_teams.end()) {
      return INT64_MAX;
    }
    const Resources capacity = Unlimited(limits->second.m_cap) -
                               m_state.TeamUsage(team) - m_team_planned[team];
    return FitCount(step.Spec().m_resources, capacity);
  }

  void Plan(StepPlacement& step, PoolCapacity& pool, Slot& slot,
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
    pool.Reserve(slot, step.Spec().Charge());
    step.CountPlaced(slot);
    Resources& planned = m_team_planned[step.OwningJob().m_spec.m_team];
    planned = planned + step.Spec().m_resources;
  }

  // --- Independent tasks ---

  void PlaceTasks(const ReadyStep& ready, Pool& pool) {
    const StepState& state = *ready.m_state;
    const bool pending = !state.m_pending_advice_vms.empty();
    StepPlacement step(ready, m_now.m_steady_ms);
    const bool may_start =
        step.MayHaveTickets() && pool.m_capacity.HasRoom(step.Spec().Charge());
    const bool may_ask = step.NeedsAdvice() && MayRequestAdvice(state);
    if (!may_start && !may_ask && !pending) {
      return;
    }
    const std::int64_t waiting =
        std::min(WaitingTasks(state), TeamHeadroom(ready));
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
  std::int64_t StartTasks(StepPlacement& step, Pool& pool,
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

  static std::vector<Slot*> StartableSlots(const StepPlacement& step,
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

  // --- Suspects of crashes ---

  // True if a suspect may start there: a crash will have no other suspect.
  bool IsQuiet(const Pool& pool, const Slot& slot) const {
    const bool full = pool.m_on_probation * kProbationDivisor >=
                      pool.m_capacity.Slots().size();
    return !full && m_planned_vms.count(slot.m_vm) == 0 &&
           m_now.m_steady_ms - slot.m_vm->m_last_start_ms >= kQuietMs;
  }

  // The quiet VM on which a crash would end the fewest runs, or null.
  Slot* QuietSlot(const StepPlacement& step, const Pool& pool,
                  const std::vector<Slot*>& slots) const {
    Slot* best = nullptr;
    for (Slot* slot : slots) {
      if (step.Fit(*slot) > 0 && IsQuiet(pool, *slot) &&
          (best == nullptr ||
           slot->m_vm->m_open.size() < best->m_vm->m_open.size())) {
        best = slot;
      }
    }
    return best;
  }

  // Nothing else is planned there by this pass; CellCore sets the probation.
  static void KeepApart(Pool& pool, Slot& slot) {
    pool.m_capacity.ReserveAll(slot);
    ++pool.m_on_probation;
  }

  static Slot* BestSlot(const StepPlacement& step, const TaskState& task,
                        const std::vector<Slot*>& slots) {
    Slot* best = nullptr;
    for (Slot* slot : slots) {
      if (step.Fit(*slot) > 0 &&
          (best == nullptr ||
           Rank(step, task, *slot) < Rank(step, task, *best))) {
        best = slot;
      }
    }
    return best;
  }

  // Smaller is better: in the preferred rack, then not the VM of the last
  // failure, then the least free CPU (best fit).
  static std::tuple<bool, bool, std::int64_t> Rank(const StepPlacement& step,
                                                   const TaskState& task,
                                                   const Slot& slot) {
    const std::string& rack = step.Spec().m_rack_affinity;
    return {!rack.empty() && !slot.m_vm->HasLabel(rack),
            task.m_last_failed_vm == slot.VmId(), slot.m_free.m_cpu_millis};
  }

  // --- Advice ---

  bool MayRequestAdvice(const StepState& step) const {
    return m_result.m_advice_requests.size() < m_free_advice_calls &&
           step.m_pending_advice_vms.empty() &&
           step.m_next_advice_call_ms <= m_now.m_steady_ms;
  }

  double GoodShare(const StepPlacement& step) const {
    return m_scheduler.GoodShare(step.Queue().m_name);
  }

  void RequestAdvice(const StepPlacement& step, std::vector<std::string> vms) {
    if (vms.empty()) {
      return;
    }
    AdviceRequest request;
    request.m_step = step.Step().Ref();
    request.m_expected_ms = AdviceCallMs(step.Queue(), vms.size());
    step.State().m_pending_advice_vms = vms;
    step.State().m_next_advice_call_ms = m_now.m_steady_ms + kAdviceIntervalMs;
    request.m_vms = std::move(vms);
    m_result.m_advice_requests.push_back(std::move(request));
  }

  // Reserves capacity on the VMs of a pending advice call, so that it is still
  // free when the tickets arrive.
  static void ReserveForPendingAdvice(const StepPlacement& step,
                                      PoolCapacity& pool, std::int64_t tasks) {
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

  // --- Gangs ---

  // Serves the large gangs that miss their objective and are still of use, the
  // longest overdue first, up to their share of the pool.
  void PlaceOverdueGangs(const ReadySteps& ready) {
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
      if (pool.m_overdue_share_used) {
        continue;
      }
      m_overdue_gangs.insert(step.m_state);
      PlaceGang(step, pool, true);
      CountOverdue(step, pool);
    }
  }

  // Compared with its pool; false without a usable VM.
  bool IsLarge(const ReadyStep& step) const {
    const auto pool = m_pools.find(step.m_job->m_spec.m_queue.m_service);
    return pool != m_pools.end() && NeededCpuMillis(step) * kLargeGangDivisor >=
                                        pool->second.m_total_cpu_millis;
  }

  static std::int64_t LatestStart(const ReadyStep& step) {
    return step.m_state->m_ready_order->m_latest_start_unix_ms;
  }

  bool IsOfUse(const ReadyStep& step) const {
    const std::int64_t due = step.m_job->DueUnixMs(step.m_occurrence);
    const std::int64_t objective =
        step.m_job->ObjectiveUnixMs(step.m_occurrence) - due;
    return m_now.m_unix_ms + step.Spec().m_estimate_ms <
           due + kUsefulObjectives * objective;
  }

  // Of all members of a gang.
  static std::int64_t NeededCpuMillis(const ReadyStep& step) {
    return step.Spec().Charge().m_cpu_millis *
           static_cast<std::int64_t>(step.m_state->m_tasks.size());
  }

  // Counts the gang's need against the share of the pool for overdue gangs. The
  // gang that reaches it is the last one, however large.
  static void CountOverdue(const ReadyStep& step, Pool& pool) {
    pool.m_overdue_cpu_millis += NeededCpuMillis(step);
    pool.m_overdue_share_used =
        pool.m_overdue_cpu_millis * kOverdueGangsDivisor >=
        pool.m_total_cpu_millis;
  }

  // `overdue`: the gang may reserve, whatever others have reserved, and also of
  // its team's cap.
  void PlaceGang(const ReadyStep& ready, Pool& pool, bool overdue) {
    const StepState& state = *ready.m_state;
    if (state.m_open > 0 || state.Done()) {
      return;
    }
    StepPlacement step(ready, m_now.m_steady_ms);
    const bool may_ask = step.NeedsAdvice() && MayRequestAdvice(state);
    const bool may_reserve =
        overdue || pool.m_reserving_gangs < pool.m_max_reserving_gangs;
    if (!step.MayHaveTickets() && !may_ask && !may_reserve) {
      NoteWait(step, GangWaitCause::kOtherGangs, {});
      return;
    }
    const auto tasks = static_cast<std::int64_t>(state.m_tasks.size());
    if (TeamHeadroom(ready) < tasks) {
      NoteWait(step, GangWaitCause::kTeamLimit, {});
      if (overdue) {
        ReserveOfTeam(ready, tasks);
      }
      return;
    }
    const GangRoom room = RoomForGang(step, pool.m_capacity);
    if (step.MayHaveTickets() && StartGang(step, pool, tasks)) {
      NoteStart(step, room);
      return;
    }
    NoteWait(step, WaitCauseOf(step, room, tasks), room);
    if (may_ask) {
      RequestAdvice(step, ChooseVmsForGang(step, pool.m_capacity, tasks,
                                           GoodShare(step)));
    }
    if (may_reserve) {
      ReserveForGang(step, pool, tasks);
    }
  }

  // Keeps other steps of the team from taking what becomes free of its cap. Not
  // for a gang that the cap never has room for.
  void ReserveOfTeam(const ReadyStep& ready, std::int64_t tasks) {
    const std::string& team = ready.m_job->m_spec.m_team;
    const Resources& need = ready.Spec().m_resources;
    const Resources cap = Unlimited(m_rules.m_teams.at(team).m_cap);
    if (FitCount(need, cap) >= tasks) {
      m_team_planned[team] = m_team_planned[team] + need * tasks;
    }
  }

  // How many members the VMs that may run a gang hold.
  struct GangRoom {
    std::int64_t m_when_empty = 0;
    std::int64_t m_now = 0;
  };

  static GangRoom RoomForGang(const StepPlacement& step, PoolCapacity& pool) {
    GangRoom room;
    const Resources charge = step.Spec().Charge();
    VisitAllowed(step, pool, [&](const Slot& slot) {
      room.m_when_empty +=
          FitCount(charge, slot.m_vm->m_description.m_capacity);
      room.m_now += step.Fit(slot);
    });
    return room;
  }

  // Calls `visit(slot)` for each VM that may run the step, with a valid ticket
  // or without.
  template <typename Visitor>
  static void VisitAllowed(const StepPlacement& step, PoolCapacity& pool,
                           Visitor visit) {
    const auto check = [&](Slot& slot) {
      if (step.HasRequiredLabel(slot)) {
        visit(slot);
      }
    };
    if (step.NeedsAdvice()) {
      step.VisitRecommended(pool, check);
    } else {
      std::for_each(pool.Slots().begin(), pool.Slots().end(), check);
    }
  }

  GangWaitCause WaitCauseOf(const StepPlacement& step, const GangRoom& room,
                            std::int64_t tasks) const {
    if (room.m_when_empty < tasks) {
      const StepState& state = step.State();
      return state.m_pending_advice_vms.empty() &&
                     state.m_next_advice_call_ms <= m_now.m_steady_ms
                 ? GangWaitCause::kRecommendation
                 : GangWaitCause::kAdviceCall;
    }
    return room.m_now < tasks ? GangWaitCause::kRoom : GangWaitCause::kTicket;
  }

  void NoteWait(const StepPlacement& step, GangWaitCause cause,
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

  void NoteStart(const StepPlacement& step, const GangRoom& room) {
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

  void AddDelay(const StepPlacement& step, const GangRoom& room, bool starts) {
    const StepState& state = step.State();
    m_result.m_gang_delays.push_back(
        {step.OwningJob().m_spec.m_id, ToString(step.Step().Ref()),
         state.m_tasks.size(), starts, state.m_wait.TotalMs(m_now.m_steady_ms),
         state.m_wait, room.m_when_empty, room.m_now});
  }

  // Starts all members, or none if they do not fit.
  bool StartGang(StepPlacement& step, Pool& pool, std::int64_t tasks) {
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
    if (step.Spec().m_same_rack || !step.Spec().m_rack_affinity.empty()) {
      PreferOneRack(step.Spec().m_rack_affinity, tasks, fits);
    }
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
  // capacity, as many as hold these members when empty.
  static void ReserveForGang(const StepPlacement& step, Pool& pool,
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
                       return a->m_free.m_cpu_millis > b->m_free.m_cpu_millis;
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
      if (tasks <= 0) {
        return;
      }
      tasks -= FitCount(charge, slot->m_vm->m_description.m_capacity);
      pool.m_capacity.ReserveAll(*slot);
    }
  }

  const Scheduler& m_scheduler;
  CellState& m_state;
  const CellRules& m_rules;
  const CellTime m_now;
  const std::size_t m_free_advice_calls;
  std::int64_t m_start_bytes_left;
  // By service.
  std::map<std::string, Pool> m_pools;
  std::map<std::string, Resources> m_team_planned;
  // VMs on which this pass plans a start.
  std::set<const VmState*> m_planned_vms;
  // The steps that PlaceOverdueGangs served.
  std::set<const StepState*> m_overdue_gangs;
  ScheduleResult m_result;
};

ScheduleResult Scheduler::Decide(CellState& state, const ReadySteps& ready,
                                 const CellRules& rules, const CellTime& now,
                                 std::size_t free_advice_calls,
                                 std::int64_t max_start_bytes) {
  return Pass(*this, state, rules, now, free_advice_calls, max_start_bytes)
      .Run(ready);
}

void Scheduler::OnAdvice(const std::string& queue, std::size_t asked,
                         std::size_t good) {
  if (asked == 0) {
    return;
  }
  double& share =
      m_good_share.try_emplace(queue, kInitialGoodShare).first->second;
  const double seen = static_cast<double>(good) / static_cast<double>(asked);
  share += (seen - share) * kGoodShareWeight;
}

double Scheduler::GoodShare(const std::string& queue) const {
  const auto found = m_good_share.find(queue);
  const double share =
      found == m_good_share.end() ? kInitialGoodShare : found->second;
  return std::max(share, kMinGoodShare);
}

}  // namespace mustardslip
