// Model of VM group owners for tests: tracks the running attempts, rejects
// stale team epochs, and records violations of the invariants on running tasks.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/group_channel.h"
#include "jobs/job.h"
#include "jobs/test_fakes.h"

namespace mustardslip {

// Not thread-safe. Calls are queued until the test handles them; the answer to
// a handled call may be lost.
class SimulatedGroups {
 public:
  struct Event {
    TaskEventsRequest m_events;
  };

  explicit SimulatedGroups(Resources limit) : m_limit(limit) {
    m_groups["z1"];
    m_groups["z2"];
  }

  std::vector<GroupSummary> Summaries() {
    std::vector<GroupSummary> summaries;
    for (const auto& [name, group] : m_groups) {
      GroupSummary summary = TestGroups::MakeSummary(name);
      summary.m_epoch = group.m_epoch;
      for (const Attempt& attempt : group.m_attempts) {
        summary.m_free = summary.m_free - attempt.m_report.m_resources;
      }
      const int tasks = CountServiceTasks(group);
      if (tasks > 0) {
        summary.m_services.push_back({"a", "s", 4 * tasks, 4 * tasks});
      }
      summaries.push_back(summary);
    }
    return summaries;
  }

  void Call(const std::string& group, const std::string& method,
            const RpcMessage& message, Milliseconds, RpcCallback done) {
    m_calls.push_back({group, method, message, std::move(done)});
  }

  // Handles one call; `arg` selects it and whether the call or its answer is
  // lost.
  void HandleCall(std::uint32_t arg) {
    if (m_calls.empty()) {
      return;
    }
    const std::size_t index = arg / 4 % m_calls.size();
    GroupCall call = std::move(m_calls[index]);
    m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(index));
    if (arg % 16 == 1 && call.m_done) {
      call.m_done(Fail(ErrorCode::kUnavailable, "not_delivered"));
      return;
    }
    RpcResult result = Handle(call);
    if (!call.m_done) {
      return;
    }
    if (arg % 16 == 2) {
      result = Fail(ErrorCode::kTimeout, "answer_lost");
    }
    call.m_done(result);
  }

  void HandleAll() {
    while (!m_calls.empty()) {
      HandleCall(0);
    }
  }

  // Fails a queued call with a timeout; the call itself takes effect later.
  void LoseAnswer(std::uint32_t arg) {
    if (m_calls.empty()) {
      return;
    }
    GroupCall& call = m_calls[arg % m_calls.size()];
    const RpcCallback done = std::exchange(call.m_done, nullptr);
    if (!done) {
      return;
    }
    done(Fail(ErrorCode::kTimeout, "late_call"));
  }

  // Starts a queued attempt or, if there is none, ends a running one.
  void Progress(std::uint32_t arg) {
    Group& group = PickGroup(arg);
    if (!StartQueued(group)) {
      EndOne(group, arg / 2);
    }
  }

  void LoseAttempt(std::uint32_t arg) {
    for (Attempt& attempt : PickGroup(arg).m_attempts) {
      if (attempt.m_report.m_state == AttemptState::kRunning) {
        attempt.m_report.m_state = AttemptState::kLost;
        return;
      }
    }
  }

  // Replaces the group owner: queued attempts are lost, and running ones are
  // unknown at first.
  void CrashOwner(std::uint32_t arg) {
    Group& group = PickGroup(arg);
    group.m_epoch++;
    // Late calls were sent to the old owner.
    std::erase_if(m_calls, [arg](const GroupCall& call) {
      return !call.m_done && call.m_group == NameOf(arg);
    });
    std::erase_if(group.m_attempts, [](const Attempt& attempt) {
      return attempt.m_report.m_state == AttemptState::kQueued ||
             attempt.m_report.m_state == AttemptState::kNotStarted ||
             attempt.m_report.m_state == AttemptState::kLost;
    });
    for (Attempt& attempt : group.m_attempts) {
      attempt.m_hidden = true;
    }
    group.m_fences.clear();
    group.m_unknown = true;
  }

  void RevealAll() {
    for (auto& [name, group] : m_groups) {
      group.m_unknown = false;
      for (Attempt& attempt : group.m_attempts) {
        attempt.m_hidden = false;
      }
    }
  }

  std::vector<Event> AllEvents() {
    std::vector<Event> events = m_old_events;
    for (auto& [name, group] : m_groups) {
      for (const Attempt& attempt : group.m_attempts) {
        if (!attempt.m_hidden) {
          events.push_back({{name, group.m_epoch, 5, {attempt.m_report}}});
        }
      }
    }
    return events;
  }

