// Builds the snapshot from the store's records.
#include "membership/routing_table.h"

namespace mustardslip {

RoutingTable::RoutingTable(const ClusterView& view)
    : m_revision(view.m_revision) {
  for (const auto& [shard, record] : view.m_shards) {
    if (record.m_owner.empty()) {
      continue;
    }
    m_owners[shard] = {record.m_owner, record.m_address, record.m_epoch,
                       view.m_members.contains(record.m_owner)};
  }
  for (const auto& [incarnation, member] : view.m_members) {
    m_members.push_back(member);
  }
}

std::optional<ShardOwner> RoutingTable::Find(const ShardId& shard) const {
  const auto owner = m_owners.find(shard);
  if (owner == m_owners.end()) {
    return std::nullopt;
  }
  return owner->second;
}

}  // namespace mustardslip
