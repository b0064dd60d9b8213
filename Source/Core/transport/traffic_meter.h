// Counts what a daemon sends and receives, by purpose, and the time that it
// spends on what it receives, so that a full link or a busy daemon can be
// explained: all calls of a daemon share both.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/scoped_timer.h"

namespace mustardslip {

enum class TrafficPurpose : std::uint8_t {
  kOther,
  kStoreRead,
  kStoreWatch,
  kStoreWrite,
  kStoreLease,
  kVmPoll,
  kRunStart,
  kRunStop,
  kAdvice,         // The advice service.
  kAdviceForward,  // Calls to the advice service that a peer makes.
  kPeerRequest,    // Callers' requests between daemons.
  kPeerControl,    // Greetings and pings between daemons.
  kCaller,
};
inline constexpr std::size_t kTrafficPurposes = 13;

// A stable name, for logs and metrics.
std::string_view ToString(TrafficPurpose purpose);

// Messages and bytes of HTTP or link messages, without the framing of TCP.
struct TrafficCount {
  std::uint64_t m_sent_messages = 0;
  std::uint64_t m_sent_bytes = 0;
  std::uint64_t m_received_bytes = 0;
  // Time spent in the handlers of what was received.
  ScopedTimer::Duration m_handling{};

  bool operator==(const TrafficCount&) const = default;
};

// Not thread-safe.
class TrafficMeter {
 public:
  void OnSent(TrafficPurpose purpose, std::size_t bytes);
  void OnReceived(TrafficPurpose purpose, std::size_t bytes);
  // The total of the time spent on received messages, for a ScopedTimer.
  ScopedTimer::Duration& Handling(TrafficPurpose purpose);
  const TrafficCount& Of(TrafficPurpose purpose) const;
  // Bytes sent for all purposes, with the framing of TCP and HTTP.
  std::uint64_t TotalSentBytes() const;

 private:
  TrafficCount& At(TrafficPurpose purpose);

  std::array<TrafficCount, kTrafficPurposes> m_counts;
};

// The traffic since `earlier`, as "purpose=messages/bytes sent/bytes received/
// milliseconds of handling" for each purpose that had any.
std::string Describe(const TrafficMeter& now, const TrafficMeter& earlier);

}  // namespace mustardslip
