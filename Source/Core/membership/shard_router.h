// Sends calls to the current owner of a shard.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "membership/routing_table.h"
#include "transport/rpc.h"

namespace mustardslip {

// The header field that names the shard a call is meant for.
inline constexpr const char* kShardField = "$shard";

// The team shard of a team.
std::int64_t TeamShardOf(const std::string& team, int team_shards);

class ShardRouter {
 public:
  using RoutingSource = std::function<std::shared_ptr<const RoutingTable>()>;

  ShardRouter(RpcClient& client, RoutingSource routing)
      : m_client(client), m_routing(std::move(routing)) {}

  // One try. Without a live owner: kUnavailable with reason "no_owner".
  void Call(const ShardId& shard, const std::string& method,
            const RpcMessage& message, Milliseconds timeout, RpcCallback done);

  void CallTeamShard(std::int64_t shard, const std::string& method,
                     const RpcMessage& message, Milliseconds timeout,
                     RpcCallback done) {
    Call(ShardId::Team(static_cast<int>(shard)), method, message, timeout,
         std::move(done));
  }

  // Blocks, and tries again within `timeout` when the owner did not take the
  // call, died, or lost the shard. The receiver must recognise a repeated
  // message (by job id or idempotency key) or the work must be idempotent.
  // Errors: kUnavailable if no try had an effect, kUnknownOutcome if one may
  // have had; all other errors as the owner gave them.
  RpcResult CallUntil(const ShardId& shard, const std::string& method,
                      const RpcMessage& message, Milliseconds timeout);

 private:
  std::optional<ShardOwner> FindOwner(const ShardId& shard) const;

  RpcClient& m_client;
  const RoutingSource m_routing;
};

}  // namespace mustardslip
