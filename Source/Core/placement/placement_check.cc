// Consistency checks of PlacementCore, called by tests.
#include "common/result.h"
#include "placement/placement_core.h"

namespace mustardslip {

void PlacementCore::CheckInvariants() const {
  m_vms.Check(m_attempts);
  m_queues.Check();
  CheckReservedResources();
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::vector<Resources> used(m_queues.TeamCount());
  for (AttemptSlot slot = 0; slot < m_attempts.SlotCount(); ++slot) {
    const Attempt& attempt = m_attempts[slot];
    if (attempt.m_phase == Phase::kFree) {
      continue;
    }
    const bool runs = attempt.m_phase == Phase::kRunning;
    Invariant(runs == (attempt.m_vm != kNoIndex),
              "exactly the running attempts have a VM");
    running += static_cast<int>(runs);
    waiting += static_cast<int>(!runs);
    used[attempt.m_team] = used[attempt.m_team] + attempt.m_charged;
  }
  Invariant(running == m_running, "the running count matches the attempts");
  Invariant(waiting == m_queues.WaitingCount(),
            "the waiting count matches the attempts");
  for (TeamIndex team = 0; team < m_queues.TeamCount(); ++team) {
    Invariant(used[team] == m_queues.At(team).m_used,
              "a team's usage is the sum of its charges");
  }
}

void PlacementCore::CheckReservedResources() const {
  std::vector<Resources> reserved(m_vms.IndexCount());
  for (const auto& [slot, claim] : m_claims) {
    Invariant(m_attempts[slot].m_claimed &&
                  m_attempts[slot].m_phase == Phase::kQueued,
              "only queued attempts have a claim");
    reserved[claim.m_vm] = reserved[claim.m_vm] + claim.m_resources;
  }
  for (const Claim& claim : m_reservation.m_claims) {
    Invariant(m_attempts[claim.m_slot].m_gang == m_reservation.m_gang,
              "a reservation holds only members of its gang");
    reserved[claim.m_vm] = reserved[claim.m_vm] + claim.m_resources;
  }
  for (VmIndex vm = 0; vm < m_vms.IndexCount(); ++vm) {
    Invariant(reserved[vm] == m_vms[vm].m_reserved,
              "a VM's reserved resources are the sum of its claims");
    Resources services;
    Resources preemptible;
    for (const AttemptSlot slot : m_vms[vm].m_attempts) {
      const Attempt& attempt = m_attempts[slot];
      if (attempt.m_service != kNoIndex) {
        services = services + attempt.m_charged;
      }
      if (IsPreemptible(attempt)) {
        preemptible = preemptible + attempt.m_charged;
      }
    }
    Invariant(services == m_vms[vm].m_services,
              "m_services is the sum of the service charges");
    Invariant(preemptible == m_vms[vm].m_preemptible,
              "m_preemptible is the sum of preemptible charges");
  }
}

}  // namespace mustardslip
