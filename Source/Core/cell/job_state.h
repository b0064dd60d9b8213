// The state of one job: its occurrences, steps, tasks and open runs.
//
// Changed only by log records (see CellState::Apply), except for members marked
// "volatile": they are known to the current owner and may be lost on takeover.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/failed_runs.h"
#include "cell/gang_wait.h"
#include "cell/log_record.h"
#include "cell/run_progress.h"
#include "cell/workflow.h"

namespace mustardslip {

enum class RunPhase : std::uint8_t {
  kPlanned,   // Logged or being logged; not confirmed by the VM.
  kRunning,   // Confirmed or listed by the VM.
  kStopping,  // A stop was sent.
};

// A run that may exist on a VM.
struct OpenRun {
  std::uint32_t m_number = 0;
  VmIncarnation m_vm;
  // Volatile.
  RunPhase m_phase = RunPhase::kPlanned;
  // Volatile, on the VM's clock. If a report made after this time does not list
  // the run, the run does not exist on the VM: the deadline of the start while
  // it is planned, the time of the confirmation after that. 0: planned by an
  // earlier owner, whose starts are blocked by the fence of this one.
  std::int64_t m_listed_after_vm_ms = 0;
  // Volatile: a list of m_vm that was cut does not have the run, and was taken
  // after m_listed_after_vm_ms: the run is in the part that was left out, or
  // does not exist on the VM.
  bool m_left_out_of_list = false;
  // Volatile: planned on an earlier incarnation of m_vm, which may have ended
  // before the start arrived. The start may still arrive at m_vm: until a stop
  // of the run has been answered, m_listed_after_vm_ms is kUnknownVmTime.
  bool m_carried_over = false;
  // Volatile: owner's steady clock when the start was sent; 0 if this owner did
  // not send it.
  std::int64_t m_start_sent_ms = 0;
  // Volatile: when a stop was last sent; 0 for never.
  std::int64_t m_stop_sent_ms = 0;
  // Volatile: planned by this owner; its record is not durable and the start
  // not sent yet.
  bool m_awaiting_log = false;
  // Volatile.
  RunProgress m_progress;
  // Volatile, on the VM's clock: when the VM answered the start; 0 if this
  // owner has no such answer.
  std::int64_t m_started_vm_ms = 0;
  // Volatile: the VM answered the start with a time that the clock of m_vm may
  // show.
  bool m_clock_matches = false;
  // Volatile: the run tells nothing (more) of its VM's speed (VmSpeeds).
  bool m_speed_settled = false;

  // The VM fell silent right after the start: as the only run that it had just
  // confirmed, or not.
  enum class Suspicion : std::uint8_t { kNone, kWithOthers, kAlone };
  Suspicion m_suspicion = Suspicion::kNone;

  // Later than any time on a VM's clock.
  static constexpr std::int64_t kUnknownVmTime = INT64_MAX;

  // A list of m_vm at this time on its clock has the run, in the part that it
  // returns or in the one that it leaves out, unless the run does not exist
  // there.
  bool IsSettledBy(std::int64_t list_vm_ms) const {
    return list_vm_ms > m_listed_after_vm_ms;
  }
  void SetListedAfter(std::int64_t vm_ms) {
    m_listed_after_vm_ms = vm_ms;
    m_left_out_of_list = false;
  }
  // True if the VM listed the run to this owner: the start was executed there.
  bool Listed() const { return m_progress.Reported(); }
  // True if m_vm executed the start, as far as its answer tells, which does not
  // name the incarnation.
  bool Confirmed() const { return Listed() || m_clock_matches; }

  bool operator==(const OpenRun&) const = default;
};

// Runs under which a VM crashed right after it was told to start them.
struct CrashedRuns {
  FailedRuns m_all;
  // Those that the VM had confirmed, and just before which no other was started
  // there.
  FailedRuns m_alone;

  // True if the task is more likely to be the cause than what shared its VMs:
  // as the only new run twice, or among others once more than the runs that a
  // task needs to show it.
  bool ShowTheCause() const {
    constexpr std::uint32_t kMaxAlone = 2;
    constexpr std::uint32_t kMaxAll = 4;
    return m_alone.Count() >= kMaxAlone || m_all.Count() >= kMaxAll;
  }

