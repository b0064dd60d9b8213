// Limits how much work the owner of a cell accepts for its link. A job needs
// the link for its record and again for its starts, so jobs accepted beyond the
// link's rate make each other late. Answers bursts over a narrow link.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cell/link_share.h"
#include "cell/log_record.h"

namespace mustardslip {

class LinkBudget {
 public:
  // `bytes_per_ms`: rate of the link; 0 for one that is never full.
  explicit LinkBudget(std::int64_t bytes_per_ms)
      : m_bytes_per_ms(bytes_per_ms * kSharePercent / 100),
        m_balance(kMaxSavedMs * m_bytes_per_ms) {}

  // True if what was accepted before keeps the link busy. Jobs of all sizes are
  // accepted alike: the last one may exceed the budget.
  bool Exhausted(std::int64_t now_ms) {
    if (m_bytes_per_ms == 0) {
      return false;
    }
    m_balance = std::min(kMaxSavedMs * m_bytes_per_ms,
                         m_balance + (now_ms - m_last_ms) * m_bytes_per_ms);
    m_last_ms = now_ms;
    return m_balance < 0;
  }

  // Counts a job that is accepted.
  void Spend(const WorkflowSpec& spec) {
    m_balance =
        std::max(m_balance - BytesOf(spec), -kMaxDebtMs * m_bytes_per_ms);
  }

 private:
  // Of the link; polls, answers to callers and peers, and runs that start again
  // use the rest.
  static constexpr std::int64_t kSharePercent = 60;
  // A burst of this length is accepted whole.
  static constexpr std::int64_t kMaxSavedMs = 500;
  // One job, however large, keeps others out for no longer than this.
  static constexpr std::int64_t kMaxDebtMs = 2'000;

  // What the job's record, and the records and starts of its tasks, take on the
  // link. Of a scheduled job the first occurrence counts.
  static std::int64_t BytesOf(const WorkflowSpec& spec) {
    constexpr std::int64_t kRecordsPerRun = 2;
    const std::int64_t run_bytes =
        kStartOrderBytes + static_cast<std::int64_t>(spec.m_payload.size()) +
        kRecordsPerRun *
            TextBytes(static_cast<std::int64_t>(kEstimatedRecordBytes));
    std::int64_t tasks = 0;
    for (const StepSpec& step : spec.m_steps) {
      tasks += step.m_count;
    }
    return TextBytes(static_cast<std::int64_t>(EstimatedSize(spec))) +
           tasks * run_bytes;
  }

  // 0 for a link that is never full.
  const std::int64_t m_bytes_per_ms;
  // In bytes; negative: what was accepted beyond the budget.
  std::int64_t m_balance;
  // Steady clock: when the balance was last brought up to date.
  std::int64_t m_last_ms = 0;
};

}  // namespace mustardslip
