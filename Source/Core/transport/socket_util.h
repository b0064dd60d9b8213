// Small pieces that all users of sockets and of libevent need.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <optional>

#include "common/clock.h"
#include "transport/http_client.h"

namespace mustardslip {

// nullopt if the host is not an IPv4 address.
inline std::optional<sockaddr_in> ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.m_port);
  if (inet_pton(AF_INET, endpoint.m_host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

// Small messages leave at once (TCP_NODELAY).
inline void SendWithoutDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

inline timeval ToTimeval(Milliseconds duration) {
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kUsPerMs = 1'000;
  return {static_cast<time_t>(duration.count() / kMsPerSecond),
          static_cast<suseconds_t>(duration.count() % kMsPerSecond * kUsPerMs)};
}

}  // namespace mustardslip
