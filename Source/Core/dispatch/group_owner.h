// The owner of a VM group: connects a GroupState to workers and team shard
// owners.
//
// Threads: one makes placement decisions and sends reports, one per VM fences
// it, renews leases and reads events, and a pool runs starts, stops and service
// requests. One mutex guards the GroupState; workers are never called while it
// is held.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "common/logger.h"
#include "common/thread_pool.h"
#include "dispatch/group_state.h"
#include "transport/rpc.h"

namespace mustardslip {

// Calls the current owner of a team shard.
template <typename T>
concept TeamChannel = requires(T channel, std::int64_t shard,
                               const std::string& method,
                               const RpcMessage& message, Milliseconds timeout,
                               RpcCallback done) {
  {
    channel.CallTeamShard(shard, method, message, timeout, done)
    } -> std::same_as<void>;
};

struct GroupOwnerOptions {
  GroupStateOptions m_state;
  Milliseconds m_decide_interval{20};
  Milliseconds m_renew_interval{10'000};
  Milliseconds m_event_wait{1'000};
  Milliseconds m_worker_timeout{2'000};
  Milliseconds m_report_timeout{2'000};
  Milliseconds m_retry_interval{200};
  std::size_t m_max_threads = 512;
};

template <Worker WorkerT, TeamChannel Channel>
class GroupOwner {
 public:
  using WorkerPtr = std::shared_ptr<WorkerT>;
  // Creates the client of a VM's worker.
  using WorkerFactory = std::function<WorkerPtr(const std::string& vm)>;
  // Assumed maximum error of the workers' wall clocks.
  static constexpr Milliseconds kMaxClockError{500};
  using ServeCallback = std::function<void(Result<ServeReply>, std::string)>;
  // Called once when a worker has seen a higher epoch, so that this owner is
  // superseded.
  using SupersededCallback = std::function<void()>;

  GroupOwner(const std::string& group, Epoch epoch,
             std::map<std::int64_t, Epoch> team_epochs, Channel& channel,
             WorkerFactory factory, SupersededCallback on_superseded,
             GroupOwnerOptions options)
      : m_group(group),
        m_epoch(epoch),
        m_options(options),
        m_channel(channel),
        m_factory(std::move(factory)),
        m_on_superseded(std::move(on_superseded)),
        m_state(group, epoch, std::move(team_epochs), m_options.m_state),
        m_pool(std::make_unique<ThreadPool>(m_options.m_max_threads)) {
    m_decision_thread = std::thread([this] { RunDecisionLoop(); });
  }

  ~GroupOwner() { Stop(); }

  GroupOwner(const GroupOwner&) = delete;
  GroupOwner& operator=(const GroupOwner&) = delete;

  void SetFleet(const std::vector<VmDescription>& vms,
                const std::map<std::string, double>& team_shares) {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return;
    }
    m_state.SetVms(vms);
    for (const auto& [team, share] : team_shares) {
      m_state.SetTeamShare(team, share);
    }
    for (const VmDescription& vm : vms) {
      if (!m_vm_threads.contains(vm.m_id)) {
        WorkerPtr worker = m_factory(vm.m_id);
        m_workers[vm.m_id] = worker;
        m_vm_threads.emplace(vm.m_id,
                             std::thread([this, name = vm.m_id, worker] {
                               RunVmLoop(name, worker);
                             }));
      }
    }
    m_wake.notify_all();
  }

  void SetVmList(const VmList& list) {
    Execute(WithState([&](GroupState& state) {
      return state.SetVmList(list, m_clock.Now());
    }));
  }

  Result<void> Place(const PlaceRequest& request) {
    Result<void> result = WithState(
        [&](GroupState& state) { return state.Place(request, m_clock.Now()); });
    WakeDecisionThread();
    return result;
  }

  Result<void> StopAttempts(const StopRequest& request) {
    Result<GroupCommands> commands = WithState([&](GroupState& state) {
      return state.StopAttempts(request, m_clock.Now());
    });
    if (!commands) {
      return tl::unexpected(commands.error());
    }
    Execute(*commands);
    WakeDecisionThread();
    return {};
  }

  Result<FenceTeamReply> FenceTeam(const FenceTeamRequest& request) {
    return WithState(
        [&](GroupState& state) { return state.FenceTeam(request); });
  }

  // Sends one request to a free slot. Calls `done` on a pool thread, or on the
  // calling thread if there is no free slot or the owner has stopped.
  void Serve(const ServeRequest& request, std::string body,
             const ServeCallback& done) {
    Result<SlotLease> lease = WithState(
        [&](GroupState& state) { return state.AcquireSlot(request); });
    if (!lease) {
      done(tl::unexpected(lease.error()), "");
      return;
    }
    const WorkerPtr worker = FindWorker(lease->m_vm);
    const bool submitted = Submit(
        [this, worker, lease = *lease, request, body = std::move(body), done] {
          const Result<ServiceAnswer> answer =
              worker->Request(lease.m_attempt, request.m_request_id, body,
                              Milliseconds(request.m_timeout_ms));
          Execute(WithState(
              [&](GroupState& state) { return state.ReleaseSlot(lease); }));
          if (answer) {
            done(ServeReply{answer->m_status}, answer->m_body);
          } else {
            done(tl::unexpected(answer.error()), "");
          }
        });
    if (!submitted) {
      done(Fail(ErrorCode::kUnavailable, "shutting_down"), "");
    }
  }

  GroupSummary Summary() const {
    const std::lock_guard lock(m_mutex);
    GroupSummary summary = m_state.Summary();
    summary.m_ready = !m_stopping;
    return summary;
  }

  Epoch OwnerEpoch() const { return m_epoch; }

  // Completes calls to workers that are in flight, then ends all threads.
  // Running tasks continue under their leases; queued attempts are placed again
  // by their team shard owners.
  void Stop() {
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopping) {
        return;
      }
      m_stopping = true;
    }
    m_wake.notify_all();
    m_decision_thread.join();
    for (auto& [name, thread] : m_vm_threads) {
      thread.join();
    }
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_reports_in_flight.empty(); });
    const std::unique_ptr<ThreadPool> pool = std::move(m_pool);
    lock.unlock();
    // The pool's destructor completes the service requests in flight.
  }

