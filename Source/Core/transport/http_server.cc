// Adapts cxxtools' HTTP server to HttpRequest and HttpResponse.
#include "transport/http_server.h"

#include <absl/strings/ascii.h>
#include <cxxtools/connectable.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <strings.h>

#include <atomic>
#include <charconv>
#include <exception>
#include <istream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "common/logger.h"
#include "transport/listen_backlog.h"
#include "transport/socket_shutdown.h"

namespace mustardslip {
namespace {

namespace http = cxxtools::http;

constexpr int kKeepAliveTimeoutMs = 30'000;
// Connections that wait to be accepted; the kernel's usual upper limit.
constexpr int kListenBacklog = 4'096;

int HexDigit(char character) {
  if (character >= '0' && character <= '9') {
    return character - '0';
  }
  if (character >= 'a' && character <= 'f') {
    return character - 'a' + 10;
  }
  if (character >= 'A' && character <= 'F') {
    return character - 'A' + 10;
  }
  return -1;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded +=
          static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

HttpFields ParseQuery(std::string_view text) {
  HttpFields fields;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    fields[DecodePercent(pair.substr(0, equals))] = DecodePercent(value);
  }
  return fields;
}

std::string ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 503:
      return "Service Unavailable";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

void WriteReply(const HttpResponse& response, http::Reply& reply) {
  reply.httpReturn(static_cast<unsigned>(response.m_status),
                   ReasonPhrase(response.m_status));
  for (const auto& [name, value] : response.m_headers) {
    reply.setHeader(name.c_str(), value.c_str());
  }
  if (!response.m_headers.contains("content-type")) {
    reply.setHeader("Content-Type", "application/json");
  }
  reply.bodyStream() << response.m_body;
}

// What is wrong with the framing of a message; status 0 means nothing.
struct FramingProblem {
  int m_status = 0;
  const char* m_reason = "";
};

FramingProblem CheckFraming(const http::Request& request,
                            std::size_t max_body_bytes) {
  int lengths = 0;
  for (auto field = request.header().begin(); field != request.header().end();
       ++field) {
    const char* name = field->first;
    if (strcasecmp(name, "Transfer-Encoding") == 0) {
      return {411, "transfer_encoding_not_supported"};
    }
    if (strcasecmp(name, "Content-Length") != 0) {
      continue;
    }
    ++lengths;
    const std::string_view text = field->second;
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() ||
        lengths > 1) {
      return {400, "invalid_content_length"};
    }
    if (value > max_body_bytes) {
      return {413, "body_too_large"};
    }
  }
  return {};
}

class Service;

// Handles the requests of one connection, one after another.
class Responder : public http::Responder {
 public:
  explicit Responder(Service& service);

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    http::Request& request) override;
  std::size_t readBody(std::istream& in) override;
  void reply(std::ostream& out, http::Request& request,
             http::Reply& reply) override;
  void replyError(std::ostream& out, http::Request& request, http::Reply& reply,
                  const std::exception& error) override;

 private:
  Service& m_service;
  const cxxtools::net::TcpSocket* m_socket = nullptr;
  FramingProblem m_problem;
  std::string m_body;
};

class Service : public http::Service {
 public:
  Service(HttpServer::Handler handler, std::size_t max_body_bytes)
      : m_handler(std::move(handler)), m_max_body_bytes(max_body_bytes) {}

  HttpResponse Handle(const HttpRequest& request) {
    ++m_in_flight;
    HttpResponse response;
    try {
      response = m_handler(request);
    } catch (const std::exception& error) {
      Log(LogLevel::kError, LogCategory::kTransport, "handler_failed",
          {{"path", request.m_path}, {"error", error.what()}});
      response = {
          500, {}, R"({"outcome":"outcome_unknown","reason":"internal"})"};
    }
    --m_in_flight;
    if (m_draining) {
      response.m_headers["Connection"] = "close";
    }
    return response;
  }

  void BeginDrain() { m_draining = true; }
  std::size_t MaxBodyBytes() const { return m_max_body_bytes; }
  std::size_t InFlight() const { return m_in_flight; }

 protected:
  http::Responder* createResponder(const http::Request&) override {
    return new Responder(*this);
  }
  void releaseResponder(http::Responder* responder) override {
    delete responder;
  }

