// Detects workers on which all jobs fail and jobs that fail on all workers.
//
// A worker on which 3 different jobs failed with no success between them is
// quarantined for a time that doubles with each repetition. Then it is on
// probation: one further failure quarantines it again, a success ends the
// probation. A job that failed on 3 different workers and never succeeded is
// marked as failing, and its failures are removed from the workers' records.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <span>
#include <utility>
#include <vector>

#include "placement/placement_types.h"
#include "placement/vm_table.h"

namespace mustardslip {

class Quarantine {
 public:
  explicit Quarantine(const PlacementOptions& options) : m_options(options) {}

  void RecordSuccess(VmIndex vm, std::uint64_t job, VmTable& vms);
  void RecordFailure(VmIndex vm, std::uint64_t job, VmTable& vms,
                     TimePoint now);
  // Suspends a VM for m_start_failure_backoff after a start failed without
  // effect.
  void BackOff(VmIndex vm, VmTable& vms, TimePoint now);
  // Releases the VMs whose quarantine or back-off has ended.
  void Expire(VmTable& vms, TimePoint now);
  void Forget(VmIndex vm);

  // Workers on which the job failed, at most kFailureThreshold.
  std::span<const VmIndex> FailedOn(std::uint64_t job) const;
  bool IsFailingJob(std::uint64_t job) const;
  std::int64_t Count() const { return m_count; }

 private:
  struct WorkerRecord {
    // Different jobs that failed since the last success.
    std::vector<std::uint64_t> m_failed_jobs;
    int m_quarantine_count = 0;
    bool m_quarantined = false;
    TimePoint m_until;
  };

  struct JobRecord {
    std::vector<VmIndex> m_failed_on;
    bool m_succeeded = false;
    bool m_failing = false;
  };

  static constexpr std::size_t kFailureThreshold = 3;
  // Maximum number of jobs with recorded failures; the oldest is erased first.
  static constexpr std::size_t kMaxTrackedJobs = 20'000;

  JobRecord& JobOf(std::uint64_t job);
  void MarkFailing(std::uint64_t job, JobRecord& record, VmTable& vms);
  void QuarantineVm(VmIndex vm, VmTable& vms, TimePoint now);
  void Release(VmIndex vm, VmTable& vms, bool probation);
  bool HasBudget(const VmTable& vms) const;

  PlacementOptions m_options;
  absl::flat_hash_map<VmIndex, WorkerRecord> m_workers;
  absl::flat_hash_map<std::uint64_t, JobRecord> m_jobs;
  std::deque<std::uint64_t> m_job_order;
  absl::btree_set<std::pair<TimePoint, VmIndex>> m_release_times;
  std::int64_t m_count = 0;
};

}  // namespace mustardslip