  bool operator==(const CrashedRuns&) const = default;
};

struct TaskState {
  std::uint32_t m_last_run = 0;
  // Not used for members of a gang, which fail together.
  FailedRuns m_failures;
  CrashedRuns m_crashes;
  bool m_done = false;
  // The newest checkpoint known; empty for none.
  std::string m_checkpoint;
  std::vector<OpenRun> m_open;
  // Volatile: the VM on which the last run failed; the next prefers others.
  std::string m_last_failed_vm;
  // Volatile: runs stopped in order to continue on another VM. Gangs count it
  // in their first member only.
  std::uint32_t m_moves = 0;
  // Volatile: runs stopped for a more urgent gang.
  std::uint32_t m_preemptions = 0;

  bool operator==(const TaskState&) const = default;
};

// The advice service's verdict on one VM for one step. The verdict does not
// expire; the ticket is valid for one incarnation of the VM and a limited time.
struct Advice {
  bool m_good = false;
  std::string m_ticket;
  std::int64_t m_born = 0;
  // Owner's steady clock.
  std::int64_t m_valid_until_ms = 0;

  bool operator==(const Advice&) const = default;
};

// A step's place in the scheduling order (see ReadySteps).
struct ReadyOrder {
  std::int64_t m_priority = 0;
  bool m_over_rate = false;
  std::int64_t m_latest_start_unix_ms = 0;

  auto operator<=>(const ReadyOrder&) const = default;
  bool operator==(const ReadyOrder&) const = default;
};

// Capacity kept for a gang while its tickets are requested and the VMs' runs
// are stopped.
struct GangReservation {
  struct Vm {
    std::string m_id;
    std::int64_t m_members = 0;

    bool operator==(const Vm&) const = default;
  };

  std::vector<Vm> m_vms;
  // Owner's steady clock.
  std::int64_t m_until_ms = 0;

  bool operator==(const GangReservation&) const = default;
};

struct StepState {
  std::vector<TaskState> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_open = 0;
  // Gangs only: failed runs, each counted once regardless of its members.
  FailedRuns m_gang_failures;
  CrashedRuns m_gang_crashes;
  std::uint32_t m_last_run = 0;
  // Volatile, by VM id.
  std::map<std::string, Advice> m_advice;
  // Volatile: VMs named by the pending advice call; empty if none is pending.
  std::vector<std::string> m_pending_advice_vms;
  // Volatile: earliest time of the next advice call, on the owner's steady
  // clock.
  std::int64_t m_next_advice_call_ms = 0;
  // Volatile: the newest run of a gang that must not continue because a member
  // ended or is being moved.
  std::uint32_t m_last_aborted_run = 0;
  // Volatile, gangs only: what the step waits for, and when that was last
  // logged (owner's steady clock).
  GangWait m_wait;
  std::int64_t m_wait_logged_ms = 0;
  // Volatile, gangs only: when it is checked again whether the team's cap and
  // the VMs could hold the gang; 0 if they could (owner's steady clock).
  std::int64_t m_next_size_check_ms = 0;
  // Volatile, gangs only: VMs on which room is being made.
  GangReservation m_reservation;
  // Volatile, gangs only: in an overloaded pool the step is tried again at this
  // time, or when advice arrives (owner's steady clock).
  std::int64_t m_next_attempt_ms = 0;
  // Volatile: latest end of a ticket in m_advice, on the owner's steady clock.
  std::int64_t m_tickets_until_ms = 0;
  // Volatile: set while the step is in ReadySteps, which maintains it.
  std::optional<ReadyOrder> m_ready_order;

