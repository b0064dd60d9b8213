// The replicated state of a cell: what the records of the log add up to.
//
// A new owner replays the log into an empty CellState; the running owner
// applies each record as it appends it. Both go through Apply(), so that they
// agree by construction.
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
  // Applies one record. A record that refers to an unknown job has no effect on
  // jobs (the job was dropped after its retention).
  void Apply(const LogRecord& record);

  Job* FindJob(const std::string& id);
  const Job* FindJob(const std::string& id) const;
  std::unordered_map<std::string, std::unique_ptr<Job>>& Jobs() {
    return m_jobs;
  }

  // All lives of VMs that are listed, or that may still run something.
  std::map<VmLife, VmState>& Vms() { return m_vms; }
  const std::map<VmLife, VmState>& Vms() const { return m_vms; }
  VmState& VmOf(const VmLife& life);
  VmState* FindVm(const VmLife& life);
  // All known lives of the VM, the oldest first.
  std::vector<VmState*> LivesOf(const std::string& id);
  // The newest life of the VM that is listed, or null.
  VmState* FindListedVm(const std::string& id);

  // What the team has running, and what may still run.
  Resources TeamUsage(const std::string& team) const;

  TaskState* FindTask(const TaskRef& task);
  StepState* FindStep(const TaskRef& task);
  OpenRun* FindRun(const TaskRef& task, std::uint32_t number);

  // Drops jobs that ended before `unix_ms` and have no open runs.
  void DropEndedBefore(std::int64_t unix_ms);
  // Forgets a job whose record was never written.
  void Withdraw(const std::string& id);
  // The same state as a list of records, for a snapshot.
  std::vector<LogRecord> Snapshot() const;

  // Jobs whose phase may have changed since the last call.
  std::vector<std::string> TakeChangedJobs();

  // Jobs that are not ended, and jobs that ended but still have open runs.
  const std::map<std::string, Job*>& ActiveJobs() const { return m_active; }

 private:
  // A task that a record is about, with what it belongs to.
  struct TaskPlace {
    Job& m_job;
    Occurrence& m_occurrence;
    StepState& m_step;
    const StepSpec& m_spec;
    TaskState& m_task;
  };

  // Creates the occurrence if it does not exist; nullopt if the job or the task
  // is not known.
  std::optional<TaskPlace> PlaceOf(const TaskRef& task);

  void ApplyOne(const JobAccepted& record);
  void ApplyOne(const JobCancelled& record);
  void ApplyOne(const RunPlanned& record);
  void ApplyOne(const RunEnded& record);
  void ApplyOne(const TaskSnapshot& record);
  void ApplyOne(const VmSnapshot& record);
  void ApplyOne(const JobSnapshot& record);
  void ApplyOne(const JobEnded& record);
  void ApplyOne(const GangSnapshot& record);
  static void AddStep(const Job& job, TaskRef ref, const StepState& step,
                      std::vector<LogRecord>& records,
                      std::vector<LogRecord>& open);

  void CloseRun(Job& job, const RunEnded& record);
  void CountEnd(Job& job, const RunEnded& record);
  static void MarkDone(Occurrence& occurrence, StepState& step,
                       TaskState& task);
  void CountFailure(Job& job, StepState& step, TaskState& task,
                    const RunEnded& record);
  void UpdateActive(const std::string& id, Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  std::map<std::string, Job*> m_active;
  std::map<VmLife, VmState> m_vms;
  std::unordered_map<std::string, Resources> m_team_usage;
  std::vector<std::string> m_changed;
};

}  // namespace mustardslip
