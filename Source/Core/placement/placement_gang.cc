// Gang scheduling: all tasks of a gang start in one decision or none does.
#include <algorithm>

#include "common/result.h"
#include "placement/placement_core.h"

namespace mustardslip {
namespace {

// Minimum time between two placements tried for a gang; each costs a VM search
// per member.
constexpr Milliseconds kGangRetryInterval{100};

}  // namespace

GangIndex PlacementCore::NewGang(std::vector<AttemptSlot> members,
                                 TimePoint now) {
  GangIndex index = 0;
  if (m_unused_gangs.empty()) {
    index = static_cast<GangIndex>(m_gangs.size());
    m_gangs.emplace_back();
  } else {
    index = m_unused_gangs.back();
    m_unused_gangs.pop_back();
  }
  Gang& gang = m_gangs[index];
  gang.m_team = m_attempts[members.front()].m_team;
  gang.m_waiting_since = now;
  for (const AttemptSlot member : members) {
    m_attempts[member].m_gang = index;
  }
  gang.m_members = std::move(members);
  return index;
}

void PlacementCore::QueueGang(GangIndex index) {
  Gang& gang = m_gangs[index];
  m_queues.PushGang(gang, index);
  m_waiting_gangs.emplace(gang.m_waiting_since, index);
  for (const AttemptSlot member : gang.m_members) {
    const std::int64_t deadline = m_attempts[member].m_deadline_unix_ms;
    if (deadline > 0) {
      m_deadlines.emplace(deadline, member);
    }
  }
}

void PlacementCore::RemoveFromGang(AttemptSlot slot) {
  const GangIndex index = m_attempts[slot].m_gang;
  Gang& gang = m_gangs[index];
  if (m_reservation.m_gang == index) {
    // The reservation still includes the member that is removed.
    ReleaseReservation(gang.m_waiting_since);
  }
  m_attempts[slot].m_gang = kNoIndex;
  std::erase(gang.m_members, slot);
  if (m_attempts[slot].m_phase == Phase::kParked) {
    --gang.m_parked;
  }
  if (gang.m_members.empty()) {
    m_waiting_gangs.erase({gang.m_waiting_since, index});
    gang = Gang{};
    m_unused_gangs.push_back(index);
    return;
  }
  if (gang.m_queued && m_attempts[slot].m_phase == Phase::kQueued) {
    // The caller removed the gang's queue entry together with the member.
    m_queues.PushGang(gang, index);
    return;
  }
  QueueParkedGang(index);
}

void PlacementCore::QueueParkedGang(GangIndex index) {
  Gang& gang = m_gangs[index];
  if (gang.m_parked > 0 && gang.m_parked == gang.m_members.size()) {
    gang.m_parked = 0;
    QueueGang(index);
  }
}

bool PlacementCore::GangFitsFleet(const std::vector<AttemptSpec>& attempts) {
  Resources sum;
  for (const AttemptSpec& spec : attempts) {
    sum = sum + spec.m_resources;
  }
  if (!sum.FitsIn(m_vms.Total())) {
    return false;
  }
  // Packs the members into empty VMs by next fit, in the order given.
  const std::uint32_t limits = InternLimits(attempts.front().m_limits);
  std::size_t next = 0;
  for (VmIndex vm = 0; vm < m_vms.IndexCount() && next < attempts.size();
       ++vm) {
    const VmEntry& record = m_vms[vm];
    if (!record.m_in_use || record.m_condition == VmCondition::kRemoved ||
        (limits != 0 && !m_limits[limits].Allows(record))) {
      continue;
    }
    Resources available = record.m_description.m_total;
    while (next < attempts.size() &&
           attempts[next].m_resources.FitsIn(available)) {
      available = available - attempts[next].m_resources;
      ++next;
    }
  }
  return next == attempts.size();
}

bool PlacementCore::MayFitGang(const Gang& gang) const {
  Resources sum;
  Resources minimum = Need(m_attempts[gang.m_members.front()]);
  for (const AttemptSlot member : gang.m_members) {
    const Resources need = Need(m_attempts[member]);
    sum = sum + need;
    minimum = {std::min(minimum.m_cpu_millis, need.m_cpu_millis),
               std::min(minimum.m_memory_mb, need.m_memory_mb),
               std::min(minimum.m_accelerators, need.m_accelerators)};
  }
  if (!sum.FitsIn(m_vms.TotalPlaceable())) {
    return false;
  }
  // Checks capacity for as many tasks of the minimum size as there are members.
  std::int64_t missing = static_cast<std::int64_t>(gang.m_members.size());
  const FitTree& tree = m_vms.FreeTree();
  for (std::size_t vm = tree.FindFrom(0, minimum); vm != FitTree::kNone;
       vm = tree.FindFrom(vm + 1, minimum)) {
    Resources available = tree.At(vm);
    while (missing > 0 && minimum.FitsIn(available)) {
      available = available - minimum;
      --missing;
    }
    if (missing == 0) {
      return true;
    }
  }
  return false;
}

bool PlacementCore::StartGangShape(GangIndex index, TimePoint now,
                                   std::vector<Decision>& decisions) {
  Gang& gang = m_gangs[index];
  gang.m_next_try = now + kGangRetryInterval;
  if (!MayFitGang(gang)) {
    return false;
  }
  // Reserves resources for each member during the search, so that the next
  // member sees only what is left.
  std::vector<Claim> places;
  for (const AttemptSlot member : gang.m_members) {
    const Resources need = Need(m_attempts[member]);
    const VmIndex vm = SelectVm(m_attempts[member], need);
    if (vm == kNoIndex) {
      break;
    }
    m_vms.Reserve(vm, need);
    places.push_back({member, vm, need, now});
  }
  for (const Claim& place : places) {
    m_vms.Unreserve(place.m_vm, place.m_resources);
  }
  if (places.size() < gang.m_members.size()) {
    return false;
  }
  StartMembers(index, places, now, decisions);
  return true;
}

void PlacementCore::StartMembers(GangIndex index,
                                 const std::vector<Claim>& places,
                                 TimePoint now,
                                 std::vector<Decision>& decisions) {
  Gang& gang = m_gangs[index];
  if (m_reservation.m_gang == index) {
    ReleaseReservation(gang.m_waiting_since);
  }
  m_queues.Remove(places.front().m_slot);
  m_waiting_gangs.erase({gang.m_waiting_since, index});
  gang.m_queued = false;
  StartGang start;
  for (const Claim& place : places) {
    const Attempt& attempt = m_attempts[place.m_slot];
    m_deadlines.erase({attempt.m_deadline_unix_ms, place.m_slot});
    m_queues.AddWaiting(attempt.m_team, -1);
    StartRunning(place.m_slot, place.m_vm, place.m_resources, now);
    start.m_tasks.push_back(
        {attempt.m_id, m_vms[place.m_vm].m_description.m_id});
  }
  decisions.emplace_back(std::move(start));
}

}  // namespace mustardslip