 private:
  template <typename Function>
  auto WithState(Function function) {
    const std::lock_guard lock(m_mutex);
    return function(m_state);
  }

  void WakeDecisionThread() {
    {
      const std::lock_guard lock(m_mutex);
      m_work_pending = true;
    }
    m_wake.notify_all();
  }

  // Runs a job on the pool; returns false if the owner has stopped.
  bool Submit(std::function<void()> job) {
    const std::lock_guard lock(m_mutex);
    if (m_pool == nullptr) {
      return false;
    }
    m_pool->Submit(std::move(job));
    return true;
  }

  WorkerPtr FindWorker(const std::string& vm) const {
    const std::lock_guard lock(m_mutex);
    return m_workers.at(vm);
  }

  void RunDecisionLoop() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      m_work_pending = false;
      const GroupCommands commands =
          m_state.Decide(m_clock.Now(), m_clock.UnixMillis());
      lock.unlock();
      Execute(commands);
      SendReports();
      lock.lock();
      m_wake.wait_for(lock, m_options.m_decide_interval,
                      [this] { return m_stopping || m_work_pending; });
    }
  }

  void Execute(const GroupCommands& commands) {
    for (const GroupCommand& command : commands) {
      std::visit([this](const auto& item) { this->Run(item); }, command);
    }
  }

  void Run(const StartCommand& command) {
    Submit([this, command] { StartOnWorker(command); });
  }

  void StartOnWorker(const StartCommand& command) {
    const Result<void> result =
        FindWorker(command.m_vm)->Start(command.m_start);
    const AttemptId& attempt = command.m_start.m_attempt;
    if (result) {
      Execute(WithState([&](GroupState& state) {
        return state.OnStarted(attempt, m_clock.Now());
      }));
      WakeDecisionThread();
      return;
    }
    Log(LogLevel::kInfo, LogCategory::kDispatch, "start_failed",
        {{"attempt", attempt},
         {"vm", command.m_vm},
         {"reason", result.error().Reason()}});
    if (CheckSuperseded(result.error())) {
      return;
    }
    if (result.error().HadNoEffect()) {
      if (result.error().Code() == ErrorCode::kUnavailable) {
        WithState([&](GroupState& state) {
          state.OnUnreachable(command.m_vm, m_clock.Now());
        });
      }
      Execute(WithState([&](GroupState& state) {
        return state.OnStartFailed(attempt, result.error().Reason(),
                                   m_clock.Now());
      }));
      return;
    }
    ResendStart(attempt);
  }

  // Resends a start that the worker may have accepted; starts are idempotent
  // there. Waits until the first copy's not-after time has passed: a copy that
  // arrives after the end was acknowledged would run the task again.
  void ResendStart(const AttemptId& attempt) {
    if (!WaitUnlessStopping(m_options.m_state.m_start_window +
                            kMaxClockError)) {
      return;
    }
    const auto again = WithState([&](GroupState& state) {
      return state.ResendStart(attempt, m_clock.UnixMillis());
    });
    if (again) {
      Run(*again);
    }
  }

  void Run(const ReleaseCommand& command) {
    Submit([this, command] {
      const Result<void> result =
          FindWorker(command.m_vm)->Release(m_epoch, command.m_attempt);
      Retry(command, result);
    });
  }

  void Run(const StopCommand& command) {
    Submit([this, command] {
      const Result<void> result =
          FindWorker(command.m_vm)->Stop(m_epoch, command.m_attempt);
      Retry(command, result);
    });
  }

  void Run(const CheckpointCommand& command) {
    Submit([this, command] {
      const Result<void> result =
          FindWorker(command.m_vm)->Checkpoint(m_epoch, command.m_attempt);
      CheckResult(result);
    });
  }

  void Run(const AcknowledgeCommand& command) {
    Submit([this, command] {
      CheckResult(FindWorker(command.m_vm)->Acknowledge(command.m_sequence));
    });
  }

  // Resends an idempotent command after a failure or an unknown result.
  template <typename Command>
  void Retry(const Command& command, const Result<void>& result) {
    if (result || CheckSuperseded(result.error()) ||
        result.error().Code() == ErrorCode::kNotFound) {
      return;
    }
    if (WaitUnlessStopping(m_options.m_retry_interval) &&
        IsTracked(command.m_attempt)) {
      this->Run(command);
    }
  }

  bool IsTracked(const AttemptId& attempt) const {
    const std::lock_guard lock(m_mutex);
    return m_state.IsRunning(attempt);
  }

  void CheckResult(const Result<void>& result) {
    if (!result) {
      CheckSuperseded(result.error());
    }
  }

  bool CheckSuperseded(const Error& error) {
    if (error.Code() != ErrorCode::kStaleEpoch) {
      return false;
    }
    if (!m_superseded.exchange(true)) {
      m_on_superseded();
    }
    return true;
  }

  // Waits for the duration; returns false early if the owner is stopping.
  bool WaitUnlessStopping(Milliseconds duration) {
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_for(lock, duration, [this] { return m_stopping; });
  }

  bool IsStopping() const {
    const std::lock_guard lock(m_mutex);
    return m_stopping;
  }

  void RunVmLoop(const std::string& name, const WorkerPtr& worker) {
    bool fenced = false;
    TimePoint next_renewal = m_clock.Now();
    while (!IsStopping() && !m_superseded) {
      if (!fenced) {
        fenced = FenceVm(name, *worker);
        if (!fenced && !WaitUnlessStopping(m_options.m_retry_interval)) {
          return;
        }
        continue;
      }
      if (m_clock.Now() >= next_renewal) {
        next_renewal = m_clock.Now() + m_options.m_renew_interval;
        RenewVm(name, *worker);
      }
      fenced = ReadEvents(name, *worker);
    }
  }

  bool FenceVm(const std::string& name, WorkerT& worker) {
    const Result<FenceReply> reply = worker.Fence(m_epoch);
    if (!reply) {
      if (!CheckSuperseded(reply.error())) {
        WithState([&](GroupState& state) {
          state.OnUnreachable(name, m_clock.Now());
        });
      }
      return false;
    }
    Execute(WithState([&](GroupState& state) {
      return state.OnFenced(name, *reply, m_clock.Now());
    }));
    Log(LogLevel::kInfo, LogCategory::kDispatch, "vm_fenced",
        {{"vm", name}, {"epoch", m_epoch}, {"tasks", reply->m_tasks.size()}});
    WakeDecisionThread();
    return true;
  }

  void RenewVm(const std::string& name, WorkerT& worker) {
    const std::vector<AttemptId> attempts = WithState(
        [&](GroupState& state) { return state.AttemptsToRenew(name); });
    if (attempts.empty()) {
      return;
    }
    const auto unknown =
        worker.Renew(m_epoch, attempts, m_options.m_state.m_task_lease);
    if (!unknown) {
      CheckSuperseded(unknown.error());
      return;
    }
    // Reads ends that preceded the renewal, so that ended attempts are not
    // reported as lost.
    ReadEvents(name, worker);
    WithState([&](GroupState& state) {
      state.OnUnknownToWorker(name, *unknown, m_clock.Now());
    });
  }

  // Returns false if the VM must be fenced again.
  bool ReadEvents(const std::string& name, WorkerT& worker) {
    const std::int64_t since = WithState(
        [&](GroupState& state) { return state.LastEndSequence(name); });
    const Result<WorkerEvents> events =
        worker.Events(since, m_options.m_event_wait);
    if (!events) {
      WithState(
          [&](GroupState& state) { state.OnUnreachable(name, m_clock.Now()); });
      WaitUnlessStopping(m_options.m_retry_interval);
      return true;
    }
    const bool fence_again = WithState([&](GroupState& state) {
      return state.OnEvents(name, *events, m_clock.Now());
    });
    if (!events->m_ends.empty()) {
      WakeDecisionThread();
    }
    return !fence_again;
  }

  void SendReports() {
    std::vector<std::pair<std::int64_t, TaskEventsRequest>> messages;
    {
      const std::lock_guard lock(m_mutex);
      for (const std::int64_t shard : m_state.ShardsWithReports()) {
        if (m_stopping || !m_reports_in_flight.insert(shard).second) {
          continue;
        }
        messages.emplace_back(shard,
                              TaskEventsRequest{m_group, m_epoch, shard,
                                                m_state.PeekReports(shard)});
      }
    }
    for (const auto& [shard, request] : messages) {
      SendReport(shard, request);
    }
  }

  void SendReport(std::int64_t shard, const TaskEventsRequest& request) {
    const std::size_t count = request.m_reports.size();
    m_channel.CallTeamShard(
        shard, "TaskEvents", MakeMessage(request), m_options.m_report_timeout,
        [this, shard, count](const RpcResult& result) {
          GroupCommands commands;
          {
            const std::lock_guard lock(m_mutex);
            if (result && !m_stopping) {
              commands = m_state.AcknowledgeReports(shard, count);
            }
          }
          Execute(commands);
          const std::lock_guard lock(m_mutex);
          m_reports_in_flight.erase(shard);
          // A failed report is resent at the next decision interval.
          m_work_pending = m_work_pending || result.has_value();
          m_wake.notify_all();
        });
  }

  const std::string m_group;
  const Epoch m_epoch;
  const GroupOwnerOptions m_options;
  Channel& m_channel;
  const WorkerFactory m_factory;
  const SupersededCallback m_on_superseded;
  const SystemClock m_clock{};

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  GroupState m_state;                               // Guarded by m_mutex.
  bool m_stopping = false;                          // Guarded by m_mutex.
  bool m_work_pending = false;                      // Guarded by m_mutex.
  std::set<std::int64_t> m_reports_in_flight;       // Guarded by m_mutex.
  std::map<std::string, WorkerPtr> m_workers;       // Guarded by m_mutex.
  std::map<std::string, std::thread> m_vm_threads;  // Guarded by m_mutex.
  std::unique_ptr<ThreadPool> m_pool;               // Guarded by m_mutex.
  std::atomic<bool> m_superseded = false;
  std::thread m_decision_thread;
};

}  // namespace mustardslip