 private:
  const HttpServer::Handler m_handler;
  const std::size_t m_max_body_bytes;
  std::atomic<std::size_t> m_in_flight = 0;
  std::atomic<bool> m_draining = false;
};

Responder::Responder(Service& service)
    : http::Responder(service), m_service(service) {}

void Responder::beginRequest(cxxtools::net::TcpSocket& socket, std::istream&,
                             http::Request& request) {
  m_socket = &socket;
  m_body.clear();
  m_problem = CheckFraming(request, m_service.MaxBodyBytes());
  if (m_problem.m_status != 0) {
    throw std::runtime_error(m_problem.m_reason);
  }
}

std::size_t Responder::readBody(std::istream& in) {
  constexpr std::size_t kChunkBytes = 65'536;
  char buffer[kChunkBytes];
  std::size_t total = 0;
  // Reads only what has arrived; the library calls again for the rest.
  do {
    const std::streamsize count =
        in.rdbuf()->in_avail() > 0
            ? in.rdbuf()->sgetn(
                  buffer, std::min<std::streamsize>(in.rdbuf()->in_avail(),
                                                    kChunkBytes))
            : 0;
    if (count <= 0) {
      break;
    }
    m_body.append(buffer, static_cast<std::size_t>(count));
    total += static_cast<std::size_t>(count);
  } while (m_body.size() <= m_service.MaxBodyBytes());
  return total;
}

void Responder::reply(std::ostream&, http::Request& request,
                      http::Reply& reply) {
  HttpRequest message;
  message.m_method = request.method();
  message.m_path = request.url();
  message.m_query = ParseQuery(request.qparams());
  for (auto field = request.header().begin(); field != request.header().end();
       ++field) {
    message.m_headers[absl::AsciiStrToLower(field->first)] = field->second;
  }
  message.m_body = std::move(m_body);
  m_body.clear();
  const HttpResponse response = m_service.Handle(message);
  if (response.m_status == kStatusNoAnswer) {
    // The library then fails to write its reply and closes the connection.
    ShutDownSocket(*m_socket);
    return;
  }
  WriteReply(response, reply);
}

void Responder::replyError(std::ostream&, http::Request&, http::Reply& reply,
                           const std::exception& error) {
  const bool framing = m_problem.m_status != 0;
  const std::string reason = framing ? m_problem.m_reason : "malformed_request";
  Log(LogLevel::kDebug, LogCategory::kTransport, "request_refused",
      {{"reason", reason}, {"error", error.what()}});
  WriteReply({framing ? m_problem.m_status : 400,
              {{"Connection", "close"}},
              R"({"outcome":"not_run","reason":")" + reason + "\"}"},
             reply);
}

}  // namespace

class HttpServer::Implementation : public cxxtools::Connectable {
 public:
  Implementation(const HttpServerOptions& options, Handler handler)
      : m_max_threads(options.m_max_threads),
        m_service(std::move(handler), options.m_max_body_bytes),
        m_server(m_loop) {
    m_server.minThreads(1);
    m_server.maxThreads(m_max_threads);
    m_server.readTimeout(cxxtools::Milliseconds(options.m_read_timeout_ms));
    m_server.keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveTimeoutMs));
    m_server.addService(cxxtools::Regex("^/"), m_service);
    cxxtools::connect(m_server.runmodeChanged, *this,
                      &Implementation::OnRunmode);
    m_server.listen(options.m_address, options.m_port);
    RaiseListenBacklog(options.m_port, kListenBacklog);
    m_thread = std::thread([this] { m_loop.run(); });
  }

  ~Implementation() override {
    m_loop.exit();
    m_thread.join();
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void BeginDrain() { m_service.BeginDrain(); }
  std::size_t InFlight() const { return m_service.InFlight(); }

 private:
  // Threads stay once they were started: the library loses the object of a
  // thread that ends by itself while the server stops. Set only now, as the
  // library starts its minimum of threads at once.
  void OnRunmode(http::Server::Runmode mode) {
    if (mode == http::Server::Running) {
      m_server.minThreads(m_max_threads);
    }
  }

  const unsigned m_max_threads;
  cxxtools::EventLoop m_loop;
  Service m_service;
  http::Server m_server;
  std::thread m_thread;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : m_implementation(
          std::make_unique<Implementation>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::BeginDrain() { m_implementation->BeginDrain(); }

std::size_t HttpServer::InFlight() const {
  return m_implementation->InFlight();
}

}  // namespace mustardslip
