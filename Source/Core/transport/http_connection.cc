// Reading, answering and time limits of one connection.
#include "transport/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "transport/http_status.h"

namespace mustardslip {
namespace {

// What is read at once, and at most kept of the bytes behind a request.
constexpr std::size_t kReadBytes = 16'384;

// A refused client that still sends would lose the answer if its socket were
// closed at once: unread bytes reset the connection.
constexpr std::int64_t kLingerMs = 500;

const char* ReasonPhrase(int status) {
  switch (status) {
    case HttpStatus::kOk:
      return "OK";
    case HttpStatus::kBadRequest:
      return "Bad Request";
    case HttpStatus::kUnauthorized:
      return "Unauthorized";
    case HttpStatus::kNotFound:
      return "Not Found";
    case HttpStatus::kMethodNotAllowed:
      return "Method Not Allowed";
    case HttpStatus::kConflict:
      return "Conflict";
    case HttpStatus::kGone:
      return "Gone";
    case HttpStatus::kContentTooLarge:
      return "Content Too Large";
    case HttpStatus::kTooManyRequests:
      return "Too Many Requests";
    case HttpStatus::kHeadersTooLarge:
      return "Request Header Fields Too Large";
    case HttpStatus::kServerError:
      return "Internal Server Error";
    case HttpStatus::kNotImplemented:
      return "Not Implemented";
    case HttpStatus::kServiceUnavailable:
      return "Service Unavailable";
    case HttpStatus::kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string HttpDate(std::int64_t unix_ms) {
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::size_t kDateBytes = 32;
  const std::time_t seconds = unix_ms / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(kDateBytes, '\0');
  text.resize(
      strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts));
  return text;
}

ClientLimit LimitOf(int status) {
  switch (status) {
    case HttpStatus::kContentTooLarge:
      return ClientLimit::kBodyBytes;
    case HttpStatus::kHeadersTooLarge:
      return ClientLimit::kHeaderBytes;
    default:
      return ClientLimit::kMalformed;
  }
}

HttpReadLimits ReadLimits(const EventHttpLimits& limits) {
  return {limits.m_header_bytes, limits.m_body_bytes};
}

bool HasConnectionHeader(const HttpResponse& response) {
  return response.m_headers.count("Connection") != 0;
}

}  // namespace

HttpConnection::HttpConnection(Reactor& reactor, int socket,
                               std::string address,
                               const EventHttpLimits& limits,
                               ClientBudget& budget, Handlers handlers)
    : m_reactor(reactor),
      m_address(std::move(address)),
      m_limits(limits),
      m_budget(budget),
      m_handlers(std::move(handlers)),
      m_stream(bufferevent_socket_new(reactor.Base(), socket,
                                      BEV_OPT_CLOSE_ON_FREE)),
      m_reader(ReadLimits(limits)),
      m_used_ms(Now()) {
  Invariant(m_stream != nullptr, "libevent gave no bufferevent");
  bufferevent_setwatermark(m_stream, EV_READ, 0, kReadBytes);
  bufferevent_setcb(m_stream, &HttpConnection::OnRead, &HttpConnection::OnWrite,
                    &HttpConnection::OnEvent, this);
}

HttpConnection::~HttpConnection() {
  if (m_account != nullptr) {
    m_budget.Close(*m_account);
  }
  if (m_stream != nullptr) {
    bufferevent_free(m_stream);
  }
}

void HttpConnection::Start() {
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
  m_account = &m_budget.Open(*this, m_address);
}

void HttpConnection::SetLimits(const EventHttpLimits& limits) {
  m_limits = limits;
  m_reader.SetLimits(ReadLimits(limits));
}

void HttpConnection::OnRead(bufferevent*, void* context) {
  const auto self = static_cast<HttpConnection*>(context)->shared_from_this();
  self->Read();
}

void HttpConnection::OnWrite(bufferevent*, void* context) {
  const auto self = static_cast<HttpConnection*>(context)->shared_from_this();
  self->OnAnswerSent();
}

void HttpConnection::OnEvent(bufferevent*, short events,  // NOLINT
                             void* context) {
  const auto self = static_cast<HttpConnection*>(context)->shared_from_this();
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self->Close();
  }
}

void HttpConnection::Read() {
  m_used_ms = Now();
  while (m_phase == Phase::kReading) {
    evbuffer* in = bufferevent_get_input(m_stream);
    evbuffer_iovec piece{};
    if (evbuffer_peek(in, -1, nullptr, &piece, 1) <= 0 || piece.iov_len == 0) {
      break;
    }
    if (m_reader.GetState() == HttpRequestReader::State::kIdle) {
      m_head_started_ms = m_used_ms;
      m_continue_sent = false;
    }
    const std::size_t used = m_reader.Feed(
        {static_cast<const char*>(piece.iov_base), piece.iov_len});
    evbuffer_drain(in, used);
    switch (m_reader.GetState()) {
      case HttpRequestReader::State::kDone:
        Dispatch();
        break;
      case HttpRequestReader::State::kFailed:
        Refuse();
        break;
      case HttpRequestReader::State::kBody:
        if (m_reader.ExpectsContinue() && !m_continue_sent) {
          constexpr std::string_view kContinue =
              "HTTP/1.1 100 Continue\r\n\r\n";
          m_continue_sent = true;
          bufferevent_write(m_stream, kContinue.data(), kContinue.size());
        }
        break;
      default:
        break;
    }
  }
  Charge();
}

void HttpConnection::Dispatch() {
  m_phase = Phase::kHandling;
  m_keep_alive = m_reader.KeepAlive();
  m_is_http_1_0 = m_reader.IsHttp10();
  m_handling_bytes = m_reader.HeldBytes();
  bufferevent_disable(m_stream, EV_READ);
  HttpRequest request = m_reader.Take();
  m_budget.SetBusy(*m_account, true);
  Charge();
  if (m_phase == Phase::kHandling) {
    m_handlers.m_on_request(*this, std::move(request));
  }
}

// Answers with the reader's failure, and reads nothing more.
void HttpConnection::Refuse() {
  bufferevent_disable(m_stream, EV_READ);
  HttpResponse response;
  response.m_status = m_reader.FailureStatus();
  response.m_body =
      fmt::format(R"({{"error":"{}"}})", m_reader.FailureReason());
  m_reader.Reset();
  evbuffer* in = bufferevent_get_input(m_stream);
  evbuffer_drain(in, evbuffer_get_length(in));
  m_refused = true;
  m_budget.OnLimit(LimitOf(response.m_status), m_address);
  Send(response, true);
}

void HttpConnection::Answer(const HttpResponse& response, bool close) {
  if (m_phase != Phase::kHandling) {
    return;
  }
  m_handling_bytes = 0;
  m_budget.SetBusy(*m_account, false);
  Send(response, close || !m_keep_alive);
  Charge();
}

void HttpConnection::Send(const HttpResponse& response, bool close) {
  m_phase = Phase::kAnswering;
  m_used_ms = Now();
  const auto connection = response.m_headers.find("Connection");
  m_close_after_answer = close || (connection != response.m_headers.end() &&
                                   connection->second == "close");
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\nDate: {}\r\nContent-Length: {}\r\n",
                  response.m_status, ReasonPhrase(response.m_status),
                  HttpDate(m_reactor.Now().m_unix_ms), response.m_body.size());
  if (!response.m_body.empty() &&
      response.m_headers.count("content-type") == 0) {
    head += "Content-Type: application/json\r\n";
  }
  for (const auto& [name, value] : response.m_headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  if (!HasConnectionHeader(response)) {
    if (m_close_after_answer) {
      head += "Connection: close\r\n";
    } else if (m_is_http_1_0) {
      head += "Connection: keep-alive\r\n";
    }
  }
  head += "\r\n";
  m_reactor.Traffic().OnSent(TrafficPurpose::kCaller,
                             head.size() + response.m_body.size());
  evbuffer* out = bufferevent_get_output(m_stream);
  evbuffer_add(out, head.data(), head.size());
  evbuffer_add(out, response.m_body.data(), response.m_body.size());
  m_unsent_bytes = evbuffer_get_length(out);
}

void HttpConnection::OnAnswerSent() {
  if (m_phase != Phase::kAnswering) {
    return;
  }
  m_used_ms = Now();
  if (m_refused) {
    m_phase = Phase::kLingering;
    shutdown(bufferevent_getfd(m_stream), SHUT_WR);
    Charge();
    return;
  }
  if (m_close_after_answer) {
    Close();
    return;
  }
  m_phase = Phase::kReading;
  bufferevent_enable(m_stream, EV_READ);
  Read();
}

void HttpConnection::Charge() {
  if (m_account == nullptr) {
    return;
  }
  m_budget.Charge(*m_account,
                  m_handling_bytes + m_reader.HeldBytes() +
                      evbuffer_get_length(bufferevent_get_input(m_stream)) +
                      evbuffer_get_length(bufferevent_get_output(m_stream)));
}

void HttpConnection::CheckTime(std::int64_t now_ms, std::int64_t late_ms) {
  const auto self = shared_from_this();
  m_used_ms += late_ms;
  m_head_started_ms += late_ms;
  switch (m_phase) {
    case Phase::kReading:
      if (m_reader.GetState() == HttpRequestReader::State::kHead &&
          now_ms - m_head_started_ms >= m_limits.m_header_timeout_ms) {
        CloseForLimit(ClientLimit::kHeaderTimeout);
        return;
      }
      break;
    case Phase::kAnswering: {
      const std::size_t unsent =
          evbuffer_get_length(bufferevent_get_output(m_stream));
      if (unsent < m_unsent_bytes) {
        m_unsent_bytes = unsent;
        m_used_ms = now_ms;
        Charge();
      }
      break;
    }
    case Phase::kLingering:
      if (now_ms - m_used_ms >= kLingerMs) {
        Close();
      }
      return;
    default:
      return;
  }
  if (m_phase != Phase::kClosed &&
      now_ms - m_used_ms >= m_limits.m_idle_timeout_ms) {
    const bool between_requests =
        m_phase == Phase::kReading &&
        m_reader.GetState() == HttpRequestReader::State::kIdle;
    if (between_requests) {
      // A kept connection that is not needed any more; nothing to report.
      Close();
    } else {
      CloseForLimit(ClientLimit::kIdleTimeout);
    }
  }
}

void HttpConnection::CloseForLimit(ClientLimit limit) {
  // The budget reports its own limits.
  if (limit != ClientLimit::kMemory && limit != ClientLimit::kConnections) {
    m_budget.OnLimit(limit, m_address);
  }
  Close();
}

void HttpConnection::Close() {
  if (m_phase == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  m_phase = Phase::kClosed;
  bufferevent_free(std::exchange(m_stream, nullptr));
  m_reader.Reset();
  m_handling_bytes = 0;
  if (m_account != nullptr) {
    m_budget.Close(*std::exchange(m_account, nullptr));
  }
  m_handlers.m_on_closed(*this);
}

}  // namespace mustardslip
