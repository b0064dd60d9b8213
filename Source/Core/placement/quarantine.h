// Finds workers that fail everything, and jobs that fail everywhere.
//
// A worker with failures of 3 different jobs and no success between them is
// set aside for a time that doubles with each repetition. Afterwards it is on
// probation: one further failure sets it aside again, a success clears it. A
// job that failed on 3 different workers and has not had a success is marked as
// failing; its failures are taken off the workers' records.
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

  void Succeeded(VmIndex vm, std::uint64_t job, VmTable& vms);
  void Failed(VmIndex vm, std::uint64_t job, VmTable& vms, TimePoint now);
  // A start on the VM failed without effect: no work for a short time.
  void BackOff(VmIndex vm, VmTable& vms, TimePoint now);
  // Returns VMs to work whose time is over.
  void Expire(VmTable& vms, TimePoint now);
  void Forget(VmIndex vm);

  // Workers on which the job failed; empty if it has not.
  std::span<const VmIndex> FailedOn(std::uint64_t job) const;
  bool IsFailingJob(std::uint64_t job) const;
  std::int64_t Count() const { return m_count; }

 private:
  struct WorkerRecord {
    // Different jobs that failed since the last success.
    std::vector<std::uint64_t> m_failed_jobs;
    int m_level = 0;
    bool m_quarantined = false;
    TimePoint m_until;
  };

  struct JobRecord {
    std::vector<VmIndex> m_failed_on;
    bool m_succeeded = false;
    bool m_failing = false;
  };

  static constexpr std::size_t kFailures = 3;
  // Jobs with failures that are remembered; the oldest is forgotten first.
  static constexpr std::size_t kMaxJobs = 20'000;

  JobRecord& JobOf(std::uint64_t job);
  void MarkFailing(std::uint64_t job, JobRecord& record, VmTable& vms);
  void QuarantineVm(VmIndex vm, VmTable& vms, TimePoint now);
  void Release(VmIndex vm, VmTable& vms, bool probation);
  bool HasBudget(const VmTable& vms) const;

  PlacementOptions m_options;
  absl::flat_hash_map<VmIndex, WorkerRecord> m_workers;
  absl::flat_hash_map<std::uint64_t, JobRecord> m_jobs;
  std::deque<std::uint64_t> m_job_order;
  absl::btree_set<std::pair<TimePoint, VmIndex>> m_ends;
  std::int64_t m_count = 0;
};

}  // namespace mustardslip
