// Time: the clock concept, the system's clock and a manual clock for tests.
#pragma once

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>

namespace mustardslip {

using Milliseconds = std::chrono::milliseconds;
// Monotonic time; never compared between machines.
using TimePoint = std::chrono::steady_clock::time_point;

template <typename T>
concept Clock = requires(const T clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
  { clock.UnixMillis() } -> std::same_as<std::int64_t>;
};

class SystemClock {
 public:
  TimePoint Now() const { return std::chrono::steady_clock::now(); }

  // Wall clock in milliseconds since the Unix epoch.
  std::int64_t UnixMillis() const {
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

// A clock that moves only when told to. Thread-safe.
class ManualClock {
 public:
  ManualClock() = default;
  ManualClock(const ManualClock& other)
      : m_elapsed_ms(other.m_elapsed_ms.load()) {}
  ManualClock& operator=(const ManualClock& other) {
    m_elapsed_ms = other.m_elapsed_ms.load();
    return *this;
  }

  TimePoint Now() const { return TimePoint(Milliseconds(m_elapsed_ms)); }
  std::int64_t UnixMillis() const { return kStartUnixMillis + m_elapsed_ms; }

  void Advance(Milliseconds step) { m_elapsed_ms += step.count(); }

 private:
  static constexpr std::int64_t kStartUnixMillis = 1'800'000'000'000;

  std::atomic<std::int64_t> m_elapsed_ms = 0;
};

static_assert(Clock<SystemClock>);
static_assert(Clock<ManualClock>);

}  // namespace mustardslip
