// Failure records per worker and per job.
#include "placement/quarantine.h"

#include <algorithm>

namespace mustardslip {

Quarantine::JobRecord& Quarantine::JobOf(std::uint64_t job) {
  const auto [found, added] = m_jobs.try_emplace(job);
  if (added) {
    m_job_order.push_back(job);
    if (m_job_order.size() > kMaxTrackedJobs) {
      m_jobs.erase(m_job_order.front());
      m_job_order.pop_front();
      return m_jobs[job];
    }
  }
  return found->second;
}

std::span<const VmIndex> Quarantine::FailedOn(std::uint64_t job) const {
  const auto found = m_jobs.find(job);
  return found == m_jobs.end() ? std::span<const VmIndex>()
                               : found->second.m_failed_on;
}

bool Quarantine::IsFailingJob(std::uint64_t job) const {
  const auto found = m_jobs.find(job);
  return found != m_jobs.end() && found->second.m_failing;
}

void Quarantine::RecordSuccess(VmIndex vm, std::uint64_t job, VmTable& vms) {
  const auto known = m_jobs.find(job);
  if (known != m_jobs.end()) {
    known->second.m_succeeded = true;
    known->second.m_failing = false;
  }
  const auto found = m_workers.find(vm);
  if (found == m_workers.end()) {
    return;
  }
  const bool suspended = found->second.m_until != TimePoint{};
  if (found->second.m_quarantined || suspended) {
    // The task may have started before the suspension, so its success clears
    // the failures but does not end the suspension.
    found->second.m_failed_jobs.clear();
    return;
  }
  m_workers.erase(found);
  if (vms[vm].m_probation) {
    vms.SetSuspended(vm, false, false);
  }
}

void Quarantine::RecordFailure(VmIndex vm, std::uint64_t job, VmTable& vms,
                               TimePoint now) {
  JobRecord& record = JobOf(job);
  WorkerRecord& worker = m_workers[vm];
  // Failures on a worker that is quarantined or on probation do not count
  // against the job.
  const bool counts_for_job =
      !worker.m_quarantined && worker.m_quarantine_count == 0;
  if (counts_for_job && record.m_failed_on.size() < kFailureThreshold &&
      std::find(record.m_failed_on.begin(), record.m_failed_on.end(), vm) ==
          record.m_failed_on.end()) {
    record.m_failed_on.push_back(vm);
    if (record.m_failed_on.size() == kFailureThreshold && !record.m_succeeded) {
      MarkFailing(job, record, vms);
    }
  }
  if (record.m_failing) {
    return;
  }
  auto& jobs = worker.m_failed_jobs;
  if (jobs.size() < kFailureThreshold &&
      std::find(jobs.begin(), jobs.end(), job) == jobs.end()) {
    jobs.push_back(job);
  }
  const std::size_t needed =
      worker.m_quarantine_count > 0 ? 1 : kFailureThreshold;
  if (jobs.size() >= needed && !worker.m_quarantined && HasBudget(vms)) {
    QuarantineVm(vm, vms, now);
  }
}

void Quarantine::MarkFailing(std::uint64_t job, JobRecord& record,
                             VmTable& vms) {
  record.m_failing = true;
  for (const VmIndex vm : record.m_failed_on) {
    const auto found = m_workers.find(vm);
    if (found == m_workers.end()) {
      continue;
    }
    WorkerRecord& worker = found->second;
    std::erase(worker.m_failed_jobs, job);
    if (worker.m_quarantined && worker.m_quarantine_count == 1) {
      Release(vm, vms, false);
      worker.m_quarantine_count = 0;
    }
  }
}

bool Quarantine::HasBudget(const VmTable& vms) const {
  const auto budget = static_cast<std::int64_t>(
      m_options.m_quarantine_budget * static_cast<double>(vms.Count()));
  // In a small fleet one VM may be quarantined, but never the only one.
  const std::int64_t minimum = vms.Count() > 1 ? 1 : 0;
  return m_count < std::max(budget, minimum);
}

void Quarantine::QuarantineVm(VmIndex vm, VmTable& vms, TimePoint now) {
  WorkerRecord& worker = m_workers[vm];
  Milliseconds length = m_options.m_quarantine_base;
  for (int i = 0;
       i < worker.m_quarantine_count && length < m_options.m_quarantine_max;
       ++i) {
    length *= 2;
  }
  length = std::min(length, m_options.m_quarantine_max);
  m_release_times.erase({worker.m_until, vm});
  worker.m_until = now + length;
  worker.m_quarantined = true;
  ++worker.m_quarantine_count;
  ++m_count;
  m_release_times.emplace(worker.m_until, vm);
  vms.SetSuspended(vm, true, false);
}

void Quarantine::BackOff(VmIndex vm, VmTable& vms, TimePoint now) {
  WorkerRecord& worker = m_workers[vm];
  if (worker.m_quarantined) {
    return;
  }
  m_release_times.erase({worker.m_until, vm});
  worker.m_until = now + m_options.m_start_failure_backoff;
  m_release_times.emplace(worker.m_until, vm);
  vms.SetSuspended(vm, true, worker.m_quarantine_count > 0);
}

void Quarantine::Release(VmIndex vm, VmTable& vms, bool probation) {
  WorkerRecord& worker = m_workers[vm];
  m_release_times.erase({worker.m_until, vm});
  worker.m_until = TimePoint{};
  if (worker.m_quarantined) {
    worker.m_quarantined = false;
    worker.m_failed_jobs.clear();
    --m_count;
  }
  vms.SetSuspended(vm, false, probation);
}

void Quarantine::Expire(VmTable& vms, TimePoint now) {
  while (!m_release_times.empty() && m_release_times.begin()->first <= now) {
    const VmIndex vm = m_release_times.begin()->second;
    Release(vm, vms, m_workers[vm].m_quarantine_count > 0);
  }
}

void Quarantine::Forget(VmIndex vm) {
  const auto found = m_workers.find(vm);
  if (found != m_workers.end()) {
    m_release_times.erase({found->second.m_until, vm});
    m_count -= static_cast<int>(found->second.m_quarantined);
    m_workers.erase(found);
  }
  for (auto& [job, record] : m_jobs) {
    std::erase(record.m_failed_on, vm);
  }
}

}  // namespace mustardslip
