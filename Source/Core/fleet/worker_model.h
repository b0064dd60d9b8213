// The state of one worker VM, for the fake and the stand-in. One implementation
// serves both, so that they cannot differ.
//
// Not thread-safe. The caller passes the time (Unix milliseconds) to each call;
// tasks end, by their script or by their lease, when a call passes a time at or
// after their end, in the order of their ends.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/random_id.h"
#include "fleet/task_script.h"
#include "fleet/worker_api.h"
#include "fleet/worker_wire.h"

namespace mustardslip {

class WorkerModel {
 public:
  // Called for each journal event: time, event name, fields.
  using Journal =
      std::function<void(std::int64_t, std::string_view, nlohmann::json)>;

  static constexpr std::size_t kMaxLabelBytes = 4'096;
  static constexpr std::int64_t kNever =
      std::numeric_limits<std::int64_t>::max();

  // Usage of a task is reported `usage_delay` after its start.
  WorkerModel(Resources capacity, std::int64_t now_ms, Milliseconds usage_delay,
              Journal journal)
      : m_capacity(capacity),
        m_usage_delay(usage_delay),
        m_journal(std::move(journal)),
        m_boot_id(RandomHexId()),
        // Acknowledgements name no boot id, so that sequence numbers must not
        // come again after a restart of the process.
        m_last_sequence(now_ms) {}

  Result<FenceReply> Fence(std::int64_t now_ms, Epoch epoch) {
    EndDueTasks(now_ms);
    if (auto checked = CheckEpoch(now_ms, "fence", "", epoch); !checked) {
      return tl::unexpected(checked.error());
    }
    Write(now_ms, "fenced", nullptr, {{"epoch", epoch}});
    FenceReply reply{m_boot_id, {}};
    for (const auto& [attempt, task] : m_tasks) {
      reply.m_tasks.push_back({attempt, task.m_state, task.m_start.m_resources,
                               task.m_start.m_slots, task.m_start.m_labels});
    }
    return reply;
  }

  Result<void> Start(std::int64_t now_ms, const TaskStart& start) {
    EndDueTasks(now_ms);
    if (auto checked = CheckStart(now_ms, start); !checked) {
      Write(now_ms, "rejected", nullptr,
            {{"call", "start"},
             {"attempt", start.m_attempt},
             {"reason", checked.error().Reason()}});
      return checked;
    }
    m_epoch = std::max(m_epoch, start.m_epoch);
    if (m_tasks.contains(start.m_attempt)) {
      return {};
    }
    Task& task = m_tasks[start.m_attempt];
    task.m_start = start;
    task.m_start.m_payload.clear();
    task.m_script = ReadTaskScript(start);
    task.m_lease_end_ms = now_ms + start.m_lease.count();
    Write(now_ms, "started", &task,
          {{"epoch", start.m_epoch},
           {"hold", start.m_hold},
           {"slots", start.m_slots},
           {"resources", start.m_resources}});
    if (!start.m_hold) {
      Run(now_ms, task);
    }
    EndDueTasks(now_ms);
    return {};
  }

  Result<std::vector<AttemptId>> Renew(std::int64_t now_ms, Epoch epoch,
                                       const std::vector<AttemptId>& attempts,
                                       Milliseconds lease) {
    EndDueTasks(now_ms);
    if (auto checked = CheckEpoch(now_ms, "renew", "", epoch); !checked) {
      return tl::unexpected(checked.error());
    }
    std::vector<AttemptId> unknown;
    for (const AttemptId& attempt : attempts) {
      const auto task = m_tasks.find(attempt);
      if (task == m_tasks.end()) {
        unknown.push_back(attempt);
      } else {
        task->second.m_lease_end_ms = now_ms + lease.count();
      }
    }
    return unknown;
  }

  Result<void> Release(std::int64_t now_ms, Epoch epoch,
                       const AttemptId& attempt) {
    return Control(now_ms, "release", epoch, attempt, [&](Task& task) {
      if (task.m_state == WorkerTaskState::kHeld) {
        Write(now_ms, "released", &task);
        Run(now_ms, task);
      }
    });
  }

