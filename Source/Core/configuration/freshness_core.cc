// Proofs, holds and the roster; see the header for why this is safe.
#include "configuration/freshness_core.h"

#include <fmt/core.h>

#include <algorithm>

namespace mustardslip {

std::string_view ToString(FreshnessState state) {
  switch (state) {
    case FreshnessState::kProven:
      return "proven";
    case FreshnessState::kOutageMode:
      return "outage_mode";
    case FreshnessState::kUnverified:
      return "unverified";
    case FreshnessState::kNoConfiguration:
      return "no_configuration";
    case FreshnessState::kLeaving:
      return "leaving";
  }
  return "unverified";
}

void FreshnessCore::OnHead(const VersionedHead& head, TimePoint asked_at,
                           TimePoint now) {
  if (head.m_version < m_head.m_version ||
      head.m_head.m_revision < m_head.m_head.m_revision) {
    // Two reads of this process may overtake each other.
    m_store_reverted = m_store_reverted || asked_at > m_head_adopted_at;
    return;
  }
  AdoptHead(head, now);
  RaiseProof(head.m_head.m_revision, asked_at);
}

void FreshnessCore::OnPeerHead(const VersionedHead& head, TimePoint now) {
  if (head.m_version > m_head.m_version &&
      head.m_head.m_revision >= m_head.m_head.m_revision) {
    AdoptHead(head, now);
    RaiseLatest(head.m_head.m_revision);
  }
}

void FreshnessCore::AdoptHead(const VersionedHead& head, TimePoint now) {
  m_head = head;
  m_head_adopted_at = now;
  if (m_pending && !m_apply_running && head.m_version > *m_pending) {
    m_pending.reset();
  }
  const RosterMember* self = Self();
  if (self != nullptr && self->m_joined != m_self_joined) {
    m_self_joined = self->m_joined;
    m_self_seen = head.m_version;
  }
  if (self != nullptr && self->m_joined == m_sent_beat.m_joined &&
      self->m_beat == m_sent_beat.m_beat) {
    m_alive_at = m_sent_beat.m_since;
  }
  Observe(now);
}

void FreshnessCore::Observe(TimePoint now) {
  std::map<std::string, Observation> observed;
  for (const RosterMember& member : m_head.m_head.m_roster) {
    const auto found = m_observed.find(member.m_id);
    const bool same = found != m_observed.end() &&
                      found->second.m_joined == member.m_joined &&
                      found->second.m_beat == member.m_beat;
    observed[member.m_id] =
        same ? found->second : Observation{member.m_joined, member.m_beat, now};
  }
  m_observed = std::move(observed);
  AddPeers();
  std::erase_if(m_gone, [this](const std::string& member) {
    return !m_observed.contains(member);
  });
  std::erase_if(m_denied, [this](const auto& entry) {
    return m_head.m_version > entry.second;
  });
}

void FreshnessCore::AddPeers() {
  for (const auto& [member, observation] : m_observed) {
    m_peers.try_emplace(member, Peer{.m_released_through = m_query_number});
  }
  // A granted hold is kept until it is released, since the peer may be removed
  // and join again without noticing.
  std::erase_if(m_peers, [this](const auto& entry) {
    return !m_observed.contains(entry.first) && !entry.second.m_granted;
  });
}

void FreshnessCore::OnUnchanged(TimePoint asked_at) {
  RaiseProof(m_head.m_head.m_revision, asked_at);
}

void FreshnessCore::RaiseLatest(ConfigurationRevision revision) {
  if (revision > m_latest) {
    m_latest = revision;
    m_latest_proved.reset();
  }
}

void FreshnessCore::RaiseProof(ConfigurationRevision revision,
                               TimePoint proved_at) {
  RaiseLatest(revision);
  if (revision == m_latest) {
    m_latest_proved = std::max(m_latest_proved.value_or(proved_at), proved_at);
  }
  if (revision == m_held) {
    m_held_proved = std::max(m_held_proved.value_or(proved_at), proved_at);
  }
}

void FreshnessCore::OnLoaded(ConfigurationRevision revision) {
  if (revision <= m_held) {
    return;
  }
  RaiseLatest(revision);
  m_held = revision;
  m_held_proved = revision == m_latest ? m_latest_proved : std::nullopt;
}

bool FreshnessCore::HasProof(TimePoint now, Milliseconds max_age) const {
  return m_held_proved && now - *m_held_proved < max_age;
}

FreshnessQuery FreshnessCore::MakeQuery(const std::string& peer,
                                        TimePoint now) {
  FreshnessQuery query{++m_query_number,
                       !HasProof(now, kAskForHoldAfter) && !m_leaving,
                       m_head.m_version, m_id, peer};
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return query;
  }
  Peer& state = found->second;
  ++state.m_unanswered;
  if (!query.m_wants_hold) {
    // The peer may accept a change as soon as it has this query.
    state.m_holds = false;
    state.m_released_through = query.m_number;
  }
  return query;
}

