// The log of a cell in the store: numbered segments that only the current owner
// can write. CellOwner loads it and appends to it.
//
// Each write is a transaction that requires the owner's record to be unchanged
// and the segment to be absent. A superseded owner or a delayed write can
// therefore add nothing, and a lost answer is resolved by repeating the same
// transaction: if the segment exists, this owner wrote it.
#pragma once

#include <fmt/core.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/async_store.h"
#include "cell/link_share.h"
#include "cell/log_record.h"
#include "cell/timer_loop.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

// Keys of a cell in the store.
inline constexpr std::string_view kOwnerKey = "mustardslip/owner";
inline constexpr std::string_view kLogPrefix = "mustardslip/log/";
inline constexpr std::string_view kSnapshotPrefix = "mustardslip/snapshot/";

inline std::string SegmentKey(std::uint64_t number) {
  return fmt::format("{}{:012}", kLogPrefix, number);
}

// A snapshot replaces all segments below its number.
inline std::string SnapshotKey(std::uint64_t number, std::size_t part) {
  return fmt::format("{}{:012}/{:04}", kSnapshotPrefix, number, part);
}

template <AsyncStore Store, TimerLoop Loop>
class OwnerLog {
 public:
  struct Loaded {
    std::vector<LogRecord> m_records;
    std::size_t m_segments = 0;
    // Bytes that were read, and those of them that a newer snapshot replaced.
    std::size_t m_bytes = 0;
    std::size_t m_obsolete_bytes = 0;
  };

  OwnerLog(Store& store, Loop& loop, LinkShare link = {})
      : m_store(store), m_loop(loop), m_link(link) {}

  OwnerLog(const OwnerLog&) = delete;
  OwnerLog& operator=(const OwnerLog&) = delete;

  // Sets the handler called when a write shows that there is another owner.
  void OnSuperseded(std::function<void()> handler) {
    m_on_superseded = std::move(handler);
  }

  // Reads the whole log and retries until this succeeds. `owner_revision`:
  // revision of this daemon's owner record, required by all later writes.
  void Load(Revision owner_revision, std::function<void(Loaded)> done) {
    m_owner_revision = owner_revision;
    m_load_done = std::move(done);
    RestartLoad();
  }

