// Counters of a daemon's traffic and their names.
#include "transport/traffic_meter.h"

#include <fmt/core.h>

namespace mustardslip {
namespace {

std::size_t IndexOf(TrafficPurpose purpose) {
  return static_cast<std::size_t>(purpose);
}

std::int64_t Milliseconds(ScopedTimer::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Packet headers of a message and of its acknowledgement, and a request line.
constexpr std::uint64_t kFramingBytes = 120;

}  // namespace

std::string_view ToString(TrafficPurpose purpose) {
  constexpr std::array<std::string_view, kTrafficPurposes> kNames = {
      "other",       "store_read",     "store_watch",  "store_write",
      "store_lease", "vm_poll",        "run_start",    "run_stop",
      "advice",      "advice_forward", "peer_request", "peer_control",
      "caller"};
  return kNames.at(IndexOf(purpose));
}

TrafficCount& TrafficMeter::At(TrafficPurpose purpose) {
  return m_counts.at(IndexOf(purpose));
}

void TrafficMeter::OnSent(TrafficPurpose purpose, std::size_t bytes) {
  TrafficCount& count = At(purpose);
  ++count.m_sent_messages;
  count.m_sent_bytes += bytes;
}

void TrafficMeter::OnReceived(TrafficPurpose purpose, std::size_t bytes) {
  At(purpose).m_received_bytes += bytes;
}

ScopedTimer::Duration& TrafficMeter::Handling(TrafficPurpose purpose) {
  return At(purpose).m_handling;
}

const TrafficCount& TrafficMeter::Of(TrafficPurpose purpose) const {
  return m_counts.at(IndexOf(purpose));
}

std::uint64_t TrafficMeter::TotalSentBytes() const {
  std::uint64_t total = 0;
  for (const TrafficCount& count : m_counts) {
    total += count.m_sent_bytes + count.m_sent_messages * kFramingBytes;
  }
  return total;
}

std::string Describe(const TrafficMeter& now, const TrafficMeter& earlier) {
  std::string text;
  for (std::size_t i = 0; i < kTrafficPurposes; ++i) {
    const auto purpose = static_cast<TrafficPurpose>(i);
    const TrafficCount& count = now.Of(purpose);
    const TrafficCount& before = earlier.Of(purpose);
    if (count == before) {
      continue;
    }
    text += fmt::format("{}{}={}/{}/{}/{}", text.empty() ? "" : " ",
                        ToString(purpose),
                        count.m_sent_messages - before.m_sent_messages,
                        count.m_sent_bytes - before.m_sent_bytes,
                        count.m_received_bytes - before.m_received_bytes,
                        Milliseconds(count.m_handling - before.m_handling));
  }
  return text;
}

}  // namespace mustardslip
