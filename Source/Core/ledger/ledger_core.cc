// LedgerCore: record states, the current segment and retention.
#include "ledger/ledger_core.h"

#include <algorithm>
#include <utility>

namespace mustardslip {
namespace {

// A key may be dated up to kMaxKeyFutureSeconds ahead and is then accepted for
// that much longer.
constexpr std::int64_t kRecordRetentionSeconds =
    kLedgerRetentionSeconds + kMaxKeyFutureSeconds;

// Two 32-digit hashes, a time of at most 20 digits, the state and separators.
constexpr std::size_t kMaxRecordBytes = 96;

}  // namespace

void LedgerCore::Load(const SegmentName& name, StoreRevision version,
                      const LedgerSegment& segment) {
  ClosedSegment closed{version, segment.m_sealed_unix_s};
  for (const LedgerRecord& record : segment.m_records) {
    closed.m_newest_unix_s =
        std::max(closed.m_newest_unix_s, record.m_issued_unix_s);
    m_records[record.m_id] = {record, 1, 0, 1, false};
  }
  m_closed[name] = closed;
}

void LedgerCore::OnSegmentOpened(StoreRevision version) {
  m_text = OpenSegmentText();
  m_version = version;
}

Result<void> LedgerCore::Start(const std::string& id,
                               const std::string& content_hash,
                               std::int64_t issued_unix_s) {
  const auto found = m_records.find(id);
  if (found != m_records.end() &&
      found->second.m_record.m_state != RecordState::kNotRun) {
    return Fail(ErrorCode::kConflict, "record_exists");
  }
  if (IsFull()) {
    return Fail(ErrorCode::kResourceExhausted, "ledger_full");
  }
  Entry& entry = m_records[id];
  entry.m_record = {id, content_hash, issued_unix_s, RecordState::kStarted};
  MarkChanged(entry);
  return {};
}

void LedgerCore::End(const std::string& id, RecordState state) {
  const auto found = m_records.find(id);
  if (found == m_records.end() || found->second.m_record.m_state == state) {
    return;
  }
  Entry& entry = found->second;
  const bool is_in_store =
      entry.m_committed_change > 0 || entry.m_change_in_flight > 0;
  if (state == RecordState::kNotRun && !is_in_store) {
    m_records.erase(found);
    return;
  }
  entry.m_record.m_state = state;
  MarkChanged(entry);
}

std::optional<LedgerRecord> LedgerCore::Find(const std::string& id) const {
  const auto found = m_records.find(id);
  if (found == m_records.end()) {
    return std::nullopt;
  }
  return found->second.m_record;
}

bool LedgerCore::IsCommitted(const std::string& id) const {
  const auto found = m_records.find(id);
  return found != m_records.end() &&
         found->second.m_committed_change == found->second.m_change_count;
}

void LedgerCore::MarkChanged(Entry& entry) {
  entry.m_change_count++;
  if (!entry.m_queued) {
    entry.m_queued = true;
    m_pending.push_back(entry.m_record.m_id);
  }
}

bool LedgerCore::IsFull() const {
  return m_pending.size() >= m_options.m_max_pending_records ||
         m_closed.size() + 1 >= m_options.m_max_segments;
}

std::optional<SegmentWrite> LedgerCore::BeginWrite() {
  if (m_in_flight || m_pending.empty()) {
    return std::nullopt;
  }
  if (m_text.empty()) {
    m_text = OpenSegmentText();
  }
  if (m_text.size() + kMaxRecordBytes > m_options.m_max_segment_bytes) {
    RollOver();
  }
  Write write{{{m_epoch, m_number}, m_text, m_version}, {}};
  FillWrite(write);
  if (write.m_ids.empty()) {
    return std::nullopt;
  }
  m_in_flight = std::move(write);
  return m_in_flight->m_write;
}

void LedgerCore::FillWrite(Write& write) {
  std::string& text = write.m_write.m_text;
  while (!m_pending.empty() &&
         text.size() + kMaxRecordBytes <= m_options.m_max_segment_bytes) {
    const auto found = m_records.find(m_pending.front());
    if (found != m_records.end() && found->second.m_queued) {
      Entry& entry = found->second;
      text += EncodeRecord(entry.m_record);
      entry.m_change_in_flight = entry.m_change_count;
      entry.m_queued = false;
      write.m_ids.push_back(found->first);
    }
    m_pending.pop_front();
  }
}

void LedgerCore::RollOver() {
  m_closed[{m_epoch, m_number}] = {m_version, m_newest_unix_s};
  m_number++;
  m_text = OpenSegmentText();
  m_version = kAbsent;
  m_newest_unix_s = 0;
}

std::vector<std::string> LedgerCore::CommitWrite(StoreRevision version) {
  Invariant(m_in_flight.has_value(),
            "CommitWrite() called without a write in flight");
  std::vector<std::string> committed;
  for (const std::string& id : m_in_flight->m_ids) {
    Entry& entry = m_records.at(id);
    m_newest_unix_s = std::max(m_newest_unix_s, entry.m_record.m_issued_unix_s);
    entry.m_committed_change = entry.m_change_in_flight;
    entry.m_change_in_flight = 0;
    if (entry.m_committed_change == entry.m_change_count) {
      committed.push_back(id);
    }
  }
  m_text = std::move(m_in_flight->m_write.m_text);
  m_version = version;
  m_in_flight.reset();
  return committed;
}

std::vector<std::string> LedgerCore::AbortWrite() {
  Invariant(m_in_flight.has_value(),
            "AbortWrite() called without a write in flight");
  std::vector<std::string> ids = std::move(m_in_flight->m_ids);
  m_in_flight.reset();
  for (const std::string& id : ids) {
    Entry& entry = m_records.at(id);
    entry.m_change_in_flight = 0;
    if (!entry.m_queued) {
      entry.m_queued = true;
      m_pending.push_back(id);
    }
  }
  return ids;
}

std::vector<std::pair<SegmentName, StoreRevision>> LedgerCore::Expire(
    std::int64_t now_unix_s) {
  const std::int64_t oldest = now_unix_s - kRecordRetentionSeconds;
  DropExpiredRecords(oldest);
  std::vector<std::pair<SegmentName, StoreRevision>> expired;
  for (const auto& [name, segment] : m_closed) {
    if (segment.m_newest_unix_s < oldest) {
      expired.emplace_back(name, segment.m_version);
    }
  }
  return expired;
}

void LedgerCore::DropExpiredRecords(std::int64_t oldest_unix_s) {
  std::erase_if(m_records, [oldest_unix_s](const auto& item) {
    const Entry& entry = item.second;
    return entry.m_record.m_issued_unix_s < oldest_unix_s && !entry.m_queued &&
           entry.m_change_in_flight == 0;
  });
}

}  // namespace mustardslip
