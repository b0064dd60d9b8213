// Writes the ledger of one team shard to the store by group commit. Used by
// TeamShard.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/ledger_core.h"
#include "ledger/ledger_recovery.h"
#include "store/key_value_store.h"

namespace mustardslip {

// Minimum interval between two writes of a shard: at most 5 writes a second.
inline constexpr Milliseconds kLedgerWriteInterval{200};

struct LedgerStep {
  // Records that are now in the store, in the order of their changes.
  std::vector<std::string> m_committed;
  // Records whose write certainly failed; they are pending again.
  std::vector<std::string> m_failed;
  // A successor has sealed the ledger. No further record can be committed.
  bool m_superseded = false;
};

// Thread-safe. Recover(), Step() and Expire() block on store calls; Step() is
// called by one thread only.
template <KeyValueStore Store>
class LedgerWriter {
 public:
  LedgerWriter(std::int64_t shard, Epoch epoch, Store& store,
               LedgerOptions options)
      : m_core(shard, epoch, options), m_store(store) {}

  // Seals earlier epochs and loads their records; see LedgerRecovery.
  Result<void> Recover(std::int64_t now_unix_s);

  Result<void> Start(const std::string& id, const std::string& content_hash,
                     std::int64_t issued_unix_s);
  void End(const std::string& id, RecordState state);
  std::optional<LedgerRecord> Find(const std::string& id) const;
  bool IsCommitted(const std::string& id) const;
  // Returns true if Step() has something to do.
  bool HasWork() const;

  // Performs one write, or resolves an earlier write whose answer was lost.
  LedgerStep Step();
  // Deletes segments past their retention.
  void Expire(std::int64_t now_unix_s);

 private:
  LedgerStep HandlePutResult(const SegmentWrite& write,
                             const Result<StoreRevision>& result);
  LedgerStep ResolveWrite(const SegmentWrite& write);
  LedgerStep Commit(StoreRevision version);
  LedgerStep Abort();
  LedgerStep MarkSuperseded();

  mutable std::mutex m_mutex;
  LedgerCore m_core;  // Guarded by m_mutex.
  // The write whose answer was lost; used only by the thread that calls Step().
  std::optional<SegmentWrite> m_unresolved_write;
  bool m_superseded = false;  // Guarded by m_mutex.
  Store& m_store;
};

template <KeyValueStore Store>
Result<void> LedgerWriter<Store>::Recover(std::int64_t now_unix_s) {
  const std::lock_guard lock(m_mutex);
  LedgerRecovery<Store> recovery(m_core.Shard(), m_core.OwnEpoch(), m_store);
  return recovery.Run(m_core, now_unix_s);
}

template <KeyValueStore Store>
Result<void> LedgerWriter<Store>::Start(const std::string& id,
                                        const std::string& content_hash,
                                        std::int64_t issued_unix_s) {
  const std::lock_guard lock(m_mutex);
  if (m_superseded) {
    return Fail(ErrorCode::kStaleEpoch, "superseded");
  }
  return m_core.Start(id, content_hash, issued_unix_s);
}

template <KeyValueStore Store>
void LedgerWriter<Store>::End(const std::string& id, RecordState state) {
  const std::lock_guard lock(m_mutex);
  m_core.End(id, state);
}

template <KeyValueStore Store>
std::optional<LedgerRecord> LedgerWriter<Store>::Find(
    const std::string& id) const {
  const std::lock_guard lock(m_mutex);
  return m_core.Find(id);
}

template <KeyValueStore Store>
bool LedgerWriter<Store>::IsCommitted(const std::string& id) const {
  const std::lock_guard lock(m_mutex);
  return m_core.IsCommitted(id);
}

template <KeyValueStore Store>
bool LedgerWriter<Store>::HasWork() const {
  const std::lock_guard lock(m_mutex);
  return !m_superseded && (m_core.WriteInFlight() || m_core.HasPending());
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::Step() {
  if (m_unresolved_write) {
    return ResolveWrite(*m_unresolved_write);
  }
  std::optional<SegmentWrite> write;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_superseded) {
      write = m_core.BeginWrite();
    }
  }
  if (!write) {
    return {};
  }
  return HandlePutResult(
      *write, m_store.Put(SegmentKey(m_core.Shard(), write->m_name),
                          write->m_text, write->m_expected_version, ""));
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::HandlePutResult(
    const SegmentWrite& write, const Result<StoreRevision>& result) {
  if (result) {
    return Commit(*result);
  }
  if (result.error().Code() == ErrorCode::kUnavailable) {
    return Abort();
  }
  // A conflict can be caused by a duplicate delivery of this owner's own write.
  m_unresolved_write = write;
  return ResolveWrite(write);
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::ResolveWrite(const SegmentWrite& write) {
  const Result<StoreRead> read =
      m_store.Get(SegmentKey(m_core.Shard(), write.m_name));
  if (!read) {
    return {};
  }
  const std::optional<StoreEntry>& entry = read->m_entry;
  const StoreRevision version = entry ? entry->m_version : kAbsent;
  if (entry && entry->m_value == write.m_text) {
    return Commit(version);
  }
  if (version != write.m_expected_version) {
    return MarkSuperseded();
  }
  // The first write may still arrive. Repeating it is safe: only one of the two
  // takes effect, and both write the same text.
  const Result<StoreRevision> again =
      m_store.Put(SegmentKey(m_core.Shard(), write.m_name), write.m_text,
                  write.m_expected_version, "");
  return again ? Commit(*again) : LedgerStep{};
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::Commit(StoreRevision version) {
  const std::lock_guard lock(m_mutex);
  m_unresolved_write.reset();
  return {m_core.CommitWrite(version), {}, false};
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::Abort() {
  const std::lock_guard lock(m_mutex);
  return {{}, m_core.AbortWrite(), false};
}

template <KeyValueStore Store>
LedgerStep LedgerWriter<Store>::MarkSuperseded() {
  const std::lock_guard lock(m_mutex);
  m_superseded = true;
  return {{}, {}, true};
}

template <KeyValueStore Store>
void LedgerWriter<Store>::Expire(std::int64_t now_unix_s) {
  std::vector<std::pair<SegmentName, StoreRevision>> expired;
  {
    const std::lock_guard lock(m_mutex);
    expired = m_core.Expire(now_unix_s);
  }
  for (const auto& [name, version] : expired) {
    const Result<StoreRevision> deleted =
        m_store.Delete(SegmentKey(m_core.Shard(), name), version);
    if (!deleted && deleted.error().Code() != ErrorCode::kConflict) {
      return;
    }
    const std::lock_guard lock(m_mutex);
    m_core.OnSegmentDeleted(name);
  }
}

}  // namespace mustardslip
