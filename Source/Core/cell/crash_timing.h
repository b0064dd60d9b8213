// Times that tell the suspects of a VM's crash from what else ran there.
#pragma once

#include <cstdint>

namespace mustardslip {

// A run is a suspect if it was started at most this long before its VM fell
// silent: the way there, a crash at once, and the poll that notices it.
inline constexpr std::int64_t kCrashWindowMs = 250;
// Nothing else starts on a VM for this long before and after the start of a
// task under which a VM crashed: longer than the window, so that a further
// crash has one suspect.
inline constexpr std::int64_t kQuietAroundSuspectMs = 300;
static_assert(kQuietAroundSuspectMs > kCrashWindowMs);

}  // namespace mustardslip
