// Distributes calls to the advice service over the daemons of a cell. The
// service handles one call at a time per calling VM, so a single daemon could
// not make the calls for all steps. Used by CellOwner.
//
// A short call of an urgent step would wait behind a long one of another step.
// With a lane for short calls, long ones are made by a part of the daemons
// only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell/cell_types.h"

namespace mustardslip {

class AdviceQueue {
 public:
  // A second call waits at the service while the first is served. More queued
  // calls would only return outdated advice.
  static constexpr std::size_t kCallsPerDaemon = 2;

  explicit AdviceQueue(bool short_lane = false) : m_short_lane(short_lane) {}

  // Daemons are identified by the numbers of their links; 0 is this daemon.
  void AddDaemon(std::uint64_t daemon) { m_daemons[daemon]; }

  // Returns the open calls of that daemon, which are lost.
  std::vector<AdviceRequest> RemoveDaemon(std::uint64_t daemon) {
    std::vector<AdviceRequest> lost;
    const auto found = m_daemons.find(daemon);
    if (found == m_daemons.end()) {
      return lost;
    }
    for (const auto& [number, call] : found->second) {
      lost.push_back(call.m_advice_request);
    }
    m_daemons.erase(found);
    return lost;
  }

  FreeAdviceCalls FreeCalls() const {
    FreeAdviceCalls free;
    std::size_t unused = DaemonsForFurtherLongCalls();
    for (const auto& [daemon, calls] : m_daemons) {
      const std::size_t here =
          kCallsPerDaemon - std::min(kCallsPerDaemon, calls.size());
      free.m_any += here;
      if (HasLongCall(calls)) {
        free.m_long += here;
      } else if (here > 0 && unused > 0) {
        free.m_long += here;
        --unused;
      }
    }
    return free;
  }

  struct Assignment {
    std::uint64_t m_daemon = 0;
    std::uint64_t m_number = 0;
  };

  // Assigns the call to the daemon that can serve it soonest; nullopt if all
  // daemons that may make it have kCallsPerDaemon open calls.
  std::optional<Assignment> Assign(const AdviceRequest& ask,
                                   std::int64_t now_ms) {
    std::uint64_t best = 0;
    std::int64_t best_ready_ms = INT64_MAX;
    const bool any_daemon = !ask.m_long || DaemonsForFurtherLongCalls() > 0;
    for (const auto& [daemon, calls] : m_daemons) {
      if (calls.size() >= kCallsPerDaemon ||
          (!any_daemon && !HasLongCall(calls))) {
        continue;
      }
      std::int64_t ready_ms = now_ms;
      for (const auto& [number, call] : calls) {
        ready_ms = std::max(ready_ms, call.m_expected_end_ms);
      }
      if (ready_ms < best_ready_ms) {
        best_ready_ms = ready_ms;
        best = daemon;
      }
    }
    if (best_ready_ms == INT64_MAX) {
      return std::nullopt;
    }
    const std::uint64_t number = ++m_last_number;
    m_daemons[best][number] = {
        ask, best_ready_ms + ask.m_expected_ms,
        best_ready_ms + ask.m_expected_ms + kAnswerGraceMs};
    return Assignment{best, number};
  }

  // Removes and returns an answered call; nullopt if it is unknown because it
  // timed out.
  std::optional<AdviceRequest> Finish(std::uint64_t daemon,
                                      std::uint64_t number) {
    const auto calls = m_daemons.find(daemon);
    if (calls == m_daemons.end()) {
      return std::nullopt;
    }
    auto call = calls->second.extract(number);
    return call.empty()
               ? std::nullopt
               : std::optional(std::move(call.mapped().m_advice_request));
  }

  // Removes and returns the calls that were not answered in time.
  std::vector<AdviceRequest> TakeTimedOut(std::int64_t now_ms) {
    std::vector<AdviceRequest> late;
    for (auto& [daemon, calls] : m_daemons) {
      std::erase_if(calls, [&](const auto& entry) {
        const bool expired = entry.second.m_deadline_ms <= now_ms;
        if (expired) {
          late.push_back(entry.second.m_advice_request);
        }
        return expired;
      });
    }
    return late;
  }

 private:
  // A call times out this long after its expected end.
  static constexpr std::int64_t kAnswerGraceMs = 1'200;
  // Share of the daemons that make no long calls, rounded down: short calls
  // together take far less of the service's time than long ones.
  static constexpr std::size_t kShortLanePercent = 10;

  struct Call {
    AdviceRequest m_advice_request;
    std::int64_t m_expected_end_ms = 0;
    std::int64_t m_deadline_ms = 0;
  };

  // By number.
  using Calls = std::map<std::uint64_t, Call>;

  static bool HasLongCall(const Calls& calls) {
    return std::any_of(calls.begin(), calls.end(), [](const auto& call) {
      return call.second.m_advice_request.m_long;
    });
  }

  // Daemons without a long call that may make one.
  std::size_t DaemonsForFurtherLongCalls() const {
    const auto without = static_cast<std::size_t>(std::count_if(
        m_daemons.begin(), m_daemons.end(),
        [](const auto& one) { return !HasLongCall(one.second); }));
    const std::size_t kept =
        m_short_lane ? m_daemons.size() * kShortLanePercent / 100 : 0;
    return without - std::min(without, kept);
  }

  const bool m_short_lane;
  std::map<std::uint64_t, Calls> m_daemons;
  std::uint64_t m_last_number = 0;
};

}  // namespace mustardslip
