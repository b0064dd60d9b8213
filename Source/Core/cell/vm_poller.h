// Polls the VMs of the cell for CellOwner. A poll renews the lease, raises the
// fence, and reports the runs that ended.
//
// A VM with work gets a long poll, which waits for the next run to end. Idle
// VMs, and VMs with work beyond the limit of long polls, get short polls, of
// which a limited number is open at a time, in round-robin order.
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
#include "transport/http_client.h"

namespace mustardslip {

template <VmControl Vms, TimerLoop Loop>
class VmPoller {
 public:
  struct Handlers {
    // The core processed a result and may have effects to execute.
    std::function<void()> m_on_event;
    // A VM has seen a higher fence.
    std::function<void()> m_on_superseded;
  };

  VmPoller(Vms& vms, Loop& loop, CellCore& core, std::int64_t fence,
           Handlers handlers, std::size_t max_long_polls)
      : m_vms(vms),
        m_loop(loop),
        m_core(core),
        m_fence(fence),
        m_handlers(std::move(handlers)),
        m_max_long_polls(max_long_polls) {}

  VmPoller(const VmPoller&) = delete;
  VmPoller& operator=(const VmPoller&) = delete;

  // Sends the polls that are due. `renew`: leases may be extended.
  void OnTick(bool renew) {
    const CellTime now = m_loop.Now();
    m_idle_gap_ms = std::max(
        kIdleGapMs, static_cast<std::int64_t>(m_core.State().Vms().size()) *
                        kMsPerSecond / kMaxIdlePollsPerSecond);
    // Starts at the first VM that the limits skipped in the last round.
    auto& vms = m_core.State().Vms();
    auto next = vms.lower_bound(m_next_vm);
    std::optional<VmIncarnation> skipped;
    for (std::size_t i = 0; i < vms.size(); ++i, ++next) {
      if (next == vms.end()) {
        next = vms.begin();
      }
      VmState& vm = next->second;
      const bool needed = vm.m_listed || !vm.m_open.empty() ||
                          vm.HasUnacknowledgedEnds() || vm.m_awaits_fence;
      if (needed && !vm.m_description.m_address.empty() &&
          !PollIfDue(vm, now, renew) && !skipped) {
        skipped = next->first;
      }
    }
    m_next_vm = skipped.value_or(VmIncarnation{});
    std::erase_if(m_calls, [&](const auto& entry) {
      return !entry.second.m_open &&
             m_core.State().FindVm(entry.first) == nullptr;
    });
  }

 private:
  // Each poll has a cost, and run ends reported together cost less to write.
  static constexpr std::int64_t kGapMs = 90;
  // A poll returns at once while the VM has ends that are not in the store yet.
  static constexpr std::int64_t kGapWithUnwrittenEndsMs = 900;
  static constexpr std::int64_t kGapAfterFailureMs = 250;
  // An unlisted VM without runs has probably left.
  static constexpr std::int64_t kGapAfterFailureUnlistedMs = 2'000;
  // An idle VM gets short polls, so that it keeps no call open, and in a large
  // fleet gets them less often.
  static constexpr std::int64_t kIdleGapMs = 1'500;
  static constexpr std::int64_t kMaxIdlePollsPerSecond = 400;
  static constexpr std::int64_t kMsPerSecond = 1'000;
  // An answer that is late by this much may be lost: a second poll is sent.
  static constexpr std::int64_t kLateAnswerMs = 200;
  // Interval of short polls to a VM with work beyond the limit of long polls.
  static constexpr std::int64_t kOverLimitGapMs = 500;
  // Maximum number of open short polls, including those to failing VMs, and of
  // open polls to VMs whose last poll failed.
  static constexpr std::size_t kMaxShortPolls = 200;
  static constexpr std::size_t kMaxPollsAfterFailure = 50;

  enum class PollKind { kLong, kShort, kAfterFailure };

  // What has to be known of a poll when it is answered.
  struct SentPoll {
    explicit SentPoll(const PollRequest& order)
        : m_life(order.m_vm),
          m_fence(order.m_fence),
          m_last_end(order.m_last_end) {}

    VmIncarnation m_life;
    std::int64_t m_fence = 0;
    // The VM could discard ends up to this one.
    std::uint64_t m_last_end = 0;
  };

  struct Call {
    bool m_open = false;
    PollKind m_kind = PollKind::kShort;
    // The open call is a retry: the first one was not answered in time.
    bool m_is_retry = false;
    std::int64_t m_next_ms = 0;
    std::int64_t m_sent_ms = 0;
    std::int64_t m_wait_ms = 0;
    std::uint64_t m_number = 0;

