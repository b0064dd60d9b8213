// Rules for acquiring, keeping, handing over and dropping shards.
#include "membership/ownership_core.h"

#include <algorithm>

namespace mustardslip {

void OwnershipCore::Registered(std::string incarnation, TimePoint now) {
  Invariant(m_held.empty(), "a new incarnation holds no shard");
  m_incarnation = std::move(incarnation);
  m_registered_at = now;
  ScheduleCheck(now + m_times.m_acquire_delay);
}

OwnershipDecisions OwnershipCore::LeaseLost() {
  OwnershipDecisions decisions;
  if (m_incarnation.empty()) {
    return decisions;
  }
  for (const auto& [shard, held] : m_held) {
    if (held.m_phase != Phase::kStopped) {
      decisions.push_back(DropShard{shard, held.m_epoch});
    }
  }
  m_held.clear();
  m_incarnation.clear();
  m_next_check.reset();
  decisions.push_back(TakeNewIncarnation{});
  return decisions;
}

OwnershipDecisions OwnershipCore::Observe(const ClusterView& view,
                                          const std::set<ShardId>& wanted,
                                          TimePoint now) {
  m_next_check.reset();
  UpdateHighestEpochs(view);
  UpdateMembers(view, now);
  if (m_incarnation.empty()) {
    return {};
  }
  if (!view.m_members.contains(m_incarnation)) {
    return LeaseLost();
  }
  OwnershipDecisions decisions;
  ReconcileHeldShards(view, &decisions);
  if (m_leaving) {
    return decisions;
  }
  AcquireUnowned(view, wanted, now, &decisions);
  StopUnwanted(wanted, &decisions);
  HandOverOneShard(view, now, &decisions);
  return decisions;
}

void OwnershipCore::UpdateMembers(const ClusterView& view, TimePoint now) {
  std::erase_if(m_member_since, [&view](const auto& entry) {
    return !view.m_members.contains(entry.first);
  });
  for (const auto& [incarnation, member] : view.m_members) {
    m_member_since.emplace(incarnation, now);
  }
}

void OwnershipCore::UpdateHighestEpochs(const ClusterView& view) {
  for (const auto& [shard, record] : view.m_shards) {
    Epoch& highest = m_highest_epoch[shard];
    highest = std::max(highest, record.m_epoch);
  }
}

// Drops superseded shards and retries failed releases.
void OwnershipCore::ReconcileHeldShards(const ClusterView& view,
                                        OwnershipDecisions* decisions) {
  for (auto it = m_held.begin(); it != m_held.end();) {
    const ShardId& shard = it->first;
    HeldShard& held = it->second;
    const auto record = view.m_shards.find(shard);
    const bool present = record != view.m_shards.end();
    if (present && record->second.m_version < held.m_version) {
      ++it;  // The view is older than this daemon's own write.
      continue;
    }
    const bool owned = present && record->second.m_owner == m_incarnation &&
                       record->second.m_epoch == held.m_epoch;
    if (!owned) {
      if (held.m_phase != Phase::kStopped) {
        decisions->push_back(DropShard{shard, held.m_epoch});
      }
      it = m_held.erase(it);
      continue;
    }
    held.m_version = record->second.m_version;
    if (held.m_phase == Phase::kStopped) {
      decisions->push_back(ReleaseShard{shard, held.m_version, held.m_epoch});
    }
    ++it;
  }
}

void OwnershipCore::AcquireUnowned(const ClusterView& view,
                                   const std::set<ShardId>& wanted,
                                   TimePoint now,
                                   OwnershipDecisions* decisions) {
  const TimePoint acquire_after = m_registered_at + m_times.m_acquire_delay;
  if (now < acquire_after) {
    ScheduleCheck(acquire_after);
    return;
  }
  for (const ShardId& shard : wanted) {
    if (m_held.contains(shard) || !ShouldAcquire(view, shard)) {
      continue;
    }
    const auto record = view.m_shards.find(shard);
    const StoreRevision version =
        record == view.m_shards.end() ? kAbsent : record->second.m_version;
    decisions->push_back(
        AcquireShard{shard, version, m_highest_epoch[shard] + 1});
  }
}

bool OwnershipCore::ShouldAcquire(const ClusterView& view,
                                  const ShardId& shard) const {
  const auto record = view.m_shards.find(shard);
  if (record != view.m_shards.end()) {
    const std::string& owner = record->second.m_owner;
    if (owner == m_incarnation) {
      // The acquisition was written although its outcome was unknown, or the
      // shard was dropped as stale. No other member may acquire it. The
      // recorded epoch is not reused; a new one is taken.
      return true;
    }
    if (view.m_members.contains(owner)) {
      return false;
    }
  }
  return ChooseMember(shard, view.m_members) == m_incarnation;
}

void OwnershipCore::StopUnwanted(const std::set<ShardId>& wanted,
                                 OwnershipDecisions* decisions) {
  for (const auto& [shard, held] : m_held) {
    if (held.m_phase == Phase::kOwned && !wanted.contains(shard)) {
      Stop(shard, decisions);
    }
  }
}

// Hands over at most one shard at a time, so that a new member causes no burst
// of rebuilds.
void OwnershipCore::HandOverOneShard(const ClusterView& view, TimePoint now,
                                     OwnershipDecisions* decisions) {
  if (HandOverInProgress()) {
    return;
  }
  const TimePoint gap_end = m_last_handover + m_times.m_handover_gap;
  for (const auto& [shard, held] : m_held) {
    const std::string chosen = ChooseMember(shard, view.m_members);
    if (chosen.empty() || chosen == m_incarnation) {
      continue;
    }
    const TimePoint earliest =
        std::max(gap_end, m_member_since[chosen] + m_times.m_handover_age);
    if (now < earliest) {
      ScheduleCheck(earliest);
      continue;
    }
    m_last_handover = now;
    Stop(shard, decisions);
    return;
  }
}

void OwnershipCore::Stop(const ShardId& shard, OwnershipDecisions* decisions) {
  HeldShard& held = m_held[shard];
  held.m_phase = Phase::kStopping;
  decisions->push_back(StopShard{shard, held.m_epoch});
}

bool OwnershipCore::HandOverInProgress() const {
  return std::any_of(m_held.begin(), m_held.end(), [](const auto& entry) {
    return entry.second.m_phase != Phase::kOwned;
  });
}

void OwnershipCore::ScheduleCheck(TimePoint time) {
  m_next_check = m_next_check ? std::min(*m_next_check, time) : time;
}

bool OwnershipCore::AcquireDone(const AcquireShard& decision,
                                std::optional<StoreRevision> version) {
  if (!version || m_incarnation.empty()) {
    return false;
  }
  m_held[decision.m_shard] = {decision.m_epoch, *version, Phase::kOwned};
  Epoch& highest = m_highest_epoch[decision.m_shard];
  highest = std::max(highest, decision.m_epoch);
  return true;
}

OwnershipDecisions OwnershipCore::ShardStopped(const ShardId& shard,
                                               Epoch epoch) {
  const auto held = m_held.find(shard);
  if (held == m_held.end() || held->second.m_epoch != epoch ||
      held->second.m_phase != Phase::kStopping) {
    return {};
  }
  held->second.m_phase = Phase::kStopped;
  return {ReleaseShard{shard, held->second.m_version, epoch}};
}

void OwnershipCore::ReleaseDone(const ReleaseShard& decision, bool completed) {
  const auto held = m_held.find(decision.m_shard);
  if (completed && held != m_held.end() &&
      held->second.m_epoch == decision.m_epoch) {
    m_held.erase(held);
  }
}

OwnershipDecisions OwnershipCore::StaleEpoch(const ShardId& shard, Epoch seen) {
  Epoch& highest = m_highest_epoch[shard];
  highest = std::max(highest, seen);
  const auto held = m_held.find(shard);
  if (held == m_held.end() || held->second.m_epoch >= seen) {
    return {};
  }
  OwnershipDecisions decisions;
  if (held->second.m_phase != Phase::kStopped) {
    decisions.push_back(DropShard{shard, held->second.m_epoch});
  }
  m_held.erase(held);
  return decisions;
}

OwnershipDecisions OwnershipCore::StartLeaving() {
  m_leaving = true;
  OwnershipDecisions decisions;
  for (const auto& [shard, held] : m_held) {
    if (held.m_phase == Phase::kOwned) {
      Stop(shard, &decisions);
    }
  }
  return decisions;
}

std::map<ShardId, Epoch> OwnershipCore::Held() const {
  std::map<ShardId, Epoch> held;
  for (const auto& [shard, state] : m_held) {
    held.emplace(shard, state.m_epoch);
  }
  return held;
}

}  // namespace mustardslip
