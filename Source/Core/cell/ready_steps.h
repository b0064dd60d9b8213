// The steps of a cell that have tasks to start, in scheduling order. CellCore
// keeps it up to date as jobs change, so that a scheduling pass neither looks
// up jobs nor sorts.
//
// Order: first the steps that can still meet their job's objective, by the
// queue's priority and then by the latest start at which the rest of the job
// meets the objective. The late ones follow in the same order. A job beyond its
// team's rate counts as one priority lower and goes after the others there.
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

// The place of a step in the scheduling order. `priority`: of its queue.
ReadyOrder MakeReadyOrder(std::int64_t priority, bool over_rate,
                          std::int64_t latest_start_unix_ms);

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
    const bool visited_all = VisitPriorities([&](std::int64_t priority) {
      return VisitRange({priority, false, now_unix_ms}, {priority, false, kMax},
                        visit) &&
             VisitRange({priority, true, now_unix_ms}, {priority, true, kMax},
                        visit);
    });
    if (visited_all) {
      VisitLate(now_unix_ms, visit);
    }
  }

  // The same for the steps that miss their objective: the last ones in
  // scheduling order.
  template <typename Visitor>
  void VisitLate(std::int64_t now_unix_ms, Visitor visit) const {
    VisitPriorities([&](std::int64_t priority) {
      return VisitRange({priority, false, kMin}, {priority, false, now_unix_ms},
                        visit) &&
             VisitRange({priority, true, kMin}, {priority, true, now_unix_ms},
                        visit);
    });
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
  auto LowerBound(const ReadyOrder& order) const {
    return m_steps.lower_bound(Entry{order, {}});
  }

  // Calls `visit_priority(priority)` for each priority in use until it returns
  // false. Returns false in that case.
  template <typename Visitor>
  bool VisitPriorities(const Visitor& visit_priority) const {
    auto entry = m_steps.begin();
    while (entry != m_steps.end()) {
      const std::int64_t priority = entry->m_order.m_priority;
      if (!visit_priority(priority)) {
        return false;
      }
      entry = LowerBound({priority + 1, false, kMin});
    }
    return true;
  }

  // Visits the entries from `begin` up to but not including `end`. Returns
  // false if `visit` did.
  template <typename Visitor>
  bool VisitRange(const ReadyOrder& begin, const ReadyOrder& end,
                  Visitor& visit) const {
    for (auto entry = LowerBound(begin);
         entry != m_steps.end() && entry->m_order < end; ++entry) {
      if (!visit(entry->m_step)) {
        return false;
      }
    }
    return true;
  }

  void Update(Job& job, std::uint32_t occurrence, std::uint32_t step,
              StepState& state, bool ready);

  absl::btree_set<Entry> m_steps;
};

}  // namespace mustardslip
