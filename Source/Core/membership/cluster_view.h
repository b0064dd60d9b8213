// The member and shard records of the store: their format, and all of them as
// one value.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "membership/shard.h"
#include "store/key_value_store.h"

namespace mustardslip {

// Who owns a shard. A released shard keeps its record with an empty owner, so
// that its epoch is never used again.
struct ShardRecord {
  std::string m_owner;
  Endpoint m_address;
  Epoch m_epoch = 0;
  // The version of the store's key; not part of the stored value.
  StoreRevision m_version = kAbsent;

  bool operator==(const ShardRecord&) const = default;
};

std::string EncodeShardRecord(const ShardRecord& record);
// Errors: kInvalidArgument for a value that is no shard record.
Result<ShardRecord> DecodeShardRecord(const StoreEntry& entry);

std::string MemberKey(const std::string& incarnation);
std::string EncodeMember(const Member& member);
// Errors: kInvalidArgument for a value that is no member record.
Result<Member> DecodeMember(const StoreEntry& entry);

struct ClusterView {
  MemberMap m_members;
  std::map<ShardId, ShardRecord> m_shards;
  // The revision at which the members were listed.
  StoreRevision m_revision = 0;

  bool operator==(const ClusterView&) const = default;
};

// Builds the view. `shards` has to be listed before `members`: an owner that is
// absent in the later list of members has then lost its lease, and cannot be a
// daemon that joined between the two calls. Records that cannot be decoded are
// logged; their shards are left out, their members count as leaving.
ClusterView BuildClusterView(const StoreList& shards, const StoreList& members);

}  // namespace mustardslip
