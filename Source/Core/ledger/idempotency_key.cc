// Parses idempotency keys and checks their age.
#include "ledger/idempotency_key.h"

#include <charconv>

namespace mustardslip {

Result<std::int64_t> ParseIdempotencyKey(const std::string& key) {
  const std::size_t dot = key.find('.');
  std::int64_t issued = 0;
  if (key.size() > kMaxIdempotencyKeyBytes || dot == std::string::npos ||
      dot + 1 == key.size()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_key");
  }
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + dot, issued);
  if (error != std::errc() || end != key.data() + dot || issued < 0) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_key");
  }
  return issued;
}

KeyAge CheckKeyAge(std::int64_t issued_unix_s, std::int64_t now_unix_s) {
  if (issued_unix_s < now_unix_s - kLedgerRetentionSeconds) {
    return KeyAge::kTooOld;
  }
  if (issued_unix_s > now_unix_s + kMaxKeyFutureSeconds) {
    return KeyAge::kFromFuture;
  }
  return KeyAge::kValid;
}

}  // namespace mustardslip
