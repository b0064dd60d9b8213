// Distributes calls to the advice service over the daemons of a cell. The
// service handles one call at a time per calling VM, so a single daemon could
// not make the calls for all steps. Used by CellOwner.
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

  std::size_t FreeCalls() const {
    std::size_t free = 0;
    for (const auto& [daemon, calls] : m_daemons) {
      free += kCallsPerDaemon - std::min(kCallsPerDaemon, calls.size());
    }
    return free;
  }

  struct Assignment {
    std::uint64_t m_daemon = 0;
    std::uint64_t m_number = 0;
  };

  // Assigns the call to the daemon that can serve it soonest; nullopt if all
  // daemons have kCallsPerDaemon open calls.
  std::optional<Assignment> Assign(const AdviceRequest& ask,
                                   std::int64_t now_ms) {
    std::uint64_t best = 0;
    std::int64_t best_ready_ms = INT64_MAX;
    for (const auto& [daemon, calls] : m_daemons) {
      if (calls.size() >= kCallsPerDaemon) {
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

  struct Call {
    AdviceRequest m_advice_request;
    std::int64_t m_expected_end_ms = 0;
    std::int64_t m_deadline_ms = 0;
  };

  std::map<std::uint64_t, std::map<std::uint64_t, Call>> m_daemons;
  std::uint64_t m_last_number = 0;
};

}  // namespace mustardslip
