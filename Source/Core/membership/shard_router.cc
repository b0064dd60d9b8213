// Routing with repetition.
#include "membership/shard_router.h"

#include <future>
#include <thread>

#include "common/random_id.h"

namespace mustardslip {
namespace {

constexpr Milliseconds kRetryInterval{50};
// How often a waiting call looks whether its owner still owns the shard.
constexpr Milliseconds kOwnerCheckInterval{250};

// True if the owner answered that it did not take the call, so that another try
// makes sense.
bool IsRetryable(const Error& error) {
  return error.Code() == ErrorCode::kUnavailable ||
         error.Code() == ErrorCode::kNotOwner ||
         error.Code() == ErrorCode::kStaleEpoch;
}

RpcMessage Address(RpcMessage message, const ShardId& shard) {
  message.m_header[kShardField] = shard.StoreKey();
  return message;
}

}  // namespace

std::int64_t TeamShardOf(const std::string& team, int team_shards) {
  return static_cast<std::int64_t>(Hash64(team) %
                                   static_cast<std::uint64_t>(team_shards));
}

std::optional<ShardOwner> ShardRouter::FindOwner(const ShardId& shard) const {
  const auto owner = m_routing()->Find(shard);
  return owner && owner->m_alive ? owner : std::nullopt;
}

void ShardRouter::Call(const ShardId& shard, const std::string& method,
                       const RpcMessage& message, Milliseconds timeout,
                       RpcCallback done) {
  const auto owner = FindOwner(shard);
  if (!owner) {
    done(Fail(ErrorCode::kUnavailable, "no_owner"));
    return;
  }
  m_client.Call(owner->m_address, method, Address(message, shard), timeout,
                std::move(done));
}

RpcResult ShardRouter::CallUntil(const ShardId& shard,
                                 const std::string& method,
                                 const RpcMessage& message,
                                 Milliseconds timeout) {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + timeout;
  const RpcMessage addressed = Address(message, shard);
  bool maybe_delivered = false;
  Error last(ErrorCode::kUnavailable, "no_owner");
  while (true) {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(deadline - clock.Now());
    if (left.count() <= 0) {
      break;
    }
    const auto owner = FindOwner(shard);
    if (owner) {
      // The promise outlives this frame if the owner changes first.
      auto promise = std::make_shared<std::promise<RpcResult>>();
      std::future<RpcResult> answer = promise->get_future();
      m_client.Call(owner->m_address, method, addressed, left,
                    [promise](RpcResult result) {
                      promise->set_value(std::move(result));
                    });
      bool answered = false;
      while (!answered) {
        answered =
            answer.wait_for(kOwnerCheckInterval) == std::future_status::ready;
        const auto current = FindOwner(shard);
        if (!answered && current && *current != *owner) {
          break;
        }
      }
      if (answered) {
        RpcResult result = answer.get();
        if (result ||
            (result.error().HadNoEffect() && !IsRetryable(result.error()))) {
          return result;
        }
        maybe_delivered = maybe_delivered || !result.error().HadNoEffect();
        last = result.error();
      } else {
        maybe_delivered = true;
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  if (maybe_delivered) {
    return Fail(ErrorCode::kUnknownOutcome, last.Reason());
  }
  return Fail(ErrorCode::kUnavailable, last.Reason());
}

}  // namespace mustardslip
