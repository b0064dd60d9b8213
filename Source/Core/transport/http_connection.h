// One accepted connection of EventHttpServer.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/client_budget.h"
#include "transport/event_http.h"
#include "transport/http_request_reader.h"

struct bufferevent;

namespace mustardslip {

class HttpConnection final
    : public ClientBudget::Connection,
      public std::enable_shared_from_this<HttpConnection> {
 public:
  struct Handlers {
    // A request was read; Answer is called once, then or later.
    std::function<void(HttpConnection&, HttpRequest)> m_on_request;
    // The connection is closed; the last call.
    std::function<void(HttpConnection&)> m_on_closed;
  };

  // Takes the socket. Start is called next.
  HttpConnection(Reactor& reactor, int socket, std::string address,
                 const EventHttpLimits& limits, ClientBudget& budget,
                 Handlers handlers);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // May close the connection, as the rest of the functions may.
  void Start();
  // Without effect once the connection is closed.
  void Answer(const HttpResponse& response, bool close);
  void SetLimits(const EventHttpLimits& limits);
  // Closes the connection if its time is over. `late_ms`: how long the process
  // did not look at its sockets, which is not the client's fault.
  void CheckTime(std::int64_t now_ms, std::int64_t late_ms);
  void CloseForLimit(ClientLimit limit) override;
  void Close();

 private:
  enum class Phase : std::uint8_t {
    kReading,
    kHandling,  // Nothing is read until the answer has left.
    kAnswering,
    kLingering,  // The last answer has left; the socket closes a little later.
    kClosed,
  };

  static void OnRead(bufferevent* stream, void* context);
  static void OnWrite(bufferevent* stream, void* context);
  static void OnEvent(bufferevent* stream, short events,  // NOLINT
                      void* context);

  void Read();
  void Dispatch();
  void Refuse();
  void OnAnswerSent();
  void Send(const HttpResponse& response, bool close);
  void Charge();
  std::int64_t Now() const { return m_reactor.Now().m_steady_ms; }

  Reactor& m_reactor;
  const std::string m_address;
  EventHttpLimits m_limits;
  ClientBudget& m_budget;
  const Handlers m_handlers;
  // Null once closed.
  bufferevent* m_stream = nullptr;
  // Null before Start and once closed.
  ClientBudget::Account* m_account = nullptr;
  HttpRequestReader m_reader;
  Phase m_phase = Phase::kReading;
  // Bytes of the request that is being handled.
  std::size_t m_handling_bytes = 0;
  bool m_keep_alive = true;
  bool m_is_http_1_0 = false;
  bool m_continue_sent = false;
  bool m_refused = false;
  bool m_close_after_answer = false;
  // Bytes of the answer that had not left at the last check.
  std::size_t m_unsent_bytes = 0;
  // When the connection was last used, and when the head of the request that is
  // being read began; times of the steady clock.
  std::int64_t m_used_ms = 0;
  std::int64_t m_head_started_ms = 0;
};

}  // namespace mustardslip
