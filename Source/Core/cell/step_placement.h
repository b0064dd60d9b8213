// One ready step during a scheduling pass: which VMs may run its tasks, and how
// many tasks fit. Used by Scheduler and the advice planner.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cell/pool_capacity.h"
#include "cell/ready_steps.h"

namespace mustardslip {

// Which VMs a step prefers by their speed (speed_choice.h).
struct SpeedWish {
  // The slowest that are still fast enough go first.
  bool m_slow_first = false;
  double m_min_speed = 0;

  bool operator==(const SpeedWish&) const = default;
};

class StepPlacement {
 public:
  // A ticket is used only if it stays valid for this long, which covers the log
  // write and the call to the VM.
  static constexpr std::int64_t kTicketMarginMs = 150;

  // `now_ms`: owner's steady clock.
  StepPlacement(const ReadyStep& step, std::int64_t now_ms);

  const ReadyStep& Step() const { return m_step; }
  const StepSpec& Spec() const { return m_spec; }
  StepState& State() const { return *m_step.m_state; }
  const Job& OwningJob() const { return *m_step.m_job; }
  const QueueRules& Queue() const { return m_step.m_job->m_spec.m_queue; }
  // Which VMs the step prefers by their speed; the fastest by default.
  void SetSpeedWish(const SpeedWish& wish) { m_speed_wish = wish; }
  const SpeedWish& WantedSpeed() const { return m_speed_wish; }
  bool NeedsAdvice() const { return Queue().m_needs_advice; }

  // How many tasks of the step fit on the VM, as far as the step's limit per VM
  // allows.
  std::int64_t Fit(const Slot& slot) const { return FitIn(slot.m_free, slot); }
  // The same once all runs there that are not long-lived have ended.
  std::int64_t FitInTime(const Slot& slot) const {
    return FitIn(slot.m_vm->FreeInTime(), slot);
  }
  // Counts a task that this pass places on the VM.
  void CountPlaced(const Slot& slot);

  bool HasRequiredLabel(const Slot& slot) const {
    return slot.m_vm->HasRequiredLabel(m_spec);
  }

  // Null without a verdict of the advice service.
  const Advice* AdviceFor(const Slot& slot) const;
  bool IsRecommended(const Slot& slot) const;
  bool IsRejected(const Slot& slot) const;
  // True if the step may start on the VM: it needs no advice, or its ticket
  // stays valid for `margin_ms`.
  bool HasTicket(const Slot& slot,
                 std::int64_t margin_ms = kTicketMarginMs) const;
  // False if no VM can have a valid ticket, without looking at the VMs.
  bool MayHaveTickets() const {
    return !NeedsAdvice() ||
           State().m_tickets_until_ms > m_now_ms + kTicketMarginMs;
  }

  // Calls `visit(slot)` for each VM of the pool that the advice service
  // recommended for the step.
  template <typename Visitor>
  void VisitRecommended(PoolCapacity& pool, Visitor visit) const {
    for (const auto& [vm_id, advice] : State().m_advice) {
      Slot* slot = advice.m_good ? pool.Find(vm_id) : nullptr;
      if (slot != nullptr) {
        visit(*slot);
      }
    }
  }

 private:
  std::int64_t FitIn(const Resources& room, const Slot& slot) const;

  const ReadyStep m_step;
  const StepSpec& m_spec;
  const std::int64_t m_now_ms;
  SpeedWish m_speed_wish;
  // Tasks of the step by VM id, including those placed by this pass. Empty
  // unless the step has a limit per VM.
  std::map<std::string, std::int64_t> m_on_vm;
};

}  // namespace mustardslip
