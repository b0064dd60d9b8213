// Tokens that come back at a steady rate, up to a number that may be saved.
#pragma once

#include <algorithm>
#include <chrono>

#include "common/clock.h"

namespace mustardslip {

// Starts full.
class TokenBucket {
 public:
  TokenBucket(double per_second, double most)
      : m_per_second(per_second), m_most(most), m_tokens(most) {}

  // From the next call of Take on.
  void SetRate(double per_second, double most) {
    m_per_second = per_second;
    m_most = most;
  }

  void Add(double tokens) { m_tokens = std::min(m_most, m_tokens + tokens); }

  // Takes one token; false if there is none.
  bool Take(TimePoint now) {
    const std::chrono::duration<double> passed =
        std::max(now, m_filled) - m_filled;
    m_filled = std::max(now, m_filled);
    Add(passed.count() * m_per_second);
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  double m_per_second;
  double m_most;
  double m_tokens;
  TimePoint m_filled{};
};

}  // namespace mustardslip