  bool Done() const { return m_done == m_tasks.size(); }
  // Tasks that are neither done nor have an open run.
  std::int64_t WaitingTasks() const {
    return static_cast<std::int64_t>(m_tasks.size()) - m_done - m_open;
  }
  // The failures that count against the queue's attempts of the task, or of its
  // gang.
  FailedRuns& FailuresOf(const StepSpec& spec, std::uint32_t task) {
    return spec.m_gang ? m_gang_failures : m_tasks[task].m_failures;
  }
  const FailedRuns& FailuresOf(const StepSpec& spec, std::uint32_t task) const {
    return spec.m_gang ? m_gang_failures : m_tasks[task].m_failures;
  }
  // The same for crashes of VMs.
  CrashedRuns& CrashesOf(const StepSpec& spec, std::uint32_t task) {
    return spec.m_gang ? m_gang_crashes : m_tasks[task].m_crashes;
  }
  const CrashedRuns& CrashesOf(const StepSpec& spec, std::uint32_t task) const {
    return spec.m_gang ? m_gang_crashes : m_tasks[task].m_crashes;
  }
  // True if a VM crashed under the task: its next start is kept apart from
  // others, so that a further crash shows the cause.
  bool IsSuspect(const StepSpec& spec, std::uint32_t task) const {
    return CrashesOf(spec, task).m_all.Count() > 0;
  }

  bool operator==(const StepState&) const = default;
};

struct Occurrence {
  std::vector<StepState> m_steps;
  std::uint32_t m_done_steps = 0;

  bool Done() const { return m_done_steps == m_steps.size(); }

  bool operator==(const Occurrence&) const = default;
};

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kComplete,
  kFailed,
  kCancelled
};

std::string_view ToString(JobPhase phase);

// Text that its users share, compared by its content.
struct SharedText {
  std::shared_ptr<const std::string> m_text = std::make_shared<std::string>();

  bool operator==(const SharedText& other) const {
    return *m_text == *other.m_text;
  }
};

struct Job {
  WorkflowSpec m_spec;
  std::int64_t m_accepted_unix_ms = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences;
  std::uint32_t m_done_occurrences = 0;
  // Volatile: scheduled occurrences that were released, the first ones.
  std::uint32_t m_released_occurrences = 0;
  bool m_started = false;
  // A VM confirmed a run. Until then the job counts as waiting, also if a start
  // is planned, or a run was lost that may not have begun.
  bool m_confirmed = false;
  bool m_cancelled = false;
  bool m_failed = false;
  bool m_complete = false;
  // 0 until the job has ended.
  std::int64_t m_ended_unix_ms = 0;
  // Open runs of all steps, derived from the log.
  std::uint32_t m_open_runs = 0;
  // Volatile: the newest durable phase, which callers may see; empty until the
  // job itself is durable.
  std::optional<JobPhase> m_visible_phase;
  // Volatile: submitted beyond the team's rate (see ReadySteps).
  bool m_over_rate = false;
  // Volatile: VMs on which a run of the job failed.
  std::set<std::string> m_failed_on;
  // The payload, shared by all starts.
  SharedText m_payload;

  bool operator==(const Job&) const = default;

  JobPhase Phase() const;
  bool Ended() const { return m_cancelled || m_failed || m_complete; }
  std::uint32_t OccurrenceCount() const;
  // When the occurrence is due, in Unix milliseconds; the time of acceptance
  // for a job without a schedule.
  std::int64_t DueUnixMs(std::uint32_t occurrence) const;
  // Creates the occurrence if it does not exist.
  Occurrence& OccurrenceAt(std::uint32_t number);
  // True if all steps that `step` depends on are done.
  bool StepIsReleased(const Occurrence& occurrence, std::uint32_t step) const;
  // The estimated duration of the longest chain of steps that begins with
  // `step`, in milliseconds, including one advice call per step.
  std::int64_t CriticalPathFromMs(std::uint32_t step) const;
  // The longest of CriticalPathsMs().
  std::int64_t CriticalPathMs() const;
  // CriticalPathFromMs() of each step.
  std::vector<std::int64_t> CriticalPathsMs() const;
  // The latest end that meets the latency objective, in Unix milliseconds.
  std::int64_t ObjectiveUnixMs(std::uint32_t occurrence) const;
};

// Returns the initial state of an accepted job.
Job MakeJob(const JobAccepted& record);

}  // namespace mustardslip
