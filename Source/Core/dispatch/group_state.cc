// GroupState: requests from team shard owners, task starts and reports.
#include "dispatch/group_state.h"

#include <algorithm>
#include <utility>

namespace mustardslip {
namespace {

// Bounds of one TaskEvents message.
constexpr std::size_t kMaxReportsPerMessage = 200;
constexpr std::size_t kMaxReportBytesPerMessage = 4U << 20U;
// Exceeds the longest time a Place can be in transit: its timeout plus the
// longest packet delay that the design assumes (10 s).
constexpr Milliseconds kRetiredLifetime{60'000};

// Labels stored with a task on its worker, from which a new group owner
// rebuilds its state.
std::string MakeLabels(const AttemptSpec& spec, std::int64_t team_shard,
                       const std::string& gang) {
  AttemptSpec without_payload = spec;
  without_payload.m_payload.clear();
  return nlohmann::json{{"spec", without_payload},
                        {"team", spec.m_team},
                        {"team_shard", team_shard},
                        {"gang", gang}}
      .dump();
}

}  // namespace

GroupState::GroupState(std::string group, Epoch epoch,
                       std::map<std::int64_t, Epoch> team_epochs,
                       GroupStateOptions options)
    : m_group(std::move(group)),
      m_epoch(epoch),
      m_options(options),
      m_placement(m_options.m_placement),
      m_team_epochs(std::move(team_epochs)) {}

Result<void> GroupState::CheckTeamEpoch(std::int64_t team_shard, Epoch epoch) {
  Epoch& seen = m_team_epochs[team_shard];
  if (epoch < seen) {
    return Fail(ErrorCode::kStaleEpoch, "team_epoch_superseded",
                std::to_string(seen));
  }
  seen = epoch;
  return {};
}

// --- Requests from team shard owners -----------------------------------------

Result<void> GroupState::Place(const PlaceRequest& request, TimePoint now) {
  if (auto check = CheckTeamEpoch(request.m_team_shard, request.m_team_epoch);
      !check) {
    return check;
  }
  // An attempt sent to a previous owner may run on a VM that has not answered
  // the fence yet; starting it again would run it twice.
  if (request.m_resent && !AllVmsKnown()) {
    for (const AttemptSpec& spec : request.m_attempts) {
      if (!m_attempts.contains(spec.m_attempt)) {
        return Fail(ErrorCode::kUnavailable, "rebuilding");
      }
    }
  }
  std::vector<AttemptSpec> new_attempts;
  for (const AttemptSpec& spec : request.m_attempts) {
    const auto known = m_attempts.find(spec.m_attempt);
    if (known != m_attempts.end()) {
      QueueReport(
          known->second,
          MakeReport(known->second, ReportState(known->second.m_phase)));
      continue;
    }
    if (!m_retired.contains(spec.m_attempt)) {
      new_attempts.push_back(spec);
    }
  }
  if (new_attempts.empty()) {
    return {};
  }
  const std::string gang = request.m_gang ? new_attempts.front().m_attempt : "";
  for (const AttemptSpec& spec : new_attempts) {
    Attempt attempt;
    attempt.m_spec = spec;
    attempt.m_team_shard = request.m_team_shard;
    attempt.m_gang = gang;
    m_attempts.emplace(spec.m_attempt, std::move(attempt));
    if (request.m_gang) {
      m_gangs[gang].m_members.push_back(spec.m_attempt);
    }
  }
  for (const Decision& decision :
       m_placement.Enqueue(new_attempts, request.m_gang, now)) {
    if (const auto* refusal = std::get_if<RefuseAttempt>(&decision)) {
      Refuse(refusal->m_attempt, refusal->m_reason, now);
    }
  }
  return {};
}

Result<GroupCommands> GroupState::StopAttempts(const StopRequest& request,
                                               TimePoint now) {
  if (auto check = CheckTeamEpoch(request.m_team_shard, request.m_team_epoch);
      !check) {
    return tl::unexpected(check.error());
  }
  GroupCommands commands;
  for (const AttemptId& id : request.m_attempts) {
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
      continue;
    }
    Attempt& attempt = found->second;
    attempt.m_stop_requested = true;
    if (attempt.m_phase == Phase::kQueued) {
      if (!attempt.m_gang.empty()) {
        const GroupCommands more = FailGang(attempt.m_gang, "cancelled", now);
        commands.insert(commands.end(), more.begin(), more.end());
      } else if (m_placement.Cancel(id)) {
        Refuse(id, "cancelled", now);
      }
    } else if (attempt.m_phase == Phase::kRunning ||
               attempt.m_phase == Phase::kHeld) {
      commands.emplace_back(StopCommand{attempt.m_vm, id});
    }
  }
  return commands;
}

Result<FenceTeamReply> GroupState::FenceTeam(const FenceTeamRequest& request) {
  if (auto check = CheckTeamEpoch(request.m_team_shard, request.m_team_epoch);
      !check) {
    return tl::unexpected(check.error());
  }
  FenceTeamReply reply;
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.m_team_shard == request.m_team_shard) {
      reply.m_attempts.push_back(
          MakeReport(attempt, ReportState(attempt.m_phase)));
    }
  }
  for (const auto& [name, vm] : m_vms) {
    if (!vm.m_tasks_known) {
      reply.m_unknown_vms.push_back(name);
      reply.m_unknown_room = reply.m_unknown_room + vm.m_description.m_total;
    }
  }
  return reply;
}

