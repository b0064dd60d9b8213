// TimerLoop for tests: time advances only in Run().
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "cell/timer_loop.h"

namespace mustardslip {

class ManualLoop {
 public:
  CellTime Now() const { return {m_now_ms, kUnixStartMs + m_now_ms}; }

  void After(std::int64_t ms, std::function<void()> task) {
    m_tasks.emplace(m_now_ms + ms, std::move(task));
  }

  // Advances time by `ms` and runs all tasks due until then, in order.
  void Run(std::int64_t ms) {
    const std::int64_t end_ms = m_now_ms + ms;
    while (!m_tasks.empty() && m_tasks.begin()->first <= end_ms) {
      const auto next = m_tasks.begin();
      m_now_ms = next->first;
      const std::function<void()> task = std::move(next->second);
      m_tasks.erase(next);
      task();
    }
    m_now_ms = end_ms;
  }

 private:
  static constexpr std::int64_t kUnixStartMs = 1'800'000'000'000;

  std::int64_t m_now_ms = 1'000;
  std::multimap<std::int64_t, std::function<void()>> m_tasks;
};

static_assert(TimerLoop<ManualLoop>);

}  // namespace mustardslip
