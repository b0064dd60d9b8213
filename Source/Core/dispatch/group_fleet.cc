// GroupState: VM states, rebuild after a change of owner, task ends and losses.
#include <algorithm>
#include <utility>

#include "common/logger.h"
#include "dispatch/group_state.h"

namespace mustardslip {

bool GroupState::AllVmsKnown() const {
  return std::all_of(m_vms.begin(), m_vms.end(), [](const auto& entry) {
    return entry.second.m_tasks_known;
  });
}

bool GroupState::IsRunning(const AttemptId& attempt) const {
  const auto found = m_attempts.find(attempt);
  return found != m_attempts.end() &&
         (found->second.m_phase == Phase::kRunning ||
          found->second.m_phase == Phase::kHeld);
}

std::int64_t GroupState::LastEndSequence(const std::string& vm) const {
  const auto found = m_vms.find(vm);
  return found == m_vms.end() ? 0 : found->second.m_last_end_sequence;
}

VmCondition GroupState::ConditionOf(const Vm& vm) const {
  if (!vm.m_tasks_known) {
    return VmCondition::kUnknown;
  }
  if (!vm.m_configured || vm.m_listed_leaving || !vm.m_listed_live ||
      vm.m_unreachable_since) {
    return VmCondition::kLeaving;
  }
  return VmCondition::kReady;
}

void GroupState::UpdateCondition(const Vm& vm) {
  m_placement.SetVm(vm.m_description, ConditionOf(vm));
}

void GroupState::SetVms(const std::vector<VmDescription>& vms) {
  for (auto& [name, vm] : m_vms) {
    vm.m_configured = false;
  }
  for (const VmDescription& description : vms) {
    Vm& vm = m_vms[description.m_id];
    vm.m_description = description;
    vm.m_configured = true;
  }
  for (const auto& [name, vm] : m_vms) {
    UpdateCondition(vm);
  }
}

void GroupState::SetTeamShare(const std::string& team, double share) {
  m_placement.SetTeamShare(team, share);
}

GroupCommands GroupState::SetVmList(const VmList& list, TimePoint now) {
  if (list.m_version < m_list_version) {
    return {};
  }
  m_list_version = list.m_version;
  GroupCommands commands;
  std::map<std::string, VmState> states;
  for (const ListedVm& listed : list.m_vms) {
    states[listed.m_id] = listed.m_state;
  }
  for (auto& [name, vm] : m_vms) {
    const auto listed = states.find(name);
    const bool present = listed != states.end();
    vm.m_listed_live = present && listed->second == VmState::kLive;
    vm.m_listed_leaving = present && listed->second == VmState::kLeaving;
    vm.m_was_listed = vm.m_was_listed || present;
    if (present || !vm.m_was_listed) {
      vm.m_unlisted_since.reset();
    } else if (!vm.m_unlisted_since) {
      vm.m_unlisted_since = now;
    }
    const bool lost =
        vm.m_unlisted_since && vm.m_unreachable_since &&
        now - *vm.m_unlisted_since >= m_options.m_vm_loss_delay &&
        now - *vm.m_unreachable_since >= m_options.m_vm_loss_delay;
    if (lost) {
      ReportAllLost(vm, "vm_gone", now);
      vm.m_tasks_known = true;
    }
    UpdateCondition(vm);
    const GroupCommands more = StopIdleServices(vm);
    commands.insert(commands.end(), more.begin(), more.end());
  }
  return commands;
}

void GroupState::OnUnreachable(const std::string& name, TimePoint now) {
  const auto found = m_vms.find(name);
  if (found == m_vms.end() || found->second.m_unreachable_since) {
    return;
  }
  found->second.m_unreachable_since = now;
  UpdateCondition(found->second);
}

GroupCommands GroupState::OnFenced(const std::string& name,
                                   const FenceReply& reply, TimePoint now) {
  const auto found = m_vms.find(name);
  if (found == m_vms.end()) {
    return {};
  }
  Vm& vm = found->second;
  const bool rebooted =
      !vm.m_boot_id.empty() && vm.m_boot_id != reply.m_boot_id;
  if (rebooted) {
    ReportAllLost(vm, "vm_rebooted", now);
    vm.m_unacknowledged_ends.clear();
    vm.m_last_end_sequence = 0;
  }
  vm.m_boot_id = reply.m_boot_id;
  vm.m_unreachable_since.reset();
  for (const WorkerTask& task : reply.m_tasks) {
    AdoptTask(vm, task);
  }
  vm.m_tasks_known = true;
  UpdateCondition(vm);
  return {};
}

// Takes over a task that a previous owner started.
void GroupState::AdoptTask(Vm& vm, const WorkerTask& task) {
  if (m_attempts.contains(task.m_attempt)) {
    return;
  }
  const nlohmann::json labels =
      nlohmann::json::parse(task.m_labels, nullptr, false);
  if (!labels.is_object() || !labels.contains("spec")) {
    Log(LogLevel::kWarning, LogCategory::kDispatch, "task_without_labels",
        {{"attempt", task.m_attempt}, {"vm", vm.m_description.m_id}});
    return;
  }
  Attempt attempt;
  attempt.m_spec = labels.at("spec").get<AttemptSpec>();
  attempt.m_team_shard = labels.value("team_shard", std::int64_t{0});
  attempt.m_gang = labels.value("gang", "");
  attempt.m_vm = vm.m_description.m_id;
  if (task.m_state == WorkerTaskState::kEnded) {
    // The end arrives later as an event; until then a repeated Place must not
    // start the task again.
    attempt.m_phase = Phase::kEnded;
    m_attempts.emplace(task.m_attempt, std::move(attempt));
    return;
  }
  attempt.m_resources_counted = true;
  const bool held = task.m_state == WorkerTaskState::kHeld;
  attempt.m_phase = held ? Phase::kHeld : Phase::kRunning;
  m_placement.AddRunning(attempt.m_spec, attempt.m_vm);
  vm.m_attempts.insert(task.m_attempt);
  if (!attempt.m_gang.empty()) {
    Gang& gang = m_gangs[attempt.m_gang];
    gang.m_members.push_back(task.m_attempt);
    gang.m_held += held ? 1 : 0;
  }
  if (attempt.m_spec.m_kind == JobKind::kService) {
    m_services[{attempt.m_spec.m_team, attempt.m_spec.m_service}].insert(
        task.m_attempt);
  }
  QueueReport(attempt, MakeReport(attempt, AttemptState::kRunning));
  m_attempts.emplace(task.m_attempt, std::move(attempt));
}

// Resolves gangs whose previous owner may have crashed between hold and
// release. Once the tasks of all VMs are known: if a member already runs, the
// release had begun and is completed; otherwise no member ran and all are
// stopped.
GroupCommands GroupState::ResolveHeldGangs(TimePoint now) {
  GroupCommands commands;
  if (!AllVmsKnown()) {
    return commands;
  }
  std::vector<std::string> adopted;
  for (const auto& [name, gang] : m_gangs) {
    const bool starting = std::any_of(
        gang.m_members.begin(), gang.m_members.end(), [&](const auto& id) {
          const Phase phase = m_attempts.at(id).m_phase;
          return phase == Phase::kQueued || phase == Phase::kStarting;
        });
    if (!starting && !gang.m_released && gang.m_held > 0) {
      adopted.push_back(name);
    }
  }
  for (const std::string& name : adopted) {
    Gang& gang = m_gangs.at(name);
    const bool release_begun = std::any_of(
        gang.m_members.begin(), gang.m_members.end(), [&](const auto& id) {
          return m_attempts.at(id).m_phase == Phase::kRunning ||
                 m_attempts.at(id).m_phase == Phase::kEnded;
        });
    if (!release_begun) {
      const GroupCommands more = FailGang(name, "gang_start_failed", now);
      commands.insert(commands.end(), more.begin(), more.end());
      continue;
    }
    gang.m_released = true;
    for (const AttemptId& id : gang.m_members) {
      Attempt& member = m_attempts.at(id);
      if (member.m_phase == Phase::kHeld) {
        member.m_phase = Phase::kRunning;
        commands.emplace_back(ReleaseCommand{member.m_vm, id});
      }
    }
  }
  return commands;
}

bool GroupState::OnEvents(const std::string& name, const WorkerEvents& events,
                          TimePoint now) {
  const auto found = m_vms.find(name);
  if (found == m_vms.end()) {
    return false;
  }
  Vm& vm = found->second;
  if (vm.m_boot_id != events.m_boot_id) {
    return true;
  }
  vm.m_unreachable_since.reset();
  UpdateCondition(vm);
  for (const TaskEnd& end : events.m_ends) {
    if (end.m_sequence <= vm.m_last_end_sequence) {
      continue;
    }
    vm.m_last_end_sequence = end.m_sequence;
    vm.m_unacknowledged_ends.insert(end.m_sequence);
    const auto known = m_attempts.find(end.m_attempt);
    AttemptReport report;
    std::int64_t team_shard = 0;
    if (known != m_attempts.end()) {
      report = MakeReport(known->second, AttemptState::kEnded);
      team_shard = known->second.m_team_shard;
      if (known->second.m_resources_counted) {
        RemoveFromIndexes(end.m_attempt);
        m_placement.Ended(end.m_attempt, end.m_reason, now);
        known->second.m_resources_counted = false;
      }
      known->second.m_phase = Phase::kEnded;
    } else {
      // Ended under a previous owner that did not report it.
      const nlohmann::json labels =
          nlohmann::json::parse(end.m_labels, nullptr, false);
      if (!labels.is_object() || !labels.contains("spec")) {
        vm.m_unacknowledged_ends.erase(end.m_sequence);
        continue;
      }
      Attempt ended;
      ended.m_spec = labels.at("spec").get<AttemptSpec>();
      ended.m_team_shard = labels.value("team_shard", std::int64_t{0});
      ended.m_vm = name;
      ended.m_phase = Phase::kEnded;
      team_shard = ended.m_team_shard;
      report = MakeReport(ended, AttemptState::kEnded);
      m_attempts.emplace(end.m_attempt, std::move(ended));
    }
    report.m_end = end.m_reason;
    report.m_exit_code = end.m_exit_code;
    report.m_answer.assign(end.m_answer.begin(), end.m_answer.end());
    m_outbox[team_shard].push_back({std::move(report), end.m_sequence});
  }
  for (const TaskUsage& usage : events.m_usage) {
    m_placement.ReportUsage(usage.m_attempt, usage.m_used);
  }
  return false;
}

// Removes an attempt from the indexes of running attempts; its record stays
// until the report is acknowledged.
void GroupState::RemoveFromIndexes(const AttemptId& id) {
  const Attempt& attempt = m_attempts.at(id);
  const auto vm = m_vms.find(attempt.m_vm);
  if (vm != m_vms.end()) {
    vm->second.m_attempts.erase(id);
  }
  if (attempt.m_spec.m_kind == JobKind::kService) {
    m_services[{attempt.m_spec.m_team, attempt.m_spec.m_service}].erase(id);
  }
  const auto gang = m_gangs.find(attempt.m_gang);
  if (gang != m_gangs.end()) {
    std::erase(gang->second.m_members, id);
    if (gang->second.m_members.empty()) {
      m_gangs.erase(gang);
    }
  }
}

void GroupState::ReportAllLost(Vm& vm, const std::string& reason,
                               TimePoint now) {
  const std::set<AttemptId> lost = vm.m_attempts;
  for (const AttemptId& id : lost) {
    ReportLost(id, reason, now);
  }
}

void GroupState::ReportLost(const AttemptId& id, const std::string& reason,
                            TimePoint now) {
  const Attempt& attempt = m_attempts.at(id);
  AttemptReport report = MakeReport(attempt, AttemptState::kLost);
  report.m_reason = reason;
  QueueReport(attempt, std::move(report));
  m_placement.Ended(id, TaskEndReason::kLeaseExpired, now);
  RemoveFromIndexes(id);
  Retire(id);
}

std::vector<AttemptId> GroupState::AttemptsToRenew(
    const std::string& name) const {
  std::vector<AttemptId> attempts;
  const auto found = m_vms.find(name);
  if (found == m_vms.end()) {
    return attempts;
  }
  for (const AttemptId& id : found->second.m_attempts) {
    if (m_attempts.at(id).m_phase != Phase::kStarting) {
      attempts.push_back(id);
    }
  }
  return attempts;
}

void GroupState::OnUnknownToWorker(const std::string& name,
                                   const std::vector<AttemptId>& attempts,
                                   TimePoint now) {
  const auto found = m_vms.find(name);
  if (found == m_vms.end()) {
    return;
  }
  for (const AttemptId& id : attempts) {
    // If absent, its end arrived in the meantime.
    if (found->second.m_attempts.contains(id)) {
      ReportLost(id, "unknown_to_worker", now);
    }
  }
}

// Stops service tasks of a leaving VM that have no request in flight; their
// team shard owners start replacements elsewhere.
GroupCommands GroupState::StopIdleServices(const Vm& vm) {
  GroupCommands commands;
  if (!vm.m_listed_leaving) {
    return commands;
  }
  for (const AttemptId& id : vm.m_attempts) {
    Attempt& attempt = m_attempts.at(id);
    const bool idle_service = attempt.m_spec.m_kind == JobKind::kService &&
                              attempt.m_phase == Phase::kRunning &&
                              attempt.m_slots_in_use == 0;
    if (idle_service && !attempt.m_stop_requested) {
      attempt.m_stop_requested = true;
      commands.emplace_back(StopCommand{attempt.m_vm, id});
    }
  }
  return commands;
}

}  // namespace mustardslip
