// When an owner hands the cell to a daemon with more processor time.
//
// A small daemon that took the cell while no other could (all were restarted,
// or a zone was away) would serve it badly for as long as it lives.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace mustardslip {

// Another daemon, as the owner knows it.
struct PeerPower {
  std::uint64_t m_peer = 0;
  // Processor time, in thousandths of a core.
  std::int64_t m_power_millis = 0;
  // The owner's steady clock when the peer's link was opened.
  std::int64_t m_since_ms = 0;

  bool operator==(const PeerPower&) const = default;
};

class HandoverPolicy {
 public:
  // The peer that should have the cell, if it is worth the pause: a change of
  // the owner stops acceptance and starts for about half a second.
  // `ready_ms`: when this owner was ready, by its steady clock.
  std::optional<std::uint64_t> Choose(std::int64_t own_millis,
                                      std::int64_t ready_ms,
                                      const std::vector<PeerPower>& peers,
                                      std::int64_t now_ms) {
    if (now_ms - ready_ms < kSettleMs || now_ms - m_last_ms < kRetryMs) {
      return std::nullopt;
    }
    const auto best =
        std::max_element(peers.begin(), peers.end(),
                         [](const PeerPower& left, const PeerPower& right) {
                           return left.m_power_millis < right.m_power_millis;
                         });
    if (best == peers.end() ||
        best->m_power_millis < own_millis * kLeastFactor ||
        now_ms - best->m_since_ms < kSettleMs) {
      return std::nullopt;
    }
    m_last_ms = now_ms;
    return best->m_peer;
  }

 private:
  // Daemons that were just started may stop again.
  static constexpr std::int64_t kSettleMs = 1'500;
  static constexpr std::int64_t kRetryMs = 4'000;
  static constexpr std::int64_t kLeastFactor = 2;

  // Steady clock of the last choice.
  std::int64_t m_last_ms = -kRetryMs;
};

}  // namespace mustardslip
