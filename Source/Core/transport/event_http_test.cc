// The HTTP client on a reactor, against the server on the same reactor.
#include "transport/event_http.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "transport/free_port.h"

namespace mustardslip {
namespace {

// Keeps each request until the test answers it.
class EventHttpTest : public testing::Test {
 protected:
  EventHttpTest()
      : m_peer({"127.0.0.1", FreeLoopbackPort()}),
        m_server(m_reactor, m_peer, {},
                 [this](const HttpRequest&, auto respond) {
                   m_unanswered.push_back(std::move(respond));
                 }) {}

  void Call(EventHttpClient& client, Milliseconds timeout) {
    HttpCall call;
    call.m_method = "GET";
    call.m_target = "/";
    call.m_timeout = timeout;
    client.Call(m_peer, call, [this](Result<HttpResponse> result) {
      m_results.push_back(std::move(result));
    });
  }

  void Run(std::int64_t ms) {
    m_reactor.After(ms, [this] { m_reactor.Stop(); });
    m_reactor.Run();
  }

  void AnswerAll() {
    for (EventHttpServer::Respond& respond : std::exchange(m_unanswered, {})) {
      respond({});
    }
  }

  Reactor m_reactor;
  const Endpoint m_peer;
  std::vector<EventHttpServer::Respond> m_unanswered;
  std::vector<Result<HttpResponse>> m_results;
  EventHttpServer m_server;
};

// Fails if calls open connections without a bound: a daemon then has no
// descriptor left for the connections of callers.
TEST_F(EventHttpTest, CallsBeyondTheLimitWaitForAConnection) {
  constexpr std::size_t kLimit = 3;
  constexpr std::size_t kCalls = 8;
  EventHttpClient client(m_reactor, {kLimit, kLimit});
  for (std::size_t i = 0; i < kCalls; ++i) {
    Call(client, Milliseconds(60'000));
  }
  std::size_t most_open = 0;
  while (m_results.size() < kCalls) {
    Run(20);
    most_open = std::max(most_open, client.Open());
    AnswerAll();
  }
  EXPECT_EQ(most_open, kLimit);
  for (const auto& result : m_results) {
    EXPECT_TRUE(result.has_value());
  }
}

// Fails if a call that was never sent stays without an answer, or is said to
// have an unknown outcome.
TEST_F(EventHttpTest, CallThatGotNoConnectionInTimeHadNoEffect) {
  EventHttpClient client(m_reactor, {1, 1});
  Call(client, Milliseconds(60'000));
  Call(client, Milliseconds(1));
  Run(50);
  ASSERT_EQ(m_unanswered.size(), 1U);
  AnswerAll();
  while (m_results.size() < 2) {
    Run(20);
  }
  EXPECT_TRUE(m_results[1].has_value());
  ASSERT_FALSE(m_results[0].has_value());
  EXPECT_EQ(m_results[0].error().Code(), ErrorCode::kUnavailable);
  EXPECT_TRUE(m_unanswered.empty());
}

// Fails if idle connections to peers that are not called any more keep others
// from being called.
TEST_F(EventHttpTest, IdleConnectionMakesRoomForAnotherPeer) {
  EventHttpClient client(m_reactor, {1, 1});
  const Endpoint other{"127.0.0.1", FreeLoopbackPort()};
  EventHttpServer other_server(
      m_reactor, other, {},
      [](const HttpRequest&, auto respond) { respond({}); });
  HttpCall call;
  call.m_method = "GET";
  call.m_target = "/";
  call.m_timeout = Milliseconds(60'000);
  client.Call(other, call, [this](Result<HttpResponse> result) {
    m_results.push_back(std::move(result));
  });
  while (m_results.empty()) {
    Run(20);
  }
  Call(client, Milliseconds(60'000));
  while (m_unanswered.empty()) {
    Run(20);
  }
  AnswerAll();
  while (m_results.size() < 2) {
    Run(20);
  }
  EXPECT_TRUE(m_results[1].has_value());
  EXPECT_EQ(client.Open(), 1U);
}

// Fails if bytes are counted for another purpose or not at all: a full link
// could not be explained.
TEST_F(EventHttpTest, BytesAreCountedByPurpose) {
  EventHttpClient client(m_reactor);
  const TrafficMeter before = m_reactor.Traffic();
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/";
  call.m_body = std::string(1'000, 'x');
  call.m_purpose = TrafficPurpose::kRunStart;
  client.Call(m_peer, call, [this](Result<HttpResponse> result) {
    m_results.push_back(std::move(result));
  });
  while (m_results.empty()) {
    Run(20);
    AnswerAll();
  }
  const TrafficCount& starts =
      m_reactor.Traffic().Of(TrafficPurpose::kRunStart);
  EXPECT_EQ(starts.m_sent_messages, 1U);
  EXPECT_GE(starts.m_sent_bytes, call.m_body.size());
  EXPECT_GT(starts.m_received_bytes, 0U);
  EXPECT_GE(m_reactor.Traffic().Of(TrafficPurpose::kCaller).m_received_bytes,
            call.m_body.size());
  EXPECT_NE(Describe(m_reactor.Traffic(), before).find("run_start=1/"),
            std::string::npos);
}

}  // namespace
}  // namespace mustardslip
