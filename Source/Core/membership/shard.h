// Names of shards, their owners and the members of the cluster, and the choice
// of a member for a shard.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/worker_api.h"
#include "transport/http_client.h"

namespace mustardslip {

inline constexpr std::string_view kShardPrefix = "shard/";
inline constexpr std::string_view kMemberPrefix = "member/";

// A team shard (named by its number) or a VM group (named by its availability
// zone).
struct ShardId {
  enum class Kind { kTeam, kGroup };

  Kind m_kind = Kind::kTeam;
  std::string m_name;

  static ShardId Team(int number) {
    return {Kind::kTeam, std::to_string(number)};
  }
  static ShardId Group(std::string zone) {
    return {Kind::kGroup, std::move(zone)};
  }

  auto operator<=>(const ShardId&) const = default;

  // For example `shard/team/7` or `shard/group/zone-a`.
  std::string StoreKey() const;
};

// The reverse of ShardId::StoreKey(); empty for any other key.
std::optional<ShardId> ParseShardKey(std::string_view key);

// The owner of a shard as the store's records show it.
struct ShardOwner {
  std::string m_incarnation;
  Endpoint m_address;
  Epoch m_epoch = 0;
  // The owner's member record is present.
  bool m_alive = false;

  bool operator==(const ShardOwner&) const = default;
};

// A running daemon. Each run, and each new lease, has its own incarnation.
struct Member {
  std::string m_incarnation;
  Endpoint m_rpc_address;
  std::string m_zone;
  // Hands over its shards and takes no new ones.
  bool m_leaving = false;

  bool operator==(const Member&) const = default;
};

// Members by incarnation.
using MemberMap = std::map<std::string, Member>;

// The member that rendezvous hashing gives the shard to, among those that are
// not leaving; empty if there is none.
std::string ChooseMember(const ShardId& shard, const MemberMap& members);

}  // namespace mustardslip
