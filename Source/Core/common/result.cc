// Names of error codes and the invariant check.
#include "common/result.h"

#include <fmt/core.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace mustardslip {
namespace {

struct NamedCode {
  ErrorCode m_code;
  std::string_view m_name;
};

constexpr std::array<NamedCode, 12> kNames = {{
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kUnauthenticated, "unauthenticated"},
    {ErrorCode::kPermissionDenied, "permission_denied"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kNotOwner, "not_owner"},
    {ErrorCode::kStaleEpoch, "stale_epoch"},
    {ErrorCode::kResourceExhausted, "resource_exhausted"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kUnknownOutcome, "unknown_outcome"},
    {ErrorCode::kInternal, "internal"},
}};

}  // namespace

std::string_view ToString(ErrorCode code) {
  for (const NamedCode& entry : kNames) {
    if (entry.m_code == code) {
      return entry.m_name;
    }
  }
  return "internal";
}

ErrorCode ErrorCodeFromString(std::string_view text) {
  for (const NamedCode& entry : kNames) {
    if (entry.m_name == text) {
      return entry.m_code;
    }
  }
  return ErrorCode::kInternal;
}

void Invariant(bool holds, std::string_view what) {
  if (holds) {
    return;
  }
  fmt::print(stderr,
             "{{\"level\":\"fatal\",\"event\":\"invariant_broken\","
             "\"what\":\"{}\"}}\n",
             what);
  std::abort();
}

}  // namespace mustardslip
