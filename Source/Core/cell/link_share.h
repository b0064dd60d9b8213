// How much of a daemon's link the owner of a cell may fill at a time. Renewals
// of its lease and starts with a deadline share the link with log writes, and
// wait behind them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace mustardslip {

// Bytes of an order to start a run, besides the job's payload.
inline constexpr std::int64_t kStartOrderBytes = 350;

// Bytes that values of the store take on the link, where they are base64 text,
// and the inverse.
inline constexpr std::int64_t TextBytes(std::int64_t value_bytes) {
  return value_bytes * 4 / 3;
}
inline constexpr std::int64_t ValueBytes(std::int64_t text_bytes) {
  return text_bytes * 3 / 4;
}

class LinkShare {
 public:
  LinkShare() = default;
  // `bytes_per_ms`: rate of the link; 0 for one that is never full.
  explicit LinkShare(std::int64_t bytes_per_ms)
      : m_bytes_per_ms(bytes_per_ms) {}

  // Records of one log write, in bytes before they are encoded as text.
  std::int64_t MaxBatchBytes() const {
    return LogBytes(kMaxBatchMs, kMaxBatchBytes);
  }
  // Orders to start runs that one scheduling pass may send, in bytes.
  std::int64_t MaxStartBytes() const {
    return m_bytes_per_ms == 0 ? std::numeric_limits<std::int64_t>::max()
                               : kMaxStartsMs * m_bytes_per_ms;
  }
  // Log after which a snapshot is worth its writing, in bytes before they are
  // encoded as text: a new owner reads both over such a link.
  std::int64_t MinSnapshotBytes() const {
    return LogBytes(kMaxLoadMs, kMinSnapshotBytes);
  }
  // Time that a log write of that many bytes takes on the link alone.
  std::int64_t WriteMs(std::int64_t bytes) const {
    return m_bytes_per_ms == 0 ? 0 : TextBytes(bytes) / m_bytes_per_ms;
  }

 private:
  static constexpr std::int64_t kMaxBatchMs = 60;
  static constexpr std::int64_t kMaxStartsMs = 100;
  static constexpr std::int64_t kMaxLoadMs = 500;
  // The store takes values of up to 1 MB, as text.
  static constexpr std::int64_t kMaxBatchBytes = 450'000;
  static constexpr std::int64_t kMinSnapshotBytes = 500'000;

  // What the link carries in `ms`, at most `most_bytes`.
  std::int64_t LogBytes(std::int64_t ms, std::int64_t most_bytes) const {
    return m_bytes_per_ms == 0
               ? most_bytes
               : std::min(most_bytes, ValueBytes(ms * m_bytes_per_ms));
  }

  // 0 for a link that is never full.
  std::int64_t m_bytes_per_ms = 0;
};

}  // namespace mustardslip