  // Returns any current event, or a duplicate of an earlier one.
  std::optional<Event> PickEvent(std::uint32_t arg) {
    const std::vector<Event> events = AllEvents();
    if (events.empty()) {
      return std::nullopt;
    }
    const Event& event = events[arg % events.size()];
    constexpr std::size_t kMaxOldEvents = 6;
    if (m_old_events.size() < kMaxOldEvents) {
      m_old_events.push_back(event);
    } else {
      m_old_events.erase(m_old_events.begin());
    }
    return event;
  }

  void Acknowledge(const Event& event) {
    const AttemptReport& report = event.m_events.m_reports.front();
    const bool is_live = report.m_state == AttemptState::kQueued ||
                         report.m_state == AttemptState::kRunning;
    Group& group = m_groups.at(event.m_events.m_group);
    if (is_live || std::erase_if(group.m_attempts, [&](const Attempt& attempt) {
                     return attempt.m_report == report;
                   }) == 0) {
      return;
    }
    group.m_acknowledged.insert(report.m_attempt);
  }

  // Stops the delivery of duplicates of old events.
  void ForgetOldEvents() { m_old_events.clear(); }

  int RequestRuns(const std::string& id) const {
    const auto found = m_request_runs.find(id);
    return found == m_request_runs.end() ? 0 : found->second;
  }
  int TaskStarts(const std::string& job) const { return Count(m_starts, job); }
  int TaskSuccesses(const std::string& job) const {
    return Count(m_successes, job);
  }
  const std::string& Violation() const { return m_violation; }

 private:
  struct Attempt {
    AttemptReport m_report;
    bool m_idempotent = true;
    bool m_service = false;
    bool m_hidden = false;
  };
  struct Group {
    Epoch m_epoch = 1;
    bool m_unknown = false;
    std::map<std::int64_t, Epoch> m_fences;
    std::vector<Attempt> m_attempts;
    // Kept so that a late duplicate of a Place call starts nothing.
    std::set<AttemptId> m_acknowledged;
  };
  // Counts by job and task.
  using Counts = std::map<std::string, std::map<int, int>>;

  static int Count(const Counts& counts, const std::string& job) {
    const auto found = counts.find(job);
    int sum = 0;
    if (found != counts.end()) {
      for (const auto& [task, count] : found->second) {
        sum += count;
      }
    }
    return sum;
  }

  static int CountServiceTasks(const Group& group) {
    int count = 0;
    for (const Attempt& attempt : group.m_attempts) {
      count += attempt.m_service && !attempt.m_hidden &&
               attempt.m_report.m_state == AttemptState::kRunning;
    }
    return count;
  }

  static std::string NameOf(std::uint32_t arg) {
    return arg % 2 == 0 ? "z1" : "z2";
  }
  Group& PickGroup(std::uint32_t arg) { return m_groups.at(NameOf(arg)); }

  // Team epochs are the fence, see docs/design.md 5.2. A new group owner reads
  // them from the store, which m_highest_epoch models.
  bool IsStale(Group& group, const RpcMessage& message) {
    const auto epoch = message.m_header.at("m_team_epoch").get<Epoch>();
    Epoch& fence = group.m_fences[0];
    const bool stale = epoch < fence;
    fence = std::max(fence, epoch);
    m_highest_epoch = std::max(m_highest_epoch, epoch);
    return stale;
  }

  RpcResult Handle(const GroupCall& call) {
    Group& group = m_groups.at(call.m_group);
    if (group.m_fences.empty()) {
      group.m_fences[0] = m_highest_epoch;
    }
    if (IsStale(group, call.m_message)) {
      return Fail(ErrorCode::kStaleEpoch, "stale_epoch");
    }
    if (call.m_method == "Place") {
      return Place(group, *ReadHeader<PlaceRequest>(call.m_message));
    }
    if (call.m_method == "Serve") {
      return Serve(group, *ReadHeader<ServeRequest>(call.m_message));
    }
    if (call.m_method == "StopAttempts") {
      return Stop(group, *ReadHeader<StopRequest>(call.m_message));
    }
    return Fence(group);
  }

