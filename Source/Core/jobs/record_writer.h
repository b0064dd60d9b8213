// Writes the job records of one team shard to the store, one at a time. Called
// by TeamShard.
#pragma once

#include <fmt/core.h>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job.h"
#include "store/key_value_store.h"

namespace mustardslip {

struct RecordStep {
  // Keys of new records that are in the store, and keys and errors of new
  // records that certainly are not.
  std::vector<std::string> m_created;
  std::vector<std::pair<std::string, Error>> m_failed;
  // True if a successor owns the shard.
  bool m_superseded = false;
  // True if the store did not answer; the next step should be delayed.
  bool m_store_down = false;
};

// Thread-safe. Recover() and Step() block in the store and are called by one
// thread; the other members do not block.
//
// A new record counts as created only after the job fence, a key that each
// owner raises to its epoch before it lists the records, was read back with
// this owner's epoch. So a successor's list contains each record that was
// reported as created.
template <KeyValueStore Store>
class RecordWriter {
 public:
  RecordWriter(std::int64_t shard, Epoch epoch, Store& store)
      : m_shard(shard), m_epoch(epoch), m_store(store) {}

  // Raises the job fence and reads all records. Errors: those of the store,
  // kConflict (retry), kStaleEpoch if a successor owns the shard.
  Result<std::vector<JobRecord>> Recover();

  // Creates or replaces the record. Only the newest of several pending texts is
  // written.
  void Write(const std::string& key, std::string text);
  void Delete(const std::string& key);
  // True if no text is pending.
  bool IsWritten(const std::string& key) const;
  bool HasWork() const;
  // Makes at most one write to the store.
  RecordStep Step();

 private:
  struct Entry {
    StoreRevision m_version = kAbsent;
    // The newest text, until it is in the store.
    std::optional<std::string> m_pending;
    bool m_delete = false;
    // A write may have taken effect although its answer was lost.
    bool m_in_doubt = false;
    // The record is in the store, but the job fence was not read back since.
    bool m_unconfirmed = false;
    bool m_created = false;
    bool m_queued = false;
  };
  // Copy of a queued entry, for Step() to use without holding the mutex.
  struct Work {
    std::string m_key;
    Entry m_entry;
  };

  std::string FenceKey() const { return fmt::format("job_fence/{}", m_shard); }
  Result<void> RaiseFence();
  void Enqueue(const std::string& key, Entry& entry);
  std::optional<Work> DequeueNext();
  RecordStep StepWrite(const Work& work);
  RecordStep StepDelete(const Work& work);
  RecordStep Confirm(const std::string& key);
  RecordStep ReadBack(const Work& work);
  RecordStep ResolveConflict(const Work& work, const StoreEntry& stored);
  RecordStep HandleWritten(const Work& work, StoreRevision version);
  RecordStep Retry(const std::string& key, bool in_doubt);
  RecordStep FailCreation(const std::string& key, Error error);
  RecordStep RemoveEntry(const std::string& key);

  const std::int64_t m_shard;
  const Epoch m_epoch;
  Store& m_store;
  mutable std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;  // Guarded by m_mutex.
  std::deque<std::string> m_queue;         // Guarded by m_mutex.
};

template <KeyValueStore Store>
Result<std::vector<JobRecord>> RecordWriter<Store>::Recover() {
  const Result<void> raised = RaiseFence();
  if (!raised) {
    return tl::unexpected(raised.error());
  }
  const Result<StoreList> list = m_store.List(JobPrefix(m_shard));
  if (!list) {
    return tl::unexpected(list.error());
  }
  std::vector<JobRecord> records;
  const std::lock_guard lock(m_mutex);
  for (const StoreEntry& entry : list->m_entries) {
    Result<JobRecord> record = DecodeJobRecord(entry.m_value);
    if (!record) {
      return tl::unexpected(record.error());
    }
    m_entries[entry.m_key].m_version = entry.m_version;
    m_entries[entry.m_key].m_created = true;
    records.push_back(std::move(*record));
  }
  return records;
}

template <KeyValueStore Store>
Result<void> RecordWriter<Store>::RaiseFence() {
  const Result<StoreRead> read = m_store.Get(FenceKey());
  if (!read) {
    return tl::unexpected(read.error());
  }
  StoreRevision version = kAbsent;
  if (read->m_entry) {
    version = read->m_entry->m_version;
    const Epoch epoch = std::stoll("0" + read->m_entry->m_value);
    if (epoch >= m_epoch) {
      return epoch == m_epoch ? Result<void>()
                              : Fail(ErrorCode::kStaleEpoch, "superseded");
    }
  }
  const Result<StoreRevision> put =
      m_store.Put(FenceKey(), std::to_string(m_epoch), version, "");
  return put ? Result<void>() : tl::unexpected(put.error());
}

template <KeyValueStore Store>
void RecordWriter<Store>::Write(const std::string& key, std::string text) {
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[key];
  entry.m_pending = std::move(text);
  Enqueue(key, entry);
}

template <KeyValueStore Store>
void RecordWriter<Store>::Delete(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[key];
  entry.m_delete = true;
  Enqueue(key, entry);
}

template <KeyValueStore Store>
bool RecordWriter<Store>::IsWritten(const std::string& key) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(key);
  return found == m_entries.end() || !found->second.m_pending;
}

template <KeyValueStore Store>
bool RecordWriter<Store>::HasWork() const {
  const std::lock_guard lock(m_mutex);
  return !m_queue.empty();
}

template <KeyValueStore Store>
void RecordWriter<Store>::Enqueue(const std::string& key, Entry& entry) {
  if (!entry.m_queued) {
    entry.m_queued = true;
    m_queue.push_back(key);
  }
}