bool FreshnessCore::IsDenied(const std::string& member) const {
  return m_denied.contains(member);
}

FreshnessReport FreshnessCore::OnQuery(const FreshnessQuery& query,
                                       TimePoint now) {
  FreshnessReport report{query.m_number, m_latest,         -1,
                         false,          m_head.m_version, m_id};
  if (m_latest_proved) {
    const auto age = now - *m_latest_proved;
    report.m_proof_age_ms =
        std::chrono::ceil<Milliseconds>(std::max(age, age.zero())).count();
  }
  const auto found = m_peers.find(query.m_from);
  if (found == m_peers.end() || query.m_to != m_id ||
      query.m_number <= found->second.m_last_heard) {
    return report;
  }
  Peer& state = found->second;
  state.m_last_heard = query.m_number;
  state.m_heard_at = now;
  state.m_unanswered = 0;
  state.m_knows_head = std::max(state.m_knows_head, query.m_known_head_version);
  if (!query.m_wants_hold) {
    state.m_granted = false;
  } else if (!m_pending && !IsDenied(query.m_from) &&
             m_head.m_head.FindMember(query.m_from) != nullptr) {
    state.m_granted = true;
    report.m_holds = true;
  }
  return report;
}

void FreshnessCore::OnReport(const std::string& peer,
                             const FreshnessReport& report, TimePoint asked_at,
                             TimePoint now) {
  if (report.m_proof_age_ms >= 0) {
    RaiseProof(report.m_revision,
               asked_at - Milliseconds(report.m_proof_age_ms));
  }
  RaiseLatest(report.m_revision);
  if (report.m_from != peer) {
    OnMemberGone(peer);
    return;
  }
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  Peer& state = found->second;
  state.m_heard_at = now;
  state.m_unanswered = 0;
  state.m_knows_head =
      std::max(state.m_knows_head, report.m_known_head_version);
  if (report.m_holds && report.m_number > state.m_released_through) {
    state.m_holds = true;
  }
}

void FreshnessCore::OnMemberGone(const std::string& member) {
  m_gone.insert(member);
}

FreshnessVerdict FreshnessCore::Verdict(TimePoint now) const {
  if (m_leaving) {
    return {FreshnessState::kLeaving, m_held};
  }
  if (m_held == 0) {
    return {FreshnessState::kNoConfiguration, 0};
  }
  if (HasProof(now, kMaxProofAge)) {
    return {FreshnessState::kProven, m_held};
  }
  return {InOutageMode(now) ? FreshnessState::kOutageMode
                            : FreshnessState::kUnverified,
          m_held};
}

bool FreshnessCore::InOutageMode(TimePoint now) const {
  // m_latest covers the revisions that the holding peers reported.
  if (m_held != m_latest || m_pending || Self() == nullptr || !m_alive_at ||
      now - *m_alive_at >= kMaxOutage) {
    return false;
  }
  const auto& roster = m_head.m_head.m_roster;
  return std::all_of(
      roster.begin(), roster.end(), [this](const RosterMember& member) {
        return member.m_id == m_id || m_peers.at(member.m_id).m_holds;
      });
}

bool FreshnessCore::KnowsMe(const RosterMember& member) const {
  const RosterMember* self = Self();
  if (self == nullptr) {
    return false;
  }
  if (member.m_joined > self->m_joined) {
    return true;
  }
  const auto peer = m_peers.find(member.m_id);
  return peer != m_peers.end() && peer->second.m_knows_head >= m_self_seen;
}

