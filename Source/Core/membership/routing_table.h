// An immutable snapshot of who owns which shard.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "membership/cluster_view.h"

namespace mustardslip {

class RoutingTable {
 public:
  RoutingTable() = default;
  explicit RoutingTable(const ClusterView& view);

  // Empty if the shard was never owned or is released.
  std::optional<ShardOwner> Find(const ShardId& shard) const;

  const std::map<ShardId, ShardOwner>& Owners() const { return m_owners; }
  // In the order of their incarnations; members that leave are included.
  const std::vector<Member>& Members() const { return m_members; }
  // The store revision at which the members were read; 0 before the first read.
  StoreRevision Revision() const { return m_revision; }

 private:
  std::map<ShardId, ShardOwner> m_owners;
  std::vector<Member> m_members;
  StoreRevision m_revision = 0;
};

}  // namespace mustardslip