    bool IsLate(std::int64_t now_ms) const {
      return m_open && !m_is_retry &&
             now_ms >= m_sent_ms + m_wait_ms + kLateAnswerMs;
    }
  };

  // False if a poll is due but its limit is reached.
  bool PollIfDue(VmState& vm, const CellTime& now, bool renew) {
    Call& call = m_calls[vm.Incarnation()];
    const bool late = call.IsLate(now.m_steady_ms);
    if (!late && (call.m_open || !MaySend(call, vm, now))) {
      return true;
    }
    if (m_core.AwaitsHigherFence(vm.Incarnation().m_id)) {
      return true;
    }
    const PollKind kind =
        NextPollKind(vm, late || !renew || !vm.MayGetDeadline());
    // A retry after a late answer reuses the slot of the first poll.
    if (!late && LimitReached(kind)) {
      return false;
    }
    PollRequest order;
    order.m_vm = vm.Incarnation();
    order.m_address = vm.m_description.m_address;
    order.m_fence = FenceOf(vm.Incarnation());
    // An unanswered poll may mean that the VM has restarted.
    order.m_last_end = late ? 0 : m_core.EndsToAcknowledge(vm);
    if (renew) {
      order.m_lease_until_vm_ms = m_core.NextLease(vm, now);
    }
    order.m_wait_ms = kind == PollKind::kLong ? m_core.PollWaitMs(vm, now) : 0;
    if (!late) {
      ++m_open_polls[kind];
      call.m_kind = kind;
      vm.m_poll_due_ms = now.m_steady_ms + order.m_wait_ms;
    }
    call.m_open = true;
    call.m_is_retry = late;
    call.m_sent_ms = now.m_steady_ms;
    call.m_wait_ms = order.m_wait_ms;
    const std::uint64_t number = ++call.m_number;
    m_vms.Hold(order, m_guard.Wrap([this, number, sent = SentPoll(order)](
                                       Result<VmReport> report) {
      OnAnswer(sent, number, std::move(report));
    }));
    return true;
  }

  PollKind NextPollKind(const VmState& vm, bool at_once) {
    if (vm.m_first_failed_call_ms != 0) {
      return PollKind::kAfterFailure;
    }
    const bool long_poll = vm.m_fenced && vm.m_clock.Known() && !at_once &&
                           !Idle(vm) &&
                           m_open_polls[PollKind::kLong] < m_max_long_polls;
    return long_poll ? PollKind::kLong : PollKind::kShort;
  }

  bool LimitReached(PollKind kind) {
    const std::size_t after_failure = m_open_polls[PollKind::kAfterFailure];
    switch (kind) {
      case PollKind::kLong:
        return false;
      case PollKind::kShort:
        return m_open_polls[PollKind::kShort] + after_failure >= kMaxShortPolls;
      case PollKind::kAfterFailure:
        return after_failure >= kMaxPollsAfterFailure;
    }
    return false;
  }

  static VmCallFailure FailureOf(const Error& error) {
    const bool refused = error.Code() == ErrorCode::kUnavailable &&
                         error.Reason() == kConnectionRefused;
    return refused || error.Code() == ErrorCode::kNotFound
               ? VmCallFailure::kGone
               : VmCallFailure::kNoAnswer;
  }

  // Nothing runs on the VM, and all its ends were acknowledged.
  static bool Idle(const VmState& vm) {
    return vm.m_fenced && vm.m_open.empty() && !vm.HasUnacknowledgedEnds();
  }

  bool MaySend(const Call& call, const VmState& vm, const CellTime& now) const {
    if (Idle(vm) && vm.m_first_failed_call_ms == 0 &&
        now.m_steady_ms < call.m_sent_ms + m_idle_gap_ms) {
      return false;
    }
    if (m_open_polls.at(PollKind::kLong) >= m_max_long_polls &&
        !vm.m_open.empty() &&
        now.m_steady_ms < call.m_sent_ms + kOverLimitGapMs) {
      return false;
    }
    const bool unwritten = vm.m_last_end != vm.m_durable_end;
    return now.m_steady_ms >= call.m_next_ms &&
           (!unwritten ||
            now.m_steady_ms >= call.m_sent_ms + kGapWithUnwrittenEndsMs);
  }

  // The fence of calls to the VM, whatever incarnation they are meant for.
  std::int64_t FenceOf(const VmIncarnation& vm) const {
    return std::max(m_fence, m_core.RaisedFence(vm.m_id));
  }

