// Decides whether keys may be honoured now, with which revision, and whether
// this process may accept a configuration change.
//
// Pure: the inputs are reads of the configuration head, messages between
// processes and time. All times are this process's monotonic clock.
//
// Requirement: no process honours a key later than 5 s after the acceptance of
// a change that withdraws it.
//
// Normal operation: a read of the head that was sent at time p proves that its
// revision was in force at p; keys are honoured until p + 5 s. A peer's proof
// counts from the time the query was sent, minus the age that the peer reports.
//
// Outage mode: a process whose proof grows old asks each member of the roster
// to hold changes. A member that holds accepts no change until the asker
// releases it (an asker that has a proof again does so). While all other
// members hold and know no higher revision, nobody can accept a change, so keys
// may be honoured without a proof.
//
// The pieces that make this safe:
// - Only roster members accept changes, by compare-and-swap on the head's
//   version, and only if every member on that head knows them (so that each
//   asker asks them) and none has their hold.
// - A write whose answer was lost counts as pending until the head's version
//   has moved; a member with a pending write grants no hold.
// - A hold outlives the crash of the member that granted it, since a process
//   never accepts a change while it holds.
// - The roster is part of the head, so removing a member makes its delayed
//   writes fail. A member is removed only when it cannot be in outage mode:
//   it left; its VM is gone or its address has a new process; it needs this
//   process's hold, has none and is denied one; or it has shown no sign of life
//   for 2 h, where outage mode ends 90 min after a process's last sign of life.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/result.h"
#include "configuration/configuration_head.h"

