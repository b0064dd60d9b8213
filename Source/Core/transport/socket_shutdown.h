// Ends a connection of the HTTP server below the library.
#pragma once

namespace cxxtools::net {
class TcpSocket;
}

namespace mustardslip {

// Shuts the connection down in both directions; later writes fail.
void ShutDownSocket(const cxxtools::net::TcpSocket& socket);

}  // namespace mustardslip
