// HTTP/1.1 client (libevent's evhttp) and server on a Reactor.
//
// Nothing blocks and nothing is sent twice: a call that fails is reported, and
// the caller decides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/result.h"
#include "transport/client_budget.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/reactor.h"

namespace mustardslip {

// Over all peers, in connections. Each takes a descriptor of the process.
struct EventHttpClientLimits {
  std::size_t m_most_idle = 1'000;
  // Calls beyond this wait for a connection, in order.
  std::size_t m_most_open = 3'000;
};

class EventHttpClient {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

  explicit EventHttpClient(Reactor& reactor, EventHttpClientLimits limits = {});
  ~EventHttpClient();

  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  // `done` runs on the reactor, never from within Call. Errors: kUnavailable if
  // no connection could be made (nothing was sent), also if the call's timeout
  // passed while it waited for one, else kUnknownOutcome.
  // Connections are kept and used again, one call at a time on each; a call is
  // never sent again by itself, whatever its m_connection says.
  void Call(const Endpoint& peer, HttpCall call, Done done);

  // Closes the idle connections to a peer that is gone.
  void Forget(const Endpoint& peer);

  // Connections opened so far.
  std::uint64_t Opened() const;
  // Connections that are open now, idle ones included.
  std::size_t Open() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

// What one connection may send, and how long it may take.
struct EventHttpLimits {
  std::size_t m_header_bytes = 16'384;
  std::size_t m_body_bytes = 1U << 20U;
  // From the first byte of a request to the end of its headers.
  std::int64_t m_header_timeout_ms = 10'000;
  // Without a byte in either direction, unless a request is being handled.
  std::int64_t m_idle_timeout_ms = 60'000;

  bool operator==(const EventHttpLimits&) const = default;
};

// Reads one request of a connection at a time: no byte of the next one is read
// until the answer has left. So a connection holds at most one request and its
// answer. A request over a limit, or one whose end is not certain, is answered
// (400, 413, 431, 501) and its connection closed without reading more.
class EventHttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  // `respond` may be called later, on the reactor, exactly once.
  using Handler = std::function<void(HttpRequest, Respond respond)>;

  // Throws std::runtime_error if the address cannot be bound. `budget` is
  // shared by the servers of a process and outlives them; without one, only the
  // limits of each connection apply.
  EventHttpServer(Reactor& reactor, const Endpoint& endpoint,
                  EventHttpLimits limits, Handler handler,
                  ClientBudget* budget = nullptr);
  ~EventHttpServer();

  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  // Sets the limits of the requests that begin from now on.
  void SetLimits(const EventHttpLimits& limits);
  // Answers carry "Connection: close" from now on.
  void CloseAfterAnswers();
  // Requests that were read and are not answered yet.
  std::size_t InFlight() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace mustardslip