  // True if calls to the VM have a higher fence now, or are about to: another
  // incarnation has answered since the poll was sent.
  bool IsOutdated(const SentPoll& sent) const {
    return sent.m_fence < FenceOf(sent.m_life) ||
           m_core.AwaitsHigherFence(sent.m_life.m_id);
  }

  void OnAnswer(const SentPoll& sent, std::uint64_t number,
                Result<VmReport> report) {
    const VmIncarnation& life = sent.m_life;
    const std::uint64_t acknowledged = sent.m_last_end;
    Call& call = m_calls[life];
    if (call.m_number != number) {
      return;
    }
    call.m_open = false;
    --m_open_polls[call.m_kind];
    const CellTime now = m_loop.Now();
    VmState* vm = m_core.State().FindVm(life);
    const bool refused =
        !report && report.error().Code() == ErrorCode::kStaleEpoch;
    if (IsOutdated(sent) && (report || refused)) {
      call.m_next_ms = 0;
    } else if (report && report->m_vm != life) {
      call.m_next_ms = now.m_steady_ms + kGapAfterFailureMs;
      Log(LogLevel::kWarning, LogCategory::kCell, "vm_other_incarnation",
          {{"vm", life.m_id},
           {"born", report->m_vm.m_born},
           {"asked_born", life.m_born},
           {"acknowledged", acknowledged},
           {"open_runs", vm == nullptr ? 0 : vm->m_open.size()}});
      m_core.OnOtherIncarnation(life, *report, now);
    } else if (report) {
      // The first poll cannot renew the lease as the VM's clock is unknown: the
      // next one is sent at once.
      const bool first = vm != nullptr && !vm->m_clock.Known();
      call.m_next_ms = first ? 0 : call.m_sent_ms + kGapMs;
      if (vm != nullptr && vm->m_first_failed_call_ms != 0) {
        Log(LogLevel::kInfo, LogCategory::kCell, "vm_regained",
            {{"vm", life.m_id},
             {"silent_ms", now.m_steady_ms - vm->m_first_failed_call_ms}});
      }
      const VmPace pace = vm == nullptr ? VmPace::kNormal : vm->m_pace;
      const bool was_fenced = vm == nullptr || vm->m_fenced;
      m_core.OnVmReport(*report, now);
      if (!was_fenced && vm->m_fenced) {
        Log(LogLevel::kInfo, LogCategory::kCell, "vm_fenced",
            {{"vm", life.m_id},
             {"born", life.m_born},
             {"fence", sent.m_fence},
             {"clock_ms", report->m_vm_ms},
             {"running", report->m_running.size()},
             {"ended", report->m_ended.size()},
             {"open_runs", vm->m_open.size()}});
      }
      if (vm != nullptr && vm->m_pace != pace) {
        Log(LogLevel::kInfo, LogCategory::kCell, "vm_pace",
            {{"vm", life.m_id},
             {"pace", ToString(vm->m_pace)},
             {"before", ToString(pace)},
             {"open_runs", vm->m_open.size()}});
      }
    } else if (refused) {
      m_handlers.m_on_superseded();
      return;
    } else {
      const bool leaving = vm != nullptr && !vm->m_listed && vm->m_open.empty();
      call.m_next_ms = now.m_steady_ms + (leaving ? kGapAfterFailureUnlistedMs
                                                  : kGapAfterFailureMs);
      if (vm != nullptr && vm->m_first_failed_call_ms == 0) {
        Log(LogLevel::kWarning, LogCategory::kCell, "vm_silent",
            {{"vm", life.m_id},
             {"born", life.m_born},
             {"acknowledged", acknowledged},
             {"reason", report.error().Reason()},
             {"open_runs", vm->m_open.size()}});
      }
      m_core.OnVmCallFailed(life, FailureOf(report.error()), now);
    }
    m_handlers.m_on_event();
  }

  Vms& m_vms;
  Loop& m_loop;
  CellCore& m_core;
  const std::int64_t m_fence;
  const Handlers m_handlers;
  const std::size_t m_max_long_polls;
  CallbackGuard m_guard;
  std::map<VmIncarnation, Call> m_calls;
  // Invariant: the number of open entries of m_calls, by kind.
  std::map<PollKind, std::size_t> m_open_polls = {{PollKind::kLong, 0},
                                                  {PollKind::kShort, 0},
                                                  {PollKind::kAfterFailure, 0}};
  // The VM at which the next round starts.
  VmIncarnation m_next_vm;
  std::int64_t m_idle_gap_ms = kIdleGapMs;
};

}  // namespace mustardslip
