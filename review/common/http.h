// A small blocking HTTP/1.1 server and client for the stand-ins, on loopback
// and with one thread a connection. Shares no code with the programs under
// test.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

struct Request {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  // Names in lower case.
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

struct Response {
  int m_status = 200;
  std::string m_body;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Reads messages from one socket.
class MessageReader {
 public:
  explicit MessageReader(int socket) : m_socket(socket) {}

  // Reads a start line, headers and body. False at the end of the connection
  // and after `timeout_ms` without data (-1: no limit).
  bool Read(int timeout_ms, std::string& first_line,
            std::map<std::string, std::string>& headers, std::string& body) {
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(timeout_ms)) {
        return false;
      }
    }
    const std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    first_line = head.substr(0, at);
    headers.clear();
    while (at + 2 < head.size()) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line = head.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers[Lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
      }
      at = next;
    }
    const auto length = headers.find("content-length");
    const std::size_t size =
        length == headers.end()
            ? 0
            : std::strtoull(length->second.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!Fill(timeout_ms)) {
        return false;
      }
    }
    body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

 private:
  bool Fill(int timeout_ms) {
    pollfd ready = {m_socket, POLLIN, 0};
    if (poll(&ready, 1, timeout_ms) != 1) {
      return false;
    }
    char bytes[16'384];
    const ssize_t count = recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  const int m_socket;
  std::string m_buffer;
};

inline bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Serves until Stop(). Start() after that serves again on the same port.
class HttpServer {
 public:
  // nullopt: no response is ever sent on this connection.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit HttpServer(Handler handler) : m_handler(std::move(handler)) {
    Start();
  }
  ~HttpServer() { Stop(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const { return m_port; }

  void Start() {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = LoopbackAddress(m_port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener, 512) != 0) {
      throw std::runtime_error("cannot listen");
    }
    socklen_t length = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_listener = listener;
    m_accepting = std::thread([this, listener] { Accept(listener); });
  }

  // Closes the listener and all connections, like the end of a process.
  void Stop() {
    if (m_listener < 0) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    close(m_listener);
    m_listener = -1;
    {
      const std::lock_guard lock(m_mutex);
      for (const int connection : m_connections) {
        shutdown(connection, SHUT_RDWR);
      }
    }
    while (m_threads > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

 private:
  void Accept(int listener) {
    while (true) {
      const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        return;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(m_mutex);
      m_connections.insert(connection);
      ++m_threads;
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }

  void Serve(int connection) {
    MessageReader reader(connection);
    Request request;
    std::string line;
    bool silent = false;
    while (reader.Read(-1, line, request.m_headers, request.m_body)) {
      if (silent) {
        continue;
      }
      ParseRequestLine(line, request);
      const std::optional<Response> response = m_handler(request);
      if (!response) {
        silent = true;
        continue;
      }
      std::string out =
          "HTTP/1.1 " + std::to_string(response->m_status) +
          " X\r\nContent-Type: application/json\r\n" +
          "Content-Length: " + std::to_string(response->m_body.size()) +
          "\r\n\r\n" + response->m_body;
      if (!SendAll(connection, out)) {
        break;
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      m_connections.erase(connection);
      close(connection);
    }
    --m_threads;
  }

  static void ParseRequestLine(const std::string& line, Request& request) {
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.m_method = line.substr(0, first);
    const std::string target = line.substr(first + 1, second - first - 1);
    const std::size_t question = target.find('?');
    request.m_path = target.substr(0, question);
    request.m_query.clear();
    std::size_t at = question;
    while (at != std::string::npos && at + 1 < target.size()) {
      const std::size_t next = target.find('&', at + 1);
      const std::string pair = target.substr(
          at + 1, next == std::string::npos ? next : next - at - 1);
      const std::size_t equals = pair.find('=');
      request.m_query[pair.substr(0, equals)] =
          equals == std::string::npos ? ""
                                      : DecodePercent(pair.substr(equals + 1));
      at = next;
    }
  }

  const Handler m_handler;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  std::thread m_accepting;
  std::mutex m_mutex;
  std::set<int> m_connections;
  std::atomic<int> m_threads{0};
};

// Sends one request on a connection of its own. Status 0: no answer.
inline Response Call(std::uint16_t port, const std::string& method,
                     const std::string& path,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body, int timeout_ms) {
  Response response;
  response.m_status = 0;
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(port);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string out = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string line;
    std::map<std::string, std::string> ignored;
    MessageReader reader(connection);
    if (SendAll(connection, out) &&
        reader.Read(timeout_ms, line, ignored, response.m_body)) {
      const std::size_t space = line.find(' ');
      response.m_status =
          static_cast<int>(std::strtol(line.c_str() + space, nullptr, 10));
    }
  }
  close(connection);
  return response;
}

}  // namespace review
