// Adds the time from its construction to its destruction to a total.
#pragma once

#include <chrono>

namespace mustardslip {

class ScopedTimer {
 public:
  using Duration = std::chrono::steady_clock::duration;

  // `total` outlives the timer.
  explicit ScopedTimer(Duration& total)
      : m_total(total), m_start(std::chrono::steady_clock::now()) {}
  ~ScopedTimer() { m_total += std::chrono::steady_clock::now() - m_start; }

  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

 private:
  Duration& m_total;
  const std::chrono::steady_clock::time_point m_start;
};

}  // namespace mustardslip
