// Raises the number of connections that wait to be accepted.
#pragma once

#include <cstdint>

namespace mustardslip {

// Applies to the listening TCP sockets of this process on the port. The HTTP
// library listens with a backlog of 64 and has no setting for it; when more
// callers connect at once, the kernel drops their packets and they try again
// only after 1 s (seen: 175 of 300 simultaneous calls failed to connect in
// time, and none with a backlog of 4,096).
void RaiseListenBacklog(std::uint16_t port, int backlog);

}  // namespace mustardslip
