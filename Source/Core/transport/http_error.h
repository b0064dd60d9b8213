// Errors as HTTP answers of the platform: a status, and JSON with `code`,
// `reason` and `message`.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/result.h"
#include "transport/http_message.h"

namespace mustardslip {

inline int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kNotOwner:
    case ErrorCode::kStaleEpoch:
      return 409;
    case ErrorCode::kResourceExhausted:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kTimeout:
      return 504;
    case ErrorCode::kUnknownOutcome:
    case ErrorCode::kInternal:
      break;
  }
  return 500;
}

// The code for an answer whose body does not name one.
inline ErrorCode ErrorCodeOf(int status) {
  switch (status) {
    case 400:
    case 411:
    case 413:
      return ErrorCode::kInvalidArgument;
    case 401:
      return ErrorCode::kUnauthenticated;
    case 403:
      return ErrorCode::kPermissionDenied;
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return ErrorCode::kConflict;
    case 429:
      return ErrorCode::kResourceExhausted;
    case 503:
      return ErrorCode::kUnavailable;
    case 504:
      return ErrorCode::kTimeout;
    default:
      return ErrorCode::kInternal;
  }
}

inline HttpResponse ErrorResponse(const Error& error) {
  const nlohmann::json body = {{"code", ToString(error.Code())},
                               {"reason", error.Reason()},
                               {"message", error.Message()}};
  return {HttpStatusOf(error.Code()), {}, body.dump()};
}

// The error that an answer other than 200 stands for. 503 means that nothing
// was done, whatever the body says, since a load balancer or an overloaded
// server gives it without a body.
inline Error ErrorFromResponse(const HttpResponse& response) {
  const ErrorCode fallback = ErrorCodeOf(response.m_status);
  const std::string status = "http_" + std::to_string(response.m_status);
  const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("code") ||
      !body["code"].is_string()) {
    return Error(fallback, status);
  }
  const ErrorCode code =
      fallback == ErrorCode::kUnavailable
          ? fallback
          : ErrorCodeFromString(body["code"].get<std::string>());
  const auto text = [&](const char* name) {
    return body.contains(name) && body[name].is_string()
               ? body[name].get<std::string>()
               : std::string();
  };
  return Error(code, text("reason"), text("message"));
}

}  // namespace mustardslip
