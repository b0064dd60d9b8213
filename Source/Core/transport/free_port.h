// Finds a free TCP port on loopback, for tests.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace mustardslip {

// Binds the port (0: any that is free) for a moment. Returns it, or 0 on
// failure.
inline std::uint16_t BindLoopbackPort(std::uint16_t port) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  socklen_t size = sizeof(address);
  const bool bound =
      bind(socket_fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  close(socket_fd);
  return bound ? ntohs(address.sin_port) : 0;
}

// A port that was free when asked for. Returns 0 on failure.
inline std::uint16_t FreeLoopbackPort() { return BindLoopbackPort(0); }

}  // namespace mustardslip
