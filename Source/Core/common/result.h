// Outcomes as values: the error type that every slice returns.
//
// Only a broken invariant ends the process (see Invariant()); everything that a
// caller, the network or the platform can cause is an Error.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace mustardslip {

enum class ErrorCode {
  kInvalidArgument,    // The input is wrong; a retry cannot succeed.
  kUnauthenticated,    // No key, or a key that is not in force.
  kPermissionDenied,   // The key is valid but not for this team or queue.
  kNotFound,           // The named object does not exist.
  kConflict,           // A compare-and-swap lost, or an id is already taken.
  kNotOwner,           // The receiver does not own the shard.
  kStaleEpoch,         // The sender was superseded by a higher epoch.
  kResourceExhausted,  // A bound (queue, limit, ledger) is reached.
  kUnavailable,        // Not delivered; there was no effect.
  kTimeout,            // No answer within the deadline; the effect is unknown.
  kUnknownOutcome,     // Delivery or effect is unknown.
  kInternal,           // The peer failed while it handled the request.
};

std::string_view ToString(ErrorCode code);
ErrorCode ErrorCodeFromString(std::string_view text);

// An immutable error: a code for decisions, a stable reason for machines and a
// message for people.
class Error {
 public:
  Error(ErrorCode code, std::string reason, std::string message = "")
      : m_code(code),
        m_reason(std::move(reason)),
        m_message(std::move(message)) {}

  ErrorCode Code() const { return m_code; }
  const std::string& Reason() const { return m_reason; }
  const std::string& Message() const { return m_message; }

  // True if the failed operation certainly had no effect at its receiver.
  bool HadNoEffect() const {
    return m_code != ErrorCode::kTimeout &&
           m_code != ErrorCode::kUnknownOutcome &&
           m_code != ErrorCode::kInternal;
  }

  bool operator==(const Error&) const = default;

 private:
  ErrorCode m_code;
  std::string m_reason;
  std::string m_message;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ErrorCode code, std::string reason,
                                  std::string message = "") {
  return tl::unexpected<Error>(
      Error(code, std::move(reason), std::move(message)));
}

// Stops the process if an invariant of the program is broken.
void Invariant(bool holds, std::string_view what);

}  // namespace mustardslip
