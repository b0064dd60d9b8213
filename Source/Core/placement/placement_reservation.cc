// Reserves VMs for a gang that has waited too long: the reserved resources are
// not offered to other work, and the gang starts once they are free.
#include <algorithm>

#include "common/result.h"
#include "placement/placement_core.h"

namespace mustardslip {

void PlacementCore::UpdateReservation(TimePoint now,
                                      std::vector<Decision>& decisions) {
  if (m_reservation.m_gang == kNoIndex) {
    MakeReservation(now);
    return;
  }
  const auto unavailable = [&](const Claim& claim) {
    return !m_vms.IsSchedulable(claim.m_vm);
  };
  if (now >= m_reservation.m_until ||
      std::any_of(m_reservation.m_claims.begin(), m_reservation.m_claims.end(),
                  unavailable)) {
    ReleaseReservation(now);
    return;
  }
  if (!ReservationIsReady()) {
    return;
  }
  const std::vector<Claim> claims = m_reservation.m_claims;
  StartMembers(m_reservation.m_gang, claims, now, decisions);
}

bool PlacementCore::ReservationIsReady() const {
  // Claims on the same VM are adjacent.
  const std::vector<Claim>& claims = m_reservation.m_claims;
  Resources sum;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const bool first = i == 0 || claims[i - 1].m_vm != claims[i].m_vm;
    sum = first ? claims[i].m_resources : sum + claims[i].m_resources;
    if (!sum.FitsIn(m_vms[claims[i].m_vm].Uncharged())) {
      return false;
    }
  }
  return true;
}

void PlacementCore::MakeReservation(TimePoint now) {
  while (!m_waiting_gangs.empty()) {
    const auto [since, index] = *m_waiting_gangs.begin();
    if (now - since < m_options.m_gang_reservation_delay) {
      return;
    }
    const Team& team = m_queues.At(m_gangs[index].m_team);
    if (!ExceedsShare(team, team.m_used) && ReserveVms(index, now)) {
      return;
    }
    // Moves the gang to the end of the order, so that the next one is tried.
    m_waiting_gangs.erase(m_waiting_gangs.begin());
    m_gangs[index].m_waiting_since = now;
    m_waiting_gangs.emplace(now, index);
  }
}

bool PlacementCore::ReserveVms(GangIndex index, TimePoint now) {
  const Gang& gang = m_gangs[index];
  // The VMs with the most free capacity have the least work to wait for.
  std::vector<std::pair<double, VmIndex>> order;
  for (VmIndex vm = 0; vm < m_vms.IndexCount(); ++vm) {
    if (m_vms.IsSchedulable(vm)) {
      const VmEntry& record = m_vms[vm];
      const Resources taken = record.m_charged + record.m_reserved;
      order.emplace_back(taken.DominantFraction(record.m_description.m_total),
                         vm);
    }
  }
  std::sort(order.begin(), order.end());
  std::size_t next = 0;
  std::vector<Claim> claims;
  for (const auto& [taken, vm] : order) {
    const VmEntry& record = m_vms[vm];
    Resources available =
        record.m_description.m_total - record.m_services - record.m_reserved;
    while (next < gang.m_members.size()) {
      const Attempt& attempt = m_attempts[gang.m_members[next]];
      const Resources need = Need(attempt);
      const InternedLimits* limits = LimitsOf(attempt);
      if (!need.FitsIn(available) ||
          (limits != nullptr && !limits->Allows(record))) {
        break;
      }
      available = available - need;
      claims.push_back({gang.m_members[next], vm, need, now});
      ++next;
    }
  }
  if (next < gang.m_members.size()) {
    return false;
  }
  for (const Claim& claim : claims) {
    m_vms.Reserve(claim.m_vm, claim.m_resources);
  }
  m_reservation = {index, std::move(claims),
                   now + m_options.m_gang_reservation_timeout};
  return true;
}

void PlacementCore::ReleaseReservation(TimePoint now) {
  for (const Claim& claim : m_reservation.m_claims) {
    m_vms.Unreserve(claim.m_vm, claim.m_resources);
  }
  const GangIndex index = m_reservation.m_gang;
  m_reservation = Reservation{};
  Gang& gang = m_gangs[index];
  if (m_waiting_gangs.erase({gang.m_waiting_since, index}) > 0) {
    gang.m_waiting_since = now;
    m_waiting_gangs.emplace(now, index);
  }
}

}  // namespace mustardslip
