// Adds up the time that an owner spends on the work that no received message
// causes, so that a late decision can be explained. TrafficMeter has the rest.
#pragma once

#include <fmt/core.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardslip {

enum class WorkKind : std::uint8_t {
  kSchedule,  // Scheduling passes.
  kWrite,     // Encoding batches and snapshots.
};
inline constexpr std::size_t kWorkKinds = 2;

class WorkMeter {
 public:
  // Counts the time until it is destroyed as `kind`.
  class Span {
   public:
    Span(WorkMeter& meter, WorkKind kind)
        : m_meter(meter), m_kind(kind), m_start(Clock::now()) {}
    ~Span() {
      m_meter.m_spent.at(static_cast<std::size_t>(m_kind)) +=
          Clock::now() - m_start;
    }

    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

   private:
    WorkMeter& m_meter;
    const WorkKind m_kind;
    const std::chrono::steady_clock::time_point m_start;
  };

  std::int64_t SpentMs(WorkKind kind) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               m_spent.at(static_cast<std::size_t>(kind)))
        .count();
  }

  // A stable name, for logs and metrics.
  static std::string_view Name(WorkKind kind) {
    constexpr std::array<std::string_view, kWorkKinds> kNames = {"schedule",
                                                                 "write"};
    return kNames.at(static_cast<std::size_t>(kind));
  }

 private:
  using Clock = std::chrono::steady_clock;

  std::array<Clock::duration, kWorkKinds> m_spent = {};
};

// The work since `earlier`, as "kind=milliseconds".
inline std::string Describe(const WorkMeter& now, const WorkMeter& earlier) {
  std::string text;
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const auto kind = static_cast<WorkKind>(i);
    text += fmt::format("{}{}={}", i == 0 ? "" : " ", WorkMeter::Name(kind),
                        now.SpentMs(kind) - earlier.SpentMs(kind));
  }
  return text;
}

}  // namespace mustardslip
