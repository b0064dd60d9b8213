// An in-memory worker VM with planned faults, for tests of other slices.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/fault_plan.h"
#include "fleet/task_script.h"
#include "fleet/worker_api.h"
#include "fleet/worker_model.h"

namespace mustardslip {

enum class WorkerCall {
  kFence,
  kStart,
  kRenew,
  kRelease,
  kStop,
  kCheckpoint,
  kThrottle,
  kRequest,
  kEvents,
  kAcknowledge,
};

// What Events() without ends and Request() with work_ms do.
enum class FakeWait {
  kReturns,  // Return at once, for tests with one thread.
  kWaits,    // Wait until the clock has passed the time.
};

// Thread-safe. Tasks run as their payload says (fleet/task_script.h), in the
// time of the manual clock, which has to outlive the worker.
class FakeWorker {
 public:
  FakeWorker(std::string vm, const Resources& size, const ManualClock& clock,
             FakeWait wait = FakeWait::kReturns,
             Milliseconds usage_delay = Milliseconds(0))
      : m_vm(std::move(vm)),
        m_clock(clock),
        m_wait(wait),
        m_model(size, clock.UnixMillis(), usage_delay,
                [this](std::int64_t unix_ms, std::string_view event,
                       nlohmann::json fields) {
                  fields["unix_ms"] = unix_ms;
                  fields["vm"] = m_vm;
                  fields["event"] = event;
                  m_journal.push_back(std::move(fields));
                }) {}

  // The table of faults by kind of call. kLeaseLapsed reboots the VM, so that
  // all its tasks are gone.
  FaultPlan<WorkerCall>& Faults() { return m_faults; }

  // Called while a request holds its slot, without a lock.
  void OnRequest(std::function<void()> hook) { m_on_request = std::move(hook); }

  // From now on each task fails as soon as it runs.
  void SetFailAll(bool fail_all) {
    const std::lock_guard lock(m_mutex);
    m_model.SetFailAll(fail_all);
  }

  // Tasks, ends and the epoch are gone; the boot id is new.
  void Reboot() {
    const std::lock_guard lock(m_mutex);
    m_model.Reboot(m_clock.UnixMillis());
    m_changed.notify_all();
  }

  // What ran and when: the same entries as the stand-in's journal, without seq.
  std::vector<nlohmann::json> Journal() {
    const std::lock_guard lock(m_mutex);
    m_model.EndDueTasks(m_clock.UnixMillis());
    return m_journal;
  }

  Result<FenceReply> Fence(Epoch epoch) {
    return Run(WorkerCall::kFence, [=](WorkerModel& model, std::int64_t now) {
      return model.Fence(now, epoch);
    });
  }

  Result<void> Start(const TaskStart& start) {
    return Run(WorkerCall::kStart,
               [start](WorkerModel& model, std::int64_t now) {
                 return model.Start(now, start);
               });
  }

  Result<std::vector<AttemptId>> Renew(Epoch epoch,
                                       const std::vector<AttemptId>& attempts,
                                       Milliseconds lease) {
    return Run(WorkerCall::kRenew, [=](WorkerModel& model, std::int64_t now) {
      return model.Renew(now, epoch, attempts, lease);
    });
  }

  Result<void> Release(Epoch epoch, const AttemptId& attempt) {
    return Run(WorkerCall::kRelease, [=](WorkerModel& model, std::int64_t now) {
      return model.Release(now, epoch, attempt);
    });
  }

  Result<void> Stop(Epoch epoch, const AttemptId& attempt) {
    return Run(WorkerCall::kStop, [=](WorkerModel& model, std::int64_t now) {
      return model.Stop(now, epoch, attempt);
    });
  }

  Result<void> Checkpoint(Epoch epoch, const AttemptId& attempt) {
    return Run(WorkerCall::kCheckpoint,
               [=](WorkerModel& model, std::int64_t now) {
                 return model.Checkpoint(now, epoch, attempt);
               });
  }

  Result<void> Throttle(Epoch epoch, const AttemptId& attempt, int percent) {
    return Run(WorkerCall::kThrottle,
               [=](WorkerModel& model, std::int64_t now) {
                 return model.Throttle(now, epoch, attempt, percent);
               });
  }

  // `timeout` is not used: kTimeout comes from planned faults only.
  Result<ServiceAnswer> Request(const AttemptId& attempt,
                                const std::string& request_id,
                                const std::string& body, Milliseconds) {
    return m_faults.Run(WorkerCall::kRequest,
                        [this, attempt, request_id, body] {
                          return Serve(attempt, request_id, body);
                        });
  }

  Result<WorkerEvents> Events(std::int64_t since, Milliseconds wait) {
    return m_faults.Run(WorkerCall::kEvents, [this, since, wait] {
      std::unique_lock lock(m_mutex);
      WaitUntil(lock, m_clock.UnixMillis() + wait.count(),
                [&] { return m_model.HasEnds(m_clock.UnixMillis(), since); });
      return Result<WorkerEvents>(m_model.Events(m_clock.UnixMillis(), since));
    });
  }

  Result<void> Acknowledge(std::int64_t sequence) {
    return Run(WorkerCall::kAcknowledge,
               [sequence](WorkerModel& model, std::int64_t now) {
                 model.Acknowledge(now, sequence);
                 return Result<void>();
               });
  }

 private:
  template <typename Action>
  auto Run(WorkerCall call, Action action)
      -> std::invoke_result_t<Action, WorkerModel&, std::int64_t> {
    return m_faults.Run(call, [this, action] {
      const std::lock_guard lock(m_mutex);
      auto result = action(m_model, m_clock.UnixMillis());
      m_changed.notify_all();
      return result;
    });
  }

  template <typename Predicate>
  void WaitUntil(std::unique_lock<std::mutex>& lock, std::int64_t end_ms,
                 Predicate done) {
    // The clock does not notify, so the wait looks at it at this interval.
    constexpr Milliseconds kPollInterval{1};
    while (m_wait == FakeWait::kWaits && !done() &&
           m_clock.UnixMillis() < end_ms) {
      m_changed.wait_for(lock, kPollInterval);
    }
  }

  Result<ServiceAnswer> Serve(const AttemptId& attempt,
                              const std::string& request_id,
                              const std::string& body) {
    RequestScript script = ReadRequestScript(m_vm, attempt, request_id, body);
    std::unique_lock lock(m_mutex);
    const std::int64_t begin_ms = m_clock.UnixMillis();
    const auto ticket = m_model.BeginRequest(begin_ms, attempt, request_id);
    if (!ticket) {
      return tl::unexpected(ticket.error());
    }
    if (m_on_request) {
      lock.unlock();
      m_on_request();
      lock.lock();
    }
    WaitUntil(lock, begin_ms + script.m_work_ms, [&] {
      m_model.EndDueTasks(m_clock.UnixMillis());
      return !m_model.RequestIsOpen(*ticket);
    });
    return m_model.EndRequest(m_clock.UnixMillis(), *ticket).map([&] {
      return std::move(script.m_answer);
    });
  }

  const std::string m_vm;
  const ManualClock& m_clock;
  const FakeWait m_wait;
  FaultPlan<WorkerCall> m_faults{[this] { Reboot(); }};
  std::function<void()> m_on_request;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<nlohmann::json> m_journal;  // Guarded by m_mutex.
  WorkerModel m_model;                    // Guarded by m_mutex.
};

static_assert(Worker<FakeWorker>);

}  // namespace mustardslip
