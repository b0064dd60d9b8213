// Decides which tasks start on which VMs, and about which VMs to call the
// advice service. Called by CellCore; performs no I/O.
//
// Designed for a load of 80 to 150 % of the fleet's capacity with a backlog of
// thousands of steps, tasks from a tenth of a VM to half a VM in size, gangs of
// several VMs, and wrongly declared sizes and run times. A pass looks at a step
// that can neither start nor ask for advice in constant time, and at VMs only
// through the index of their free capacity. ReadySteps defines the order.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "cell/cell_state.h"
#include "cell/cell_types.h"
#include "cell/contention.h"
#include "cell/ready_steps.h"

namespace mustardslip {

// A run that CellCore is to plan.
struct Placement {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  std::string m_ticket;

  bool operator==(const Placement&) const = default;
};

inline constexpr std::int64_t kUnlimitedStartBytes =
    std::numeric_limits<std::int64_t>::max();

class VmSpeeds;

struct ScheduleResult {
  std::vector<Placement> m_placements;
  std::vector<AdviceRequest> m_advice_requests;
  // Runs to stop for gangs with a reservation.
  std::vector<RunKey> m_preemptions;
  // Gangs that start after a long wait or still wait.
  std::vector<GangDelay> m_gang_delays;
  // VMs that the pass looked at, each time counted: its work.
  std::uint64_t m_vms_examined = 0;
  // Starts on another VM than without regard to contention.
  std::uint64_t m_starts_apart = 0;
  // The pass ended because its starts reached the limit on their bytes.
  bool m_more_to_start = false;
};

enum class PassKind : std::uint8_t {
  kPlan,        // The starts and stops of the result will be carried out.
  kAdviceOnly,  // Only its requests for advice will.
};

class Scheduler {
 public:
  // `contention`: null if it is not avoided; must outlive the scheduler.
  explicit Scheduler(CellFeatures features = {},
                     const ContentionModel* contention = nullptr)
      : m_features(features), m_contention(contention) {}

  const CellFeatures& Features() const { return m_features; }

  // Returns at most `free_advice_calls` advice requests, and starts of about
  // `max_start_bytes` together. Records the requested VMs in the state. Without
  // `speeds` all VMs are taken to be equally fast.
  ScheduleResult Decide(CellState& state, const ReadySteps& ready,
                        const CellRules& rules, const CellTime& now,
                        const FreeAdviceCalls& free_advice_calls,
                        std::int64_t max_start_bytes = kUnlimitedStartBytes,
                        const VmSpeeds* speeds = nullptr,
                        PassKind kind = PassKind::kPlan);

  // Null if contention is not avoided.
  const ContentionModel* Contention() const { return m_contention; }

  // Updates the moving average of the share of VMs recommended for the queue.
  void OnAdvice(const std::string& queue, std::size_t asked, std::size_t good);
  // That share: more than 0, at most 1.
  double GoodShare(const std::string& queue) const;

  // The gangs with a reservation, in the order in which they made it.
  std::vector<StepRef>& ReservingGangs() { return m_reserving_gangs; }

 private:
  const CellFeatures m_features;
  std::vector<StepRef> m_reserving_gangs;
  std::map<std::string, double> m_good_share;
  const ContentionModel* const m_contention;
};

}  // namespace mustardslip
