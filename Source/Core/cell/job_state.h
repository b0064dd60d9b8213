// The state of one job: its occurrences, steps, tasks and open runs.
//
// Pure: changed only by log records (see CellState::Apply), apart from what the
// owner learns and may forget (phases, advice), which is marked "volatile".
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/log_record.h"
#include "cell/run_progress.h"
#include "cell/workflow.h"

namespace mustardslip {

enum class RunPhase : std::uint8_t {
  kPlanned,   // In the log or on its way there; the VM has not confirmed it.
  kRunning,   // The VM confirmed or lists it.
  kStopping,  // A stop was sent.
};

// A run that may exist on a VM.
struct OpenRun {
  std::uint32_t m_number = 0;
  VmLife m_vm;
  // Volatile.
  RunPhase m_phase = RunPhase::kPlanned;
  // Volatile, on the VM's clock. A list of runs made after this time names the
  // run, or the run does not exist there: the deadline of the start while it is
  // planned, the time of the confirmation after that. 0: planned by an earlier
  // owner, whose starts the fence of this one stops.
  std::int64_t m_listed_after_vm_ms = 0;
  // Volatile: when a stop was last sent; 0 for never.
  std::int64_t m_stop_sent_ms = 0;
  // Volatile: planned by this owner, and not yet in the store nor sent.
  bool m_awaits_log = false;
  // Volatile.
  RunProgress m_progress;
};

struct TaskState {
  std::uint32_t m_last_run = 0;
  std::uint32_t m_failures = 0;
  bool m_done = false;
  // The newest checkpoint known; empty for none.
  std::string m_checkpoint;
  std::vector<OpenRun> m_open;
  // Volatile: VMs where the last run failed, to be avoided by the next.
  std::string m_last_failed_vm;
  // Volatile: runs that were stopped to go on elsewhere. Counted for the first
  // member of a gang only.
  std::uint32_t m_moves = 0;
};

// What the advice service said about one VM for one step. The verdict holds for
// good; the ticket holds for one life of the VM and a limited time.
struct Advice {
  bool m_good = false;
  std::string m_ticket;
  std::int64_t m_born = 0;
  // Owner's steady clock.
  std::int64_t m_valid_until_ms = 0;
};

struct StepState {
  std::vector<TaskState> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_open = 0;
  // Gangs only: failed runs, each counted once.
  std::uint32_t m_gang_failures = 0;
  std::uint32_t m_last_failed_run = 0;
  std::uint32_t m_last_run = 0;
  // Volatile.
  std::map<std::string, Advice> m_advice;
  // The VMs that the open call for advice names; empty if none is open.
  std::vector<std::string> m_asked;
  std::int64_t m_next_ask_ms = 0;
  // The newest run of a gang that must not go on, as a member has ended.
  std::uint32_t m_broken_run = 0;

  bool Done() const { return m_done == m_tasks.size(); }
};

struct Occurrence {
  std::vector<StepState> m_steps;
  std::uint32_t m_done_steps = 0;

  bool Done() const { return m_done_steps == m_steps.size(); }
};

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kComplete,
  kFailed,
  kCancelled
};

std::string_view ToString(JobPhase phase);

struct Job {
  WorkflowSpec m_spec;
  std::int64_t m_accepted_unix_ms = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences;
  std::uint32_t m_done_occurrences = 0;
  bool m_begun = false;
  // Volatile: a VM confirmed a run. A planned start that no VM took does not
  // end the wait of a job.
  bool m_confirmed = false;
  bool m_cancelled = false;
  bool m_failed = false;
  bool m_complete = false;
  // 0 until the job ended.
  std::int64_t m_ended_unix_ms = 0;
  // Volatile: runs that are open over all steps.
  std::uint32_t m_open_runs = 0;
  // Volatile: the phase that the store has, and that callers may see; empty
  // until the job itself is in the store.
  std::optional<JobPhase> m_shown;
  // Volatile: sent by the team beyond its rate; served when nothing else waits.
  bool m_excess = false;
  // Volatile: VMs on which a run of the job failed.
  std::set<std::string> m_failed_on;
  // The payload in the form in which starts share it.
  std::shared_ptr<const std::string> m_payload;

  JobPhase Phase() const;
  bool Ended() const { return m_cancelled || m_failed || m_complete; }
  std::uint32_t OccurrenceCount() const;
  // Unix milliseconds; the time of acceptance for a job without a schedule.
  std::int64_t DueUnixMs(std::uint32_t occurrence) const;
  // Creates the occurrence if it does not exist.
  Occurrence& OccurrenceAt(std::uint32_t number);
  // True if all steps before `step` are done.
  bool StepIsReleased(const Occurrence& occurrence, std::uint32_t step) const;
  // The estimated time of the longest chain of steps from `step` on, in
  // milliseconds, with one call for advice a step.
  std::int64_t ChainMs(std::uint32_t step) const;
  // The same over the whole job.
  std::int64_t LongestChainMs() const;
  // The same for each step.
  std::vector<std::int64_t> ChainsMs() const;
  // When the occurrence misses its objective, in Unix milliseconds.
  std::int64_t ObjectiveUnixMs(std::uint32_t occurrence) const;
};

// A job that starts with nothing done.
Job MakeJob(const JobAccepted& record);

}  // namespace mustardslip
