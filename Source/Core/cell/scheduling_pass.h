// One scheduling pass over the ready steps: the choices of Scheduler::Decide.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cell/contention.h"
#include "cell/pool_capacity.h"
#include "cell/preemption.h"
#include "cell/scheduler.h"
#include "cell/step_placement.h"

namespace mustardslip {

// Used once. The order of the steps is that of ReadySteps, but for gangs with a
// reservation (ServeReservations) and large gangs that are overdue
// (PlaceOverdueGangs), which go first.
class SchedulingPass {
 public:
  SchedulingPass(Scheduler& scheduler, CellState& state, const CellRules& rules,
                 const CellTime& now, const FreeAdviceCalls& free_advice_calls,
                 std::int64_t max_start_bytes, const VmSpeeds* speeds,
                 PassKind kind);
  ScheduleResult Run(const ReadySteps& ready);

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
    // Needed by the tasks that wait.
    std::int64_t m_waiting_cpu_millis = 0;
    // Room is made for gangs by preemption.
    bool m_preempts = false;
    // Need of the gangs with a reservation.
    std::int64_t m_reserved_cpu_millis = 0;
  };

  std::int64_t TeamHeadroom(const ReadyStep& step);
  void Plan(StepPlacement& step, PoolCapacity& pool, Slot& slot,
            std::uint32_t index, std::uint32_t run);

  // --- Independent tasks ---
  using SlotRank = std::tuple<bool, bool, bool, int, int, std::int64_t>;
  void PlaceTasks(const ReadyStep& ready, Pool& pool);
  std::int64_t StartTasks(StepPlacement& step, Pool& pool,
                          std::int64_t waiting);
  static std::vector<Slot*> StartableSlots(const StepPlacement& step,
                                           PoolCapacity& pool);
  Slot* BestSlot(const StepPlacement& step, const TaskState& task,
                 const std::vector<Slot*>& slots);
  static Slot* FirstInRank(const StepPlacement& step, const TaskState& task,
                           const std::vector<Slot*>& slots,
                           const PassContention& contention);
  static SlotRank Rank(const StepPlacement& step, const TaskState& task,
                       const Slot& slot, const PassContention& contention);

  // --- Suspects of crashes ---
  bool IsQuiet(const Pool& pool, const Slot& slot) const;
  Slot* QuietSlot(const StepPlacement& step, const Pool& pool,
                  const std::vector<Slot*>& slots) const;
  static void KeepApart(Pool& pool, Slot& slot);

  // --- Advice ---
  bool MayRequestAdvice(const QueueRules& queue, const StepState& step) const;
  double GoodShare(const StepPlacement& step) const;
  void RequestAdvice(const StepPlacement& step, std::vector<std::string> vms);
  static void ReserveForPendingAdvice(const StepPlacement& step,
                                      PoolCapacity& pool, std::int64_t tasks);

  // --- Gangs ---
  void PlaceOverdueGangs(const ReadySteps& ready);
  bool IsLarge(const ReadyStep& step) const;
  static std::int64_t LatestStart(const ReadyStep& step);
  bool IsOfUse(const ReadyStep& step) const;
  static std::int64_t TaskCount(const ReadyStep& step);
  static std::int64_t NeededCpuMillis(const ReadyStep& step);
  static void CountOverdue(const ReadyStep& step, Pool& pool);
  void PlaceGang(const ReadyStep& ready, Pool& pool, bool overdue);
  std::optional<GangWaitCause> WhyTooLarge(const ReadyStep& ready,
                                           const PoolCapacity& pool) const;
  bool TeamMayHold(const ReadyStep& ready) const;
  bool PoolMayHold(const ReadyStep& ready, const PoolCapacity& pool) const;
  // How many members the VMs that may run a gang hold.
  struct GangRoom {
    // Once all runs that are not long-lived have ended.
    std::int64_t m_in_time = 0;
    std::int64_t m_now = 0;
  };

  static GangRoom RoomForGang(const StepPlacement& step, PoolCapacity& pool);
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
                            std::int64_t tasks) const;
  void NoteWait(const StepPlacement& step, GangWaitCause cause,
                const GangRoom& room);
  void NoteStart(const StepPlacement& step, const GangRoom& room);
  void AddDelay(const StepPlacement& step, const GangRoom& room, bool starts);
  bool StartGang(StepPlacement& step, Pool& pool, std::int64_t tasks);
  static void ReserveForGang(const StepPlacement& step, Pool& pool,
                             std::int64_t tasks);

  // --- Room for gangs by preemption ---
  void FindOverloadedPools(const ReadySteps& ready);
  void ServeReservations();
  bool ServeReservation(const StepRef& ref);
  bool MayPreemptFor(const ReadyStep& ready, const Pool& pool) const;
  bool ReserveByPreemption(StepPlacement& step, Pool& pool, std::int64_t tasks);
  void RequestAdviceForPreemption(const StepPlacement& step, Pool& pool,
                                  std::int64_t tasks);
  std::int64_t FitAfterStopsFor(const StepPlacement& step, const Slot& slot);
  std::vector<GangReservation::Vm> ChooseVmsToReserve(const StepPlacement& step,
                                                      Pool& pool,
                                                      std::int64_t tasks);
  std::vector<std::string> VmsWithoutTicket(const StepPlacement& step,
                                            Pool& pool,
                                            std::int64_t margin_ms) const;
  void StopRunsFor(const StepPlacement& step, Pool& pool);
  void KeepReservation(const StepPlacement& step, Pool& pool);
  const PreemptibleOnVm& PreemptibleOn(const VmState& vm);

  Scheduler& m_scheduler;
  CellState& m_state;
  const CellRules& m_rules;
  const CellTime m_now;
  const FreeAdviceCalls m_free_advice_calls;
  const PassKind m_kind;
  std::int64_t m_start_bytes_left;
  // By service.
  std::map<std::string, Pool> m_pools;
  std::map<std::string, Resources> m_team_planned;
  PassContention m_contention;
  // VMs on which this pass plans a start.
  std::set<const VmState*> m_planned_vms;
  // The gangs that had their turn before the others.
  std::set<const StepState*> m_served_gangs;
  // By VM, computed when first needed.
  absl::flat_hash_map<const VmState*, std::unique_ptr<PreemptibleOnVm>>
      m_preemptible;
  std::set<RunKey> m_preempted;
  // Capacity of runs on the VM that reservations count on already.
  absl::flat_hash_map<const VmState*, Resources> m_claimed;
  // Requests of m_result that open a long call.
  std::size_t m_long_advice_calls = 0;
  ScheduleResult m_result;
};

}  // namespace mustardslip