Result<SlotLease> GroupState::AcquireSlot(const ServeRequest& request) {
  if (auto check = CheckTeamEpoch(request.m_team_shard, request.m_team_epoch);
      !check) {
    return tl::unexpected(check.error());
  }
  const auto service = m_services.find({request.m_team, request.m_service});
  if (service == m_services.end() || service->second.empty()) {
    return Fail(ErrorCode::kResourceExhausted, "no_such_service");
  }
  Attempt* best = nullptr;
  int best_free = 0;
  for (const AttemptId& id : service->second) {
    Attempt& attempt = m_attempts.at(id);
    const Vm& vm = m_vms.at(attempt.m_vm);
    const bool usable = attempt.m_phase == Phase::kRunning &&
                        !attempt.m_stop_requested && !vm.m_listed_leaving &&
                        !vm.m_unreachable_since;
    const int free = attempt.m_spec.m_slots - attempt.m_slots_in_use;
    if (usable && free > best_free) {
      best = &attempt;
      best_free = free;
    }
  }
  if (best == nullptr) {
    return Fail(ErrorCode::kResourceExhausted, "no_free_slot");
  }
  ++best->m_slots_in_use;
  return SlotLease{best->m_vm, best->m_spec.m_attempt};
}

GroupCommands GroupState::ReleaseSlot(const SlotLease& lease) {
  const auto found = m_attempts.find(lease.m_attempt);
  if (found == m_attempts.end()) {
    return {};
  }
  --found->second.m_slots_in_use;
  const auto vm = m_vms.find(lease.m_vm);
  return vm == m_vms.end() ? GroupCommands{} : StopIdleServices(vm->second);
}

// --- Placement and starts ----------------------------------------------------

void GroupState::Retire(const AttemptId& id) {
  m_attempts.erase(id);
  if (m_retired.insert(id).second) {
    m_retired_order.emplace_back(m_last_decision, id);
  }
}

void GroupState::ExpireRetired(TimePoint now) {
  m_last_decision = now;
  while (!m_retired_order.empty() &&
         now - m_retired_order.front().first > kRetiredLifetime) {
    m_retired.erase(m_retired_order.front().second);
    m_retired_order.pop_front();
  }
}

GroupCommands GroupState::Decide(TimePoint now, std::int64_t unix_ms) {
  ExpireRetired(now);
  GroupCommands commands = Apply(m_placement.Decide(now), now, unix_ms);
  const GroupCommands more = ResolveHeldGangs(now);
  commands.insert(commands.end(), more.begin(), more.end());
  return commands;
}

GroupCommands GroupState::Apply(const std::vector<Decision>& decisions,
                                TimePoint now, std::int64_t unix_ms) {
  GroupCommands commands;
  for (const Decision& decision : decisions) {
    if (const auto* start = std::get_if<StartTask>(&decision)) {
      StartAttempt(*start, false, unix_ms, commands);
    } else if (const auto* gang = std::get_if<StartGang>(&decision)) {
      for (const StartTask& task : gang->m_tasks) {
        StartAttempt(task, true, unix_ms, commands);
      }
    } else if (const auto* preemption = std::get_if<PreemptTask>(&decision)) {
      commands.emplace_back(
          CheckpointCommand{preemption->m_vm, preemption->m_attempt});
    } else if (const auto* refusal = std::get_if<RefuseAttempt>(&decision)) {
      Refuse(refusal->m_attempt, refusal->m_reason, now);
    }
  }
  return commands;
}

void GroupState::StartAttempt(const StartTask& task, bool hold,
                              std::int64_t unix_ms, GroupCommands& commands) {
  Attempt& attempt = m_attempts.at(task.m_attempt);
  Invariant(attempt.m_phase == Phase::kQueued,
            "start of an attempt that is not queued");
  Invariant(hold == !attempt.m_gang.empty(),
            "gang tasks, and only they, start held");
  attempt.m_phase = Phase::kStarting;
  attempt.m_vm = task.m_vm;
  attempt.m_resources_counted = true;
  m_vms.at(task.m_vm).m_attempts.insert(task.m_attempt);
  commands.emplace_back(StartCommand{task.m_vm, MakeStart(attempt, unix_ms)});
}