Result<void> FreshnessCore::BeginApply(const VersionedHead& head) {
  if (m_apply_running || m_pending) {
    return Fail(ErrorCode::kUnavailable, "change_pending",
                "another change of this daemon is in progress");
  }
  if (head.m_version != m_head.m_version) {
    return Fail(ErrorCode::kConflict, "head_moved");
  }
  if (m_leaving || Self() == nullptr) {
    return Fail(ErrorCode::kUnavailable, "not_on_roster",
                "this daemon has not joined the roster yet; apply again");
  }
  for (const RosterMember& member : head.m_head.m_roster) {
    if (member.m_id == m_id) {
      continue;
    }
    if (!KnowsMe(member)) {
      return Fail(ErrorCode::kUnavailable, "roster_unacknowledged",
                  fmt::format("the daemon at {} has not acknowledged this "
                              "daemon; apply through another daemon",
                              member.m_address));
    }
    if (m_peers[member.m_id].m_granted) {
      return Fail(ErrorCode::kUnavailable, "held_in_outage_mode",
                  fmt::format("the daemon at {} continues without the store; "
                              "apply again when it has contact",
                              member.m_address));
    }
  }
  m_pending = head.m_version;
  m_apply_running = true;
  return {};
}

void FreshnessCore::EndApply(bool unresolved) {
  m_apply_running = false;
  if (!unresolved || (m_pending && m_head.m_version > *m_pending)) {
    m_pending.reset();
  }
}

std::optional<ConfigurationHead> FreshnessCore::NextRoster(TimePoint now) {
  ConfigurationHead next = m_head.m_head;
  if (m_leaving) {
    const auto removed = std::erase_if(
        next.m_roster,
        [this](const RosterMember& member) { return member.m_id == m_id; });
    return removed > 0 ? std::optional(next) : std::nullopt;
  }
  bool changed = RemoveMembers(next, now);
  const RosterMember* self = Self();
  if (self == nullptr) {
    AddSelf(next, now);
    changed = true;
  } else if (now - m_sent_beat.m_since >= kBeatInterval) {
    for (RosterMember& member : next.m_roster) {
      if (member.m_id == m_id) {
        member.m_beat = ++m_beat_number;
        m_sent_beat = {member.m_joined, member.m_beat, now};
      }
    }
    changed = true;
  }
  return changed ? std::optional(next) : std::nullopt;
}

void FreshnessCore::AddSelf(ConfigurationHead& head, TimePoint now) {
  // Only one process can listen at an address, so an older member with this
  // one's address has ended.
  std::erase_if(head.m_roster, [this](const RosterMember& member) {
    return member.m_address == m_address;
  });
  ++head.m_joins;
  head.m_roster.push_back({m_id, m_address, head.m_joins, ++m_beat_number});
  m_sent_beat = {head.m_joins, m_beat_number, now};
}

bool FreshnessCore::RemoveMembers(ConfigurationHead& head, TimePoint now) {
  const auto removed =
      std::erase_if(head.m_roster, [this, now](const RosterMember& member) {
        return member.m_id != m_id && IsRemovable(member, now);
      });
  return removed > 0;
}

bool FreshnessCore::IsRemovable(const RosterMember& member, TimePoint now) {
  const auto observed = m_observed.find(member.m_id);
  if (m_gone.contains(member.m_id)) {
    return true;
  }
  if (observed == m_observed.end()) {
    return false;
  }
  if (now - observed->second.m_since >= kSilentMemberRemoval) {
    return true;
  }
  const Peer& peer = m_peers[member.m_id];
  const TimePoint heard = std::max(peer.m_heard_at, observed->second.m_since);
  if (peer.m_granted || !KnowsMe(member) ||
      peer.m_unanswered < kUnansweredQueries ||
      now - heard < kUnreachableRemoval) {
    return false;
  }
  // The member needs this process's hold to be in outage mode. It has none, and
  // gets none while the removal may still take effect.
  m_denied[member.m_id] = m_head.m_version;
  return true;
}

}  // namespace mustardslip
