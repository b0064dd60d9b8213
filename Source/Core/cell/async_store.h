// Asynchronous interface to the platform's store: transactions on several keys,
// leases and watches with a time limit. Callbacks run on the caller's loop.
//
// Unlike KeyValueStore (store/key_value_store.h), it never blocks and commits
// several keys at once, which group commits need.
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

// Revision of the store, incremented by each change of any key. 0 means that a
// key does not exist.
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
  // More items follow; request them after the last key of this page.
  bool m_more = false;
  Revision m_store_revision = 0;
};

struct StoreEvent {
  StoreItem m_item;
  bool m_deleted = false;
};

struct WatchAnswer {
  std::vector<StoreEvent> m_events;
  // Revision after which the next watch continues.
  Revision m_store_revision = 0;
};

struct StorePut {
  std::string m_key;
  std::string m_value;
  // Lease that the key is bound to; 0 for none.
  LeaseId m_lease = 0;
};

struct StoreTransaction {
  // Preconditions: keys and the revisions that they must have.
  std::vector<std::pair<std::string, Revision>> m_expected;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

struct CommitAnswer {
  bool m_committed = false;
  // Revision of the changes, if committed.
  Revision m_revision = 0;
  // If not committed: current items of those expected keys that exist.
  std::vector<StoreItem> m_current;
};

// Errors of all calls: kUnavailable if the call had no effect, kUnknownOutcome
// if a write may have taken effect or may still do so while its precondition
// holds, kNotFound for an expired lease, kConflict with reason "history_gone"
// for a watch on discarded history, kResourceExhausted above the rate limit.
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
  store.RenewLease(lease, StoreCallback<bool>());
  store.EndLease(lease, StoreCallback<bool>());
};

}  // namespace mustardslip
