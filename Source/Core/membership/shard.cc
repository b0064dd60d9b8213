// Store keys of shards, and rendezvous hashing.
#include "membership/shard.h"

#include "common/random_id.h"

namespace mustardslip {
namespace {

constexpr std::string_view kTeamPrefix = "shard/team/";
constexpr std::string_view kGroupPrefix = "shard/group/";

}  // namespace

std::string ShardId::StoreKey() const {
  const auto prefix = m_kind == Kind::kTeam ? kTeamPrefix : kGroupPrefix;
  return std::string(prefix) + m_name;
}

std::optional<ShardId> ParseShardKey(std::string_view key) {
  if (key.starts_with(kTeamPrefix) && key.size() > kTeamPrefix.size()) {
    return ShardId{ShardId::Kind::kTeam,
                   std::string(key.substr(kTeamPrefix.size()))};
  }
  if (key.starts_with(kGroupPrefix) && key.size() > kGroupPrefix.size()) {
    return ShardId{ShardId::Kind::kGroup,
                   std::string(key.substr(kGroupPrefix.size()))};
  }
  return std::nullopt;
}

std::string ChooseMember(const ShardId& shard, const MemberMap& members) {
  const std::string prefix = shard.StoreKey() + "@";
  std::string chosen;
  std::uint64_t highest = 0;
  for (const auto& [incarnation, member] : members) {
    if (member.m_leaving) {
      continue;
    }
    const std::uint64_t weight = Hash64(prefix + incarnation);
    if (chosen.empty() || weight > highest) {
      chosen = incarnation;
      highest = weight;
    }
  }
  return chosen;
}

}  // namespace mustardslip
