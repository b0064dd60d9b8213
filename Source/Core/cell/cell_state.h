// The replicated state of a cell, as given by the records of its log.
//
// A new owner replays the log into an empty CellState; the running owner
// applies each record as it appends it. Both use Apply() and therefore reach
// the same state, whatever configuration each of them has: decisions that
// depend on the configuration are records of their own.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/job_state.h"
#include "cell/log_record.h"
#include "cell/vm_state.h"

namespace mustardslip {

class CellState {
 public:
  // True if a new owner that recovers either state does the same from then on.
  // Of a job that has ended and has no open run only what a lookup returns
  // counts, and a VM without open runs and ends not at all.
  bool operator==(const CellState& other) const;

  // Applies one record. A record of an unknown job (one dropped after its
  // retention) does not change any job.
  void Apply(const LogRecord& record);

  Job* FindJob(const std::string& id);
  const Job* FindJob(const std::string& id) const;
  std::unordered_map<std::string, std::unique_ptr<Job>>& Jobs() {
    return m_jobs;
  }
  const std::unordered_map<std::string, std::unique_ptr<Job>>& Jobs() const {
    return m_jobs;
  }

  // All VM incarnations that are listed or may still have runs.
  std::map<VmIncarnation, VmState>& Vms() { return m_vms; }
  const std::map<VmIncarnation, VmState>& Vms() const { return m_vms; }
  // Creates an unlisted entry if the VM is unknown.
  VmState& FindOrCreateVm(const VmIncarnation& life);
  VmState* FindVm(const VmIncarnation& life);
  // All known incarnations of the VM, the oldest first.
  std::vector<VmState*> IncarnationsOf(const std::string& id);
  // The listed incarnation of the VM, or null.
  VmState* FindListedVm(const std::string& id);

  // Resources of all open runs of the team, including runs that may have ended
  // or may not have started.
  Usage TeamUsage(const std::string& team) const;

  TaskState* FindTask(const TaskRef& task);
  StepState* FindStep(const TaskRef& task);
  OpenRun* FindRun(const TaskRef& task, std::uint32_t number);

  // Drops jobs that ended before `unix_ms` and have no open runs.
  void DropJobsEndedBefore(std::int64_t unix_ms);
  // Removes a job whose JobAccepted record was never written.
  void Withdraw(const std::string& id);
  // Returns records that reproduce this state in an empty CellState.
  std::vector<LogRecord> Snapshot() const;

  // Returns and clears the jobs whose phase may have changed since the last
  // call. An id may occur more than once.
  std::vector<std::string> TakeChangedJobs();

  // Jobs that have not ended, and ended jobs that still have open runs.
  const std::map<std::string, Job*>& ActiveJobs() const { return m_active; }

  // Version of the newest configuration that an owner put in force; 0 for none.
  std::int64_t RulesVersion() const { return m_rules_version; }

 private:
  // Nullopt unless the job has ended and has no open run.
  static std::optional<JobEnded> SummaryOf(const Job& job);
  // The VMs of which something is in the log that a new owner needs.
  std::vector<const VmState*> VmsInLog() const;

  // A task with the objects that contain it.
  struct TaskContext {
    Job& m_job;
    Occurrence& m_occurrence;
    StepState& m_step;
    const StepSpec& m_spec;
    TaskState& m_task;
  };

  // Creates the occurrence if it does not exist. Returns nullopt if the job or
  // the task is unknown.
  std::optional<TaskContext> ResolveTask(const TaskRef& task);

  void ApplyOne(const JobAccepted& record);
  void ApplyOne(const JobCancelled& record);
  void ApplyOne(const RunPlanned& record);
  void ApplyOne(const RunEnded& record);
  void ApplyOne(const TaskSnapshot& record);
  void ApplyOne(const VmSnapshot& record);
  void ApplyOne(const JobProgress& record);
  void ApplyOne(const JobEnded& record);
  void ApplyOne(const FailedRunSnapshot& record);
  void ApplyOne(const CrashSuspicion& record);
  void ApplyOne(const RulesInForce& record);
  void ApplyOne(const VmUnreachable& record);
  void ApplyOne(const VmReachable& record);
  // Drops the bound of the VM's incarnations once none of them has open runs.
  void DropUnusedLeaseBounds(const std::string& id);
  static void AppendStepSnapshot(TaskRef ref, const StepState& step,
                                 std::vector<LogRecord>& records,
                                 std::vector<LogRecord>& open);

  void CloseRun(Job& job, const RunEnded& record);
  void CountEnd(Job& job, const RunEnded& record);
  static void MarkDone(Occurrence& occurrence, StepState& step,
                       TaskState& task);
  void UpdateActive(const std::string& id, Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  std::map<std::string, Job*> m_active;
  std::map<VmIncarnation, VmState> m_vms;
  std::unordered_map<std::string, Usage> m_team_usage;
  std::vector<std::string> m_changed;
  std::int64_t m_rules_version = 0;
};

}  // namespace mustardslip
