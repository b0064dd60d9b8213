// Records of the at-most-once ledger and the text format of its segments.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/result.h"
#include "fleet/worker_api.h"

namespace mustardslip {

// The state of a request or of a task start. The values are the letters used in
// the segment format.
enum class RecordState : char {
  kStarted = 'S',  // May have been dispatched.
  kDone = 'D',
  kFailed = 'F',
  kNotRun = 'N',  // Certainly did not run; it may be started again.
  kUnknown = 'U',
};

struct LedgerRecord {
  // 128-bit hash of team and key, in hexadecimal.
  std::string m_id;
  // Hash of the request's content, to detect a reused key.
  std::string m_content;
  // Time of issue of the key in Unix seconds; the retention starts here.
  std::int64_t m_issued_unix_s = 0;
  RecordState m_state = RecordState::kStarted;

  bool operator==(const LedgerRecord&) const = default;
};

// One value in the store. A later record replaces an earlier one with the same
// id.
struct LedgerSegment {
  // True if the epoch's owner wrote it; false for the marker that a successor
  // creates to seal a segment number that was never written.
  bool m_opened = true;
  bool m_sealed = false;
  // Time of sealing in Unix seconds; 0 if the segment is not sealed.
  std::int64_t m_sealed_unix_s = 0;
  std::vector<LedgerRecord> m_records;

  bool operator==(const LedgerSegment&) const = default;
};

struct SegmentName {
  Epoch m_epoch = 0;
  std::int64_t m_number = 0;

  auto operator<=>(const SegmentName&) const = default;
};

std::string LedgerPrefix(std::int64_t shard);
std::string SegmentKey(std::int64_t shard, const SegmentName& name);
// Errors: kInvalidArgument if the key is not a segment key of the shard.
Result<SegmentName> ParseSegmentKey(std::int64_t shard, const std::string& key);

// Returns the first line of a segment written by its owner.
std::string OpenSegmentText();
std::string EncodeRecord(const LedgerRecord& record);
std::string EncodeSegment(const LedgerSegment& segment);
// Errors: kInvalidArgument for a malformed line.
Result<LedgerSegment> DecodeSegment(const std::string& text);

}  // namespace mustardslip
