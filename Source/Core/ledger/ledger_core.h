// State of the at-most-once ledger of one team shard, without I/O: tracks which
// records are pending, in flight and committed, starts new segments, and
// selects segments to delete. Used by LedgerWriter.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/idempotency_key.h"
#include "ledger/ledger_record.h"
#include "store/key_value_store.h"

namespace mustardslip {

struct LedgerOptions {
  // Far below the store's value limit, because each commit rewrites the whole
  // segment.
  std::size_t m_max_segment_bytes = 256U << 10U;
  // Limits the records of one shard in the store to 32 MB.
  std::size_t m_max_segments = 128;
  std::size_t m_max_pending_records = 20'000;
};

// A compare-and-swap write of one segment.
struct SegmentWrite {
  SegmentName m_name;
  std::string m_text;
  StoreRevision m_expected_version = kAbsent;

  bool operator==(const SegmentWrite&) const = default;
};

// Invariants: at most one write is in flight; a record is committed only after
// the write that contains it is known to be in the store; a record in state
// kStarted is never replaced by another start.
class LedgerCore {
 public:
  LedgerCore(std::int64_t shard, Epoch epoch, LedgerOptions options)
      : m_shard(shard), m_epoch(epoch), m_options(options) {}

  // Loads a sealed segment of an earlier epoch. Segments must be loaded in
  // ascending order.
  void Load(const SegmentName& name, StoreRevision version,
            const LedgerSegment& segment);
  // Reports that the empty first segment of this epoch is in the store.
  void OnSegmentOpened(StoreRevision version);

  // Adds a record in state kStarted. A record in state kNotRun can be started
  // again. Errors: kConflict if it exists in another state, kResourceExhausted
  // with reason "ledger_full".
  Result<void> Start(const std::string& id, const std::string& content_hash,
                     std::int64_t issued_unix_s);
  // Sets the final state, which is written with a later commit. An unknown
  // record is ignored. A record in state kNotRun that was never sent to the
  // store is dropped.
  void End(const std::string& id, RecordState state);
  std::optional<LedgerRecord> Find(const std::string& id) const;
  // Returns true if the record's last change is in the store.
  bool IsCommitted(const std::string& id) const;

  // Returns the next write if none is in flight and records are pending.
  std::optional<SegmentWrite> BeginWrite();
  // Reports that the write is in the store. Returns the ids of the records
  // whose last change is in it.
  std::vector<std::string> CommitWrite(StoreRevision version);
  // Reports that the write is certainly not in the store. Its records become
  // pending again; returns their ids.
  std::vector<std::string> AbortWrite();
  bool WriteInFlight() const { return m_in_flight.has_value(); }
  bool HasPending() const { return !m_pending.empty(); }

  // Drops records past their retention and returns the segments that contain no
  // others, with their versions. The caller calls OnSegmentDeleted() for each
  // segment that it has deleted from the store.
  std::vector<std::pair<SegmentName, StoreRevision>> Expire(
      std::int64_t now_unix_s);
  void OnSegmentDeleted(const SegmentName& name) { m_closed.erase(name); }

  std::int64_t Shard() const { return m_shard; }
  Epoch OwnEpoch() const { return m_epoch; }
  std::size_t RecordCount() const { return m_records.size(); }

 private:
  struct Entry {
    LedgerRecord m_record;
    // Number of changes so far, then the number of the newest change in flight
    // and of the newest change in the store (0: none).
    std::int64_t m_change_count = 0;
    std::int64_t m_change_in_flight = 0;
    std::int64_t m_committed_change = 0;
    // True while m_pending holds the id.
    bool m_queued = false;
  };
  struct ClosedSegment {
    StoreRevision m_version = kAbsent;
    // The segment can be deleted once this is past the retention.
    std::int64_t m_newest_unix_s = 0;
  };
  struct Write {
    SegmentWrite m_write;
    std::vector<std::string> m_ids;
  };

  void MarkChanged(Entry& entry);
  // Appends pending records to the write up to the maximum segment size.
  void FillWrite(Write& write);
  bool IsFull() const;
  void RollOver();
  void DropExpiredRecords(std::int64_t oldest_unix_s);

  const std::int64_t m_shard;
  const Epoch m_epoch;
  const LedgerOptions m_options;
  std::unordered_map<std::string, Entry> m_records;
  // Ids of records with a change that is not yet written, each once. The line
  // is encoded from the record's state at the time of the write.
  std::deque<std::string> m_pending;
  std::optional<Write> m_in_flight;
  // The current segment as it is in the store.
  std::int64_t m_number = 0;
  std::string m_text;
  StoreRevision m_version = kAbsent;
  std::int64_t m_newest_unix_s = 0;
  // Segments to which no more records are added.
  std::map<SegmentName, ClosedSegment> m_closed;
};

}  // namespace mustardslip
