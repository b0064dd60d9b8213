// Looks at the VMs of the cell: a look renews the lease, raises the fence, and
// brings ends.
//
// A VM with work is held: an open look waits for the next end. Other VMs, and
// those with work beyond the limit of held ones, get short looks, of which only
// some are open at a time, in turn.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "cell/cell_core.h"
#include "cell/cell_platform.h"
#include "cell/timer_loop.h"
#include "cell/vm_pace.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

template <VmControl Vms, TimerLoop Loop>
class VmHolder {
 public:
  struct Handlers {
    // The core heard something: effects may wait.
    std::function<void()> m_on_event;
    // A VM has seen a higher fence.
    std::function<void()> m_on_superseded;
  };

  VmHolder(Vms& vms, Loop& loop, CellCore& core, std::int64_t fence,
           Handlers handlers, std::size_t most_held)
      : m_vms(vms),
        m_loop(loop),
        m_core(core),
        m_fence(fence),
        m_handlers(std::move(handlers)),
        m_most_held(most_held) {}

  VmHolder(const VmHolder&) = delete;
  VmHolder& operator=(const VmHolder&) = delete;

  // Opens the calls that are due. `renew`: leases may be extended.
  void OnTick(bool renew) {
    const CellTime now = m_loop.Now();
    m_idle_gap_ms = std::max(
        kIdleGapMs, static_cast<std::int64_t>(m_core.State().Vms().size()) *
                        kMsPerSecond / kMostIdleLooksPerSecond);
    // Begins where the limit of short looks stopped the last round, so that the
    // VMs take turns.
    auto& vms = m_core.State().Vms();
    auto next = vms.lower_bound(m_turn);
    std::optional<VmLife> turn;
    for (std::size_t i = 0; i < vms.size(); ++i, ++next) {
      if (next == vms.end()) {
        next = vms.begin();
      }
      VmState& vm = next->second;
      const bool needed = vm.m_listed || !vm.m_open.empty();
      if (needed && !vm.m_description.m_address.empty() &&
          !HoldIfDue(vm, now, renew) && !turn) {
        turn = next->first;
      }
    }
    m_turn = turn.value_or(VmLife{});
    std::erase_if(m_calls, [&](const auto& entry) {
      return !entry.second.m_open &&
             m_core.State().FindVm(entry.first) == nullptr;
    });
  }

 private:
  // Looks are priced, and several ends in one answer cost less to write.
  static constexpr std::int64_t kGapMs = 90;
  // With ends that are not in the store yet, a call returns at once.
  static constexpr std::int64_t kGapWithUnwrittenEndsMs = 900;
  static constexpr std::int64_t kGapAfterFailureMs = 250;
  // A VM on which nothing runs is looked at without waiting, so that it holds
  // no open call, and in a large fleet less often.
  static constexpr std::int64_t kIdleGapMs = 1'500;
  static constexpr std::int64_t kMostIdleLooksPerSecond = 400;
  static constexpr std::int64_t kMsPerSecond = 1'000;
  // An answer that is late by this much may be lost: a second call follows.
  static constexpr std::int64_t kLateAnswerMs = 200;
  // Each VM with work beyond the limit of held ones is looked at this often.
  static constexpr std::int64_t kPolledGapMs = 500;
  // Short looks that are open at a time, and those of them at VMs that left the
  // last one unanswered.
  static constexpr std::size_t kMostShortLooks = 200;
  static constexpr std::size_t kMostFailedLooks = 50;

  enum class Look { kHold, kShort, kAfterFailure };

  struct Call {
    bool m_open = false;
    // Of the open call.
    Look m_look = Look::kShort;
    // The open call is the second one, after the first was not answered.
    bool m_repeated = false;
    std::int64_t m_next_ms = 0;
    std::int64_t m_sent_ms = 0;
    std::int64_t m_wait_ms = 0;
    std::uint64_t m_number = 0;
    // The highest end that the VM was told to forget.
    std::uint64_t m_acknowledged_end = 0;

    bool Late(std::int64_t now_ms) const {
      return m_open && !m_repeated &&
             now_ms >= m_sent_ms + m_wait_ms + kLateAnswerMs;
    }
  };

  // False if a look is due and the limits leave none.
  bool HoldIfDue(VmState& vm, const CellTime& now, bool renew) {
    Call& call = m_calls[vm.Life()];
    const bool late = call.Late(now.m_steady_ms);
    if (!late && (call.m_open || !MaySend(call, vm, now))) {
      return true;
    }
    const Look look = NextLook(call, vm, late || !renew);
    // The second look after a late answer keeps the place of the first.
    if (!late && IsFull(look)) {
      return false;
    }
    HoldOrder order;
    order.m_vm = vm.Life();
    order.m_address = vm.m_description.m_address;
    order.m_fence = m_fence;
    order.m_last_end = vm.m_durable_end;
    if (renew) {
      order.m_lease_until_vm_ms = m_core.NextLease(vm, now);
    }
    order.m_wait_ms = look == Look::kHold ? m_core.LookWaitMs(vm, now) : 0;
    if (!late) {
      ++m_open[look];
      call.m_look = look;
      vm.m_look_due_ms = now.m_steady_ms + order.m_wait_ms;
    }
    call.m_open = true;
    call.m_repeated = late;
    call.m_sent_ms = now.m_steady_ms;
    call.m_wait_ms = order.m_wait_ms;
    call.m_acknowledged_end = order.m_last_end;
    const std::uint64_t number = ++call.m_number;
    m_vms.Hold(order, m_guard.Wrap([this, life = order.m_vm,
                                    number](Result<VmReport> report) {
      OnAnswer(life, number, std::move(report));
    }));
    return true;
  }

