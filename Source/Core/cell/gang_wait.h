// What a gang that is ready waits for, and for how long. Recorded by the
// scheduling passes and logged, so that a late gang can be explained.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardslip {

enum class GangWaitCause : std::uint8_t {
  kTeamLimit,       // The team's cap has no room for all members.
  kOtherGangs,      // Others have the reservations, and no call is free.
  kAdviceCall,      // An advice call is pending or would be too early.
  kRecommendation,  // The recommended VMs alone are too few or too small.
  kRoom,            // The recommended VMs have too little free capacity.
  kTicket,          // They have the capacity, but no valid tickets.
  kTooLarge,        // The usable VMs could not hold it if only services ran.
};
inline constexpr std::size_t kGangWaitCauses = 7;

// A stable name, for logs.
inline std::string_view ToString(GangWaitCause cause) {
  constexpr std::array<std::string_view, kGangWaitCauses> kNames = {
      "team_limit", "other_gangs", "advice_call", "recommendation",
      "room",       "ticket",      "too_large"};
  return kNames.at(static_cast<std::size_t>(cause));
}

// Time spent waiting, by cause. Times are of the owner's steady clock.
class GangWait {
 public:
  // The gang waits for `cause` from now on.
  void OnWaiting(GangWaitCause cause, std::int64_t now_ms) {
    if (m_since_ms == 0) {
      m_since_ms = now_ms;
    } else {
      m_ms.at(static_cast<std::size_t>(m_cause)) += now_ms - m_noted_ms;
    }
    m_cause = cause;
    m_noted_ms = now_ms;
  }

  bool Waiting() const { return m_since_ms != 0; }
  std::int64_t TotalMs(std::int64_t now_ms) const {
    return m_since_ms == 0 ? 0 : now_ms - m_since_ms;
  }
  // Up to the last call of OnWaiting.
  std::int64_t Ms(GangWaitCause cause) const {
    return m_ms.at(static_cast<std::size_t>(cause));
  }
  GangWaitCause Cause() const { return m_cause; }

  // "cause=milliseconds" for each cause with any time.
  std::string Describe() const;

  bool operator==(const GangWait&) const = default;

 private:
  // 0 while the gang does not wait.
  std::int64_t m_since_ms = 0;
  std::int64_t m_noted_ms = 0;
  GangWaitCause m_cause = GangWaitCause::kRoom;
  std::array<std::int64_t, kGangWaitCauses> m_ms = {};
};

// For the operator's log.
struct GangDelay {
  std::string m_job;
  // "<job>.<occurrence>.<step>".
  std::string m_step;
  std::size_t m_tasks = 0;
  // Planned now; otherwise it still waits.
  bool m_starts = false;
  std::int64_t m_total_ms = 0;
  GangWait m_wait;
  // Members that the recommended VMs hold when only services run there, and
  // now. 0 if the gang had neither a reservation nor a ticket in this pass.
  std::int64_t m_capacity = 0;
  std::int64_t m_room = 0;

  bool operator==(const GangDelay&) const = default;
};

}  // namespace mustardslip
