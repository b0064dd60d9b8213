// The state of a key-value store with leases, for the fake and the stand-in.
// One implementation serves both, so that they cannot differ.
//
// Not thread-safe. The caller passes the time (milliseconds) to each call;
// leases end when a call passes a time at or after their end.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "store/key_value_store.h"

namespace mustardslip {

class StoreModel {
 public:
  StoreRead Get(std::int64_t now_ms, const std::string& key) {
    EndLeases(now_ms);
    const auto record = m_records.find(key);
    if (record == m_records.end()) {
      return {std::nullopt, m_revision};
    }
    return {record->second.m_entry, m_revision};
  }

  StoreList List(std::int64_t now_ms, const std::string& prefix) {
    EndLeases(now_ms);
    StoreList list{{}, m_revision};
    for (auto record = m_records.lower_bound(prefix);
         record != m_records.end() && record->first.starts_with(prefix);
         ++record) {
      list.m_entries.push_back(record->second.m_entry);
    }
    return list;
  }

  Result<StoreRevision> Put(std::int64_t now_ms, const std::string& key,
                            const std::string& value, StoreRevision expected,
                            const StoreLeaseId& lease) {
    EndLeases(now_ms);
    if (key.empty() || value.size() > kMaxStoreValueBytes) {
      return Fail(ErrorCode::kInvalidArgument,
                  key.empty() ? "empty_key" : "value_too_large");
    }
    if (!lease.empty() && !m_leases.contains(lease)) {
      return Fail(ErrorCode::kNotFound, "lease_not_found");
    }
    if (VersionOf(key) != expected) {
      return Fail(ErrorCode::kConflict, "version_differs");
    }
    Detach(key);
    Touch(key);
    m_records[key] = {{key, value, m_revision}, lease};
    if (!lease.empty()) {
      m_leases[lease].m_keys.insert(key);
    }
    return m_revision;
  }

  Result<StoreRevision> Delete(std::int64_t now_ms, const std::string& key,
                               StoreRevision expected) {
    EndLeases(now_ms);
    if (expected == kAbsent) {
      return Fail(ErrorCode::kInvalidArgument, "expected_version_required");
    }
    if (VersionOf(key) != expected) {
      return Fail(ErrorCode::kConflict, "version_differs");
    }
    Remove(key);
    return m_revision;
  }

  StoreLeaseId GrantLease(std::int64_t now_ms, Milliseconds ttl) {
    EndLeases(now_ms);
    StoreLeaseId id = "lease-" + std::to_string(++m_last_lease);
    m_leases[id] = {ttl, now_ms + ttl.count(), {}};
    return id;
  }

  Result<void> RenewLease(std::int64_t now_ms, const StoreLeaseId& id) {
    EndLeases(now_ms);
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
      return Fail(ErrorCode::kNotFound, "lease_not_found");
    }
    lease->second.m_end_ms = now_ms + lease->second.m_ttl.count();
    return {};
  }

  // Ends a lease and deletes its keys.
  Result<void> RevokeLease(std::int64_t now_ms, const StoreLeaseId& id) {
    EndLeases(now_ms);
    if (!m_leases.contains(id)) {
      return Fail(ErrorCode::kNotFound, "lease_not_found");
    }
    EndLease(id);
    return {};
  }

  void EndAllLeases() {
    while (!m_leases.empty()) {
      EndLease(m_leases.begin()->first);
    }
  }

  // Whether a key with the prefix was written or deleted after `since`.
  bool ChangedSince(std::int64_t now_ms, const std::string& prefix,
                    StoreRevision since) {
    EndLeases(now_ms);
    for (auto change = m_last_change.lower_bound(prefix);
         change != m_last_change.end() && change->first.starts_with(prefix);
         ++change) {
      if (change->second > since) {
        return true;
      }
    }
    return false;
  }

  StoreRevision Revision() const { return m_revision; }
  std::size_t KeyCount() const { return m_records.size(); }
  std::size_t LeaseCount() const { return m_leases.size(); }

  // When the next lease ends if it is not renewed.
  std::optional<std::int64_t> NextLeaseEnd() const {
    std::optional<std::int64_t> next;
    for (const auto& [id, lease] : m_leases) {
      if (!next || lease.m_end_ms < *next) {
        next = lease.m_end_ms;
      }
    }
    return next;
  }

 private:
  struct Record {
    StoreEntry m_entry;
    StoreLeaseId m_lease;
  };

  struct Lease {
    Milliseconds m_ttl{0};
    std::int64_t m_end_ms = 0;
    std::set<std::string> m_keys;
  };

  StoreRevision VersionOf(const std::string& key) const {
    const auto record = m_records.find(key);
    return record == m_records.end() ? kAbsent
                                     : record->second.m_entry.m_version;
  }

  void Touch(const std::string& key) { m_last_change[key] = ++m_revision; }

  // Removes the key from its lease.
  void Detach(const std::string& key) {
    const auto record = m_records.find(key);
    if (record != m_records.end() && !record->second.m_lease.empty()) {
      m_leases[record->second.m_lease].m_keys.erase(key);
    }
  }

  void Remove(const std::string& key) {
    Detach(key);
    m_records.erase(key);
    Touch(key);
  }

  void EndLease(const StoreLeaseId& id) {
    const std::set<std::string> keys = m_leases[id].m_keys;
    for (const std::string& key : keys) {
      Remove(key);
    }
    m_leases.erase(id);
  }

  void EndLeases(std::int64_t now_ms) {
    std::set<StoreLeaseId> ended;
    for (const auto& [id, lease] : m_leases) {
      if (lease.m_end_ms <= now_ms) {
        ended.insert(id);
      }
    }
    for (const StoreLeaseId& id : ended) {
      EndLease(id);
    }
  }

  StoreRevision m_revision = 0;
  std::int64_t m_last_lease = 0;
  std::map<std::string, Record> m_records;
  // The last change of each key that ever existed; deleted keys stay, since a
  // watch has to see the deletion.
  std::map<std::string, StoreRevision> m_last_change;
  // Each key of a lease is in m_records with that lease.
  std::map<StoreLeaseId, Lease> m_leases;
};

}  // namespace mustardslip