namespace mustardslip {

// Requirement P3 and P10: a change is in force everywhere after this time.
inline constexpr Milliseconds kMaxProofAge{5'000};
// A watch of 2 s renews the proof at latest 4 s after it was sent; asking for
// holds earlier than 5 s avoids a gap between proof and outage mode.
inline constexpr Milliseconds kAskForHoldAfter{2'500};
inline constexpr Milliseconds kMaxOutage{90 * 60 * 1'000};
inline constexpr Milliseconds kSilentMemberRemoval{2 * 60 * 60 * 1'000};
inline constexpr Milliseconds kBeatInterval{20 * 60 * 1'000};
// Longer than a restart or a pause that members survive without a rejoin.
inline constexpr Milliseconds kUnreachableRemoval{60'000};
// A process that was itself paused has sent no queries meanwhile, so silence
// alone does not make a member unreachable.
inline constexpr int kUnansweredQueries = 20;

// Asked by each process of each roster member, about every 500 ms.
struct FreshnessQuery {
  // Grows with each query of the asker; a receiver acts on the newest only.
  std::int64_t m_number = 0;
  // False also releases an earlier hold.
  bool m_wants_hold = false;
  StoreRevision m_known_head_version = 0;
  std::string m_from;
  // The roster member that is asked. Another process may have its address now;
  // a hold of that one would not stop a delayed write of the member.
  std::string m_to;

  bool operator==(const FreshnessQuery&) const = default;
};

struct FreshnessReport {
  std::int64_t m_number = 0;  // Of the query.
  // The highest revision known.
  ConfigurationRevision m_revision = 0;
  // Age of the freshest proof of m_revision in milliseconds; -1: none.
  std::int64_t m_proof_age_ms = -1;
  bool m_holds = false;
  StoreRevision m_known_head_version = 0;
  std::string m_from;

  bool operator==(const FreshnessReport&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FreshnessQuery, m_number, m_wants_hold,
                                   m_known_head_version, m_from, m_to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FreshnessReport, m_number, m_revision,
                                   m_proof_age_ms, m_holds,
                                   m_known_head_version, m_from)

enum class FreshnessState {
  kProven,           // A proof younger than 5 s.
  kOutageMode,       // No proof, but nobody can accept a change.
  kUnverified,       // Keys must not be honoured.
  kNoConfiguration,  // Nothing read yet.
  kLeaving,
};

std::string_view ToString(FreshnessState state);

struct FreshnessVerdict {
  FreshnessState m_state = FreshnessState::kNoConfiguration;
  ConfigurationRevision m_revision = 0;

  bool MayHonourKeys() const {
    return m_state == FreshnessState::kProven ||
           m_state == FreshnessState::kOutageMode;
  }
  bool operator==(const FreshnessVerdict&) const = default;
};

// Not thread-safe.
class FreshnessCore {
 public:
  // `id` is new for each process; `address` is where it listens.
  FreshnessCore(std::string id, std::string address)
      : m_id(std::move(id)), m_address(std::move(address)) {}

  // The head as read by a call that was sent at `asked_at`. Ignored if lower
  // than one already seen.
  void OnHead(const VersionedHead& head, TimePoint asked_at, TimePoint now);
  // A newer head that a peer has read, without a proof.
  void OnPeerHead(const VersionedHead& head, TimePoint now);
  // The head did not change up to the answer of a call sent at `asked_at`.
  void OnUnchanged(TimePoint asked_at);
  // This process now holds the whole configuration of `revision`.
  void OnLoaded(ConfigurationRevision revision);

  // The query for a peer; a query that wants no hold gives up the peer's hold.
  FreshnessQuery MakeQuery(const std::string& peer, TimePoint now);
  FreshnessReport OnQuery(const FreshnessQuery& query, TimePoint now);
  // `peer`: the member that was asked. A report from another process shows that
  // the member has ended.
  void OnReport(const std::string& peer, const FreshnessReport& report,
                TimePoint asked_at, TimePoint now);
  // The VM of a member is gone, or another process has its address.
  void OnMemberGone(const std::string& member);

  FreshnessVerdict Verdict(TimePoint now) const;

  // The next head if the roster needs a change by this process (join, sign of
  // life, removal), to be swapped against Head().
  std::optional<ConfigurationHead> NextRoster(TimePoint now);
  // This process honours and accepts nothing from now on, and NextRoster()
  // takes it off the roster.
  void Leave() { m_leaving = true; }

  // Asks to replace `head` by a change. On success this process grants no holds
  // until EndApply. Errors: kUnavailable with reason "not_on_roster",
  // "roster_unacknowledged", "change_pending" or "held_in_outage_mode";
  // kConflict with reason "head_moved" if `head` is not the newest seen.
  Result<void> BeginApply(const VersionedHead& head);
  // `unresolved`: the write may still take effect under the head's version.
  void EndApply(bool unresolved);

  // The highest revision that this process or a peer knows.
  ConfigurationRevision HighestRevision() const { return m_latest; }
  ConfigurationRevision HeldRevision() const { return m_held; }
  const VersionedHead& Head() const { return m_head; }
  // True once the store has answered with a head below one already seen.
  bool StoreReverted() const { return m_store_reverted; }
  bool IsOnRoster() const { return Self() != nullptr; }

 private:
  struct Peer {
    // Holds granted for this or an earlier query were given up.
    std::int64_t m_released_through = 0;
    std::int64_t m_last_heard = 0;  // Number of the peer's last query.
    int m_unanswered = 0;           // Queries since it was last heard.
    bool m_granted = false;         // This process holds for the peer.
    bool m_holds = false;           // The peer holds for this process.
    StoreRevision m_knows_head = 0;
    TimePoint m_heard_at{};
  };
  // How long this process has seen the same sign of life of a member.
  struct Observation {
    std::int64_t m_joined = 0;
    std::int64_t m_beat = 0;
    TimePoint m_since{};
  };

  const RosterMember* Self() const { return m_head.m_head.FindMember(m_id); }
  void AdoptHead(const VersionedHead& head, TimePoint now);
  void AddPeers();
  void RaiseLatest(ConfigurationRevision revision);
  void Observe(TimePoint now);
  void RaiseProof(ConfigurationRevision revision, TimePoint proved_at);
  bool HasProof(TimePoint now, Milliseconds max_age) const;
  bool InOutageMode(TimePoint now) const;
  bool KnowsMe(const RosterMember& member) const;
  bool IsRemovable(const RosterMember& member, TimePoint now);
  void AddSelf(ConfigurationHead& head, TimePoint now);
  bool RemoveMembers(ConfigurationHead& head, TimePoint now);
  bool IsDenied(const std::string& member) const;

  const std::string m_id;
  const std::string m_address;
  VersionedHead m_head;
  TimePoint m_head_adopted_at{};
  // First head version that showed this process, for its present joining.
  StoreRevision m_self_seen = 0;
  std::int64_t m_self_joined = 0;
  ConfigurationRevision m_latest = 0;
  std::optional<TimePoint> m_latest_proved;
  ConfigurationRevision m_held = 0;
  std::optional<TimePoint> m_held_proved;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, Observation> m_observed;
  std::set<std::string> m_gone;
  // Members that get no hold, with the head version of their removal.
  std::map<std::string, StoreRevision> m_denied;
  // Never reused, so that a report is matched with its query, also after the
  // peer left the roster and joined again.
  std::int64_t m_query_number = 0;
  // Never reused, so that a delayed sign of life is not taken for a later one.
  std::int64_t m_beat_number = 0;
  // The last sign of life that was sent, and when the one in the head was sent.
  Observation m_sent_beat;
  std::optional<TimePoint> m_alive_at;
  // The head version that a change of this process may still replace.
  std::optional<StoreRevision> m_pending;
  bool m_apply_running = false;
  bool m_leaving = false;
  bool m_store_reverted = false;
};

}  // namespace mustardslip
