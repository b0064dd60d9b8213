// The time of a stand-in: the wall clock, or a clock that moves only when told
// to. Both can be advanced.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

#include "common/clock.h"

namespace mustardslip {

// Thread-safe.
class StandInClock {
 public:
  enum class Kind { kReal, kManual };

  explicit StandInClock(Kind kind) : m_kind(kind) {}

  std::int64_t UnixMillis() const {
    const std::int64_t base = m_kind == Kind::kReal
                                  ? SystemClock().UnixMillis()
                                  : ManualClock().UnixMillis();
    return base + m_advanced_ms;
  }

  void Advance(Milliseconds step) { m_advanced_ms += step.count(); }

  // Waits until `done()` or `unix_ms`; returns done(). The lock guards what
  // done() reads, and `wake` is notified when that changes.
  template <typename Predicate>
  bool WaitUntil(std::unique_lock<std::mutex>& lock,
                 std::condition_variable& wake, std::int64_t unix_ms,
                 Predicate done) const {
    while (!done()) {
      const std::int64_t left_ms = unix_ms - UnixMillis();
      if (left_ms <= 0) {
        return false;
      }
      wake.wait_for(lock, std::min(Milliseconds(left_ms), PollInterval()));
    }
    return true;
  }

 private:
  // A wait notices at this interval that the clock was advanced. Thousands of
  // waiting calls make a short interval costly with the wall clock.
  Milliseconds PollInterval() const {
    return Milliseconds(m_kind == Kind::kReal ? 1'000 : 1);
  }

  const Kind m_kind;
  std::atomic<std::int64_t> m_advanced_ms = 0;
};

}  // namespace mustardslip
