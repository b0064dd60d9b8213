// Evidence per worker and per job.
#include "placement/quarantine.h"

#include <algorithm>

namespace mustardslip {

Quarantine::JobRecord& Quarantine::JobOf(std::uint64_t job) {
  const auto [found, added] = m_jobs.try_emplace(job);
  if (added) {
    m_job_order.push_back(job);
    if (m_job_order.size() > kMaxJobs) {
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

void Quarantine::Succeeded(VmIndex vm, std::uint64_t job, VmTable& vms) {
  const auto known = m_jobs.find(job);
  if (known != m_jobs.end()) {
    known->second.m_succeeded = true;
    known->second.m_failing = false;
  }
  const auto found = m_workers.find(vm);
  if (found == m_workers.end()) {
    return;
  }
  const bool rested = found->second.m_until != TimePoint{};
  if (found->second.m_quarantined || rested) {
    // The task ran before or during the quarantine; its time still counts.
    found->second.m_failed_jobs.clear();
    return;
  }
  m_workers.erase(found);
  if (vms[vm].m_probation) {
    vms.SetSuspended(vm, false, false);
  }
}

void Quarantine::Failed(VmIndex vm, std::uint64_t job, VmTable& vms,
                        TimePoint now) {
  JobRecord& record = JobOf(job);
  WorkerRecord& worker = m_workers[vm];
  // A quarantined worker's failures say nothing about the job.
  const bool counts_for_job = !worker.m_quarantined && worker.m_level == 0;
  if (counts_for_job && record.m_failed_on.size() < kFailures &&
      std::find(record.m_failed_on.begin(), record.m_failed_on.end(), vm) ==
          record.m_failed_on.end()) {
    record.m_failed_on.push_back(vm);
    if (record.m_failed_on.size() == kFailures && !record.m_succeeded) {
      MarkFailing(job, record, vms);
    }
  }
  if (record.m_failing) {
    return;
  }
  auto& jobs = worker.m_failed_jobs;
  if (jobs.size() < kFailures &&
      std::find(jobs.begin(), jobs.end(), job) == jobs.end()) {
    jobs.push_back(job);
  }
  const std::size_t needed = worker.m_level > 0 ? 1 : kFailures;
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
    if (worker.m_quarantined && worker.m_level == 1) {
      Release(vm, vms, false);
      worker.m_level = 0;
    }
  }
}

bool Quarantine::HasBudget(const VmTable& vms) const {
  const auto budget = static_cast<std::int64_t>(
      m_options.m_quarantine_budget * static_cast<double>(vms.Count()));
  // A fleet of a few VMs may lose one, a single VM is never set aside.
  const std::int64_t least = vms.Count() > 1 ? 1 : 0;
  return m_count < std::max(budget, least);
}

void Quarantine::QuarantineVm(VmIndex vm, VmTable& vms, TimePoint now) {
  WorkerRecord& worker = m_workers[vm];
  Milliseconds length = m_options.m_quarantine_base;
  for (int i = 0; i < worker.m_level && length < m_options.m_quarantine_max;
       ++i) {
    length *= 2;
  }
  length = std::min(length, m_options.m_quarantine_max);
  m_ends.erase({worker.m_until, vm});
  worker.m_until = now + length;
  worker.m_quarantined = true;
  ++worker.m_level;
  ++m_count;
  m_ends.emplace(worker.m_until, vm);
  vms.SetSuspended(vm, true, false);
}

void Quarantine::BackOff(VmIndex vm, VmTable& vms, TimePoint now) {
  WorkerRecord& worker = m_workers[vm];
  if (worker.m_quarantined) {
    return;
  }
  m_ends.erase({worker.m_until, vm});
  worker.m_until = now + m_options.m_start_failure_backoff;
  m_ends.emplace(worker.m_until, vm);
  vms.SetSuspended(vm, true, worker.m_level > 0);
}

void Quarantine::Release(VmIndex vm, VmTable& vms, bool probation) {
  WorkerRecord& worker = m_workers[vm];
  m_ends.erase({worker.m_until, vm});
  worker.m_until = TimePoint{};
  if (worker.m_quarantined) {
    worker.m_quarantined = false;
    worker.m_failed_jobs.clear();
    --m_count;
  }
  vms.SetSuspended(vm, false, probation);
}

void Quarantine::Expire(VmTable& vms, TimePoint now) {
  while (!m_ends.empty() && m_ends.begin()->first <= now) {
    const VmIndex vm = m_ends.begin()->second;
    Release(vm, vms, m_workers[vm].m_level > 0);
  }
}

void Quarantine::Forget(VmIndex vm) {
  const auto found = m_workers.find(vm);
  if (found != m_workers.end()) {
    m_ends.erase({found->second.m_until, vm});
    m_count -= static_cast<int>(found->second.m_quarantined);
    m_workers.erase(found);
  }
  for (auto& [job, record] : m_jobs) {
    std::erase(record.m_failed_on, vm);
  }
}

}  // namespace mustardslip
