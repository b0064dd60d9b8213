// Calls between daemons: one HTTP/2 stream (nghttp2) per call, over one
// connection per peer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/result.h"
#include "transport/http_client.h"
#include "transport/message.h"

namespace mustardslip {

// The largest message that a daemon takes, in bytes.
inline constexpr std::size_t kMaxRpcMessageBytes = 16U << 20U;

using RpcResult = Result<RpcMessage>;
using RpcCallback = std::function<void(RpcResult)>;

// Answers calls. The handler runs on a pool thread and may call `respond` later
// from any thread; exactly once per call.
class RpcServer {
 public:
  using Handler = std::function<void(const std::string& method,
                                     RpcMessage request, RpcCallback respond)>;

  // Listens at once. Throws std::runtime_error if the address cannot be bound.
  RpcServer(const Endpoint& endpoint, std::size_t max_threads, Handler handler);
  // Closes the listener and all connections.
  ~RpcServer();

  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  // Calls that were taken and are not answered yet.
  std::size_t InFlight() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

// Sends calls to any number of peers; thread-safe.
class RpcClient {
 public:
  RpcClient();
  // Fails the calls that are still open with kUnknownOutcome.
  ~RpcClient();

  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  // `done` runs on the client's thread and must not block. Errors of the
  // transport: kUnavailable if the peer certainly did not take the call,
  // kTimeout or kUnknownOutcome if it may have. Errors of the handler arrive as
  // they were given to `respond`.
  void Call(const Endpoint& peer, const std::string& method,
            const RpcMessage& request, Milliseconds timeout, RpcCallback done);

  // The same, blocking.
  RpcResult CallAndWait(const Endpoint& peer, const std::string& method,
                        const RpcMessage& request, Milliseconds timeout);

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace mustardslip
