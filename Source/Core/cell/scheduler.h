// Decides which tasks start on which VMs, and about which VMs to call the
// advice service. Called by CellCore; performs no I/O.
//
// Designed for a load of 80 to 150 % of the fleet's capacity, tasks from a
// tenth of a VM to half a VM in size, gangs of several VMs, and wrongly
// declared sizes and run times. Sort order: jobs within their team's rate, then
// jobs that can still meet their objective, then the queue's priority, then the
// latest start at which the rest of the job meets its objective.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/cell_state.h"
#include "cell/cell_types.h"

namespace mustardslip {

// A run that CellCore is to plan.
struct Placement {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmIncarnation m_vm;
  std::string m_ticket;

  bool operator==(const Placement&) const = default;
};

struct ScheduleResult {
  std::vector<Placement> m_placements;
  std::vector<AdviceRequest> m_advice_requests;
};

class Scheduler {
 public:
  // Steps whose dependencies are done and that have tasks to start.
  using ReadySteps = std::set<StepRef>;

  // Returns at most `free_advice_calls` advice requests. Records the requested
  // VMs in the state.
  ScheduleResult Decide(CellState& state, const ReadySteps& ready,
                        const CellRules& rules, const CellTime& now,
                        std::size_t free_advice_calls);

  // Updates the moving average of the share of VMs recommended for the queue.
  void OnAdvice(const std::string& queue, std::size_t asked, std::size_t good);

 private:
  struct Slot;
  struct Candidate;
  class Pass;

  double GoodShare(const std::string& queue) const;

  std::map<std::string, double> m_good_share;
};

// True if the VM may receive starts at `now_ms` (owner's steady clock).
bool IsUsable(const VmState& vm, std::int64_t now_ms);

}  // namespace mustardslip
