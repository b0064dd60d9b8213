// Compiled as C++17 (see CMakeLists.txt): the library's socket header does not
// compile as C++20.
#include "transport/socket_shutdown.h"

#include <cxxtools/net/tcpsocket.h>
#include <sys/socket.h>

namespace mustardslip {

void ShutDownSocket(const cxxtools::net::TcpSocket& socket) {
  shutdown(socket.getFd(), SHUT_RDWR);
}

}  // namespace mustardslip
