// HTTP/1.1 client and server on a Reactor (libevent's evhttp).
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

struct EventHttpLimits {
  std::size_t m_header_bytes = 16'384;
  std::size_t m_body_bytes = 1U << 20U;
  std::int64_t m_idle_timeout_ms = 60'000;
};

class EventHttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  // `respond` may be called later, on the reactor, exactly once.
  using Handler = std::function<void(HttpRequest, Respond respond)>;

  // Throws std::runtime_error if the address cannot be bound.
  EventHttpServer(Reactor& reactor, const Endpoint& endpoint,
                  EventHttpLimits limits, Handler handler);
  ~EventHttpServer();

  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  // Answers carry "Connection: close" from now on.
  void CloseAfterAnswers();
  // Requests that were read and are not answered yet.
  std::size_t InFlight() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace mustardslip
