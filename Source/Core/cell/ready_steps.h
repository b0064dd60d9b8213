// The steps of a cell that have tasks to start, in scheduling order. CellCore
// keeps it up to date as jobs change, so that a scheduling pass neither looks
// up jobs nor sorts.
//
// Order: jobs within their team's rate, then steps that can still meet their
// job's objective, then the queue's priority, then the latest start at which
// the rest of the job meets the objective.
#pragma once

#include <absl/container/btree_set.h>

#include <cstdint>
#include <limits>
#include <string>

#include "cell/cell_types.h"
#include "cell/job_state.h"

namespace mustardslip {

// A step whose dependencies are done and that has tasks to start. The pointers
// are valid while the step is in ReadySteps.
struct ReadyStep {
  Job* m_job = nullptr;
  StepState* m_state = nullptr;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;

  const StepSpec& Spec() const { return m_job->m_spec.m_steps[m_step]; }
  StepRef Ref() const { return {m_job->m_spec.m_id, m_occurrence, m_step}; }
};

class ReadySteps {
 public:
  // Adds and removes the steps of the job, as its state requires.
  void Refresh(Job& job);
  // Removes all steps of the job. Required before the job is destroyed.
  void Remove(Job& job);
  // Recomputes the order of the job's steps after a change of its queue's
  // rules.
  void Reorder(Job& job);

  std::size_t Size() const { return m_steps.size(); }
  bool Empty() const { return m_steps.empty(); }

  // Calls `visit(step)` for each step in scheduling order until it returns
  // false. `visit` must not change the set.
  template <typename Visitor>
  void Visit(std::int64_t now_unix_ms, Visitor visit) const {
    for (const bool over_rate : {false, true}) {
      for (const bool late : {false, true}) {
        if (!VisitClass(over_rate, late, now_unix_ms, visit)) {
          return;
        }
      }
    }
  }

 private:
  static constexpr std::int64_t kMin = std::numeric_limits<std::int64_t>::min();
  static constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();

  struct Entry {
    ReadyOrder m_order;
    ReadyStep m_step;

    bool operator<(const Entry& other) const;
  };

  // The first entry at or after this place in the order.
  static Entry LowerBound(bool over_rate, std::int64_t priority,
                          std::int64_t latest_start_unix_ms) {
    return {{over_rate, priority, latest_start_unix_ms}, {}};
  }

  // Visits the steps that are late, or those that are not, by priority. False
  // if `visit` returned false.
  template <typename Visitor>
  bool VisitClass(bool over_rate, bool late, std::int64_t now_unix_ms,
                  Visitor& visit) const {
    auto entry = m_steps.lower_bound(LowerBound(over_rate, kMin, kMin));
    while (entry != m_steps.end() && entry->m_order.m_over_rate == over_rate) {
      const std::int64_t priority = entry->m_order.m_priority;
      if (!late) {
        entry =
            m_steps.lower_bound(LowerBound(over_rate, priority, now_unix_ms));
      }
      for (;
           entry != m_steps.end() && entry->m_order.m_over_rate == over_rate &&
           entry->m_order.m_priority == priority;
           ++entry) {
        if (late && entry->m_order.m_latest_start_unix_ms >= now_unix_ms) {
          break;
        }
        if (!visit(entry->m_step)) {
          return false;
        }
      }
      if (late && priority == kMax) {
        return true;
      }
      if (late) {
        entry = m_steps.lower_bound(LowerBound(over_rate, priority + 1, kMin));
      }
    }
    return true;
  }

  void Update(Job& job, std::uint32_t occurrence, std::uint32_t step,
              StepState& state, bool ready);

  absl::btree_set<Entry> m_steps;
};

}  // namespace mustardslip
