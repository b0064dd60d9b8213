// EventHttpServer and ClientBudget over loopback: limits, the budget's choice
// of connections, and damaged input.
#include "transport/client_budget.h"

#include <fmt/core.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "transport/event_http.h"
#include "transport/free_port.h"
#include "transport/socket_util.h"

namespace mustardslip {
namespace {

// --- The choice ---

class FakeConnection final : public ClientBudget::Connection {
 public:
  FakeConnection(ClientBudget& budget, const std::string& address)
      : m_budget(budget), m_account(&budget.Open(*this, address)) {}
  ~FakeConnection() { Close(); }

  FakeConnection(const FakeConnection&) = delete;
  FakeConnection& operator=(const FakeConnection&) = delete;

  void CloseForLimit(ClientLimit) override { Close(); }
  void Hold(std::size_t bytes) { m_budget.Charge(*m_account, bytes); }
  void SetBusy() { m_budget.SetBusy(*m_account, true); }
  bool IsOpen() const { return m_account != nullptr; }

 private:
  void Close() {
    if (m_account != nullptr) {
      m_budget.Close(*std::exchange(m_account, nullptr));
    }
  }

  ClientBudget& m_budget;
  ClientBudget::Account* m_account;
};

// Fails if a client that holds much in many connections pushes out one that
// holds little.
TEST(ClientBudgetTest, TheClientThatHoldsTheMostPays) {
  Reactor reactor;
  ClientBudget budget(reactor, {.m_bytes = 100});
  FakeConnection modest(budget, "10.0.0.1");
  FakeConnection first(budget, "10.0.0.2");
  FakeConnection second(budget, "10.0.0.2");
  modest.Hold(40);
  first.Hold(25);
  second.Hold(30);
  EXPECT_EQ(budget.Bytes(), 95U);
  modest.Hold(50);
  EXPECT_TRUE(modest.IsOpen());
  EXPECT_TRUE(first.IsOpen());
  EXPECT_FALSE(second.IsOpen());
  EXPECT_EQ(budget.Bytes(), 75U);
  EXPECT_EQ(budget.Count(ClientLimit::kMemory), 1U);
  // One connection alone may be over the budget.
  first.Hold(101);
  EXPECT_FALSE(first.IsOpen());
  EXPECT_TRUE(modest.IsOpen());
}

// Fails if a flood of connections from one address pushes out another client's,
// or one whose request is being handled before idle ones.
TEST(ClientBudgetTest, TheClientWithTheMostConnectionsPays) {
  Reactor reactor;
  ClientBudget budget(reactor, {.m_connections = 4});
  FakeConnection other(budget, "10.0.0.1");
  FakeConnection busy(budget, "10.0.0.2");
  busy.SetBusy();
  FakeConnection idle(budget, "10.0.0.2");
  FakeConnection holding(budget, "10.0.0.2");
  holding.Hold(10);
  FakeConnection next(budget, "10.0.0.2");
  EXPECT_FALSE(holding.IsOpen());
  FakeConnection last(budget, "10.0.0.3");
  EXPECT_FALSE(idle.IsOpen());
  EXPECT_TRUE(other.IsOpen() && busy.IsOpen() && next.IsOpen() &&
              last.IsOpen());
  EXPECT_EQ(budget.Connections(), 4U);
  EXPECT_EQ(budget.Count(ClientLimit::kConnections), 2U);
}

// --- The server ---

class Client {
 public:
  explicit Client(const Endpoint& peer)
      : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address = ToSocketAddress(peer);
    m_connected =
        connect(m_socket, reinterpret_cast<const sockaddr*>(&*address),
                sizeof(*address)) == 0;
  }
  ~Client() { close(m_socket); }

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& text) const {
    // An error shows in Receive.
    static_cast<void>(
        send(m_socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
  }
  void EndSending() const { shutdown(m_socket, SHUT_WR); }

  // Adds what has arrived.
  void Receive() {
    std::string part(65'536, '\0');
    while (!m_closed) {
      const ssize_t size =
          recv(m_socket, part.data(), part.size(), MSG_DONTWAIT);
      if (size > 0) {
        m_received.append(part, 0, static_cast<std::size_t>(size));
        continue;
      }
      m_closed = size == 0 || errno != EAGAIN;
      return;
    }
  }

  bool m_connected = false;
  bool m_closed = false;
  std::string m_received;

 private:
  const int m_socket;
};

class LimitedServerTest : public testing::Test {
 protected:
  static constexpr EventHttpLimits kLimits = {.m_header_bytes = 512,
                                              .m_body_bytes = 64,
                                              .m_header_timeout_ms = 300,
                                              .m_idle_timeout_ms = 600};

  LimitedServerTest()
      : m_peer({"127.0.0.1", FreeLoopbackPort()}),
        m_server(
            m_reactor, m_peer, kLimits,
            [this](const HttpRequest& request, auto respond) {
              m_requests.push_back(request);
              HttpResponse response;
              response.m_body = request.m_path;
              if (m_respond_later) {
                m_unanswered.push_back(
                    [respond, response]() mutable { respond(response); });
              } else {
                respond(response);
              }
            },
            &m_budget) {
    // As in the daemons: a closed connection is an error value.
    signal(SIGPIPE, SIG_IGN);  // NOLINT
  }

  void Run(std::int64_t ms) {
    m_reactor.After(ms, [this] { m_reactor.Stop(); });
    m_reactor.Run();
  }
  // Runs until the client is closed.
  void RunUntilClosed(Client& client) {
    while (!client.m_closed) {
      Run(5);
      client.Receive();
    }
  }

  Reactor m_reactor;
  ClientBudget m_budget{m_reactor, {.m_bytes = 20'000, .m_connections = 3}};
  const Endpoint m_peer;
  bool m_respond_later = false;
  std::vector<std::function<void()>> m_unanswered;
  std::vector<HttpRequest> m_requests;
  EventHttpServer m_server;
};

// Fails if a refused request is not answered, its connection stays open, or its
// body is taken for the next request.
TEST_F(LimitedServerTest, RefusesAndCloses) {
  const std::string next = "GET /next HTTP/1.1\r\n\r\n";
  for (const auto& [headers, status] : std::vector<std::pair<std::string, int>>{
           {"Content-Length: 65", 413},
           {"Content-Length: -1", 400},
           {"Content-Length: 1\r\nTransfer-Encoding: chunked", 400},
           {"Transfer-Encoding: gzip", 400},
           {"X: " + std::string(600, 'x'), 431}}) {
    Client client(m_peer);
    client.Send(fmt::format("POST / HTTP/1.1\r\n{}\r\n\r\n{}", headers, next));
    RunUntilClosed(client);
    EXPECT_TRUE(
        client.m_received.starts_with(fmt::format("HTTP/1.1 {} ", status)))
        << client.m_received;
    EXPECT_NE(client.m_received.find("Connection: close"), std::string::npos);
  }
  EXPECT_TRUE(m_requests.empty());
  EXPECT_EQ(m_budget.Count(ClientLimit::kBodyBytes), 1U);
  EXPECT_EQ(m_budget.Count(ClientLimit::kHeaderBytes), 1U);
  EXPECT_EQ(m_budget.Count(ClientLimit::kMalformed), 3U);
  while (m_budget.Connections() != 0) {
    Run(20);
  }
  EXPECT_EQ(m_budget.Bytes(), 0U);
}

// Fails if a request is read while an earlier one has no answer, or if
// pipelined requests are lost or answered out of order.
TEST_F(LimitedServerTest, HandlesOneRequestOfAConnectionAtATime) {
  m_respond_later = true;
  Client client(m_peer);
  client.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  client.EndSending();
  while (m_requests.empty()) {
    Run(5);
  }
  Run(50);
  ASSERT_EQ(m_requests.size(), 1U);
  EXPECT_EQ(m_server.InFlight(), 1U);
  EXPECT_GT(m_budget.Bytes(), 0U);
  while (m_requests.size() < 2) {
    for (const auto& answer : std::exchange(m_unanswered, {})) {
      answer();
    }
    Run(5);
  }
  m_unanswered.front()();
  RunUntilClosed(client);
  const std::size_t first = client.m_received.find("/1");
  EXPECT_NE(first, std::string::npos);
  EXPECT_GT(client.m_received.find("/2"), first);
  EXPECT_EQ(m_server.InFlight(), 0U);
  EXPECT_EQ(m_budget.Bytes(), 0U);
}

// Fails if a head that comes byte by byte, or a body that stops, holds a
// connection forever.
TEST_F(LimitedServerTest, ClosesConnectionsThatTakeTooLong) {
  Client slow(m_peer);
  Client silent(m_peer);
  Client stopped(m_peer);
  stopped.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc");
  slow.Send("GET ");
  while (!slow.m_closed || !silent.m_closed || !stopped.m_closed) {
    slow.Send("x");
    Run(20);
    slow.Receive();
    silent.Receive();
    stopped.Receive();
  }
  EXPECT_EQ(m_budget.Count(ClientLimit::kHeaderTimeout), 1U);
  EXPECT_EQ(m_budget.Count(ClientLimit::kIdleTimeout), 1U);
  EXPECT_TRUE(m_requests.empty());
}

// Fails if a request that waits for its answer is closed as idle, or if an
// answer to a connection that is gone ends the process.
TEST_F(LimitedServerTest, RequestsWaitForTheirAnswers) {
  m_respond_later = true;
  Client waiting(m_peer);
  waiting.Send("GET /1 HTTP/1.0\r\n\r\n");
  Run(2 * kLimits.m_idle_timeout_ms);
  waiting.Receive();
  EXPECT_FALSE(waiting.m_closed);
  ASSERT_EQ(m_unanswered.size(), 1U);
  // Three further connections push the waiting one out.
  std::vector<std::unique_ptr<Client>> others;
  for (std::size_t i = 0; i < 3; ++i) {
    others.push_back(std::make_unique<Client>(m_peer));
    others.back()->Send("GET /1 HTTP/1.0\r\n\r\n");
    while (m_unanswered.size() < i + 2 &&
           m_budget.Count(ClientLimit::kConnections) == 0) {
      Run(5);
    }
  }
  RunUntilClosed(waiting);
  EXPECT_EQ(m_budget.Count(ClientLimit::kConnections), 1U);
  for (const auto& answer : m_unanswered) {
    answer();
  }
  Run(20);
  EXPECT_EQ(m_server.InFlight(), 0U);
}

// Fails if a client that waits for "100 Continue" waits forever.
TEST_F(LimitedServerTest, AsksForABodyThatIsAnnounced) {
  Client client(m_peer);
  client.Send(
      "POST /p HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
      "Connection: close\r\n\r\n");
  while (client.m_received.find("100 Continue") == std::string::npos) {
    Run(5);
    client.Receive();
  }
  client.Send("{}");
  RunUntilClosed(client);
  ASSERT_EQ(m_requests.size(), 1U);
  EXPECT_EQ(m_requests[0].m_body, "{}");
  EXPECT_NE(client.m_received.find("200 OK"), std::string::npos);
}

// Fails if damaged bytes over a socket end the process, or leave connections or
// bytes in the budget.
TEST_F(LimitedServerTest, SurvivesAnyBytes) {
  constexpr int kInputs = 400;
  std::mt19937 random(20261208);
  const std::string request =
      "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n";
  for (int i = 0; i < kInputs; ++i) {
    std::string input = fmt::format("{0}{0}{0}", request);
    for (int k = 0; k < 3; ++k) {
      input[random() % input.size()] = static_cast<char>(random());
    }
    input.resize(random() % (input.size() + 1));
    Client client(m_peer);
    ASSERT_TRUE(client.m_connected);
    client.Send(input);
    if (random() % 2 == 0) {
      Run(1);
    }
  }
  while (m_budget.Connections() != 0) {
    Run(20);
  }
  EXPECT_EQ(m_budget.Bytes(), 0U);
  EXPECT_EQ(m_server.InFlight(), 0U);
  EXPECT_FALSE(m_requests.empty());
}

}  // namespace
}  // namespace mustardslip