  // Writes one segment; `done` runs when it is in the store. Requires that no
  // write is in progress.
  void Append(std::string bytes, std::function<void()> done) {
    Invariant(!m_writing, "only one segment may be written at a time");
    m_writing = true;
    ++m_write_number;
    m_pending_attempts = 0;
    m_resends = 0;
    m_write_started_ms = m_loop.Now().m_steady_ms;
    m_segment_done = std::move(done);
    m_transaction = StoreTransaction{};
    m_transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision},
                                {SegmentKey(m_next_segment), 0}};
    m_bytes_since_snapshot += bytes.size();
    m_transmit_ms = m_link.WriteMs(static_cast<std::int64_t>(bytes.size()));
    m_transaction.m_puts = {{SegmentKey(m_next_segment), std::move(bytes), 0}};
    SendWrite();
  }

  bool Writing() const { return m_writing; }

  // Milliseconds for which the current write has been unanswered, beyond its
  // time on the link; 0 for none.
  std::int64_t StalledMs() const {
    return m_writing ? std::max<std::int64_t>(0, m_loop.Now().m_steady_ms -
                                                     m_write_started_ms -
                                                     TransmitLimitMs())
                     : 0;
  }

  // True if the store accepts no writes from this daemon: several attempts
  // failed, for longer than a slow store takes.
  bool Stuck() const {
    return StalledMs() > kSilentStoreMs ||
           (m_refused_attempts >= kAttemptsBeforeStuck &&
            StalledMs() > kStuckMs);
  }

  // Revision of the last durable segment; 0 before the first one.
  Revision LastRevision() const { return m_last_revision; }
  // Steady-clock time of the store's last answer to a write.
  std::int64_t LastAnswerMs() const { return m_last_answer_ms; }

  // True if a snapshot is due. A new owner reads the last snapshot and what
  // follows it, so a snapshot must save at least as much reading as its size.
  bool SnapshotDue() const {
    return !m_writing_snapshot && m_obsolete_keys.empty() &&
           (m_next_segment - m_first_segment > kSegmentsPerSnapshot ||
            m_bytes_since_snapshot >
                std::max(static_cast<std::size_t>(m_link.MinSnapshotBytes()),
                         m_snapshot_bytes));
  }

  // Writes a snapshot that replaces all durable segments. `records`: the state
  // after these segments. Call when a segment became durable, before the next
  // Append.
  void WriteSnapshot(const std::vector<LogRecord>& records) {
    m_writing_snapshot = true;
    m_bytes_since_snapshot = 0;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->m_number = m_next_segment;
    m_snapshot_bytes = 0;
    for (auto begin = records.begin(); begin != records.end();) {
      const auto end = EndOfPart(begin, records.end());
      snapshot->m_parts.push_back(EncodeRecords({begin, end}));
      m_snapshot_bytes += snapshot->m_parts.back().size();
      begin = end;
    }
    WritePart(snapshot);
  }

 private:
  static constexpr std::uint64_t kSegmentsPerSnapshot = 4'000;
  // At about 200 bytes a record, far below the store's value size limit.
  static constexpr std::size_t kRecordsPerPart = 1'500;
  // Maximum number of keys that one transaction removes.
  static constexpr std::size_t kRemovalsPerTransaction = 30;
  // Pause between such transactions, which count towards the store's write rate
  // limit.
  static constexpr std::int64_t kRemovalIntervalMs = 40;
  static constexpr std::int64_t kMinResendMs = 150;
  static constexpr std::int64_t kMaxTimeoutMs = 1'500;
  // An unanswered write is sent again after this multiple of the average
  // latency; the delay doubles with each repetition.
  static constexpr std::int64_t kResendFactor = 4;
  static constexpr int kMaxDoublings = 4;
  static constexpr int kMaxPendingAttempts = 3;
  static constexpr std::int64_t kRetryMs = 40;
  // A refusing store fails at once. A slow one (answers of up to 300 ms were
  // seen) looks like one that does not answer during the first attempts.
  static constexpr int kAttemptsBeforeStuck = 4;
  static constexpr std::int64_t kStuckMs = 300;
  static constexpr std::int64_t kSilentStoreMs = 1'100;
  // Key suffix that marks a complete snapshot; written after all its parts.
  static constexpr std::string_view kCompletePart = "complete";

  struct Snapshot {
    std::uint64_t m_number = 0;
    std::vector<std::string> m_parts;
    std::size_t m_next_part = 0;
    // Those that are in the store.
    std::vector<std::string> m_keys;

    const std::string& Part() const { return m_parts[m_next_part]; }
  };

  // --- Load ---

  void RestartLoad() {
    m_loading_segments.clear();
    m_loading_snapshots.clear();
    LoadPage(std::string(kSnapshotPrefix), "");
  }

  void LoadPage(const std::string& prefix, const std::string& after) {
    m_store.List(prefix, after, m_guard.Wrap([this, prefix](auto page) {
      if (!page) {
        Later(kRetryMs, [this] { RestartLoad(); });
        return;
      }
      auto& items =
          prefix == kLogPrefix ? m_loading_segments : m_loading_snapshots;
      for (StoreItem& item : page->m_items) {
        items.push_back(std::move(item));
      }
      if (page->m_more && !page->m_items.empty()) {
        LoadPage(prefix, items.back().m_key);
      } else if (prefix == kSnapshotPrefix) {
        LoadPage(std::string(kLogPrefix), "");
      } else {
        FinishLoad();
      }
    }));
  }

  void FinishLoad() {
    Loaded loaded;
    m_bytes_since_snapshot = 0;
    m_snapshot_bytes = 0;
    m_obsolete_keys.clear();
    m_first_segment = ReadSnapshot(loaded);
    m_next_segment = m_first_segment;
    for (const StoreItem& item : m_loading_segments) {
      const std::string expected = SegmentKey(m_next_segment);
      if (item.m_key < SegmentKey(m_first_segment)) {
        // Covered by the snapshot.
        AddObsolete(item, loaded);
        continue;
      }
      // Each segment is written only after the previous one is durable.
      Invariant(item.m_key == expected, "log segment numbers are consecutive");
      DecodeInto(item.m_value, loaded);
      m_bytes_since_snapshot += item.m_value.size();
      ++m_next_segment;
      ++loaded.m_segments;
    }
    m_loading_segments.clear();
    m_loading_snapshots.clear();
    RemoveObsoleteKeys();
    m_load_done(std::move(loaded));
  }

  // Decodes the newest complete snapshot into `loaded`. Returns its number, or
  // 1 if there is none.
  std::uint64_t ReadSnapshot(Loaded& loaded) {
    std::uint64_t newest = 0;
    m_snapshot_keys.clear();
    for (const StoreItem& item : m_loading_snapshots) {
      if (item.m_key.ends_with(kCompletePart)) {
        newest = std::max(newest, SnapshotNumber(item.m_key));
      }
    }
    for (const StoreItem& item : m_loading_snapshots) {
      if (SnapshotNumber(item.m_key) != newest) {
        AddObsolete(item, loaded);
        continue;
      }
      m_snapshot_keys.push_back(item.m_key);
      if (!item.m_key.ends_with(kCompletePart)) {
        DecodeInto(item.m_value, loaded);
        m_snapshot_bytes += item.m_value.size();
      }
    }
    return std::max<std::uint64_t>(1, newest);
  }

  void AddObsolete(const StoreItem& item, Loaded& loaded) {
    m_obsolete_keys.push_back(item.m_key);
    loaded.m_bytes += item.m_value.size();
    loaded.m_obsolete_bytes += item.m_value.size();
  }

  static std::uint64_t SnapshotNumber(const std::string& snapshot_key) {
    return std::strtoull(snapshot_key.c_str() + kSnapshotPrefix.size(), nullptr,
                         10);
  }

  static void DecodeInto(const std::string& value, Loaded& loaded) {
    loaded.m_bytes += value.size();
    auto records = DecodeRecords(value);
    if (!records) {
      Log(LogLevel::kError, LogCategory::kLedger, "log_segment_unreadable",
          {{"reason", records.error().Reason()}});
      return;
    }
    std::move(records->begin(), records->end(),
              std::back_inserter(loaded.m_records));
  }

  // --- Append ---

  // Sends the current write and schedules a repetition, which runs in parallel
  // with the first call: a slow store answers the first one, and a repetition
  // makes up for a lost answer.
  void SendWrite() {
    ++m_pending_attempts;
    const std::uint64_t number = ++m_last_attempt;
    const std::int64_t sent_ms = m_loop.Now().m_steady_ms;
    m_store.Commit(
        m_transaction, kMaxTimeoutMs + TransmitLimitMs(),
        m_guard.Wrap([this, write = m_write_number, sent_ms](auto answer) {
          if (m_writing && write == m_write_number) {
            OnCommit(std::move(answer), sent_ms);
          }
        }));
    Later(ResendDelayMs(), [this, number] { ResendWrite(number); });
  }

  std::int64_t ResendDelayMs() const {
    return std::clamp(m_average_latency_ms * kResendFactor << m_resends,
                      kMinResendMs, kMaxTimeoutMs) +
           TransmitLimitMs();
  }

  // A large write that is still on its way is not sent again: the copies would
  // fill the link that delays it.
  std::int64_t TransmitLimitMs() const { return kResendFactor * m_transmit_ms; }

  // Does nothing if a newer attempt was made or the write is done.
  void ResendWrite(std::uint64_t after_attempt) {
    if (m_writing && after_attempt == m_last_attempt &&
        m_pending_attempts < kMaxPendingAttempts) {
      m_resends = std::min(m_resends + 1, kMaxDoublings);
      SendWrite();
    }
  }

  void OnCommit(Result<CommitAnswer> answer, std::int64_t sent_ms) {
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    if (!answer) {
      --m_pending_attempts;
      if (answer.error().HadNoEffect()) {
        ++m_refused_attempts;
      }
      Later(kRetryMs, [this, number = m_last_attempt] { ResendWrite(number); });
      return;
    }
    m_refused_attempts = 0;
    m_last_answer_ms = now_ms;
    m_average_latency_ms = std::max<std::int64_t>(
        1, (m_average_latency_ms * 3 + (now_ms - sent_ms)) / 4);
    if (answer->m_committed || SegmentExists(*answer)) {
      m_last_revision =
          answer->m_committed ? answer->m_revision : SegmentRevision(*answer);
      m_writing = false;
      ++m_next_segment;
      const auto done = std::move(m_segment_done);
      done();
      return;
    }
    Superseded();
  }

  // True if the owner's record is unchanged and the segment exists: only an
  // earlier attempt of this owner can have written it.
  bool SegmentExists(const CommitAnswer& answer) const {
    const bool own = std::any_of(
        answer.m_current.begin(), answer.m_current.end(),
        [&](const StoreItem& item) {
          return item.m_key == kOwnerKey && item.m_revision == m_owner_revision;
        });
    return own && SegmentRevision(answer) != 0;
  }

  // 0 if the segment that is being written does not exist.
  Revision SegmentRevision(const CommitAnswer& answer) const {
    for (const StoreItem& item : answer.m_current) {
      if (item.m_key == SegmentKey(m_next_segment)) {
        return item.m_revision;
      }
    }
    return 0;
  }

  void Superseded() {
    m_guard.DropAll();
    if (m_on_superseded) {
      m_on_superseded();
    }
  }

  // --- Snapshot ---

  // The records from `begin` that make up one part: at least one.
  template <typename Iterator>
  Iterator EndOfPart(Iterator begin, Iterator end) const {
    std::int64_t bytes = 0;
    std::size_t count = 0;
    while (begin != end && count < kRecordsPerPart &&
           bytes < m_link.MaxBatchBytes()) {
      bytes += static_cast<std::int64_t>(EstimatedSize(*begin));
      ++begin;
      ++count;
    }
    return begin;
  }

  void WritePart(std::shared_ptr<Snapshot> snapshot) {
    const bool last = snapshot->m_next_part == snapshot->m_parts.size();
    StoreTransaction transaction;
    transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision}};
    const std::string key =
        last ? fmt::format("{}{:012}/{}", kSnapshotPrefix, snapshot->m_number,
                           kCompletePart)
             : SnapshotKey(snapshot->m_number, snapshot->m_next_part);
    transaction.m_puts = {{key, last ? "" : snapshot->Part(), 0}};
    m_store.Commit(
        transaction, kMaxTimeoutMs,
        m_guard.Wrap([this, snapshot, key, last](auto answer) {
          if (!answer) {
            Later(kRetryMs, [this, snapshot] { WritePart(snapshot); });
            return;
          }
          if (!answer->m_committed) {
            Superseded();
            return;
          }
          snapshot->m_keys.push_back(key);
          if (last) {
            OnSnapshotWritten(*snapshot);
          } else {
            // Leaves the link to other work for as long.
            const std::int64_t pause_ms = m_link.WriteMs(
                static_cast<std::int64_t>(snapshot->Part().size()));
            ++snapshot->m_next_part;
            Later(pause_ms, [this, snapshot] { WritePart(snapshot); });
          }
        }));
  }

  void OnSnapshotWritten(const Snapshot& snapshot) {
    for (std::uint64_t i = m_first_segment; i < snapshot.m_number; ++i) {
      m_obsolete_keys.push_back(SegmentKey(i));
    }
    m_obsolete_keys.insert(m_obsolete_keys.end(), m_snapshot_keys.begin(),
                           m_snapshot_keys.end());
    m_snapshot_keys = snapshot.m_keys;
    m_first_segment = snapshot.m_number;
    m_writing_snapshot = false;
    RemoveObsoleteKeys();
  }

  void RemoveObsoleteKeys() {
    if (m_obsolete_keys.empty()) {
      return;
    }
    StoreTransaction transaction;
    transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision}};
    const std::size_t count =
        std::min(kRemovalsPerTransaction, m_obsolete_keys.size());
    transaction.m_removals.assign(
        m_obsolete_keys.begin(),
        m_obsolete_keys.begin() + static_cast<std::ptrdiff_t>(count));
    m_store.Commit(
        transaction, kMaxTimeoutMs, m_guard.Wrap([this, count](auto answer) {
          if (!answer) {
            Later(kMaxTimeoutMs, [this] { RemoveObsoleteKeys(); });
            return;
          }
          if (!answer->m_committed) {
            return;  // The next log write detects the new owner.
          }
          m_obsolete_keys.erase(
              m_obsolete_keys.begin(),
              m_obsolete_keys.begin() + static_cast<std::ptrdiff_t>(count));
          Later(kRemovalIntervalMs, [this] { RemoveObsoleteKeys(); });
        }));
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_loop.After(ms, m_guard.Wrap(std::move(task)));
  }

  Store& m_store;
  Loop& m_loop;
  const LinkShare m_link;
  CallbackGuard m_guard;
  std::function<void()> m_on_superseded;

  Revision m_owner_revision = 0;
  std::function<void(Loaded)> m_load_done;
  std::vector<StoreItem> m_loading_segments;
  std::vector<StoreItem> m_loading_snapshots;

  // The oldest segment that no snapshot covers.
  std::uint64_t m_first_segment = 1;
  std::uint64_t m_next_segment = 1;
  std::size_t m_bytes_since_snapshot = 0;
  std::size_t m_snapshot_bytes = 0;
  bool m_writing = false;
  bool m_writing_snapshot = false;
  std::int64_t m_write_started_ms = 0;
  // Time that the current write takes on the link alone.
  std::int64_t m_transmit_ms = 0;
  std::int64_t m_last_answer_ms = 0;
  Revision m_last_revision = 0;
  // Moving average of the time to an answer.
  std::int64_t m_average_latency_ms = kMinResendMs / kResendFactor;
  // Numbers of the current write and of the latest attempt of any write.
  std::uint64_t m_write_number = 0;
  std::uint64_t m_last_attempt = 0;
  // Unanswered attempts of the current write, and its repetitions.
  int m_pending_attempts = 0;
  int m_resends = 0;
  int m_refused_attempts = 0;
  StoreTransaction m_transaction;
  std::function<void()> m_segment_done;
  // Of the newest complete snapshot.
  std::vector<std::string> m_snapshot_keys;
  std::vector<std::string> m_obsolete_keys;
};

}  // namespace mustardslip