  Look NextLook(const Call& call, const VmState& vm, bool at_once) {
    if (vm.m_first_failed_call_ms != 0) {
      return Look::kAfterFailure;
    }
    const bool holds = vm.m_fenced && vm.m_clock.Known() && !at_once &&
                       !Idle(call, vm) && m_open[Look::kHold] < m_most_held;
    return holds ? Look::kHold : Look::kShort;
  }

  bool IsFull(Look look) {
    const std::size_t after_failure = m_open[Look::kAfterFailure];
    switch (look) {
      case Look::kHold:
        return false;
      case Look::kShort:
        return m_open[Look::kShort] + after_failure >= kMostShortLooks;
      case Look::kAfterFailure:
        return after_failure >= kMostFailedLooks;
    }
    return false;
  }

  // Nothing runs there, and the VM knows that its ends are in the store.
  static bool Idle(const Call& call, const VmState& vm) {
    return vm.m_fenced && vm.m_open.empty() &&
           call.m_acknowledged_end == vm.m_last_end;
  }

  bool MaySend(const Call& call, const VmState& vm, const CellTime& now) const {
    if (Idle(call, vm) && vm.m_first_failed_call_ms == 0 &&
        now.m_steady_ms < call.m_sent_ms + m_idle_gap_ms) {
      return false;
    }
    if (m_open.at(Look::kHold) >= m_most_held && !vm.m_open.empty() &&
        now.m_steady_ms < call.m_sent_ms + kPolledGapMs) {
      return false;
    }
    const bool unwritten = vm.m_last_end != vm.m_durable_end;
    return now.m_steady_ms >= call.m_next_ms &&
           (!unwritten ||
            now.m_steady_ms >= call.m_sent_ms + kGapWithUnwrittenEndsMs);
  }

  void OnAnswer(const VmLife& life, std::uint64_t number,
                Result<VmReport> report) {
    Call& call = m_calls[life];
    if (call.m_number != number) {
      return;
    }
    call.m_open = false;
    --m_open[call.m_look];
    const CellTime now = m_loop.Now();
    VmState* vm = m_core.State().FindVm(life);
    if (report) {
      // The next call comes at once if this one could not renew the lease.
      const bool first = vm != nullptr && !vm->m_clock.Known();
      call.m_next_ms = first ? 0 : call.m_sent_ms + kGapMs;
      if (vm != nullptr && vm->m_first_failed_call_ms != 0) {
        Log(LogLevel::kInfo, LogCategory::kCell, "vm_regained",
            {{"vm", life.m_id},
             {"silent_ms", now.m_steady_ms - vm->m_first_failed_call_ms}});
      }
      const VmPace pace = vm == nullptr ? VmPace::kNormal : vm->m_pace;
      m_core.OnVmReport(*report, now);
      if (vm != nullptr && vm->m_pace != pace) {
        Log(LogLevel::kInfo, LogCategory::kCell, "vm_pace",
            {{"vm", life.m_id},
             {"pace", ToString(vm->m_pace)},
             {"before", ToString(pace)},
             {"open_runs", vm->m_open.size()}});
      }
    } else if (report.error().Code() == ErrorCode::kStaleEpoch) {
      m_handlers.m_on_superseded();
      return;
    } else {
      call.m_next_ms = now.m_steady_ms + kGapAfterFailureMs;
      if (vm != nullptr && vm->m_first_failed_call_ms == 0) {
        Log(LogLevel::kWarning, LogCategory::kCell, "vm_silent",
            {{"vm", life.m_id},
             {"born", life.m_born},
             {"reason", report.error().Reason()},
             {"open_runs", vm->m_open.size()}});
      }
      m_core.OnVmSilent(life, now);
    }
    m_handlers.m_on_event();
  }

  Vms& m_vms;
  Loop& m_loop;
  CellCore& m_core;
  const std::int64_t m_fence;
  const Handlers m_handlers;
  const std::size_t m_most_held;
  CallbackGuard m_guard;
  std::map<VmLife, Call> m_calls;
  // Looks that are open. Invariant: the number of open entries of m_calls.
  std::map<Look, std::size_t> m_open = {
      {Look::kHold, 0}, {Look::kShort, 0}, {Look::kAfterFailure, 0}};
  // The VM whose turn is first.
  VmLife m_turn;
  std::int64_t m_idle_gap_ms = kIdleGapMs;
};

}  // namespace mustardslip