TaskStart GroupState::MakeStart(const Attempt& attempt,
                                std::int64_t unix_ms) const {
  TaskStart start;
  start.m_attempt = attempt.m_spec.m_attempt;
  start.m_epoch = m_epoch;
  start.m_not_after_unix_ms = unix_ms + m_options.m_start_window.count();
  start.m_lease = m_options.m_task_lease;
  start.m_resources = m_placement.ChargedSize(attempt.m_spec.m_attempt);
  start.m_slots = attempt.m_spec.m_slots;
  start.m_hold = !attempt.m_gang.empty();
  start.m_labels =
      MakeLabels(attempt.m_spec, attempt.m_team_shard, attempt.m_gang);
  start.m_payload = attempt.m_spec.m_payload;
  return start;
}

std::optional<StartCommand> GroupState::ResendStart(
    const AttemptId& attempt, std::int64_t unix_ms) const {
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end() || found->second.m_phase != Phase::kStarting) {
    return std::nullopt;
  }
  return StartCommand{found->second.m_vm, MakeStart(found->second, unix_ms)};
}

GroupCommands GroupState::OnStarted(const AttemptId& id, TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end() || found->second.m_phase != Phase::kStarting) {
    return {};
  }
  Attempt& attempt = found->second;
  if (!attempt.m_gang.empty()) {
    attempt.m_phase = Phase::kHeld;
    Gang& gang = m_gangs.at(attempt.m_gang);
    ++gang.m_held;
    if (gang.m_failed || attempt.m_stop_requested) {
      return FailGang(attempt.m_gang, "gang_start_failed", now);
    }
    if (gang.m_held < gang.m_members.size()) {
      return {};
    }
    gang.m_released = true;
    GroupCommands commands;
    for (const AttemptId& member_id : gang.m_members) {
      Attempt& member = m_attempts.at(member_id);
      member.m_phase = Phase::kRunning;
      QueueReport(member, MakeReport(member, AttemptState::kRunning));
      commands.emplace_back(ReleaseCommand{member.m_vm, member_id});
    }
    return commands;
  }
  attempt.m_phase = Phase::kRunning;
  if (attempt.m_spec.m_kind == JobKind::kService) {
    m_services[{attempt.m_spec.m_team, attempt.m_spec.m_service}].insert(id);
  }
  QueueReport(attempt, MakeReport(attempt, AttemptState::kRunning));
  if (attempt.m_stop_requested) {
    return {StopCommand{attempt.m_vm, id}};
  }
  return {};
}

GroupCommands GroupState::OnStartFailed(const AttemptId& id,
                                        const std::string& reason,
                                        TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end() || found->second.m_phase != Phase::kStarting) {
    return {};
  }
  Attempt& attempt = found->second;
  m_vms.at(attempt.m_vm).m_attempts.erase(id);
  if (!attempt.m_gang.empty()) {
    m_placement.Ended(id, TaskEndReason::kStopped, now);
    attempt.m_resources_counted = false;
    attempt.m_phase = Phase::kQueued;
    return FailGang(attempt.m_gang, reason, now);
  }
  attempt.m_phase = Phase::kQueued;
  attempt.m_vm.clear();
  attempt.m_resources_counted = false;
  m_placement.StartFailed(id, now);
  if (attempt.m_stop_requested && m_placement.Cancel(id)) {
    Refuse(id, "cancelled", now);
  }
  return {};
}

// Cancels a gang that cannot start as a whole: stops held members before they
// run and withdraws queued ones. Members with a start in flight are handled
// when its reply arrives.
GroupCommands GroupState::FailGang(const std::string& name,
                                   const std::string& reason, TimePoint now) {
  const auto found = m_gangs.find(name);
  if (found == m_gangs.end() || found->second.m_released) {
    return {};
  }
  Gang& gang = found->second;
  gang.m_failed = true;
  GroupCommands commands;
  std::vector<AttemptId> remaining;
  for (const AttemptId& id : gang.m_members) {
    Attempt& attempt = m_attempts.at(id);
    if (attempt.m_phase == Phase::kStarting) {
      remaining.push_back(id);
      continue;
    }
    if (attempt.m_phase == Phase::kHeld) {
      commands.emplace_back(StopCommand{attempt.m_vm, id});
      m_placement.Ended(id, TaskEndReason::kStopped, now);
      m_vms.at(attempt.m_vm).m_attempts.erase(id);
    } else {
      m_placement.Cancel(id);
    }
    QueueReport(attempt, [&] {
      AttemptReport report = MakeReport(attempt, AttemptState::kNotStarted);
      report.m_reason = reason;
      return report;
    }());
    Retire(id);
  }
  gang.m_members = remaining;
  gang.m_held = 0;
  if (remaining.empty()) {
    m_gangs.erase(found);
  }
  return commands;
}