  Result<void> Stop(std::int64_t now_ms, Epoch epoch,
                    const AttemptId& attempt) {
    const auto stopped =
        Control(now_ms, "stop", epoch, attempt, [&](Task& task) {
          if (!task.m_script.m_ignore_stop) {
            End(now_ms, task, TaskEndReason::kStopped);
          }
        });
    const bool unknown =
        !stopped && stopped.error().Code() == ErrorCode::kNotFound;
    return unknown ? Result<void>() : stopped;
  }

  Result<void> Checkpoint(std::int64_t now_ms, Epoch epoch,
                          const AttemptId& attempt) {
    return Control(now_ms, "checkpoint", epoch, attempt, [&](Task& task) {
      End(now_ms, task, TaskEndReason::kCheckpointed);
    });
  }

  Result<void> Throttle(std::int64_t now_ms, Epoch epoch,
                        const AttemptId& attempt, int percent) {
    if (percent < 1 || percent > 100) {
      return Fail(ErrorCode::kInvalidArgument, "invalid_percent");
    }
    return Control(now_ms, "throttle", epoch, attempt, [&](Task& task) {
      Write(now_ms, "throttled", &task, {{"percent", percent}});
    });
  }

  // Takes a slot of a service task. EndRequest() has to follow.
  Result<std::int64_t> BeginRequest(std::int64_t now_ms,
                                    const AttemptId& attempt,
                                    const std::string& request_id) {
    EndDueTasks(now_ms);
    const auto entry = m_tasks.find(attempt);
    const bool running = entry != m_tasks.end() &&
                         entry->second.m_state == WorkerTaskState::kRunning;
    if (!running) {
      return RejectRequest(now_ms, attempt, request_id, ErrorCode::kNotFound,
                           "task_not_running");
    }
    Task& task = entry->second;
    if (task.m_start.m_slots == 0) {
      return RejectRequest(now_ms, attempt, request_id,
                           ErrorCode::kInvalidArgument, "not_a_service");
    }
    if (task.m_requests >= task.m_start.m_slots) {
      return RejectRequest(now_ms, attempt, request_id,
                           ErrorCode::kResourceExhausted, "no_free_slot");
    }
    ++task.m_requests;
    const std::int64_t ticket = ++m_last_ticket;
    m_requests[ticket] = {attempt, request_id};
    Write(now_ms, "request_started", &task,
          {{"request_id", request_id}, {"in_flight", task.m_requests}});
    return ticket;
  }

  // Errors: kUnknownOutcome if the task ended before the request.
  Result<void> EndRequest(std::int64_t now_ms, std::int64_t ticket) {
    EndDueTasks(now_ms);
    const auto request = m_requests.find(ticket);
    if (request == m_requests.end()) {
      return Fail(ErrorCode::kUnknownOutcome, "task_ended");
    }
    Task& task = m_tasks.at(request->second.m_attempt);
    --task.m_requests;
    Write(now_ms, "request_ended", &task,
          {{"request_id", request->second.m_id}, {"interrupted", false}});
    m_requests.erase(request);
    return {};
  }

  bool RequestIsOpen(std::int64_t ticket) const {
    return m_requests.contains(ticket);
  }

  WorkerEvents Events(std::int64_t now_ms) {
    EndDueTasks(now_ms);
    WorkerEvents events{m_boot_id, m_ends, {}};
    for (const auto& [attempt, task] : m_tasks) {
      if (task.m_state == WorkerTaskState::kRunning &&
          now_ms >= task.m_run_start_ms + m_usage_delay.count()) {
        const Resources full =
            task.m_start.m_resources * task.m_script.m_usage_percent;
        events.m_usage.push_back(
            {attempt,
             {full.m_cpu_millis / 100, full.m_memory_mb / 100,
              task.m_start.m_resources.m_accelerators}});
      }
    }
    return events;
  }

  bool HasEnds(std::int64_t now_ms) {
    EndDueTasks(now_ms);
    return !m_ends.empty();
  }

