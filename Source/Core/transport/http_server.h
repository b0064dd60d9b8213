// The HTTP/1.1 server for callers, operators and stand-ins (cxxtools).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/http_message.h"

namespace mustardslip {

struct HttpServerOptions {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // A thread stays with its connection while requests keep coming, so the
  // limit has to be well above the number of busy connections. Threads that
  // were started stay until the server stops.
  unsigned m_max_threads = 1024;
  std::size_t m_max_body_bytes = 1U << 20U;
  // Time for a client to send a request, in milliseconds.
  int m_read_timeout_ms = 10'000;
};

// A handler's response with this status closes the connection without an
// answer. Stand-ins use it to lose answers.
inline constexpr int kStatusNoAnswer = 0;

// Calls the handler for each request, from several threads at once. A request
// with a Transfer-Encoding header, with more than one or with a negative
// Content-Length, or with a body above the limit is refused and its connection
// closed, since the library does not read such a body and would take it for the
// next request.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Listens at once; throws std::exception if the address cannot be bound.
  HttpServer(const HttpServerOptions& options, Handler handler);
  // Finishes the requests in their handlers, then returns.
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // From now on each response closes its connection, so that clients that keep
  // theirs busy do not hold up the end of the server.
  void BeginDrain();

  // Requests inside the handler.
  std::size_t InFlight() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace mustardslip
