// Preemption for urgent work that fits on no VM: checkpoints the running tasks
// with the least work at risk and claims their resources until they have ended.
#include <algorithm>
#include <functional>

#include "common/result.h"
#include "placement/placement_core.h"

namespace mustardslip {
namespace {

// Maximum number of VMs compared for each urgent task; each one costs a pass
// over its tasks.
constexpr int kMaxVmsCompared = 8;
// Maximum number of claims made in one call of Decide(), so that a burst of
// urgent work does not delay starts that are already decided; the next call
// makes more.
constexpr int kMaxClaimsPerCall = 64;

}  // namespace

void PlacementCore::MakeClaim(AttemptSlot slot, VmIndex vm,
                              const Resources& resources, TimePoint now) {
  Attempt& attempt = m_attempts[slot];
  attempt.m_claimed = true;
  attempt.m_charged = resources;
  AddUsage(attempt, resources);
  m_vms.Reserve(vm, resources);
  const TimePoint until = now + m_options.m_claim_timeout;
  m_claims[slot] = {slot, vm, resources, until};
  m_vm_claims[vm].push_back(slot);
  m_claim_expirations.emplace(until, slot);
}

void PlacementCore::ReleaseClaim(AttemptSlot slot) {
  const auto found = m_claims.find(slot);
  Invariant(found != m_claims.end(), "every claimed attempt has a claim");
  const Claim claim = found->second;
  m_claims.erase(found);
  m_claim_expirations.erase({claim.m_until, slot});
  const auto on_vm = m_vm_claims.find(claim.m_vm);
  std::erase(on_vm->second, slot);
  if (on_vm->second.empty()) {
    m_vm_claims.erase(on_vm);
  }
  m_vms.Unreserve(claim.m_vm, claim.m_resources);
  Attempt& attempt = m_attempts[slot];
  attempt.m_claimed = false;
  attempt.m_charged = Resources{};
  AddUsage(attempt, Resources{} - claim.m_resources);
}

void PlacementCore::ExpireClaims(TimePoint now) {
  while (!m_claim_expirations.empty() &&
         m_claim_expirations.begin()->first <= now) {
    const AttemptSlot slot = m_claim_expirations.begin()->second;
    ReleaseClaim(slot);
  }
}

void PlacementCore::FulfillClaims(TimePoint now,
                                  std::vector<Decision>& decisions) {
  std::vector<VmIndex> changed;
  changed.swap(m_changed_vms);
  for (const VmIndex vm : changed) {
    const auto found = m_vm_claims.find(vm);
    if (found == m_vm_claims.end()) {
      continue;
    }
    const std::vector<AttemptSlot> slots = found->second;
    for (const AttemptSlot slot : slots) {
      const Resources resources = m_claims[slot].m_resources;
      if (!m_vms.IsSchedulable(vm)) {
        ReleaseClaim(slot);
      } else if (resources.FitsIn(m_vms[vm].Uncharged())) {
        StartQueued(slot, vm, resources, now, decisions);
      }
    }
  }
}

void PlacementCore::Preempt(TimePoint now, std::vector<Decision>& decisions) {
  m_team_heap.clear();
  for (TeamIndex index = 0; index < m_queues.TeamCount(); ++index) {
    const Team& team = m_queues.At(index);
    if (!team.m_ordered_shapes.empty() &&
        team.m_ordered_shapes.begin()->m_rank == Rank::kUrgent) {
      m_team_heap.push_back({Share(team), index});
    }
  }
  std::make_heap(m_team_heap.begin(), m_team_heap.end(), std::greater<>());
  int claims = 0;
  while (!m_team_heap.empty() && claims < kMaxClaimsPerCall) {
    std::pop_heap(m_team_heap.begin(), m_team_heap.end(), std::greater<>());
    const TeamIndex index = m_team_heap.back().m_team;
    if (!PreemptOne(index, now, decisions)) {
      m_team_heap.pop_back();
      continue;
    }
    ++claims;
    m_team_heap.back().m_share = Share(m_queues.At(index));
    std::push_heap(m_team_heap.begin(), m_team_heap.end(), std::greater<>());
  }
}

bool PlacementCore::PreemptOne(TeamIndex index, TimePoint now,
                               std::vector<Decision>& decisions) {
  const Team& team = m_queues.At(index);
  for (const ShapeOrderKey& key : team.m_ordered_shapes) {
    if (key.m_rank != Rank::kUrgent) {
      return false;
    }
    const AttemptSlot slot = FindPreemptor(key.m_shape, now);
    if (slot == kNoIndex) {
      continue;
    }
    const Attempt& attempt = m_attempts[slot];
    const Resources need = Need(attempt);
    if (ExceedsShare(team, team.m_express_used + need)) {
      return false;
    }
    const Victims victims = FindVictims(attempt, need, now);
    if (victims.m_vm == kNoIndex) {
      continue;
    }
    for (const AttemptSlot victim : victims.m_slots) {
      m_vms.RemovePreemptible(victims.m_vm, m_attempts[victim].m_charged);
      m_attempts[victim].m_preempted = true;
      decisions.emplace_back(PreemptTask{
          m_attempts[victim].m_id, m_vms[victims.m_vm].m_description.m_id});
    }
    MakeClaim(slot, victims.m_vm, need, now);
    return true;
  }
  return false;
}

AttemptSlot PlacementCore::FindPreemptor(ShapeIndex index,
                                         TimePoint now) const {
  const Shape& shape = m_queues.ShapeAt(index);
  if (shape.m_gang != kNoIndex) {
    return kNoIndex;
  }
  for (const QueueEntry& entry : shape.m_entries) {
    const Attempt& attempt = m_attempts[entry.m_slot];
    if (!attempt.m_claimed) {
      return now - attempt.m_queued_at >= m_options.m_preemption_delay
                 ? entry.m_slot
                 : kNoIndex;
    }
  }
  return kNoIndex;
}

PlacementCore::Victims PlacementCore::FindVictims(const Attempt& attempt,
                                                  const Resources& need,
                                                  TimePoint now) {
  const InternedLimits* limits = LimitsOf(attempt);
  const FitTree& tree = m_vms.PreemptibleTree();
  Victims best;
  std::size_t vm = tree.FindFrom(m_preemption_cursor, need);
  bool wrapped = false;
  for (int compared = 0; compared < kMaxVmsCompared;) {
    if (vm == FitTree::kNone) {
      if (wrapped) {
        break;
      }
      wrapped = true;
      vm = tree.FindFrom(0, need);
      continue;
    }
    const auto index = static_cast<VmIndex>(vm);
    if (limits == nullptr || limits->Allows(m_vms[index])) {
      ++compared;
      Victims victims = VictimsOn(index, need, now);
      if (best.m_vm == kNoIndex || victims.m_cost < best.m_cost) {
        best = std::move(victims);
      }
    }
    m_preemption_cursor = vm + 1;
    vm = tree.FindFrom(vm + 1, need);
  }
  return best;
}

PlacementCore::Victims PlacementCore::VictimsOn(VmIndex vm,
                                                const Resources& need,
                                                TimePoint now) const {
  struct Candidate {
    double m_cost;
    AttemptSlot m_slot;
  };
  const VmEntry& record = m_vms[vm];
  std::vector<Candidate> candidates;
  for (const AttemptSlot slot : record.m_attempts) {
    const Attempt& attempt = m_attempts[slot];
    if (!IsPreemptible(attempt)) {
      continue;
    }
    // Work lost if the checkpoint fails: the fraction of the VM times the run
    // time so far, plus 1 ms so that of two new tasks the smaller one is
    // chosen.
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(now - attempt.m_started_at);
    const double fraction =
        attempt.m_charged.DominantFraction(record.m_description.m_total);
    candidates.push_back(
        {fraction * static_cast<double>(elapsed.count() + 1), slot});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.m_cost < right.m_cost;
            });
  Victims victims;
  victims.m_vm = vm;
  Resources available = record.Uncharged() - record.m_reserved;
  std::size_t taken = 0;
  while (!need.FitsIn(available)) {
    available = available + m_attempts[candidates[taken].m_slot].m_charged;
    ++taken;
  }
  // Drops victims that are not needed after all, the costliest first.
  for (std::size_t i = taken; i-- > 0;) {
    const Resources without =
        available - m_attempts[candidates[i].m_slot].m_charged;
    if (need.FitsIn(without)) {
      available = without;
    } else {
      victims.m_slots.push_back(candidates[i].m_slot);
      victims.m_cost += candidates[i].m_cost;
    }
  }
  return victims;
}

}  // namespace mustardslip
