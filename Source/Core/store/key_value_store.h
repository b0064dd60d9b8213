// The platform's key-value store as this system sees it.
//
// Every call counts against the store's rates, and a waiting watch counts as
// one. Values hold up to 1 MB.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/result.h"

namespace mustardslip {

// The store's revision: grows with every change of any key, never repeats.
using StoreRevision = std::int64_t;

// The expected version of a key that must be absent.
inline constexpr StoreRevision kAbsent = 0;

inline constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

struct StoreEntry {
  std::string m_key;
  std::string m_value;
  // The revision of the key's last change. Differs from all earlier versions of
  // the key, also after it was deleted and created again.
  StoreRevision m_version = kAbsent;

  bool operator==(const StoreEntry&) const = default;
};

struct StoreRead {
  std::optional<StoreEntry> m_entry;
  StoreRevision m_revision = 0;

  bool operator==(const StoreRead&) const = default;
};

// All keys with a prefix, in the order of their names, at one revision.
struct StoreList {
  std::vector<StoreEntry> m_entries;
  StoreRevision m_revision = 0;

  bool operator==(const StoreList&) const = default;
};

struct StoreWatch {
  // False: nothing with the prefix changed within the time limit.
  bool m_changed = false;
  StoreRevision m_revision = 0;

  bool operator==(const StoreWatch&) const = default;
};

using StoreLeaseId = std::string;

// Blocking and thread-safe. Errors of all calls: kUnavailable if the call
// certainly had no effect; kTimeout or kUnknownOutcome if a write may have
// taken effect, which the caller resolves by reading back.
template <typename T>
concept KeyValueStore = requires(T store, const std::string& text,
                                 StoreRevision revision, Milliseconds duration,
                                 const StoreLeaseId& lease) {
  { store.Get(text) } -> std::same_as<Result<StoreRead>>;
  { store.List(text) } -> std::same_as<Result<StoreList>>;
  // Put(key, value, expected version, lease or ""): the new version, or
  // kConflict if the key has another version, or kNotFound with reason
  // "lease_not_found". A key with a lease is deleted when the lease ends.
  {
    store.Put(text, text, revision, lease)
    } -> std::same_as<Result<StoreRevision>>;
  // Delete(key, expected version): kConflict as for Put.
  { store.Delete(text, revision) } -> std::same_as<Result<StoreRevision>>;
  // Watch(prefix, since, limit): waits until a key with the prefix has a
  // change after revision `since`, at most `limit`.
  { store.Watch(text, revision, duration) } -> std::same_as<Result<StoreWatch>>;
  { store.GrantLease(duration) } -> std::same_as<Result<StoreLeaseId>>;
  // kNotFound if the lease has ended.
  { store.RenewLease(lease) } -> std::same_as<Result<void>>;
  { store.RevokeLease(lease) } -> std::same_as<Result<void>>;
};

}  // namespace mustardslip