template <KeyValueStore Store>
auto RecordWriter<Store>::DequeueNext() -> std::optional<Work> {
  const std::lock_guard lock(m_mutex);
  if (m_queue.empty()) {
    return std::nullopt;
  }
  std::string key = std::move(m_queue.front());
  m_queue.pop_front();
  Entry& entry = m_entries.at(key);
  entry.m_queued = false;
  return Work{std::move(key), entry};
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::Step() {
  const std::optional<Work> work = DequeueNext();
  if (!work) {
    return {};
  }
  if (work->m_entry.m_delete) {
    return StepDelete(*work);
  }
  if (work->m_entry.m_unconfirmed) {
    return Confirm(work->m_key);
  }
  return work->m_entry.m_pending ? StepWrite(*work) : RecordStep{};
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::StepWrite(const Work& work) {
  const Entry& entry = work.m_entry;
  const Result<StoreRevision> put =
      m_store.Put(work.m_key, *entry.m_pending, entry.m_version, "");
  if (put) {
    return HandleWritten(work, *put);
  }
  if (put.error().Code() != ErrorCode::kUnavailable) {
    return ReadBack(work);
  }
  if (!entry.m_created && !entry.m_in_doubt) {
    return FailCreation(work.m_key,
                        Error(ErrorCode::kUnavailable, "store_unavailable"));
  }
  return Retry(work.m_key, entry.m_in_doubt);
}

// Called after a conflict or a lost answer.
template <KeyValueStore Store>
RecordStep RecordWriter<Store>::ReadBack(const Work& work) {
  const Result<StoreRead> read = m_store.Get(work.m_key);
  if (!read) {
    return Retry(work.m_key, true);
  }
  const std::optional<StoreEntry>& stored = read->m_entry;
  if (stored && stored->m_value == *work.m_entry.m_pending) {
    return HandleWritten(work, stored->m_version);
  }
  if (!stored || stored->m_version == work.m_entry.m_version) {
    return Retry(work.m_key, true);
  }
  return ResolveConflict(work, *stored);
}

// Handles a stored text other than the pending one: a late write of this owner
// or of a predecessor, which is replaced, or a write of a successor.
template <KeyValueStore Store>
RecordStep RecordWriter<Store>::ResolveConflict(const Work& work,
                                                const StoreEntry& stored) {
  const Result<JobRecord> other = DecodeJobRecord(stored.m_value);
  const Result<JobRecord> own = DecodeJobRecord(*work.m_entry.m_pending);
  if (other && other->m_epoch > m_epoch) {
    RecordStep step;
    step.m_superseded = true;
    return step;
  }
  if (!other || !own || other->m_job.m_content != own->m_job.m_content) {
    return FailCreation(work.m_key, Error(ErrorCode::kConflict, "key_reused"));
  }
  {
    const std::lock_guard lock(m_mutex);
    m_entries[work.m_key].m_version = stored.m_version;
  }
  return Retry(work.m_key, true);
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::HandleWritten(const Work& work,
                                              StoreRevision version) {
  bool is_new = false;
  {
    const std::lock_guard lock(m_mutex);
    Entry& entry = m_entries[work.m_key];
    entry.m_version = version;
    entry.m_in_doubt = false;
    if (entry.m_pending == work.m_entry.m_pending) {
      entry.m_pending.reset();
    } else {
      Enqueue(work.m_key, entry);
    }
    is_new = !entry.m_created;
    entry.m_unconfirmed = is_new;
  }
  return is_new ? Confirm(work.m_key) : RecordStep{};
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::Confirm(const std::string& key) {
  const Result<StoreRead> fence = m_store.Get(FenceKey());
  if (!fence) {
    return Retry(key, false);
  }
  RecordStep step;
  if (!fence->m_entry || fence->m_entry->m_value != std::to_string(m_epoch)) {
    step.m_superseded = true;
    return step;
  }
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[key];
  entry.m_unconfirmed = false;
  entry.m_created = true;
  if (entry.m_pending) {
    Enqueue(key, entry);
  }
  step.m_created.push_back(key);
  return step;
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::StepDelete(const Work& work) {
  const Result<StoreRevision> deleted =
      m_store.Delete(work.m_key, work.m_entry.m_version);
  if (deleted) {
    return RemoveEntry(work.m_key);
  }
  if (deleted.error().Code() == ErrorCode::kUnavailable) {
    return Retry(work.m_key, false);
  }
  const Result<StoreRead> read = m_store.Get(work.m_key);
  if (!read) {
    return Retry(work.m_key, false);
  }
  if (!read->m_entry) {
    return RemoveEntry(work.m_key);
  }
  {
    const std::lock_guard lock(m_mutex);
    m_entries[work.m_key].m_version = read->m_entry->m_version;
  }
  return Retry(work.m_key, false);
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::Retry(const std::string& key, bool in_doubt) {
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[key];
  entry.m_in_doubt = entry.m_in_doubt || in_doubt;
  Enqueue(key, entry);
  RecordStep step;
  step.m_store_down = true;
  return step;
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::FailCreation(const std::string& key,
                                             Error error) {
  const std::lock_guard lock(m_mutex);
  m_entries.erase(key);
  std::erase(m_queue, key);
  RecordStep step;
  step.m_failed.emplace_back(key, std::move(error));
  step.m_store_down = true;
  return step;
}

template <KeyValueStore Store>
RecordStep RecordWriter<Store>::RemoveEntry(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  m_entries.erase(key);
  std::erase(m_queue, key);
  return {};
}

}  // namespace mustardslip
