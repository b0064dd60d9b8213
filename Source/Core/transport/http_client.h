// The HTTP/1.1 client for the store, the VM list and the workers (cxxtools).
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/result.h"
#include "transport/http_message.h"
#include "transport/traffic_meter.h"

namespace mustardslip {

// An IP address and a port.
struct Endpoint {
  std::string m_host;
  std::uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Reason of kUnavailable if nobody listens at the peer's address.
inline constexpr std::string_view kConnectionRefused = "connection_refused";

// Parses `host:port`. Errors: kInvalidArgument.
Result<Endpoint> ParseEndpoint(const std::string& text);
std::string ToString(const Endpoint& endpoint);

// The library sends a request again by itself when a kept connection turns out
// to be closed. A request that must not be delivered twice uses kFresh.
enum class Connection { kReuse, kFresh };

struct HttpCall {
  std::string m_method = "GET";
  std::string m_target;  // Path and query, already encoded.
  HttpFields m_headers;
  std::string m_body;
  Milliseconds m_timeout{1'000};
  Connection m_connection = Connection::kReuse;
  TrafficPurpose m_purpose = TrafficPurpose::kOther;
};

// Blocking and thread-safe; keeps idle connections for later calls.
class HttpClient {
 public:
  explicit HttpClient(Endpoint endpoint);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Errors: kUnavailable if no connection could be made (no effect), kTimeout
  // or kUnknownOutcome if the request may have been delivered. Each HTTP status
  // is a result.
  Result<HttpResponse> Send(const HttpCall& call);

  const Endpoint& Target() const { return m_endpoint; }

 private:
  class Link;
  std::unique_ptr<Link> TakeIdle();
  void PutIdle(std::unique_ptr<Link> link);

  const Endpoint m_endpoint;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Link>> m_idle;  // Guarded by m_mutex.
};

// Encodes text for one segment of a path or one query value.
std::string EncodePercent(const std::string& text);

}  // namespace mustardslip
