// Decides which tasks start where, and which VMs to ask the advice service
// about. Pure: reads the state of the cell and returns decisions.
//
// Load that it answers: 80 to 150 % of the fleet's capacity, with tasks from
// one to half a VM in size, gangs of several VMs, and sizes and times that are
// declared wrongly. Order: teams beyond their rate last, then jobs that already
// miss their objective, then by the queue's priority and the latest time at
// which the rest of the job can start and still meet its objective.
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

// A run to plan.
struct Placement {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  VmLife m_vm;
  std::string m_ticket;

  bool operator==(const Placement&) const = default;
};

struct ScheduleResult {
  std::vector<Placement> m_placements;
  std::vector<AskAdvice> m_asks;
};

class Scheduler {
 public:
  // The steps that may have tasks to start.
  using ReadySteps = std::set<StepRef>;

  // `free_asks`: calls for advice that may be opened now.
  ScheduleResult Decide(CellState& state, const ReadySteps& ready,
                        const CellRules& rules, const CellTime& now,
                        std::size_t free_asks);

  // Learns the share of VMs that the service advises for a queue.
  void OnAdvice(const std::string& queue, std::size_t asked, std::size_t good);

 private:
  struct Slot;
  struct Candidate;
  class Pass;

  double GoodShare(const std::string& queue) const;

  std::map<std::string, double> m_good_share;
};

// VMs that may take a start at `now_ms`.
bool IsUsable(const VmState& vm, std::int64_t now_ms);

}  // namespace mustardslip