  void Acknowledge(std::int64_t now_ms, std::int64_t sequence) {
    EndDueTasks(now_ms);
    std::erase_if(m_ends, [&](const TaskEnd& end) {
      if (end.m_sequence > sequence) {
        return false;
      }
      m_tasks.erase(end.m_attempt);
      return true;
    });
  }

  // Forgets tasks, ends and the epoch, as a VM without a disk does.
  void Reboot(std::int64_t now_ms) {
    EndDueTasks(now_ms);
    for (auto& [attempt, task] : m_tasks) {
      InterruptRequests(now_ms, task);
      if (task.m_state != WorkerTaskState::kEnded) {
        Write(now_ms, "ended", &task, {{"reason", "reboot"}});
      }
    }
    m_tasks.clear();
    m_ends.clear();
    m_epoch = 0;
    m_boot_id = RandomHexId();
    Write(now_ms, "rebooted", nullptr, {{"boot_id", m_boot_id}});
  }

  // From now on each task fails as soon as it runs.
  void SetFailAll(bool fail_all) { m_fail_all = fail_all; }

  // When the next task ends without a further call; kNever if none does.
  std::int64_t NextEnd() const {
    std::int64_t next = kNever;
    for (const auto& [attempt, task] : m_tasks) {
      next = std::min(next, EndOf(task));
    }
    return next;
  }

  // Ends the tasks whose time has come.
  void EndDueTasks(std::int64_t now_ms) {
    while (true) {
      Task* first = nullptr;
      for (auto& [attempt, task] : m_tasks) {
        if (EndOf(task) <= now_ms &&
            (first == nullptr || EndOf(task) < EndOf(*first))) {
          first = &task;
        }
      }
      if (first == nullptr) {
        return;
      }
      const bool by_lease = first->m_lease_end_ms < first->m_run_end_ms;
      const TaskEndReason by_script = first->m_exit_code == 0
                                          ? TaskEndReason::kSucceeded
                                          : TaskEndReason::kFailed;
      End(EndOf(*first), *first,
          by_lease ? TaskEndReason::kLeaseExpired : by_script);
    }
  }

 private:
  struct Task {
    TaskStart m_start;
    TaskScript m_script;
    WorkerTaskState m_state = WorkerTaskState::kHeld;
    std::int64_t m_lease_end_ms = 0;
    std::int64_t m_run_start_ms = 0;
    std::int64_t m_run_end_ms = kNever;
    int m_exit_code = 0;
    int m_requests = 0;  // Requests in flight.
  };

  struct OpenRequest {
    AttemptId m_attempt;
    std::string m_id;
  };

  static std::int64_t EndOf(const Task& task) {
    return task.m_state == WorkerTaskState::kEnded
               ? kNever
               : std::min(task.m_lease_end_ms, task.m_run_end_ms);
  }

  Result<void> CheckStart(std::int64_t now_ms, const TaskStart& start) const {
    if (start.m_epoch < m_epoch) {
      return Fail(ErrorCode::kStaleEpoch, "stale_epoch");
    }
    if (now_ms > start.m_not_after_unix_ms) {
      return Fail(ErrorCode::kInvalidArgument, "start_too_late");
    }
    if (m_tasks.contains(start.m_attempt)) {
      return {};
    }
    if (start.m_attempt.empty() || start.m_resources.IsNegative() ||
        start.m_labels.size() > kMaxLabelBytes) {
      return Fail(ErrorCode::kInvalidArgument, "malformed_start");
    }
    if (!(Used() + start.m_resources).FitsIn(m_capacity)) {
      return Fail(ErrorCode::kResourceExhausted, "no_room");
    }
    return {};
  }

  Result<void> CheckEpoch(std::int64_t now_ms, std::string_view call,
                          const AttemptId& attempt, Epoch epoch) {
    if (epoch < m_epoch) {
      Write(now_ms, "rejected", nullptr,
            {{"call", call}, {"attempt", attempt}, {"reason", "stale_epoch"}});
      return Fail(ErrorCode::kStaleEpoch, "stale_epoch");
    }
    m_epoch = epoch;
    return {};
  }

