// Store calls of membership that resolve lost answers by reading back.
#pragma once

#include <string>

#include "common/random_id.h"
#include "membership/cluster_view.h"
#include "store/key_value_store.h"

namespace mustardslip {

// Put() whose lost answer is resolved by one read (guard READ_BACK of the
// specification). The value has to be one that only this caller writes. Errors:
// kConflict if another write won; any other error leaves open whether the write
// takes effect later.
template <KeyValueStore Store>
Result<StoreRevision> PutAndReadBack(Store& store, const std::string& key,
                                     const std::string& value,
                                     StoreRevision expected_version,
                                     const StoreLeaseId& lease) {
  Result<StoreRevision> put = store.Put(key, value, expected_version, lease);
  if (put || put.error().HadNoEffect()) {
    return put;
  }
  const Result<StoreRead> read = store.Get(key);
  if (!read) {
    return put;
  }
  const std::optional<StoreEntry>& entry = read->m_entry;
  if (entry && entry->m_value == value) {
    return entry->m_version;
  }
  const StoreRevision version = entry ? entry->m_version : kAbsent;
  if (version != expected_version) {
    return Fail(ErrorCode::kConflict, "version_mismatch", key);
  }
  return put;
}

// Two reads. The order matters, see BuildClusterView().
template <KeyValueStore Store>
Result<ClusterView> ReadCluster(Store& store) {
  const Result<StoreList> shards = store.List(std::string(kShardPrefix));
  if (!shards) {
    return tl::unexpected(shards.error());
  }
  const Result<StoreList> members = store.List(std::string(kMemberPrefix));
  if (!members) {
    return tl::unexpected(members.error());
  }
  return BuildClusterView(*shards, *members);
}

// A member record in the store under a lease.
struct Registration {
  Member m_member;
  StoreLeaseId m_lease;
  StoreRevision m_version = kAbsent;
};

// Writes the record of a new incarnation. After an error the incarnation is
// never used; its record, if the write takes effect later, ends with its lease.
template <KeyValueStore Store>
Result<Registration> RegisterMember(Store& store, Member member,
                                    Milliseconds lease) {
  const Result<StoreLeaseId> granted = store.GrantLease(lease);
  if (!granted) {
    return tl::unexpected(granted.error());
  }
  const Result<StoreRevision> version =
      PutAndReadBack(store, MemberKey(member.m_incarnation),
                     EncodeMember(member), kAbsent, *granted);
  if (!version) {
    store.RevokeLease(*granted);
    return tl::unexpected(version.error());
  }
  return Registration{std::move(member), *granted, *version};
}

// Errors as for PutAndReadBack().
template <KeyValueStore Store>
Result<StoreRevision> WriteShardRecord(Store& store, const ShardId& shard,
                                       const ShardRecord& record,
                                       StoreRevision expected_version) {
  return PutAndReadBack(store, shard.StoreKey(), EncodeShardRecord(record),
                        expected_version, "");
}

}  // namespace mustardslip
