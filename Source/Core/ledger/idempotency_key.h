// Idempotency keys of callers: "<unix seconds of issue>.<opaque>".
#pragma once

#include <cstdint>
#include <string>

#include "common/result.h"

namespace mustardslip {

inline constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
// Retention of the records of non-idempotent requests.
inline constexpr std::int64_t kLedgerRetentionSeconds = 3600;
// Tolerance for callers whose clocks are ahead.
inline constexpr std::int64_t kMaxKeyFutureSeconds = 300;

enum class KeyAge { kValid, kTooOld, kFromFuture };

// Returns the time of issue in Unix seconds. Errors: kInvalidArgument with
// reason "malformed_key".
Result<std::int64_t> ParseIdempotencyKey(const std::string& key);
KeyAge CheckKeyAge(std::int64_t issued_unix_s, std::int64_t now_unix_s);

}  // namespace mustardslip
