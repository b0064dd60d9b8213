// The failed runs of a task or a gang, each counted once.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace mustardslip {

// A VM lists a run's end until it is acknowledged, so the same failure may be
// reported again: after the VM's entry was away, or to a new owner.
class FailedRuns {
 public:
  // False if the run is counted already.
  bool Add(std::uint32_t run) {
    const auto place = std::lower_bound(m_runs.begin(), m_runs.end(), run);
    if (place != m_runs.end() && *place == run) {
      return false;
    }
    m_runs.insert(place, run);
    ++m_count;
    return true;
  }

  // Restores a snapshot of `count` failures.
  void Restore(std::uint32_t count) { m_count = std::max(m_count, count); }
  // Restores a snapshot of the failure `run`, with which there were `count`.
  void Restore(std::uint32_t count, std::uint32_t run) {
    const std::uint32_t before = m_count;
    Add(run);
    m_count = std::max(before, count);
  }

  bool Has(std::uint32_t run) const {
    return std::binary_search(m_runs.begin(), m_runs.end(), run);
  }
  std::uint32_t Count() const { return m_count; }
  // In ascending order.
  const std::vector<std::uint32_t>& Runs() const { return m_runs; }

  bool operator==(const FailedRuns&) const = default;

 private:
  // Invariant: at least m_runs.size(); more if a snapshot gave only the number.
  std::uint32_t m_count = 0;
  // Invariant: sorted, without duplicates.
  std::vector<std::uint32_t> m_runs;
};

}  // namespace mustardslip
