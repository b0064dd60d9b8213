// HTTP status codes that the system sends or interprets.
#pragma once

namespace mustardslip {

struct HttpStatus {
  static constexpr int kOk = 200;
  static constexpr int kBadRequest = 400;
  static constexpr int kUnauthorized = 401;
  static constexpr int kNotFound = 404;
  static constexpr int kMethodNotAllowed = 405;
  static constexpr int kConflict = 409;
  static constexpr int kGone = 410;
  static constexpr int kPreconditionFailed = 412;
  static constexpr int kContentTooLarge = 413;
  static constexpr int kMisdirectedRequest = 421;
  static constexpr int kUnprocessable = 422;
  static constexpr int kTooManyRequests = 429;
  static constexpr int kHeadersTooLarge = 431;
  static constexpr int kServerError = 500;
  static constexpr int kNotImplemented = 501;
  static constexpr int kServiceUnavailable = 503;
  static constexpr int kGatewayTimeout = 504;
};

}  // namespace mustardslip
