// A linear scan over the VMs for the head of one queue.
#include "first_come_first_served.h"

#include <algorithm>

namespace mustardslip::bench {

void FirstComeFirstServed::SetVm(const VmDescription& description,
                                 VmCondition condition) {
  m_vms.push_back(
      {description, description.m_total, condition == VmCondition::kReady});
  m_total = m_total + description.m_total;
}

std::vector<Decision> FirstComeFirstServed::Enqueue(
    const std::vector<AttemptSpec>& attempts, bool gang, TimePoint) {
  std::vector<Decision> decisions;
  auto unit = std::make_shared<Unit>();
  unit->m_gang = gang;
  for (const AttemptSpec& spec : attempts) {
    if (m_waiting_units.contains(spec.m_attempt) ||
        m_running.contains(spec.m_attempt)) {
      continue;
    }
    const auto added =
        gang ? static_cast<std::int64_t>(attempts.size()) : std::int64_t{1};
    if (unit->m_tasks.empty() &&
        m_team_waiting[spec.m_team] + added > m_options.m_max_queued_per_team) {
      decisions.emplace_back(RefuseAttempt{spec.m_attempt, "queue_full"});
      continue;
    }
    ++m_team_waiting[spec.m_team];
    ++m_waiting;
    unit->m_tasks.push_back(spec);
    m_waiting_units.emplace(spec.m_attempt, unit);
    if (!gang) {
      m_queue.push_back(unit);
      unit = std::make_shared<Unit>();
    }
  }
  if (gang && !unit->m_tasks.empty()) {
    m_queue.push_back(unit);
  }
  return decisions;
}

std::size_t FirstComeFirstServed::FirstFit(const Resources& need) const {
  for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
    if (m_vms[vm].m_ready && need.FitsIn(m_vms[vm].m_free)) {
      return vm;
    }
  }
  return m_vms.size();
}

void FirstComeFirstServed::Start(const AttemptSpec& spec, std::size_t vm) {
  m_charged = m_charged + spec.m_resources;
  m_team_use[spec.m_team] = m_team_use[spec.m_team] + spec.m_resources;
  --m_team_waiting[spec.m_team];
  --m_waiting;
  m_waiting_units.erase(spec.m_attempt);
  m_running.emplace(spec.m_attempt, Running{spec, vm});
}

std::vector<Decision> FirstComeFirstServed::Decide(TimePoint) {
  std::vector<Decision> decisions;
  while (!m_queue.empty()) {
    const std::shared_ptr<Unit> unit = m_queue.front();
    std::vector<std::size_t> places;
    for (const AttemptSpec& spec : unit->m_tasks) {
      const std::size_t vm = FirstFit(spec.m_resources);
      if (vm == m_vms.size()) {
        break;
      }
      m_vms[vm].m_free = m_vms[vm].m_free - spec.m_resources;
      places.push_back(vm);
    }
    if (places.size() < unit->m_tasks.size()) {
      for (std::size_t i = 0; i < places.size(); ++i) {
        Vm& vm = m_vms[places[i]];
        vm.m_free = vm.m_free + unit->m_tasks[i].m_resources;
      }
      break;
    }
    m_queue.pop_front();
    StartGang gang;
    for (std::size_t i = 0; i < places.size(); ++i) {
      const AttemptSpec& spec = unit->m_tasks[i];
      Start(spec, places[i]);
      StartTask start{spec.m_attempt, m_vms[places[i]].m_description.m_id};
      if (unit->m_gang) {
        gang.m_tasks.push_back(std::move(start));
      } else {
        decisions.emplace_back(std::move(start));
      }
    }
    if (unit->m_gang && !gang.m_tasks.empty()) {
      decisions.emplace_back(std::move(gang));
    }
  }
  return decisions;
}

void FirstComeFirstServed::Ended(const AttemptId& attempt, TaskEndReason,
                                 TimePoint) {
  const auto found = m_running.find(attempt);
  if (found == m_running.end()) {
    return;
  }
  const AttemptSpec& spec = found->second.m_spec;
  Vm& vm = m_vms[found->second.m_vm];
  vm.m_free = vm.m_free + spec.m_resources;
  m_charged = m_charged - spec.m_resources;
  m_team_use[spec.m_team] = m_team_use[spec.m_team] - spec.m_resources;
  m_running.erase(found);
}

void FirstComeFirstServed::StartFailed(const AttemptId& attempt,
                                       TimePoint now) {
  const auto found = m_running.find(attempt);
  if (found == m_running.end()) {
    return;
  }
  const AttemptSpec spec = found->second.m_spec;
  Ended(attempt, TaskEndReason::kStopped, now);
  Enqueue({spec}, false, now);
}

bool FirstComeFirstServed::Cancel(const AttemptId& attempt) {
  const auto found = m_waiting_units.find(attempt);
  if (found == m_waiting_units.end()) {
    return false;
  }
  std::vector<AttemptSpec>& tasks = found->second->m_tasks;
  const auto task = std::find_if(
      tasks.begin(), tasks.end(),
      [&](const AttemptSpec& spec) { return spec.m_attempt == attempt; });
  --m_team_waiting[task->m_team];
  --m_waiting;
  tasks.erase(task);
  m_waiting_units.erase(found);
  return true;
}

Resources FirstComeFirstServed::ChargedSize(const AttemptId& attempt) const {
  const auto found = m_running.find(attempt);
  return found == m_running.end() ? Resources{}
                                  : found->second.m_spec.m_resources;
}

std::int64_t FirstComeFirstServed::QueueLength(const std::string& team) const {
  const auto found = m_team_waiting.find(team);
  return found == m_team_waiting.end() ? 0 : found->second;
}

Resources FirstComeFirstServed::TeamUsage(const std::string& team) const {
  const auto found = m_team_use.find(team);
  return found == m_team_use.end() ? Resources{} : found->second;
}

}  // namespace mustardslip::bench
