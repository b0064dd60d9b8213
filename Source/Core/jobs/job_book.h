// The state machine of the jobs of one team shard. It does no I/O: TeamShard
// passes in events and carries out the resulting JobActions.
//
// Implemented in job_book.cc (adding, cancelling and ending jobs),
// job_events.cc (reports of groups), job_recovery.cc (fences and takeovers) and
// job_planner.cc (choice and sending of attempts).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/team_account.h"
#include "jobs/group_tracker.h"
#include "jobs/job.h"
#include "ledger/ledger_record.h"

namespace mustardslip {

struct JobBookOptions {
  // A task fails after this many attempts that ran and ended without a result.
  int m_max_attempts = 5;
  // The delay before the next attempt starts at m_first_backoff and doubles
  // with each failure up to m_max_backoff.
  Milliseconds m_first_backoff{500};
  Milliseconds m_max_backoff{30'000};
  // Interval at which fence and stop calls are repeated.
  Milliseconds m_refresh{1000};
  // Ended jobs are kept this long for lookups.
  Milliseconds m_retention{3'600'000};
  std::size_t m_max_attempts_per_call = 200;
  // Bounds the work of one planning pass.
  std::size_t m_max_planned_tasks = 2000;
};

// The current time on the monotonic clock and as Unix time.
struct Moment {
  TimePoint m_now;
  std::int64_t m_unix_ms = 0;
};

struct PlaceOrder {
  std::string m_group;
  PlaceRequest m_request;
};

// A final state to be written to an existing ledger record.
struct MarkEnd {
  std::string m_mark;
  RecordState m_state = RecordState::kUnknown;
};

// What TeamShard has to carry out, in any order.
struct JobActions {
  std::vector<PlaceOrder> m_places;
  std::map<std::string, std::vector<AttemptId>> m_stops;
  // Start marks to be written to the ledger, and final states of earlier ones.
  std::vector<std::string> m_marks;
  std::vector<MarkEnd> m_mark_ends;
  // Jobs whose record has to be written or deleted, and jobs that ended.
  std::vector<std::string> m_changed;
  std::vector<std::string> m_deleted;
  std::vector<std::string> m_ended;
};

// Returns the team's resource limit, or nothing if it has none.
using LimitProvider =
    std::function<std::optional<Resources>(const std::string& team)>;
// Finds a ledger record by id.
using MarkLookup =
    std::function<std::optional<LedgerRecord>(const std::string& mark)>;

// Not thread-safe. Invariants: a task has at most one attempt that may run; an
// attempt that may run is charged to its team; a non-idempotent task gets a
// second attempt only if it is certain that the first did not start.
class JobBook {
 public:
  JobBook(std::int64_t shard, Epoch epoch, JobBookOptions options,
          LimitProvider limits);

  // Adds a job that was read from the store after a takeover.
  void Load(Job job, const MarkLookup& find_mark);
  // Adds a new job. It is planned only after Recorded() was called.
  void Add(Job job);
  // The job's record is in the store.
  void Recorded(const std::string& id);
  // Removes a new job. Precondition: its record is certainly not in the store.
  void Drop(const std::string& id);
  const Job* Find(const std::string& id) const;
  // The number of the team's jobs that have not ended.
  std::size_t CountOpen(const std::string& team) const;
  bool HasService(const std::string& team, const std::string& name) const;
  // Waiting tasks end at once. Running attempts are stopped asynchronously, so
  // the status may still be running.
  void Cancel(const std::string& id, Moment moment);

