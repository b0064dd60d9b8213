// Corrects declared sizes and run times by observed values, per team and kind
// of job. Fed and queried by PlacementCore.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "common/resources.h"
#include "dispatch/messages.h"

namespace mustardslip {

class UsageEstimator {
 public:
  void ReportUsage(std::uint32_t team, JobKind kind, const Resources& declared,
                   const Resources& used);
  void ReportRunTime(std::uint32_t team, JobKind kind, std::int64_t declared_ms,
                     std::int64_t actual_ms);

  // The size to charge for a declared size, never more than declared.
  // Accelerators are not corrected because a task does not share them.
  Resources CorrectedSize(std::uint32_t team, JobKind kind,
                          const Resources& declared) const;
  std::int64_t CorrectedRunTime(std::uint32_t team, JobKind kind,
                                std::int64_t declared_ms) const;

 private:
  // Maximum ratio of used to declared amount over the last one to two windows
  // of reports.
  struct Peak {
    void Add(double ratio, bool new_window);
    double Value() const;

    double m_current = 0;
    double m_previous = 0;
  };

  struct Estimate {
    Peak m_cpu;
    Peak m_memory;
    std::int64_t m_reports = 0;
    double m_run_time_ratio = 1;
    std::int64_t m_run_times = 0;
  };

  static std::uint64_t Key(std::uint32_t team, JobKind kind);

  absl::flat_hash_map<std::uint64_t, Estimate> m_estimates;
};

}  // namespace mustardslip