  // Applies `action` to a task that has not ended; nothing to one that has, so
  // that a repeated call succeeds.
  template <typename Action>
  Result<void> Control(std::int64_t now_ms, std::string_view call, Epoch epoch,
                       const AttemptId& attempt, Action action) {
    EndDueTasks(now_ms);
    if (auto checked = CheckEpoch(now_ms, call, attempt, epoch); !checked) {
      return checked;
    }
    const auto task = m_tasks.find(attempt);
    if (task == m_tasks.end()) {
      return Fail(ErrorCode::kNotFound, "unknown_attempt");
    }
    if (task->second.m_state != WorkerTaskState::kEnded) {
      action(task->second);
    }
    EndDueTasks(now_ms);
    return {};
  }

  tl::unexpected<Error> RejectRequest(std::int64_t now_ms,
                                      const AttemptId& attempt,
                                      const std::string& request_id,
                                      ErrorCode code, const char* reason) {
    Write(now_ms, "rejected", nullptr,
          {{"call", "request"},
           {"attempt", attempt},
           {"request_id", request_id},
           {"reason", reason}});
    return Fail(code, reason);
  }

  Resources Used() const {
    Resources used;
    for (const auto& [attempt, task] : m_tasks) {
      if (task.m_state != WorkerTaskState::kEnded) {
        used = used + task.m_start.m_resources;
      }
    }
    return used;
  }

  void Run(std::int64_t now_ms, Task& task) {
    task.m_state = WorkerTaskState::kRunning;
    task.m_run_start_ms = now_ms;
    task.m_exit_code = m_fail_all ? 1 : task.m_script.m_exit_code;
    if (m_fail_all) {
      task.m_run_end_ms = now_ms;
    } else if (task.m_script.m_run_ms) {
      task.m_run_end_ms = now_ms + *task.m_script.m_run_ms;
    }
  }

  void End(std::int64_t at_ms, Task& task, TaskEndReason reason) {
    InterruptRequests(at_ms, task);
    task.m_state = WorkerTaskState::kEnded;
    const bool by_script =
        reason == TaskEndReason::kSucceeded || reason == TaskEndReason::kFailed;
    const int exit_code = by_script ? task.m_exit_code : 0;
    m_ends.push_back({++m_last_sequence, task.m_start.m_attempt, reason,
                      exit_code, by_script ? task.m_script.m_answer : "",
                      task.m_start.m_labels});
    Write(at_ms, "ended", &task,
          {{"reason", ToString(reason)}, {"exit_code", exit_code}});
  }

  void InterruptRequests(std::int64_t at_ms, Task& task) {
    for (auto request = m_requests.begin(); request != m_requests.end();) {
      if (request->second.m_attempt == task.m_start.m_attempt) {
        Write(at_ms, "request_ended", &task,
              {{"request_id", request->second.m_id}, {"interrupted", true}});
        request = m_requests.erase(request);
      } else {
        ++request;
      }
    }
    task.m_requests = 0;
  }

  void Write(std::int64_t at_ms, std::string_view event, const Task* task,
             nlohmann::json fields = nlohmann::json::object()) const {
    if (!m_journal) {
      return;
    }
    if (task != nullptr) {
      fields["attempt"] = task->m_start.m_attempt;
      const nlohmann::json labels = ParseScript(task->m_start.m_labels);
      for (const char* name : {"team", "m_team"}) {
        if (labels.contains(name)) {
          fields["team"] = labels[name];
        }
      }
    }
    m_journal(at_ms, event, std::move(fields));
  }

  const Resources m_capacity;
  const Milliseconds m_usage_delay;
  const Journal m_journal;
  std::string m_boot_id;
  Epoch m_epoch = 0;  // The highest seen since the start of the VM.
  // Held, running and ended tasks; an ended one stays until its end in m_ends
  // is acknowledged.
  std::map<AttemptId, Task> m_tasks;
  std::vector<TaskEnd> m_ends;
  std::map<std::int64_t, OpenRequest> m_requests;
  std::int64_t m_last_sequence;
  std::int64_t m_last_ticket = 0;
  bool m_fail_all = false;
};

}  // namespace mustardslip
