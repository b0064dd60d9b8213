// Event handlers of PlacementCore: VM changes, arrivals, ends, cancellations
// and usage reports.
#include "placement/placement_core.h"

#include <algorithm>

#include "common/random_id.h"
#include "common/result.h"

namespace mustardslip {
namespace {

// One tenth of a team's queue is reserved for urgent work and services, so that
// callers who retry refused batch work cannot fill the queue.
constexpr std::int64_t kExpressQueueDivisor = 10;

}  // namespace
PlacementCore::PlacementCore(PlacementOptions options)
    : m_options(options),
      m_queues(m_attempts),
      m_selector(m_vms, m_spread),
      m_quarantine(options),
      m_limit_specs(1),
      m_limits(1) {}

void PlacementCore::SetVm(const VmDescription& description,
                          VmCondition condition) {
  if (condition == VmCondition::kRemoved &&
      m_vms.Find(description.m_id) == kNoIndex) {
    return;
  }
  const VmIndex vm = m_vms.Set(description, condition);
  if (m_vm_claims.contains(vm)) {
    m_changed_vms.push_back(vm);
  }
  ForgetVmIfGone(vm);
}

void PlacementCore::ForgetVmIfGone(VmIndex vm) {
  if (m_vms[vm].m_condition == VmCondition::kRemoved &&
      m_vms[vm].m_attempts.empty()) {
    if (m_reservation.m_gang != kNoIndex) {
      // The reservation may include this VM.
      ReleaseReservation(m_gangs[m_reservation.m_gang].m_waiting_since);
    }
    while (m_vm_claims.contains(vm)) {
      const AttemptSlot slot = m_vm_claims[vm].front();
      ReleaseClaim(slot);
    }
    m_quarantine.Forget(vm);
    m_vms.Remove(vm);
  }
}

void PlacementCore::SetTeamShare(const std::string& team, double weight) {
  Invariant(weight > 0, "a team weight is positive");
  m_queues.At(m_queues.Intern(team)).m_weight = weight;
}

std::int64_t PlacementCore::UnixMs(TimePoint now) const {
  return m_options.m_unix_ms_at_zero +
         std::chrono::duration_cast<Milliseconds>(now.time_since_epoch())
             .count();
}

std::uint32_t PlacementCore::InternLimits(const PlacementLimits& limits) {
  const auto found =
      std::find(m_limit_specs.begin(), m_limit_specs.end(), limits);
  if (found != m_limit_specs.end()) {
    return static_cast<std::uint32_t>(found - m_limit_specs.begin());
  }
  InternedLimits record;
  for (const std::string& zone : limits.m_zones) {
    record.m_zones.push_back(m_vms.Zones().Intern(zone));
  }
  for (const std::string& rack : limits.m_racks) {
    record.m_racks.push_back(m_vms.Racks().Intern(rack));
  }
  m_limit_specs.push_back(limits);
  m_limits.push_back(std::move(record));
  return static_cast<std::uint32_t>(m_limits.size() - 1);
}

const InternedLimits* PlacementCore::LimitsOf(const Attempt& attempt) const {
  return attempt.m_limits == 0 ? nullptr : &m_limits[attempt.m_limits];
}

AttemptSlot PlacementCore::AddAttempt(const AttemptSpec& spec, TimePoint now) {
  const AttemptSlot slot = m_attempts.Add(spec.m_attempt);
  Attempt& attempt = m_attempts[slot];
  attempt.m_declared = spec.m_resources;
  attempt.m_run_time_ms = spec.m_run_time_ms;
  attempt.m_deadline_unix_ms = spec.m_deadline_unix_ms;
  attempt.m_queued_at = now;
  attempt.m_sequence = m_next_sequence++;
  attempt.m_team = m_queues.Intern(spec.m_team);
  attempt.m_job = Hash64(spec.m_job);
  if (spec.m_kind == JobKind::kService) {
    attempt.m_service = m_services.Intern(spec.m_team + '/' + spec.m_service);
  }
  attempt.m_limits = InternLimits(spec.m_limits);
  attempt.m_kind = spec.m_kind;
  attempt.m_priority = spec.m_priority;
  attempt.m_checkpointable = spec.m_checkpointable;
  return slot;
}

void PlacementCore::AddRunning(const AttemptSpec& spec, const std::string& vm,
                               TimePoint now) {
  if (m_attempts.Find(spec.m_attempt) != kNoIndex) {
    return;
  }
  VmIndex index = m_vms.Find(vm);
  if (index == kNoIndex) {
    index = m_vms.Set({vm, "", "", Resources{}}, VmCondition::kUnknown);
  }
  const Resources available = m_vms[index].Uncharged();
  const Resources& size = spec.m_resources;
  const Resources charge = {
      std::min(size.m_cpu_millis, available.m_cpu_millis),
      std::min(size.m_memory_mb, available.m_memory_mb),
      std::min(size.m_accelerators, available.m_accelerators)};
  StartRunning(AddAttempt(spec, now), index, charge, now);
}

bool PlacementCore::FitsAnyVm(const Resources& need,
                              const InternedLimits* limits) const {
  const FitTree& tree = m_vms.TotalTree();
  for (std::size_t vm = tree.FindFrom(0, need); vm != FitTree::kNone;
       vm = tree.FindFrom(vm + 1, need)) {
    if (limits == nullptr || limits->Allows(m_vms[static_cast<VmIndex>(vm)])) {
      return true;
    }
  }
  return false;
}

std::string PlacementCore::RefusalReason(const AttemptSpec& spec,
                                         std::int64_t count, TimePoint now) {
  const std::uint32_t limits = InternLimits(spec.m_limits);
  if (!FitsAnyVm(spec.m_resources, limits == 0 ? nullptr : &m_limits[limits])) {
    return "never_fits";
  }
  if (spec.m_deadline_unix_ms > 0 && spec.m_deadline_unix_ms <= UnixMs(now)) {
    return "deadline_passed";
  }
  const Team& team = m_queues.At(m_queues.Intern(spec.m_team));
  const bool express = RankOf(spec.m_kind, spec.m_priority) <= kLastExpressRank;
  const std::int64_t reserved =
      express ? 0 : m_options.m_max_queued_per_team / kExpressQueueDivisor;
  if (team.m_waiting + count > m_options.m_max_queued_per_team - reserved) {
    return "queue_full";
  }
  return "";
}

std::vector<Decision> PlacementCore::Enqueue(
    const std::vector<AttemptSpec>& attempts, bool gang, TimePoint now) {
  std::vector<Decision> decisions;
  if (gang) {
    EnqueueGang(attempts, now, decisions);
    return decisions;
  }
  for (const AttemptSpec& spec : attempts) {
    EnqueueSingle(spec, now, decisions);
  }
  return decisions;
}

void PlacementCore::EnqueueSingle(const AttemptSpec& spec, TimePoint now,
                                  std::vector<Decision>& decisions) {
  if (m_attempts.Find(spec.m_attempt) != kNoIndex) {
    return;
  }
  std::string reason = RefusalReason(spec, 1, now);
  if (!reason.empty()) {
    decisions.emplace_back(RefuseAttempt{spec.m_attempt, std::move(reason)});
    return;
  }
  const AttemptSlot slot = AddAttempt(spec, now);
  m_queues.AddWaiting(m_attempts[slot].m_team, 1);
  Queue(slot);
}

void PlacementCore::EnqueueGang(const std::vector<AttemptSpec>& attempts,
                                TimePoint now,
                                std::vector<Decision>& decisions) {
  const bool known = std::any_of(
      attempts.begin(), attempts.end(), [&](const AttemptSpec& spec) {
        return m_attempts.Find(spec.m_attempt) != kNoIndex;
      });
  if (known || attempts.empty()) {
    return;
  }
  std::string reason;
  for (const AttemptSpec& spec : attempts) {
    if (reason.empty()) {
      reason =
          RefusalReason(spec, static_cast<std::int64_t>(attempts.size()), now);
    }
  }
  if (reason.empty() && !GangFitsFleet(attempts)) {
    reason = "never_fits";
  }
  if (!reason.empty()) {
    for (const AttemptSpec& spec : attempts) {
      decisions.emplace_back(RefuseAttempt{spec.m_attempt, reason});
    }
    return;
  }
  std::vector<AttemptSlot> members;
  for (const AttemptSpec& spec : attempts) {
    members.push_back(AddAttempt(spec, now));
    m_queues.AddWaiting(m_attempts[members.back()].m_team, 1);
  }
  QueueGang(NewGang(std::move(members), now));
}

void PlacementCore::Queue(AttemptSlot slot) {
  m_queues.Push(slot);
  if (m_attempts[slot].m_deadline_unix_ms > 0) {
    m_deadlines.emplace(m_attempts[slot].m_deadline_unix_ms, slot);
  }
}

void PlacementCore::RemoveFromQueue(AttemptSlot slot) {
  if (m_attempts[slot].m_claimed) {
    ReleaseClaim(slot);
  }
  m_queues.Remove(slot);
  m_deadlines.erase({m_attempts[slot].m_deadline_unix_ms, slot});
}

void PlacementCore::RemoveWaiting(AttemptSlot slot) {
  const Attempt& attempt = m_attempts[slot];
  const GangIndex gang = attempt.m_gang;
  m_queues.AddWaiting(attempt.m_team, -1);
  if (attempt.m_phase == Phase::kQueued) {
    RemoveFromQueue(slot);
  }
  if (gang != kNoIndex) {
    RemoveFromGang(slot);
  }
  m_attempts.Remove(slot);
}

bool PlacementCore::Cancel(const AttemptId& id) {
  const AttemptSlot slot = m_attempts.Find(id);
  if (slot == kNoIndex || m_attempts[slot].m_phase == Phase::kRunning) {
    return false;
  }
  RemoveWaiting(slot);
  return true;
}

void PlacementCore::StartRunning(AttemptSlot slot, VmIndex vm,
                                 const Resources& charge, TimePoint now) {
  Attempt& attempt = m_attempts[slot];
  attempt.m_phase = Phase::kRunning;
  attempt.m_charged = charge;
  attempt.m_started_at = now;
  m_vms.AddAttempt(vm, slot, m_attempts);
  m_vms.Charge(vm, charge);
  if (IsPreemptible(attempt)) {
    m_vms.AddPreemptible(vm, charge);
  }
  if (attempt.m_service != kNoIndex) {
    m_spread.Add(attempt.m_service, m_vms[vm].m_rack, vm, 1);
    m_vms.AddService(vm, charge);
  }
  AddUsage(attempt, charge);
  ++m_queues.At(attempt.m_team).m_running;
  ++m_running;
}

void PlacementCore::StopRunning(AttemptSlot slot) {
  Attempt& attempt = m_attempts[slot];
  const VmIndex vm = attempt.m_vm;
  if (attempt.m_service != kNoIndex) {
    m_spread.Add(attempt.m_service, m_vms[vm].m_rack, vm, -1);
    m_vms.AddService(vm, Resources{} - attempt.m_charged);
  }
  if (IsPreemptible(attempt)) {
    m_vms.RemovePreemptible(vm, attempt.m_charged);
  }
  m_vms.RemoveAttempt(slot, m_attempts);
  m_vms.Refund(vm, attempt.m_charged);
  if (m_vm_claims.contains(vm)) {
    m_changed_vms.push_back(vm);
  }
  AddUsage(attempt, Resources{} - attempt.m_charged);
  --m_queues.At(attempt.m_team).m_running;
  --m_running;
  attempt.m_charged = Resources{};
  attempt.m_preempted = false;
}

void PlacementCore::Ended(const AttemptId& id, TaskEndReason reason,
                          TimePoint now) {
  const AttemptSlot slot = m_attempts.Find(id);
  if (slot == kNoIndex || m_attempts[slot].m_phase != Phase::kRunning) {
    return;
  }
  const Attempt attempt = m_attempts[slot];
  StopRunning(slot);
  if (reason == TaskEndReason::kSucceeded) {
    m_quarantine.RecordSuccess(attempt.m_vm, attempt.m_job, m_vms);
    m_estimator.ReportRunTime(
        attempt.m_team, attempt.m_kind, attempt.m_run_time_ms,
        std::chrono::duration_cast<Milliseconds>(now - attempt.m_started_at)
            .count());
  } else if (reason == TaskEndReason::kFailed) {
    m_quarantine.RecordFailure(attempt.m_vm, attempt.m_job, m_vms, now);
  }
  if (attempt.m_gang != kNoIndex) {
    RemoveFromGang(slot);
  }
  m_attempts.Remove(slot);
  ForgetVmIfGone(attempt.m_vm);
}

void PlacementCore::StartFailed(const AttemptId& id, TimePoint now) {
  const AttemptSlot slot = m_attempts.Find(id);
  if (slot == kNoIndex || m_attempts[slot].m_phase != Phase::kRunning) {
    return;
  }
  const VmIndex vm = m_attempts[slot].m_vm;
  StopRunning(slot);
  m_quarantine.BackOff(vm, m_vms, now);
  ForgetVmIfGone(vm);
  m_queues.AddWaiting(m_attempts[slot].m_team, 1);
  const GangIndex gang = m_attempts[slot].m_gang;
  if (gang == kNoIndex) {
    Queue(slot);
    return;
  }
  m_attempts[slot].m_phase = Phase::kParked;
  ++m_gangs[gang].m_parked;
  QueueParkedGang(gang);
}

void PlacementCore::ReportUsage(const AttemptId& id, const Resources& used) {
  const AttemptSlot slot = m_attempts.Find(id);
  if (slot == kNoIndex || m_attempts[slot].m_phase != Phase::kRunning) {
    return;
  }
  Attempt& attempt = m_attempts[slot];
  m_estimator.ReportUsage(attempt.m_team, attempt.m_kind, attempt.m_declared,
                          used);
  const Resources available = m_vms[attempt.m_vm].Uncharged();
  const auto extra = [](std::int64_t used_amount, std::int64_t charged,
                        std::int64_t free) {
    return std::clamp(used_amount - charged, std::int64_t{0}, free);
  };
  const Resources added = {
      extra(used.m_cpu_millis, attempt.m_charged.m_cpu_millis,
            available.m_cpu_millis),
      extra(used.m_memory_mb, attempt.m_charged.m_memory_mb,
            available.m_memory_mb),
      0};
  if (added == Resources{}) {
    return;
  }
  attempt.m_charged = attempt.m_charged + added;
  if (attempt.m_service != kNoIndex) {
    m_vms.AddService(attempt.m_vm, added);
  }
  m_vms.Charge(attempt.m_vm, added);
  if (IsPreemptible(attempt)) {
    m_vms.AddPreemptible(attempt.m_vm, added);
  }
  AddUsage(attempt, added);
}

Resources PlacementCore::ChargedSize(const AttemptId& id) const {
  const AttemptSlot slot = m_attempts.Find(id);
  return slot == kNoIndex ? Resources{} : m_attempts[slot].m_charged;
}

std::int64_t PlacementCore::QueueLength(const std::string& team) const {
  const TeamIndex index = m_queues.Find(team);
  return index == NameInterner::kNone ? 0 : m_queues.At(index).m_waiting;
}

Resources PlacementCore::TeamUsage(const std::string& team) const {
  const TeamIndex index = m_queues.Find(team);
  return index == NameInterner::kNone ? Resources{} : m_queues.At(index).m_used;
}

std::vector<AttemptId> PlacementCore::AttemptsOn(const std::string& vm) const {
  std::vector<AttemptId> attempts;
  const VmIndex index = m_vms.Find(vm);
  if (index != kNoIndex) {
    for (const AttemptSlot slot : m_vms[index].m_attempts) {
      attempts.push_back(m_attempts[slot].m_id);
    }
  }
  return attempts;
}

}  // namespace mustardslip
