// Turns a caller's JSON into a JobSpec and a JobStatus into JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "common/result.h"
#include "jobs/messages.h"

namespace mustardslip {

// Bounds on what a caller may ask for.
inline constexpr int kMaxTasksPerJob = 10'000;
inline constexpr int kMaxSlotsPerTask = 1'000;
inline constexpr std::int64_t kMaxProcessors = 100'000;
inline constexpr std::int64_t kMaxMemoryMb = 100'000'000;
inline constexpr std::int64_t kMaxAccelerators = 10'000;
inline constexpr std::int64_t kMaxRunTimeMs = 366LL * 24 * 3600 * 1000;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxPayloadBytes = 1'000'000;

// Parses a submission. `m_team` stays empty; the gateway sets it. Errors:
// kInvalidArgument with a reason such as "unknown_field" and a message that
// names the field and the remedy.
Result<JobSpec> ParseJobSpec(std::string_view text);

nlohmann::json ToCallerJson(const JobStatus& status);

// HTTP status codes for outcomes: 200 for an end that is known, 202 while the
// job waits or runs, 504 for an unknown outcome; for "not run" by its reason.
int HttpStatusOf(Outcome outcome, std::string_view reason);

}  // namespace mustardslip
