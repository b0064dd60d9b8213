// Serves a stand-in on loopback inside a test.
#pragma once

#include <cstdint>
#include <thread>

#include "common/fault_plan.h"
#include "stand_in.h"
#include "transport/free_port.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace mustardslip {

// The timeout of calls that have to succeed, far above what they take.
inline constexpr Milliseconds kPatientTimeout{20'000};
// The timeout of calls that get no answer.
inline constexpr Milliseconds kImpatientTimeout{150};

// Only faults that give no answer are waited for briefly, so that a busy
// machine cannot turn another fault into a timeout.
inline Milliseconds TimeoutFor(FakeFault fault) {
  const bool no_answer = fault == FakeFault::kSlow || fault == FakeFault::kLate;
  return no_answer ? kImpatientTimeout : kPatientTimeout;
}

// Waits until a fault without an answer has struck. The caller's timeout may
// come first, and the fault must not be lifted before.
template <typename Platform>
void AwaitStrike(const Platform& stand_in, FakeFault fault,
                 std::int64_t strikes_before) {
  while (TimeoutFor(fault) == kImpatientTimeout &&
         stand_in.FaultStrikes() == strikes_before) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
}

class LoopbackServer {
 public:
  explicit LoopbackServer(StandIn& stand_in)
      : m_stand_in(stand_in),
        m_endpoint{"127.0.0.1", FreeLoopbackPort()},
        m_server({.m_port = m_endpoint.m_port, .m_max_body_bytes = 4U << 20U},
                 [&](const HttpRequest& request) {
                   return stand_in.Handle(request);
                 }) {}

  ~LoopbackServer() { m_stand_in.Stop(); }

  LoopbackServer(const LoopbackServer&) = delete;
  LoopbackServer& operator=(const LoopbackServer&) = delete;

  const Endpoint& Target() const { return m_endpoint; }

  // Advances the stand-in's time until no call waits.
  void Drain() {
    while (m_server.InFlight() > 0) {
      m_stand_in.Advance(Milliseconds(1));
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }

 private:
  StandIn& m_stand_in;
  const Endpoint m_endpoint;
  HttpServer m_server;
};

}  // namespace mustardslip
