// Text format: one line per record, "<id> <content hash> <unix seconds>
// <state>"; the first line tells whether the owner or a sealing successor
// created the segment; a line "sealed <unix seconds>" seals it.
#include "ledger/ledger_record.h"

#include <fmt/core.h>

#include <charconv>
#include <sstream>
#include <string_view>

namespace mustardslip {
namespace {

constexpr std::string_view kOpened = "opened";
constexpr std::string_view kSealMarker = "mark";
constexpr std::string_view kSealed = "sealed";

bool ParseNumber(std::string_view text, std::int64_t& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

bool ParseState(const std::string& text, RecordState& state) {
  if (text.size() != 1 ||
      std::string_view("SDFNU").find(text[0]) == std::string_view::npos) {
    return false;
  }
  state = static_cast<RecordState>(text[0]);
  return true;
}

bool ParseRecord(const std::string& line, LedgerRecord& record) {
  std::istringstream words(line);
  std::string state;
  return (words >> record.m_id >> record.m_content >> record.m_issued_unix_s >>
          state) &&
         ParseState(state, record.m_state);
}

bool ParseLine(const std::string& line, LedgerSegment& segment) {
  if (line == kOpened) {
    segment.m_opened = true;
    return true;
  }
  if (line == kSealMarker) {
    segment.m_opened = false;
    return true;
  }
  if (line.starts_with(kSealed)) {
    segment.m_sealed = true;
    return line.size() > kSealed.size() &&
           ParseNumber(std::string_view(line).substr(kSealed.size() + 1),
                       segment.m_sealed_unix_s);
  }
  LedgerRecord record;
  if (!ParseRecord(line, record)) {
    return false;
  }
  segment.m_records.push_back(std::move(record));
  return true;
}

}  // namespace

std::string LedgerPrefix(std::int64_t shard) {
  return fmt::format("ledger/{}/", shard);
}

std::string SegmentKey(std::int64_t shard, const SegmentName& name) {
  return fmt::format("ledger/{}/{}/{}", shard, name.m_epoch, name.m_number);
}

Result<SegmentName> ParseSegmentKey(std::int64_t shard,
                                    const std::string& key) {
  const std::string prefix = LedgerPrefix(shard);
  const std::size_t slash = key.find('/', prefix.size());
  SegmentName name;
  if (!key.starts_with(prefix) || slash == std::string::npos ||
      !ParseNumber(
          std::string_view(key).substr(prefix.size(), slash - prefix.size()),
          name.m_epoch) ||
      !ParseNumber(std::string_view(key).substr(slash + 1), name.m_number)) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_segment_key", key);
  }
  return name;
}

std::string OpenSegmentText() { return fmt::format("{}\n", kOpened); }

std::string EncodeRecord(const LedgerRecord& record) {
  return fmt::format("{} {} {} {}\n", record.m_id, record.m_content,
                     record.m_issued_unix_s, static_cast<char>(record.m_state));
}

std::string EncodeSegment(const LedgerSegment& segment) {
  std::string text =
      fmt::format("{}\n", segment.m_opened ? kOpened : kSealMarker);
  for (const LedgerRecord& record : segment.m_records) {
    text += EncodeRecord(record);
  }
  if (segment.m_sealed) {
    text += fmt::format("{} {}\n", kSealed, segment.m_sealed_unix_s);
  }
  return text;
}

Result<LedgerSegment> DecodeSegment(const std::string& text) {
  LedgerSegment segment;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (!ParseLine(line, segment)) {
      return Fail(ErrorCode::kInvalidArgument, "malformed_segment", line);
    }
  }
  return segment;
}

}  // namespace mustardslip
