// Guards the framing checks of the HTTP server and the client's error mapping.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/free_port.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace mustardslip {
namespace {

class HttpTest : public testing::Test {
 protected:
  HttpTest()
      : m_port(FreeLoopbackPort()),
        m_server({.m_port = m_port, .m_max_body_bytes = 2'000'000},
                 [](const HttpRequest& request) {
                   if (request.m_path == "/throw") {
                     throw std::runtime_error("planned");
                   }
                   return HttpResponse{
                       200,
                       {{"x-method", request.m_method}},
                       request.m_path + "|" + request.Query("q") + "|" +
                           request.Header("x-probe") + "|" + request.m_body};
                 }),
        m_client({"127.0.0.1", m_port}) {}

  // Sends raw bytes and returns all that comes back until the server closes.
  std::string Raw(const std::string& bytes) const {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    EXPECT_EQ(write(socket_fd, bytes.data(), bytes.size()),
              static_cast<ssize_t>(bytes.size()));
    std::string answer;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = read(socket_fd, buffer, sizeof(buffer))) > 0) {
      answer.append(buffer, static_cast<std::size_t>(count));
    }
    close(socket_fd);
    return answer;
  }

  const std::uint16_t m_port;
  HttpServer m_server;
  HttpClient m_client;
};

TEST_F(HttpTest, CarriesMethodQueryHeaderAndBody) {
  const auto response = m_client.Send({.m_method = "POST",
                                       .m_target = "/a/b?q=1%202&r=x",
                                       .m_headers = {{"X-Probe", "yes"}},
                                       .m_body = "body"});
  ASSERT_TRUE(response) << response.error().Message();
  EXPECT_EQ(response->m_status, 200);
  EXPECT_EQ(response->m_body, "/a/b|1 2|yes|body");
  EXPECT_EQ(response->m_headers.at("x-method"), "POST");
}

TEST_F(HttpTest, CarriesAMegabyteWhole) {
  std::string body;
  for (int i = 0; body.size() < 1'000'000; ++i) {
    body += std::to_string(i);
  }
  const auto response = m_client.Send({.m_method = "POST",
                                       .m_target = "/big",
                                       .m_body = body,
                                       .m_timeout = Milliseconds(10'000)});
  ASSERT_TRUE(response) << response.error().Message();
  EXPECT_EQ(response->m_body, "/big|||" + body);
}

TEST_F(HttpTest, RefusesFramingThatCouldSmuggleARequest) {
  EXPECT_NE(Raw("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                "\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n")
                .find("HTTP/1.1 411"),
            std::string::npos);
  EXPECT_NE(Raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n")
                .find("HTTP/1.1 400"),
            std::string::npos);
  EXPECT_NE(Raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                "Content-Length: 2\r\n\r\nab")
                .find("HTTP/1.1 400"),
            std::string::npos);
  EXPECT_NE(
      Raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n")
          .find("HTTP/1.1 413"),
      std::string::npos);
}

// Busy keep-alive connections kept a stopping daemon alive until the load
// ended.
TEST_F(HttpTest, DrainClosesConnectionsAfterTheirAnswer) {
  m_server.BeginDrain();
  EXPECT_NE(Raw("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").find("close"),
            std::string::npos);
}

TEST_F(HttpTest, HandlerExceptionBecomesAnAnswer) {
  const auto response = m_client.Send({.m_target = "/throw"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_status, 500);
}

// A worker thread of the library that ended while its server stopped was never
// deleted; the address sanitizer reports it when the program ends.
TEST(HttpServerTest, StopsWithoutLosingThreadsThatJustEnded) {
  constexpr int kServers = 200;
  constexpr int kClients = 8;
  for (int i = 0; i < kServers; ++i) {
    const std::uint16_t port = FreeLoopbackPort();
    auto server = std::make_unique<HttpServer>(
        HttpServerOptions{.m_port = port}, [](const HttpRequest&) {
          return HttpResponse{200, {}, "{}"};
        });
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int j = 0; j < kClients; ++j) {
      clients.emplace_back([port] {
        HttpClient client({"127.0.0.1", port});
        EXPECT_TRUE(client.Send(
            {.m_target = "/x", .m_connection = Connection::kFresh}));
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    server.reset();
  }
}

TEST(HttpClientTest, RefusedConnectionHadNoEffect) {
  HttpClient client({"127.0.0.1", FreeLoopbackPort()});
  const auto response = client.Send({.m_target = "/"});
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().Code(), ErrorCode::kUnavailable);
  EXPECT_TRUE(response.error().HadNoEffect());
}

// Accepts connections and closes each after the first bytes have arrived.
class ClosingServer {
 public:
  ClosingServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    listen(m_listener, 8);
    m_thread = std::thread([this] { Run(); });
  }
  ~ClosingServer() {
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
  }

  std::uint16_t Port() const { return m_port; }
  int Deliveries() const { return m_deliveries; }

 private:
  void Run() {
    while (true) {
      const int connection = accept(m_listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      char buffer[4096];
      if (read(connection, buffer, sizeof(buffer)) > 0) {
        ++m_deliveries;
      }
      close(connection);
    }
  }

  int m_listener;
  std::uint16_t m_port = 0;
  std::atomic<int> m_deliveries = 0;
  std::thread m_thread;
};

// The library resends on a kept connection; a fresh one must not.
TEST(HttpClientTest, FreshConnectionDeliversOnce) {
  ClosingServer server;
  HttpClient client({"127.0.0.1", server.Port()});
  const auto response = client.Send({.m_method = "POST",
                                     .m_target = "/",
                                     .m_body = "order",
                                     .m_connection = Connection::kFresh});
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().Code(), ErrorCode::kUnknownOutcome);
  EXPECT_EQ(server.Deliveries(), 1);
}

TEST(EndpointTest, ParsesAndRefuses) {
  EXPECT_EQ(*ParseEndpoint("10.0.0.1:80"), (Endpoint{"10.0.0.1", 80}));
  EXPECT_FALSE(ParseEndpoint("10.0.0.1"));
  EXPECT_FALSE(ParseEndpoint("10.0.0.1:0"));
  EXPECT_FALSE(ParseEndpoint("10.0.0.1:99999"));
}

}  // namespace
}  // namespace mustardslip
