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

#include "common/scoped_timer.h"

namespace mustardslip {

enum class WorkKind : std::uint8_t {
  kSchedule,  // Scheduling passes.
  kWrite,     // Encoding batches and snapshots.
};
inline constexpr std::size_t kWorkKinds = 2;

class WorkMeter {
 public:
  // The total of the time spent on `kind`, for a ScopedTimer.
  ScopedTimer::Duration& Spent(WorkKind kind) {
    return m_spent.at(static_cast<std::size_t>(kind));
  }
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
  std::array<ScopedTimer::Duration, kWorkKinds> m_spent = {};
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
