// Deadlines that can be removed, with few timers of a loop whose timers cannot.
// A timer for each deadline would keep its memory until the deadline, although
// most requests end long before.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <utility>

#include "cell/timer_loop.h"
#include "common/callback_guard.h"

namespace mustardslip {

template <TimerLoop Loop>
class DeadlineQueue {
 public:
  // `on_due` is called with a number whose deadline is over; it may add and
  // remove deadlines.
  DeadlineQueue(Loop& loop, std::function<void(std::uint64_t)> on_due)
      : m_loop(loop), m_on_due(std::move(on_due)) {}

  DeadlineQueue(const DeadlineQueue&) = delete;
  DeadlineQueue& operator=(const DeadlineQueue&) = delete;

  // A number may have several deadlines at different times.
  void Add(std::int64_t at_ms, std::uint64_t number) {
    m_deadlines.emplace(at_ms, number);
    Arm();
  }
  void Remove(std::int64_t at_ms, std::uint64_t number) {
    m_deadlines.erase({at_ms, number});
  }

 private:
  // Timers are set for multiples of this, unless that is past: deadlines added
  // in descending order then share a timer.
  static constexpr std::int64_t kSpanMs = 16;

  void Arm() {
    if (m_deadlines.empty()) {
      return;
    }
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    const std::int64_t deadline_ms = m_deadlines.begin()->first;
    const std::int64_t coarse_ms = deadline_ms / kSpanMs * kSpanMs;
    const std::int64_t at_ms = coarse_ms > now_ms ? coarse_ms : deadline_ms;
    if (at_ms >= m_armed_ms) {
      return;
    }
    m_armed_ms = at_ms;
    m_loop.After(at_ms > now_ms ? at_ms - now_ms : 0,
                 m_guard.Wrap([this, at_ms] { OnTimer(at_ms); }));
  }

  void OnTimer(std::int64_t at_ms) {
    if (at_ms == m_armed_ms) {
      m_armed_ms = kNever;
    }
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now_ms) {
      const std::uint64_t number = m_deadlines.begin()->second;
      m_deadlines.erase(m_deadlines.begin());
      m_on_due(number);
    }
    Arm();
  }

  static constexpr std::int64_t kNever =
      std::numeric_limits<std::int64_t>::max();

  Loop& m_loop;
  const std::function<void(std::uint64_t)> m_on_due;
  CallbackGuard m_guard;
  std::set<std::pair<std::int64_t, std::uint64_t>> m_deadlines;
  // The earliest timer that is pending.
  std::int64_t m_armed_ms = kNever;
};

}  // namespace mustardslip
