// Adapts cxxtools' HTTP client to HttpCall and HttpResponse.
#include "transport/http_client.h"

#include <absl/strings/ascii.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fmt/core.h>

#include <cctype>
#include <charconv>
#include <exception>
#include <string_view>
#include <utility>

namespace mustardslip {
namespace {

// Idle connections beyond this number are closed.
constexpr std::size_t kMaxIdleConnections = 64;
constexpr int kConnectTimeoutMs = 1'000;
// The library has one exception type for all I/O errors; only the text tells
// that the request was never sent. A call to connect() beforehand would tell it
// too, but makes the library resend a request that fails.
constexpr std::string_view kConnectFailurePrefix =
    "while trying to connect to host";

HttpResponse ToResponse(const cxxtools::http::Reply& reply) {
  HttpResponse response;
  response.m_status = static_cast<int>(reply.httpReturnCode());
  for (auto field = reply.header().begin(); field != reply.header().end();
       ++field) {
    response.m_headers[absl::AsciiStrToLower(field->first)] = field->second;
  }
  response.m_body = reply.body();
  return response;
}

}  // namespace

// One connection. The library connects on first use.
class HttpClient::Link {
 public:
  explicit Link(const Endpoint& endpoint)
      : m_client(endpoint.m_host, endpoint.m_port) {}

  Result<HttpResponse> Send(const HttpCall& call) {
    cxxtools::http::Request request;
    request.url(call.m_target);
    request.method(call.m_method);
    for (const auto& [name, value] : call.m_headers) {
      request.setHeader(name.c_str(), value.c_str());
    }
    request.body() << call.m_body;
    const TimePoint start = SystemClock().Now();
    try {
      m_client.execute(request, cxxtools::Milliseconds(call.m_timeout.count()),
                       cxxtools::Milliseconds(kConnectTimeoutMs));
      m_client.readBody();
      return ToResponse(m_client.reply());
    } catch (const std::exception& error) {
      if (std::string_view(error.what()).starts_with(kConnectFailurePrefix)) {
        return Fail(ErrorCode::kUnavailable, "connection_failed", error.what());
      }
      // The library reads through a stream, which hides what kind of failure
      // ended the read; only the time tells a timeout from a lost connection.
      if (SystemClock().Now() - start >= call.m_timeout) {
        return Fail(ErrorCode::kTimeout, "request_timeout", error.what());
      }
      return Fail(ErrorCode::kUnknownOutcome, "connection_lost", error.what());
    }
  }

 private:
  cxxtools::http::Client m_client;
};

HttpClient::HttpClient(Endpoint endpoint) : m_endpoint(std::move(endpoint)) {}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::Send(const HttpCall& call) {
  const bool fresh = call.m_connection == Connection::kFresh;
  std::unique_ptr<Link> link = fresh ? nullptr : TakeIdle();
  if (link == nullptr) {
    link = std::make_unique<Link>(m_endpoint);
  }
  Result<HttpResponse> response = link->Send(call);
  // A connection that failed may still carry a late answer to this request.
  if (response && !fresh) {
    PutIdle(std::move(link));
  }
  return response;
}

std::unique_ptr<HttpClient::Link> HttpClient::TakeIdle() {
  const std::lock_guard lock(m_mutex);
  if (m_idle.empty()) {
    return nullptr;
  }
  std::unique_ptr<Link> link = std::move(m_idle.back());
  m_idle.pop_back();
  return link;
}

void HttpClient::PutIdle(std::unique_ptr<Link> link) {
  const std::lock_guard lock(m_mutex);
  if (m_idle.size() < kMaxIdleConnections) {
    m_idle.push_back(std::move(link));
  }
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_endpoint",
                fmt::format("\"{}\" is not host:port", text));
  }
  const std::string_view digits = std::string_view(text).substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_endpoint",
                fmt::format("\"{}\" has no valid port", text));
  }
  return Endpoint{text.substr(0, colon), port};
}

std::string ToString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.m_host, endpoint.m_port);
}

std::string EncodePercent(const std::string& text) {
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.' || character == '~') {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace mustardslip
