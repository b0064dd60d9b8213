// Decides when the owner hands the cell over to a daemon with more CPU; called
// by CellNode.
//
// A small daemon that took the cell while no other could (all were restarted,
// or a zone was down) would otherwise serve it poorly until it terminates.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace mustardslip {

// CPU and link age of another daemon that is connected to the owner.
struct PeerCapacity {
  std::uint64_t m_peer = 0;
  // Available CPU, in thousandths of a core.
  std::int64_t m_cpu_millis = 0;
  // When the peer's link was opened, on the owner's steady clock.
  std::int64_t m_connected_ms = 0;

  bool operator==(const PeerCapacity&) const = default;
};

class HandoverPolicy {
 public:
  // Returns the peer that should take over the cell, if the gain is worth the
  // pause: a change of owner stops job acceptance and starts for about half a
  // second. `ready_ms`: when this owner became ready, on its steady clock.
  std::optional<std::uint64_t> ChooseSuccessor(
      std::int64_t own_millis, std::int64_t ready_ms,
      const std::vector<PeerCapacity>& peers, std::int64_t now_ms) {
    if (now_ms - ready_ms < kSettleMs || now_ms - m_last_choice_ms < kRetryMs) {
      return std::nullopt;
    }
    const auto best = std::max_element(
        peers.begin(), peers.end(),
        [](const PeerCapacity& left, const PeerCapacity& right) {
          return left.m_cpu_millis < right.m_cpu_millis;
        });
    if (best == peers.end() ||
        best->m_cpu_millis < own_millis * kMinCpuFactor ||
        now_ms - best->m_connected_ms < kSettleMs) {
      return std::nullopt;
    }
    m_last_choice_ms = now_ms;
    return best->m_peer;
  }

 private:
  // Daemons that have just started may stop again.
  static constexpr std::int64_t kSettleMs = 1'500;
  static constexpr std::int64_t kRetryMs = 4'000;
  static constexpr std::int64_t kMinCpuFactor = 2;

  // Steady-clock time of the last handover choice.
  std::int64_t m_last_choice_ms = -kRetryMs;
};

}  // namespace mustardslip