  RpcResult Place(Group& group, const PlaceRequest& request) {
    for (const AttemptSpec& spec : request.m_attempts) {
      const bool known =
          std::any_of(group.m_attempts.begin(), group.m_attempts.end(),
                      [&spec](const Attempt& attempt) {
                        return attempt.m_report.m_attempt == spec.m_attempt;
                      });
      if (!known && !group.m_acknowledged.contains(spec.m_attempt)) {
        Attempt attempt;
        attempt.m_report.m_attempt = spec.m_attempt;
        attempt.m_report.m_team = spec.m_team;
        attempt.m_report.m_job = spec.m_job;
        attempt.m_report.m_resources = spec.m_resources;
        attempt.m_idempotent = spec.m_idempotent;
        attempt.m_service = spec.m_kind == JobKind::kService;
        group.m_attempts.push_back(attempt);
      }
    }
    return RpcMessage{};
  }

  RpcResult Serve(Group& group, const ServeRequest& request) {
    if (CountServiceTasks(group) == 0) {
      return Fail(ErrorCode::kResourceExhausted, "no_slot");
    }
    m_request_runs[request.m_request_id]++;
    return MakeMessage(ServeReply{200});
  }

  RpcResult Stop(Group& group, const StopRequest& request) {
    for (const AttemptId& id : request.m_attempts) {
      for (Attempt& attempt : group.m_attempts) {
        AttemptReport& report = attempt.m_report;
        if (report.m_attempt != id || attempt.m_hidden) {
          continue;
        }
        if (report.m_state == AttemptState::kQueued) {
          report.m_state = AttemptState::kNotStarted;
        } else if (report.m_state == AttemptState::kRunning) {
          report.m_state = AttemptState::kEnded;
          report.m_end = TaskEndReason::kStopped;
        }
      }
    }
    return RpcMessage{};
  }

  RpcResult Fence(const Group& group) {
    FenceTeamReply reply;
    for (const Attempt& attempt : group.m_attempts) {
      if (!attempt.m_hidden) {
        reply.m_attempts.push_back(attempt.m_report);
      }
    }
    if (group.m_unknown) {
      reply.m_unknown_vms.push_back("vm");
      reply.m_unknown_room = {64'000, 128'000, 8};
    }
    return MakeMessage(reply);
  }

  bool StartQueued(Group& group) {
    for (Attempt& attempt : group.m_attempts) {
      if (attempt.m_report.m_state == AttemptState::kQueued) {
        CheckStart(attempt);
        attempt.m_report.m_state = AttemptState::kRunning;
        return true;
      }
    }
    return false;
  }

  void CheckStart(const Attempt& starting) {
    const auto name = ParseAttemptId(starting.m_report.m_attempt);
    Resources running = starting.m_report.m_resources;
    for (const auto& [group_name, group] : m_groups) {
      for (const Attempt& attempt : group.m_attempts) {
        if (attempt.m_report.m_state != AttemptState::kRunning) {
          continue;
        }
        running = running + attempt.m_report.m_resources;
        const auto other = ParseAttemptId(attempt.m_report.m_attempt);
        if (other->m_job == name->m_job && other->m_task == name->m_task) {
          m_violation =
              "two running attempts of a task: " + starting.m_report.m_attempt +
              " and " + attempt.m_report.m_attempt;
        }
      }
    }
    if (!running.FitsIn(m_limit)) {
      m_violation = "team limit exceeded: " + starting.m_report.m_attempt;
    }
    const int starts = ++m_starts[name->m_job][name->m_task];
    if (!starting.m_idempotent && starts > 1) {
      m_violation =
          "non-idempotent task started again: " + starting.m_report.m_attempt;
    }
  }

  void EndOne(Group& group, std::uint32_t arg) {
    for (Attempt& attempt : group.m_attempts) {
      if (attempt.m_report.m_state != AttemptState::kRunning ||
          attempt.m_service) {
        continue;
      }
      attempt.m_report.m_state = AttemptState::kEnded;
      attempt.m_report.m_end =
          arg % 8 == 1 ? TaskEndReason::kFailed : TaskEndReason::kSucceeded;
      const auto name = ParseAttemptId(attempt.m_report.m_attempt);
      m_successes[name->m_job][name->m_task] += arg % 8 != 1;
      return;
    }
  }

  const Resources m_limit;
  std::map<std::string, Group> m_groups;
  std::vector<GroupCall> m_calls;
  std::vector<Event> m_old_events;
  Epoch m_highest_epoch = 0;
  std::map<std::string, int> m_request_runs;
  Counts m_starts;
  Counts m_successes;
  std::string m_violation;
};

static_assert(GroupChannel<SimulatedGroups>);

}  // namespace mustardslip