  void UpdateGroups(const std::vector<GroupSummary>& summaries);
  // Idempotent. Errors: kStaleEpoch for a superseded group owner.
  Result<void> Apply(const TaskEventsRequest& events, Moment moment);
  // Groups to send a fence call to now. The caller reads PlaceSequence() when
  // it sends the call and passes it to FenceAnswered().
  std::vector<std::string> TakeDueFences(TimePoint now);
  std::int64_t PlaceSequence() const { return m_place_sequence; }
  void FenceAnswered(const std::string& group, const FenceTeamReply& reply,
                     std::int64_t sent_at_sequence, Moment moment);
  void FenceFailed(const std::string& group, TimePoint now);
  // `error` is empty if the group accepted the attempts.
  void PlaceAnswered(const std::string& group,
                     const std::vector<AttemptId>& attempts,
                     const std::optional<Error>& error, Moment moment);
  void MarkCommitted(const std::string& mark);
  void MarkFailed(const std::string& mark, const Error& error, Moment moment);

  // Plans waiting tasks, repeats stop calls and deletes expired jobs.
  void Tick(Moment moment);
  JobActions TakeActions() { return std::exchange(m_actions, {}); }

  const GroupTracker& Groups() const { return m_groups; }
  // Null if the shard has had no job of the team yet.
  const TeamAccount* FindAccount(const std::string& team) const;
  // True if a job waits for VMs that have not answered since the takeover.
  bool HasRecovered() const { return !m_recovered.empty(); }

 private:
  // Entry of a team's planning queue: one task, or a whole gang (task -1).
  struct ReadyEntry {
    int m_rank = 0;  // Lower is planned first.
    std::int64_t m_submitted_unix_ms = 0;
    std::string m_job;
    int m_task = 0;

    auto operator<=>(const ReadyEntry&) const = default;
  };
  struct Team {
    TeamAccount m_account;
    std::set<ReadyEntry> m_ready;
    // Jobs that have not ended.
    std::size_t m_open_jobs = 0;
    // The number of service jobs that have not ended, by name.
    std::map<std::string, int> m_services;
  };
  // A Place call that is sent once all its start marks are in the ledger.
  struct MarkedOrder {
    PlaceOrder m_order;
    std::set<std::string> m_uncommitted;
  };
  // An attempt that runs without being the current attempt of a task.
  struct Orphan {
    std::string m_team;
    std::string m_group;
  };
  struct TaskRef {
    Job* m_job = nullptr;
    Task* m_task = nullptr;
    int m_index = 0;
  };

  // job_book.cc
  Team& TeamOf(const std::string& name);
  void CountOpened(const Job& job);
  void CountEnded(const Job& job);
  void SetPhase(const Job& job, Task& task, TaskPhase phase);
  void EndTask(Job& job, int index, Outcome outcome, std::string reason,
               Moment moment, std::string answer = "");
  void EndJob(Job& job, Moment moment);
  void StopAttempts(const Job& job);
  void SendStops(const std::string& id);
  void EndWaitingTasks(Job& job, Moment moment);
  void RepeatStops(TimePoint now);
  void DeleteExpiredJobs(std::int64_t unix_ms);

  // job_events.cc
  std::optional<TaskRef> FindAttempt(const AttemptId& attempt);
  void ApplyReport(const std::string& group, const AttemptReport& report,
                   Moment moment);
  void ApplyOrphan(const std::string& group, const AttemptReport& report);
  void ApplyQueued(const TaskRef& ref, const std::string& group);
  void ApplyRunning(const TaskRef& ref, const std::string& group,
                    Moment moment);
  void ApplyNotStarted(const TaskRef& ref, const std::string& reason,
                       Moment moment);
  void ApplyEnded(const TaskRef& ref, const AttemptReport& report,
                  Moment moment);
  void ApplyLost(const TaskRef& ref, const std::string& reason, Moment moment);
  void Adopt(const TaskRef& ref, const AttemptReport& report);
  void RetireAttempt(const TaskRef& ref);
  void RestartTask(const TaskRef& ref, const std::string& reason,
                   Moment moment);
  void RestartGang(Job& job, Moment moment);
  void FailGang(Job& job, Moment moment);

