// The state of a team shard owner, without threads of its own: connects the job
// and request state with the ledger, the store and the VM groups. TeamOwner
// runs its steps.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "common/logger.h"
#include "jobs/call_gate.h"
#include "jobs/explain.h"
#include "jobs/group_channel.h"
#include "jobs/job_book.h"
#include "jobs/record_writer.h"
#include "jobs/request_book.h"
#include "jobs/team_owner_options.h"
#include "jobs/wait_list.h"
#include "ledger/ledger_writer.h"

namespace mustardslip {

// Thread-safe. RecoverStep(), LedgerStepOnce(), RecordStepOnce() and
// ExpireOnce() block on store calls. Each of the first three and TickOnce() may
// be called by only one thread at a time. Callbacks run without locks held, on
// the thread whose call produced the answer.
template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
class TeamShard {
 public:
  TeamShard(std::int64_t shard, Epoch epoch, Store& store, Groups& groups,
            TeamOwnerOptions options, LimitProvider limits,
            const ClockType& clock);
  ~TeamShard() { m_gate->Close(); }

  TeamShard(const TeamShard&) = delete;
  TeamShard& operator=(const TeamShard&) = delete;

  // Attempts the takeover once. Returns false if it must be retried later.
  bool RecoverStep();
  // Handles deadlines, retries and new group summaries.
  void TickOnce();
  // Returns false if there was nothing to write.
  bool LedgerStepOnce();
  // Returns false if there was nothing to write, the store is unavailable or a
  // successor was detected.
  bool RecordStepOnce();
  // Deletes ledger segments past their retention.
  void ExpireOnce();

  // Rejects all further calls and answers waiting callers with kNotOwner.
  void Close(bool superseded);
  // Answers all service requests that are still open.
  void Abandon();
  bool Ready() const;
  bool Superseded() const;
  bool IsIdle() const;
  std::size_t InFlight() const;

  void SubmitJob(SubmitJobRequest request, JobResponder done);
  Result<JobStatus> LookupJob(const JobRequest& request);
  void WaitJob(const JobRequest& request, JobResponder done);
  Result<JobStatus> CancelJob(const JobRequest& request);
  Result<std::string> ExplainJob(const JobRequest& request);
  void ServiceRequest(ServiceCall call, std::string body,
                      ServiceResponder done);
  Result<void> OnTaskEvents(const TaskEventsRequest& events);

 private:
  static constexpr std::int64_t kMillisPerSecond = 1000;
  // Callbacks to run after the lock is released.
  using Deferred = std::vector<std::function<void()>>;
  enum class State { kRecovering, kReady, kClosed };

  // A FenceTeam reply that arrived before the job records were read.
  struct EarlyFence {
    std::string m_group;
    FenceTeamReply m_reply;
    std::int64_t m_sequence = 0;
  };

  Moment Now() const { return {m_clock.Now(), m_clock.UnixMillis()}; }
  // Runs `change` and the resulting actions under the lock, then the deferred
  // callbacks without it.
  template <typename Change>
  auto Update(Change change);
  Result<void> CheckReady() const;
  Result<const Job*> FindJob(const JobRequest& request) const;
  // Returns the status of a refused job, or nullopt if it can be admitted.
  std::optional<JobStatus> CheckAdmission(
      const SubmitJobRequest& request) const;
  void AdmitJob(SubmitJobRequest request, std::string id, JobResponder done,
                Deferred& deferred);

  // Carries out the actions that the job and request state has queued.
  void ProcessActions(Deferred& deferred);
  void ProcessJobActions(JobActions actions, Deferred& deferred);
  void ProcessRequestActions(RequestActions actions, Deferred& deferred);
  void WriteJobRecord(const std::string& id);
  void SendFences(Deferred& deferred);
  void SendPlace(PlaceOrder order, Deferred& deferred);
  void SendStop(const std::string& group, std::vector<AttemptId> attempts,
                Deferred& deferred);
  void SendServe(ServeOrder order, Deferred& deferred);
  template <typename Handler>
  void Call(const std::string& group, const std::string& method,
            RpcMessage message, Milliseconds timeout, Handler handler,
            Deferred& deferred);
  void OnFenceReply(const std::string& group, const RpcResult& result,
                    std::int64_t sequence);
  void CheckSuperseded(const RpcResult& result, Deferred& deferred);
  void CloseLocked(bool superseded, Deferred& deferred);
  bool EndsAreRecorded(const TaskEventsRequest& events) const;

  const std::int64_t m_shard;
  const Epoch m_epoch;
  const TeamOwnerOptions m_options;
  const ClockType& m_clock;
  const LimitProvider m_limits;
  Groups& m_groups;
  LedgerWriter<Store> m_ledger;
  RecordWriter<Store> m_records;
  std::shared_ptr<CallGate> m_gate = std::make_shared<CallGate>();
  bool m_ledger_recovered = false;  // Used by RecoverStep() only.
  TimePoint m_next_summaries{};     // Used by TickOnce() only.

  mutable std::mutex m_mutex;
  // All members below are guarded by m_mutex.
  JobBook m_jobs;
  RequestBook m_requests;
  WaitList m_waits;
  // Submissions whose record is being written.
  WaitList m_submissions;
  State m_state = State::kRecovering;
  bool m_superseded = false;
  std::vector<EarlyFence> m_early_fences;
  // Calls to groups that have not been answered.
  std::size_t m_calls_in_flight = 0;
};

}  // namespace mustardslip

#include "jobs/team_shard_impl.h"
