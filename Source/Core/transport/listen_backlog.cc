// Finds the process's listening sockets, since the library does not show them.
#include "transport/listen_backlog.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <string>
#include <system_error>

namespace mustardslip {
namespace {

// The port of a listening TCP socket; 0 for any other descriptor.
std::uint16_t ListeningPort(int socket_fd) {
  int listening = 0;
  socklen_t option_size = sizeof(listening);
  if (getsockopt(socket_fd, SOL_SOCKET, SO_ACCEPTCONN, &listening,
                 &option_size) != 0 ||
      listening == 0) {
    return 0;
  }
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &size) !=
      0) {
    return 0;
  }
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
  }
  return 0;
}

}  // namespace

void RaiseListenBacklog(std::uint16_t port, int backlog) {
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const std::string name = entry.path().filename();
    int socket_fd = -1;
    std::from_chars(name.data(), name.data() + name.size(), socket_fd);
    if (socket_fd >= 0 && ListeningPort(socket_fd) == port) {
      // A second listen() changes only the backlog.
      listen(socket_fd, backlog);
    }
  }
}

}  // namespace mustardslip
