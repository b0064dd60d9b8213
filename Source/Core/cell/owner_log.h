// The log of a cell in the store: numbered segments that only the present owner
// can write.
//
// Each write is a transaction on the owner's record (unchanged since it was
// taken) and on the absence of the segment. A superseded owner can therefore
// add nothing, a write that is carried out late neither, and a lost answer is
// resolved by repeating the same transaction: if the segment exists, it is
// ours.
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
  };

  OwnerLog(Store& store, Loop& loop) : m_store(store), m_loop(loop) {}

  OwnerLog(const OwnerLog&) = delete;
  OwnerLog& operator=(const OwnerLog&) = delete;

  // Called when another owner was found in the store.
  void OnSuperseded(std::function<void()> handler) {
    m_on_superseded = std::move(handler);
  }

  // Reads the whole log under the ownership that was taken at
  // `owner_revision`; repeats until it succeeds.
  void Load(Revision owner_revision, std::function<void(Loaded)> done) {
    m_owner_revision = owner_revision;
    m_load_done = std::move(done);
    RestartLoad();
  }

  // Writes one segment; `done` runs when it is in the store. One at a time.
  void Append(std::string bytes, std::function<void()> done) {
    Invariant(!m_writing, "one segment is written at a time");
    m_writing = true;
    ++m_write;
    m_open_tries = 0;
    m_repeats = 0;
    m_first_try_ms = m_loop.Now().m_steady_ms;
    m_segment_done = std::move(done);
    m_transaction = StoreTransaction{};
    m_transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision},
                                {SegmentKey(m_next_segment), 0}};
    m_bytes_since_snapshot += bytes.size();
    m_transaction.m_puts = {{SegmentKey(m_next_segment), std::move(bytes), 0}};
    Try();
  }

  bool Writing() const { return m_writing; }

  // How long the present write has been without an answer, in milliseconds.
  std::int64_t StalledMs() const {
    return m_writing ? m_loop.Now().m_steady_ms - m_first_try_ms : 0;
  }

  // The store takes no writes from this daemon: several tries failed, over more
  // than the time that a slow store takes.
  bool Stuck() const {
    return StalledMs() > kSilentStoreMs ||
           (m_refused_tries >= kTriesBeforeStuck && StalledMs() > kStuckMs);
  }

  // Steady clock of the last answer of the store to a write.
  std::int64_t LastAnswerMs() const { return m_last_answer_ms; }

  // A new owner reads the last snapshot and what follows it: no snapshot is
  // written before it saves as much reading as it is large.
  bool WantsSnapshot() const {
    return !m_writing_snapshot && m_old_keys.empty() &&
           (m_next_segment - m_first_segment > kSegmentsPerSnapshot ||
            m_bytes_since_snapshot >
                std::max(kLeastBytesPerSnapshot, m_snapshot_bytes));
  }

  // Replaces all segments that are durable now. `records` are what they add up
  // to; called when a segment became durable, before the next Append.
  void WriteSnapshot(const std::vector<LogRecord>& records) {
    m_writing_snapshot = true;
    m_bytes_since_snapshot = 0;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->m_number = m_next_segment;
    m_snapshot_bytes = 0;
    for (std::size_t i = 0; i < records.size(); i += kRecordsPerPart) {
      const std::size_t end = std::min(records.size(), i + kRecordsPerPart);
      snapshot->m_parts.push_back(
          EncodeRecords({records.begin() + static_cast<std::ptrdiff_t>(i),
                         records.begin() + static_cast<std::ptrdiff_t>(end)}));
      m_snapshot_bytes += snapshot->m_parts.back().size();
    }
    WritePart(snapshot);
  }

 private:
  static constexpr std::uint64_t kSegmentsPerSnapshot = 4'000;
  static constexpr std::size_t kLeastBytesPerSnapshot = 500'000;
  // About 200 bytes a record, so far below the largest value of the store.
  static constexpr std::size_t kRecordsPerPart = 1'500;
  // Most keys that one transaction removes.
  static constexpr std::size_t kRemovalsPerCall = 30;
  // Pause between two such calls, which share the store's rate of writes.
  static constexpr std::int64_t kRemovalGapMs = 40;
  static constexpr std::int64_t kLeastRepeatMs = 150;
  static constexpr std::int64_t kMostTimeoutMs = 1'500;
  // A write is sent again when this many times its usual time has passed, then
  // after twice that time and so on.
  static constexpr std::int64_t kRepeatFactor = 4;
  static constexpr int kMostDoublings = 4;
  static constexpr int kMostOpenTries = 3;
  static constexpr std::int64_t kRetryMs = 40;
  // A store that refuses shows it at once. One that is slow (up to 300 ms an
  // answer was seen) looks like a silent one for the first tries.
  static constexpr int kTriesBeforeStuck = 4;
  static constexpr std::int64_t kStuckMs = 300;
  static constexpr std::int64_t kSilentStoreMs = 1'100;
  // Marks a complete snapshot: holds the number of its parts.
  static constexpr std::string_view kCompletePart = "complete";

  struct Snapshot {
    std::uint64_t m_number = 0;
    std::vector<std::string> m_parts;
    std::size_t m_next_part = 0;
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
    m_first_segment = ReadSnapshot(loaded);
    m_next_segment = m_first_segment;
    m_old_keys.clear();
    for (const StoreItem& item : m_loading_segments) {
      const std::string expected = SegmentKey(m_next_segment);
      if (item.m_key < SegmentKey(m_first_segment)) {
        m_old_keys.push_back(item.m_key);  // Covered by the snapshot.
        continue;
      }
      // Segments have no gap: each is written after the one before it.
      Invariant(item.m_key == expected, "the log has no gap");
      Read(item.m_value, loaded);
      m_bytes_since_snapshot += item.m_value.size();
      ++m_next_segment;
      ++loaded.m_segments;
    }
    m_loading_segments.clear();
    m_loading_snapshots.clear();
    RemoveOldKeys();
    m_load_done(std::move(loaded));
  }

  // The newest complete snapshot; its number, or 1 if there is none.
  std::uint64_t ReadSnapshot(Loaded& loaded) {
    std::uint64_t newest = 0;
    for (const StoreItem& item : m_loading_snapshots) {
      if (item.m_key.ends_with(kCompletePart)) {
        newest = std::max(newest, NumberOf(item.m_key));
      }
    }
    for (const StoreItem& item : m_loading_snapshots) {
      if (NumberOf(item.m_key) != newest) {
        m_old_keys.push_back(item.m_key);
      } else if (!item.m_key.ends_with(kCompletePart)) {
        Read(item.m_value, loaded);
        m_snapshot_bytes += item.m_value.size();
      }
    }
    return std::max<std::uint64_t>(1, newest);
  }

  static std::uint64_t NumberOf(const std::string& snapshot_key) {
    return std::strtoull(snapshot_key.c_str() + kSnapshotPrefix.size(), nullptr,
                         10);
  }

  static void Read(const std::string& value, Loaded& loaded) {
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

  // A write that got no answer yet is sent again beside the first call: a slow
  // store answers that one, and a lost answer is made up for by the second.
  void Try() {
    ++m_open_tries;
    const std::uint64_t number = ++m_last_try;
    const std::int64_t sent_ms = m_loop.Now().m_steady_ms;
    m_store.Commit(m_transaction, kMostTimeoutMs,
                   m_guard.Wrap([this, write = m_write, sent_ms](auto answer) {
                     if (m_writing && write == m_write) {
                       OnCommit(std::move(answer), sent_ms);
                     }
                   }));
    Later(RepeatMs(), [this, number] { TryAgain(number); });
  }

  std::int64_t RepeatMs() const {
    return std::clamp(m_usual_ms * kRepeatFactor << m_repeats, kLeastRepeatMs,
                      kMostTimeoutMs);
  }

  // Does nothing if a newer try was made, or the write is done.
  void TryAgain(std::uint64_t after_try) {
    if (m_writing && after_try == m_last_try && m_open_tries < kMostOpenTries) {
      m_repeats = std::min(m_repeats + 1, kMostDoublings);
      Try();
    }
  }

  void OnCommit(Result<CommitAnswer> answer, std::int64_t sent_ms) {
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    if (!answer) {
      --m_open_tries;
      if (answer.error().HadNoEffect()) {
        ++m_refused_tries;
      }
      Later(kRetryMs, [this, number = m_last_try] { TryAgain(number); });
      return;
    }
    m_refused_tries = 0;
    m_last_answer_ms = now_ms;
    m_usual_ms =
        std::max<std::int64_t>(1, (m_usual_ms * 3 + (now_ms - sent_ms)) / 4);
    if (answer->m_committed || SegmentExists(*answer)) {
      m_writing = false;
      ++m_next_segment;
      const auto done = std::move(m_segment_done);
      done();
      return;
    }
    Superseded();
  }

  // True if the owner's record is unchanged and the segment is there, which
  // only an earlier try of this owner can have written.
  bool SegmentExists(const CommitAnswer& answer) const {
    bool own = false;
    bool exists = false;
    for (const StoreItem& item : answer.m_current) {
      own = own ||
            (item.m_key == kOwnerKey && item.m_revision == m_owner_revision);
      exists = exists || (item.m_key == SegmentKey(m_next_segment) &&
                          item.m_revision != 0);
    }
    return own && exists;
  }

  void Superseded() {
    m_guard.DropAll();
    if (m_on_superseded) {
      m_on_superseded();
    }
  }

  // --- Snapshot ---

  void WritePart(std::shared_ptr<Snapshot> snapshot) {
    const bool last = snapshot->m_next_part == snapshot->m_parts.size();
    StoreTransaction transaction;
    transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision}};
    if (last) {
      transaction.m_puts = {{fmt::format("{}{:012}/{}", kSnapshotPrefix,
                                         snapshot->m_number, kCompletePart),
                             "", 0}};
    } else {
      transaction.m_puts = {
          {SnapshotKey(snapshot->m_number, snapshot->m_next_part),
           snapshot->m_parts[snapshot->m_next_part], 0}};
    }
    m_store.Commit(transaction, kMostTimeoutMs,
                   m_guard.Wrap([this, snapshot, last](auto answer) {
                     if (!answer) {
                       Later(kRetryMs,
                             [this, snapshot] { WritePart(snapshot); });
                     } else if (!answer->m_committed) {
                       Superseded();
                     } else if (last) {
                       OnSnapshotWritten(snapshot->m_number);
                     } else {
                       ++snapshot->m_next_part;
                       WritePart(snapshot);
                     }
                   }));
  }

  void OnSnapshotWritten(std::uint64_t number) {
    for (std::uint64_t i = m_first_segment; i < number; ++i) {
      m_old_keys.push_back(SegmentKey(i));
    }
    m_first_segment = number;
    m_writing_snapshot = false;
    RemoveOldKeys();
  }

  void RemoveOldKeys() {
    if (m_old_keys.empty()) {
      return;
    }
    StoreTransaction transaction;
    transaction.m_expected = {{std::string(kOwnerKey), m_owner_revision}};
    const std::size_t count = std::min(kRemovalsPerCall, m_old_keys.size());
    transaction.m_removals.assign(
        m_old_keys.begin(),
        m_old_keys.begin() + static_cast<std::ptrdiff_t>(count));
    m_store.Commit(
        transaction, kMostTimeoutMs, m_guard.Wrap([this, count](auto answer) {
          if (!answer) {
            Later(kMostTimeoutMs, [this] { RemoveOldKeys(); });
            return;
          }
          if (!answer->m_committed) {
            return;  // The next write finds the new owner.
          }
          m_old_keys.erase(
              m_old_keys.begin(),
              m_old_keys.begin() + static_cast<std::ptrdiff_t>(count));
          Later(kRemovalGapMs, [this] { RemoveOldKeys(); });
        }));
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_loop.After(ms, m_guard.Wrap(std::move(task)));
  }

  Store& m_store;
  Loop& m_loop;
  CallbackGuard m_guard;
  std::function<void()> m_on_superseded;

  Revision m_owner_revision = 0;
  std::function<void(Loaded)> m_load_done;
  std::vector<StoreItem> m_loading_segments;
  std::vector<StoreItem> m_loading_snapshots;

  // The oldest segment that is not in a snapshot.
  std::uint64_t m_first_segment = 1;
  std::uint64_t m_next_segment = 1;
  std::size_t m_bytes_since_snapshot = 0;
  // Size of the last snapshot.
  std::size_t m_snapshot_bytes = 0;
  bool m_writing = false;
  bool m_writing_snapshot = false;
  std::int64_t m_first_try_ms = 0;
  std::int64_t m_last_answer_ms = 0;
  // How long an answer usually takes.
  std::int64_t m_usual_ms = kLeastRepeatMs / kRepeatFactor;
  // Number of the present write, and of the newest try of any write.
  std::uint64_t m_write = 0;
  std::uint64_t m_last_try = 0;
  // Tries of the present write: without an answer yet, and beyond the first.
  int m_open_tries = 0;
  int m_repeats = 0;
  int m_refused_tries = 0;
  StoreTransaction m_transaction;
  std::function<void()> m_segment_done;
  std::vector<std::string> m_old_keys;
};

}  // namespace mustardslip
