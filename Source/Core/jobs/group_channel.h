// The interface through which TeamShard calls the owners of the VM groups.
#pragma once

#include <concepts>
#include <string>
#include <vector>

#include "common/clock.h"
#include "dispatch/messages.h"
#include "transport/rpc.h"

namespace mustardslip {

// Thread-safe. Summaries() returns one summary per VM group of the
// configuration, including groups whose owner is unknown (not ready, total
// zero), because a takeover waits until every group has been fenced. Summaries
// are gossiped and may be stale.
//
// Call() sends `message` to the current owner of the group. `done` runs exactly
// once, on any thread, also when the call fails immediately. Errors kNotOwner
// and kUnavailable mean that the call was not delivered.
//
// A group owner keeps acknowledged attempts for at least the longest possible
// delay of a call, so that a late duplicate of a Place call has no effect.
template <typename T>
concept GroupChannel = requires(T channel, const std::string& text,
                                const RpcMessage& message, Milliseconds timeout,
                                RpcCallback done) {
  { channel.Summaries() } -> std::same_as<std::vector<GroupSummary>>;
  {channel.Call(text, text, message, timeout, done)};
};

}  // namespace mustardslip
