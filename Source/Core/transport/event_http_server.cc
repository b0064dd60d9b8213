// The server: accepts connections, and checks their times.
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/core.h>

#include <array>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/callback_guard.h"
#include "transport/event_http.h"
#include "transport/http_connection.h"
#include "transport/socket_util.h"

namespace mustardslip {
namespace {

constexpr int kBacklog = 512;

// How often the connections' times are checked, while there are any.
constexpr std::int64_t kCheckMs = 250;

// How long nothing is accepted after an error, which is a lack of descriptors:
// the connection that cannot be accepted would be reported again at once.
constexpr std::int64_t kAcceptPauseMs = 100;

// ": " and the end of the line.
constexpr std::size_t kHeaderLineBytes = 4;

std::string AddressText(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* bytes =
      address->sa_family == AF_INET6
          ? static_cast<const void*>(
                &reinterpret_cast<const sockaddr_in6*>(address)->sin6_addr)
          : &reinterpret_cast<const sockaddr_in*>(address)->sin_addr;
  const char* result =
      evutil_inet_ntop(address->sa_family, bytes, text.data(), text.size());
  return result == nullptr ? "unknown" : result;
}

std::size_t SizeOf(const HttpRequest& request) {
  std::size_t bytes = request.m_path.size() + request.m_body.size();
  for (const auto& [name, value] : request.m_headers) {
    bytes += name.size() + value.size() + kHeaderLineBytes;
  }
  return bytes;
}

}  // namespace

class EventHttpServer::Implementation {
 public:
  Implementation(Reactor& reactor, const Endpoint& endpoint,
                 const EventHttpLimits& limits, Handler handler,
                 ClientBudget* budget)
      : m_reactor(reactor),
        m_limits(limits),
        m_handler(std::move(handler)),
        m_own_budget(reactor, {}),
        m_budget(budget == nullptr ? m_own_budget : *budget),
        m_listener(Listen(endpoint)) {
    if (m_listener == nullptr) {
      throw std::runtime_error(fmt::format("cannot listen on {}:{}",
                                           endpoint.m_host, endpoint.m_port));
    }
    evconnlistener_set_error_cb(m_listener, &Implementation::OnAcceptError);
  }

  ~Implementation() { evconnlistener_free(m_listener); }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void SetLimits(const EventHttpLimits& limits) {
    m_limits = limits;
    for (const auto& [raw, connection] : m_connections) {
      connection->SetLimits(limits);
    }
  }
  void CloseAfterAnswers() { m_closing = true; }
  std::size_t InFlight() const { return m_in_flight; }

 private:
  evconnlistener* Listen(const Endpoint& endpoint) {
    evutil_addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = EVUTIL_AI_PASSIVE | EVUTIL_AI_ADDRCONFIG;
    evutil_addrinfo* found = nullptr;
    if (evutil_getaddrinfo(endpoint.m_host.c_str(),
                           std::to_string(endpoint.m_port).c_str(), &hints,
                           &found) != 0) {
      return nullptr;
    }
    evconnlistener* listener = evconnlistener_new_bind(
        m_reactor.Base(), &Implementation::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kBacklog, found->ai_addr, static_cast<int>(found->ai_addrlen));
    evutil_freeaddrinfo(found);
    return listener;
  }

  static void OnAccept(evconnlistener*, evutil_socket_t socket,
                       sockaddr* address, int, void* context) {
    static_cast<Implementation*>(context)->Accept(socket, AddressText(address));
  }

  static void OnAcceptError(evconnlistener* listener, void* context) {
    auto* self = static_cast<Implementation*>(context);
    evconnlistener_disable(listener);
    self->m_reactor.After(kAcceptPauseMs, self->m_guard.Wrap([listener] {
      evconnlistener_enable(listener);
    }));
  }

  void Accept(int socket, std::string address) {
    SendWithoutDelay(socket);
    HttpConnection::Handlers handlers;
    handlers.m_on_request = [this](HttpConnection& connection,
                                   HttpRequest request) {
      Handle(connection, std::move(request));
    };
    handlers.m_on_closed = [this](HttpConnection& connection) {
      m_connections.erase(&connection);
    };
    const auto connection = std::make_shared<HttpConnection>(
        m_reactor, socket, std::move(address), m_limits, m_budget,
        std::move(handlers));
    m_connections.emplace(connection.get(), connection);
    connection->Start();
    if (!m_checking) {
      m_checking = true;
      m_next_check_ms = m_reactor.Now().m_steady_ms + kCheckMs;
      m_reactor.After(kCheckMs, m_guard.Wrap([this] { CheckTimes(); }));
    }
  }

  void Handle(HttpConnection& connection, HttpRequest request) {
    m_reactor.Traffic().OnReceived(TrafficPurpose::kCaller, SizeOf(request));
    ++m_in_flight;
    const ScopedTimer timer(
        m_reactor.Traffic().Handling(TrafficPurpose::kCaller));
    m_handler(std::move(request),
              m_guard.Wrap([this, weak = connection.weak_from_this()](
                               const HttpResponse& response) {
                --m_in_flight;
                if (const auto open = weak.lock()) {
                  open->Answer(response, m_closing);
                }
              }));
  }

  void CheckTimes() {
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    // What arrived in a long pause is read only after this.
    const std::int64_t late_ms = now_ms - m_next_check_ms;
    std::vector<std::shared_ptr<HttpConnection>> connections;
    connections.reserve(m_connections.size());
    for (const auto& [raw, connection] : m_connections) {
      connections.push_back(connection);
    }
    for (const auto& connection : connections) {
      connection->CheckTime(now_ms, late_ms);
    }
    m_checking = !m_connections.empty();
    if (m_checking) {
      m_next_check_ms = now_ms + kCheckMs;
      m_reactor.After(kCheckMs, m_guard.Wrap([this] { CheckTimes(); }));
    }
  }

  Reactor& m_reactor;
  EventHttpLimits m_limits;
  Handler m_handler;
  CallbackGuard m_guard;
  ClientBudget m_own_budget;
  ClientBudget& m_budget;
  evconnlistener* m_listener = nullptr;
  // The connections that are open.
  std::unordered_map<HttpConnection*, std::shared_ptr<HttpConnection>>
      m_connections;
  bool m_closing = false;
  bool m_checking = false;
  std::int64_t m_next_check_ms = 0;
  std::size_t m_in_flight = 0;
};

EventHttpServer::EventHttpServer(Reactor& reactor, const Endpoint& endpoint,
                                 EventHttpLimits limits, Handler handler,
                                 ClientBudget* budget)
    : m_implementation(std::make_unique<Implementation>(
          reactor, endpoint, limits, std::move(handler), budget)) {}
EventHttpServer::~EventHttpServer() = default;

void EventHttpServer::SetLimits(const EventHttpLimits& limits) {
  m_implementation->SetLimits(limits);
}

void EventHttpServer::CloseAfterAnswers() {
  m_implementation->CloseAfterAnswers();
}

std::size_t EventHttpServer::InFlight() const {
  return m_implementation->InFlight();
}

}  // namespace mustardslip
