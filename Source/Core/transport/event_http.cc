// The client: evhttp behind the interface of event_http.h.
#include "transport/event_http.h"

#include <absl/strings/ascii.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/core.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <set>

#include "common/callback_guard.h"
#include "transport/socket_util.h"

namespace mustardslip {
namespace {

// Idle connections kept for each peer. More calls at once open more
// connections, which are closed when they are done.
constexpr std::size_t kIdleConnectionsKept = 16;

// How long an idle connection is kept.
constexpr Milliseconds kIdleLimit{300'000};

evhttp_cmd_type MethodOf(const std::string& method) {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

// ": " and the end of the line.
constexpr std::size_t kHeaderLineBytes = 4;

std::size_t HeaderBytes(const evkeyvalq& headers) {
  std::size_t bytes = 0;
  for (const evkeyval* one = headers.tqh_first; one != nullptr;
       one = one->next.tqe_next) {
    bytes += std::strlen(one->key) + std::strlen(one->value) + kHeaderLineBytes;
  }
  return bytes;
}

std::string TakeBody(evbuffer* buffer) {
  const std::size_t size = buffer == nullptr ? 0 : evbuffer_get_length(buffer);
  std::string body(size, '\0');
  if (size > 0) {
    evbuffer_remove(buffer, body.data(), size);
  }
  return body;
}

}  // namespace

class EventHttpClient::Implementation {
 public:
  Implementation(Reactor& reactor, EventHttpClientLimits limits)
      : m_reactor(reactor), m_limits(limits) {}

  ~Implementation() {
    for (evhttp_connection* connection : m_all) {
      evhttp_connection_free(connection);
    }
  }

  void Call(const Endpoint& peer, HttpCall call, Done done) {
    if (m_waiting.empty() && MakeRoomFor(peer)) {
      Send(peer, call, std::move(done));
      return;
    }
    const std::int64_t limit_ms =
        m_reactor.Now().m_steady_ms + call.m_timeout.count();
    m_waiting.push_back({peer, std::move(call), std::move(done), limit_ms});
  }

  void Send(const Endpoint& peer, const HttpCall& call, Done done) {
    evhttp_connection* connection = Take(peer);
    auto exchange = std::make_unique<Exchange>();
    exchange->m_client = this;
    exchange->m_peer = peer;
    exchange->m_connection = connection;
    exchange->m_done = std::move(done);
    exchange->m_purpose = call.m_purpose;
    evhttp_request* request =
        evhttp_request_new(&Implementation::OnDone, exchange.get());
    evhttp_request_set_error_cb(request, &Implementation::OnError);
    Fill(request, peer, call);
    m_reactor.Traffic().OnSent(
        call.m_purpose,
        call.m_target.size() + call.m_body.size() +
            HeaderBytes(*evhttp_request_get_output_headers(request)));
    const timeval limit = ToTimeval(call.m_timeout);
    evhttp_connection_set_timeout_tv(connection, &limit);
    Exchange* raw = exchange.release();
    if (evhttp_make_request(connection, request, MethodOf(call.m_method),
                            call.m_target.c_str()) != 0) {
      // evhttp freed the request without a callback.
      Finish(raw, Fail(ErrorCode::kUnavailable, "connection_failed"), false);
      return;
    }
  }

  void Forget(const Endpoint& peer) {
    const auto idle = m_idle.find(peer);
    if (idle == m_idle.end()) {
      return;
    }
    for (evhttp_connection* connection : idle->second) {
      Close(connection);
    }
    m_idle_count -= idle->second.size();
    m_idle.erase(idle);
  }

  std::uint64_t Opened() const { return m_opened; }
  std::size_t Open() const { return m_all.size(); }

 private:
  using IdleConnections = std::map<Endpoint, std::vector<evhttp_connection*>>;

  // A call that waits for a connection.
  struct Waiting {
    Endpoint m_peer;
    HttpCall m_call;
    Done m_done;
    std::int64_t m_limit_ms = 0;
  };

  struct Exchange {
    Implementation* m_client = nullptr;
    Endpoint m_peer;
    evhttp_connection* m_connection = nullptr;
    Done m_done;
    TrafficPurpose m_purpose = TrafficPurpose::kOther;
  };

  static void Fill(evhttp_request* request, const Endpoint& peer,
                   const HttpCall& call) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    bool has_host = false;
    for (const auto& [name, value] : call.m_headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
      has_host = has_host || name == "host";
    }
    if (!has_host) {
      evhttp_add_header(headers, "Host",
                        fmt::format("{}:{}", peer.m_host, peer.m_port).c_str());
    }
    if (!call.m_body.empty()) {
      evhttp_add_header(headers, "Content-Type", "application/json");
      evbuffer_add(evhttp_request_get_output_buffer(request),
                   call.m_body.data(), call.m_body.size());
    }
  }

  // True if a call to the peer needs no connection beyond the limit. Closes an
  // idle one to another peer for that.
  bool MakeRoomFor(const Endpoint& peer) {
    if (m_all.size() < m_limits.m_most_open || m_idle.count(peer) != 0) {
      return true;
    }
    if (m_idle.empty()) {
      return false;
    }
    Close(TakeIdle(m_idle.begin()));
    return true;
  }

  void SendWaiting() {
    while (!m_waiting.empty()) {
      const bool late =
          m_reactor.Now().m_steady_ms >= m_waiting.front().m_limit_ms;
      if (!late && !MakeRoomFor(m_waiting.front().m_peer)) {
        return;
      }
      const Waiting next = std::move(m_waiting.front());
      m_waiting.pop_front();
      if (late) {
        next.m_done(Fail(ErrorCode::kUnavailable, "connection_limit"));
      } else {
        Send(next.m_peer, next.m_call, next.m_done);
      }
    }
  }

  evhttp_connection* TakeIdle(IdleConnections::iterator peer) {
    evhttp_connection* connection = peer->second.back();
    peer->second.pop_back();
    --m_idle_count;
    if (peer->second.empty()) {
      m_idle.erase(peer);
    }
    return connection;
  }

  void Close(evhttp_connection* connection) {
    m_all.erase(connection);
    evhttp_connection_free(connection);
  }

  evhttp_connection* Take(const Endpoint& peer) {
    if (const auto idle = m_idle.find(peer); idle != m_idle.end()) {
      return TakeIdle(idle);
    }
    evhttp_connection* connection = evhttp_connection_base_new(
        m_reactor.Base(), nullptr, peer.m_host.c_str(), peer.m_port);
    Invariant(connection != nullptr, "evhttp gave no connection");
    m_all.insert(connection);
    ++m_opened;
    return connection;
  }

  static void OnError(evhttp_request_error, void*) {
    // OnDone follows, with no request.
  }

  static void OnDone(evhttp_request* request, void* context) {
    auto* exchange = static_cast<Exchange*>(context);
    Implementation* client = exchange->m_client;
    if (request == nullptr) {
      client->Finish(exchange, Fail(ErrorCode::kUnknownOutcome, "no_answer"),
                     false);
      return;
    }
    const int status = evhttp_request_get_response_code(request);
    if (status == 0) {
      // evhttp passes a request without a status only if it was refused.
      client->Finish(
          exchange,
          Fail(ErrorCode::kUnavailable, std::string(kConnectionRefused)),
          false);
      return;
    }
    HttpResponse answer;
    answer.m_status = status;
    answer.m_body = TakeBody(evhttp_request_get_input_buffer(request));
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    client->m_reactor.Traffic().OnReceived(
        exchange->m_purpose, answer.m_body.size() + HeaderBytes(*headers));
    const char* connection = evhttp_find_header(headers, "Connection");
    const bool keep =
        connection == nullptr || absl::AsciiStrToLower(connection) != "close";
    client->Finish(exchange, std::move(answer), keep);
  }

  // The connection is inside its callback: it is put back or freed later.
  void Finish(Exchange* raw, Result<HttpResponse> result, bool keep) {
    auto exchange = std::shared_ptr<Exchange>(raw);
    m_reactor.After(0, m_guard.Wrap([this, exchange, keep,
                                     result = std::move(result)]() mutable {
      Release(exchange->m_peer, exchange->m_connection, keep);
      if (!result) {
        // Connections may go silent together; new ones show it.
        Forget(exchange->m_peer);
      }
      SendWaiting();
      const ScopedTimer timer(
          m_reactor.Traffic().Handling(exchange->m_purpose));
      exchange->m_done(std::move(result));
    }));
  }

  void Release(const Endpoint& peer, evhttp_connection* connection, bool keep) {
    const auto idle = m_idle.find(peer);
    const std::size_t kept = idle == m_idle.end() ? 0 : idle->second.size();
    if (!keep || kept >= kIdleConnectionsKept ||
        m_idle_count >= m_limits.m_most_idle) {
      Close(connection);
      return;
    }
    // Otherwise the limit of the last call closes the idle connection.
    const timeval limit = ToTimeval(kIdleLimit);
    evhttp_connection_set_timeout_tv(connection, &limit);
    m_idle[peer].push_back(connection);
    ++m_idle_count;
  }

  Reactor& m_reactor;
  CallbackGuard m_guard;
  const EventHttpClientLimits m_limits;
  std::deque<Waiting> m_waiting;
  // Connections in m_idle, over all peers.
  std::size_t m_idle_count = 0;
  // Invariant: no peer without an idle connection is in it.
  IdleConnections m_idle;
  std::set<evhttp_connection*> m_all;
  std::uint64_t m_opened = 0;
};

EventHttpClient::EventHttpClient(Reactor& reactor, EventHttpClientLimits limits)
    : m_implementation(std::make_unique<Implementation>(reactor, limits)) {}
EventHttpClient::~EventHttpClient() = default;

void EventHttpClient::Call(const Endpoint& peer, HttpCall call, Done done) {
  m_implementation->Call(peer, std::move(call), std::move(done));
}

void EventHttpClient::Forget(const Endpoint& peer) {
  m_implementation->Forget(peer);
}

std::uint64_t EventHttpClient::Opened() const {
  return m_implementation->Opened();
}

std::size_t EventHttpClient::Open() const { return m_implementation->Open(); }

}  // namespace mustardslip