  // job_recovery.cc
  void ResolveMissing(const std::string& group, const FenceTeamReply& reply,
                      std::int64_t sent_at_sequence, Moment moment);
  void ResolveMissingTask(const TaskRef& ref, const std::string& group,
                          Moment moment);
  void ResolveMissingGang(Job& job, const std::vector<int>& missing,
                          const std::string& group, Moment moment);
  void ResolveOrphans(const std::string& group,
                      const std::set<AttemptId>& reported);
  // True if an attempt that the group does not know can be sent again: it
  // certainly did not start, or was not seen running and its job may restart.
  bool CanResend(const Job& job, const Task& task) const;
  void ReleaseRecoveredJob(Job& job, Moment moment);
  void ReleaseRecovered(Moment moment);
  void UpdateUnknownResources();

  // job_planner.cc
  void Enqueue(const Job& job, int index);
  void EnqueueLater(const Job& job, int index, TimePoint when);
  void EnqueueDue(TimePoint now);
  Milliseconds BackoffFor(int failures) const;
  void Plan(Moment moment);
  bool PlanNext(Team& team, Moment moment,
                std::map<std::string, PlaceRequest>& batches);
  bool HasOrphan(const std::string& job) const;
  bool RejectIfUnrunnable(Job& job, const ReadyEntry& ready, Team& team,
                          Moment moment);
  bool ChargeAll(Team& team, Job& job, const std::vector<int>& tasks);
  PlaceRequest MakeRequest(const Job& job, const std::vector<int>& tasks) const;
  void SendOrMark(Job& job, const std::vector<int>& tasks,
                  const std::string& group,
                  std::map<std::string, PlaceRequest>& batches);
  void Send(const std::string& group, PlaceRequest request);
  // Sends attempts that a group lost to the same group again, with the same
  // ids.
  void ResendAttempts(Job& job, const std::vector<int>& tasks);
  AttemptSpec SpecOf(const Job& job, const Task& task) const;
  std::vector<int> TasksOf(const Job& job, const ReadyEntry& ready) const;
  std::map<std::string, int> SiblingsOf(const Job& job) const;
  // Returns the tasks of a marked order to kWaiting before anything was sent.
  // All marks but `keep` are set to not run in the ledger.
  void RevertMarkedOrder(std::int64_t order, Moment moment, Milliseconds delay,
                         const std::string& keep);

  const std::int64_t m_shard;
  const Epoch m_epoch;
  const JobBookOptions m_options;
  const LimitProvider m_limits;

  std::unordered_map<std::string, Job> m_jobs;
  std::map<std::string, Team> m_teams;
  GroupTracker m_groups;
  // Resources of attempts that were sent and are not known to run, per group.
  SentResources m_sent_resources;
  // Job id and task index (-1: gang) to be queued for planning, by due time.
  std::multimap<TimePoint, std::pair<std::string, int>> m_delayed;
  // This shard's attempts that may run, by group.
  std::map<std::string, std::unordered_set<AttemptId>> m_live_attempts;
  // Orders that wait for start marks, by order id, and the order id by mark.
  std::map<std::int64_t, MarkedOrder> m_marked;
  std::unordered_map<std::string, std::int64_t> m_order_by_mark;
  std::int64_t m_next_order = 0;
  // Incremented when a report or reply of a group sets an attempt's phase;
  // orders these changes and fence calls.
  std::int64_t m_place_sequence = 0;
  std::map<AttemptId, Orphan> m_orphans;
  // Jobs whose attempts are being stopped, and those of them for which no stop
  // call has been made yet.
  std::set<std::string> m_stopping;
  std::set<std::string> m_unsent_stops;
  TimePoint m_next_stop_time{};
  // Jobs with tasks in phase kRecovered.
  std::set<std::string> m_recovered;
  // Attempts that are over; late reports about them are ignored. Bounded, the
  // oldest are removed first.
  std::unordered_set<AttemptId> m_retired;
  std::deque<AttemptId> m_retired_order;
  // Ended jobs by end time (Unix, ms).
  std::multimap<std::int64_t, std::string> m_ended;
  // The team after which the next planning pass begins.
  std::string m_last_planned_team;
  JobActions m_actions;
};

}  // namespace mustardslip