void GroupState::Refuse(const AttemptId& id, const std::string& reason,
                        TimePoint now) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) {
    return;
  }
  const std::string gang = found->second.m_gang;
  if (gang.empty()) {
    AttemptReport report = MakeReport(found->second, AttemptState::kNotStarted);
    report.m_reason = reason;
    QueueReport(found->second, std::move(report));
    Retire(id);
    return;
  }
  FailGang(gang, reason, now);
}

// --- Reports -----------------------------------------------------------------

AttemptState GroupState::ReportState(Phase phase) {
  switch (phase) {
    case Phase::kQueued:
      return AttemptState::kQueued;
    case Phase::kEnded:
      return AttemptState::kEnded;
    default:
      // A start in flight counts as running until it is known to have failed.
      return AttemptState::kRunning;
  }
}

AttemptReport GroupState::MakeReport(const Attempt& attempt,
                                     AttemptState state) const {
  AttemptReport report;
  report.m_attempt = attempt.m_spec.m_attempt;
  report.m_team = attempt.m_spec.m_team;
  report.m_job = attempt.m_spec.m_job;
  report.m_resources = attempt.m_spec.m_resources;
  report.m_state = state;
  report.m_vm = attempt.m_vm;
  return report;
}

void GroupState::QueueReport(const Attempt& attempt, AttemptReport report,
                             std::int64_t end_sequence) {
  m_outbox[attempt.m_team_shard].push_back({std::move(report), end_sequence});
}

std::vector<std::int64_t> GroupState::ShardsWithReports() const {
  std::vector<std::int64_t> shards;
  for (const auto& [shard, reports] : m_outbox) {
    if (!reports.empty()) {
      shards.push_back(shard);
    }
  }
  return shards;
}

std::vector<AttemptReport> GroupState::PeekReports(
    std::int64_t team_shard) const {
  std::vector<AttemptReport> batch;
  const auto found = m_outbox.find(team_shard);
  if (found == m_outbox.end()) {
    return batch;
  }
  std::size_t bytes = 0;
  for (const OutgoingReport& outgoing : found->second) {
    bytes += outgoing.m_report.m_answer.size();
    if (!batch.empty() && (batch.size() >= kMaxReportsPerMessage ||
                           bytes > kMaxReportBytesPerMessage)) {
      break;
    }
    batch.push_back(outgoing.m_report);
  }
  return batch;
}

GroupCommands GroupState::AcknowledgeReports(std::int64_t team_shard,
                                             std::size_t count) {
  std::deque<OutgoingReport>& reports = m_outbox[team_shard];
  GroupCommands commands;
  std::set<std::string> changed;
  for (; count > 0 && !reports.empty(); --count) {
    const OutgoingReport& front = reports.front();
    if (front.m_end_sequence > 0) {
      const auto vm = m_vms.find(front.m_report.m_vm);
      if (vm != m_vms.end()) {
        vm->second.m_unacknowledged_ends.erase(front.m_end_sequence);
        changed.insert(vm->first);
      }
      Retire(front.m_report.m_attempt);
    }
    reports.pop_front();
  }
  for (const std::string& name : changed) {
    const Vm& vm = m_vms.at(name);
    const std::int64_t up_to = vm.m_unacknowledged_ends.empty()
                                   ? vm.m_last_end_sequence
                                   : *vm.m_unacknowledged_ends.begin() - 1;
    commands.emplace_back(AcknowledgeCommand{name, up_to});
  }
  return commands;
}

GroupSummary GroupState::Summary() const {
  GroupSummary summary;
  summary.m_group = m_group;
  summary.m_epoch = m_epoch;
  summary.m_ready = true;
  summary.m_total = m_placement.TotalCapacity();
  summary.m_free = m_placement.FreeCapacity();
  summary.m_largest_vm = m_placement.LargestVm();
  summary.m_queued_tasks = static_cast<std::int64_t>(m_placement.QueueLength());
  for (const auto& [name, attempts] : m_services) {
    ServiceSlots slots{name.first, name.second, 0, 0};
    for (const AttemptId& id : attempts) {
      const Attempt& attempt = m_attempts.at(id);
      slots.m_total += attempt.m_spec.m_slots;
      slots.m_free += attempt.m_spec.m_slots - attempt.m_slots_in_use;
    }
    if (slots.m_total > 0) {
      summary.m_services.push_back(std::move(slots));
    }
  }
  return summary;
}

}  // namespace mustardslip
