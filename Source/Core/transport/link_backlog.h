// Estimates how long what a daemon has sent still waits for its link. What is
// sent behind a long backlog arrives too late, whatever it is: the renewal of a
// lease, a start with a deadline.
#pragma once

#include <algorithm>
#include <cstdint>

namespace mustardslip {

class LinkBacklog {
 public:
  // `bytes_per_ms`: rate of the link; 0 for one that is never full.
  explicit LinkBacklog(std::int64_t bytes_per_ms)
      : m_bytes_per_ms(bytes_per_ms) {}

  // `total_sent`: bytes sent since the daemon started.
  std::int64_t Ms(std::uint64_t total_sent, std::int64_t now_ms) {
    if (m_bytes_per_ms == 0) {
      return 0;
    }
    const std::int64_t drained = (now_ms - m_at_ms) * m_bytes_per_ms;
    const auto added = static_cast<std::int64_t>(total_sent - m_total_sent);
    m_waiting_bytes =
        std::max<std::int64_t>(0, m_waiting_bytes + added - drained);
    m_total_sent = total_sent;
    m_at_ms = now_ms;
    return m_waiting_bytes / m_bytes_per_ms;
  }

 private:
  std::int64_t m_bytes_per_ms;
  // As of m_at_ms, a time of the steady clock.
  std::int64_t m_waiting_bytes = 0;
  std::uint64_t m_total_sent = 0;
  std::int64_t m_at_ms = 0;
};

}  // namespace mustardslip
