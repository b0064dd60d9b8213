// The platform's store as the owner of a cell uses it: calls with callbacks on
// one loop, transactions over several keys, leases, and watches with a limit.
//
// It differs from KeyValueStore (store/key_value_store.h) in that it never
// blocks and commits several keys at once, which group commits need.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/result.h"

namespace mustardslip {

// The store's revision: grows with each change of any key. 0 stands for a key
// that does not exist.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct StoreItem {
  std::string m_key;
  std::string m_value;
  Revision m_revision = 0;

  bool operator==(const StoreItem&) const = default;
};

struct ItemPage {
  std::vector<StoreItem> m_items;
  // The next page begins after the last key of this one.
  bool m_more = false;
  Revision m_store_revision = 0;
};

struct StoreEvent {
  StoreItem m_item;
  bool m_deleted = false;
};

struct WatchAnswer {
  std::vector<StoreEvent> m_events;
  // Continue the watch after this revision.
  Revision m_store_revision = 0;
};

struct StorePut {
  std::string m_key;
  std::string m_value;
  // 0 for none.
  LeaseId m_lease = 0;
};

struct StoreTransaction {
  // Key and the revision that it must have.
  std::vector<std::pair<std::string, Revision>> m_expected;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

struct CommitAnswer {
  bool m_committed = false;
  // Of the changes, if committed.
  Revision m_revision = 0;
  // Otherwise: the expected keys that exist, as they are now.
  std::vector<StoreItem> m_current;
};

// Errors of all calls: kUnavailable if nothing was done, kUnknownOutcome if a
// write may have been done or may still be done while its condition holds,
// kNotFound for a lease that ended, kConflict with reason "history_gone" for a
// watch that asks for discarded history, kResourceExhausted above the rate.
template <typename T>
using StoreCallback = std::function<void(Result<T>)>;

template <typename S>
concept AsyncStore = requires(S store, const std::string& text,
                              Revision revision, std::int64_t ms, LeaseId lease,
                              const StoreTransaction& transaction) {
  // List(prefix, after key or "", callback)
  store.List(text, text, StoreCallback<ItemPage>());
  // Watch(prefix, after revision, wait in ms, callback)
  store.Watch(text, revision, ms, StoreCallback<WatchAnswer>());
  // Commit(transaction, timeout in ms, callback)
  store.Commit(transaction, ms, StoreCallback<CommitAnswer>());
  // GrantLease(ttl in ms, callback)
  store.GrantLease(ms, StoreCallback<LeaseId>());
  store.KeepLease(lease, StoreCallback<bool>());
  store.EndLease(lease, StoreCallback<bool>());
};

}  // namespace mustardslip
