// The waiting attempts of all teams.
//
// A team's attempts that need the same room at the same rank share one shape:
// if one of them fits nowhere, none does. Inside a shape the earliest deadline
// is first, then the earliest arrival. A gang is a shape of its own.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

#include "placement/attempt_table.h"
#include "placement/names.h"

namespace mustardslip {

// Lower ranks are placed first.
enum class Rank : std::uint8_t { kUrgent, kService, kNormal, kLow };
// Ranks up to this one come before the other work of all teams.
constexpr Rank kLastExpressRank = Rank::kService;

Rank RankOf(JobKind kind, Priority priority);

using ShapeIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using GangIndex = std::uint32_t;

struct ShapeKey {
  Resources m_declared;
  std::uint32_t m_limits = 0;
  Rank m_rank = Rank::kNormal;
  JobKind m_kind = JobKind::kBatch;

  bool operator==(const ShapeKey&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash hash, const ShapeKey& key) {
    return Hash::combine(std::move(hash), key.m_declared.m_cpu_millis,
                         key.m_declared.m_memory_mb,
                         key.m_declared.m_accelerators, key.m_limits,
                         key.m_rank, key.m_kind);
  }
};

struct QueueEntry {
  std::int64_t m_deadline_unix_ms = 0;
  std::uint64_t m_sequence = 0;
  AttemptSlot m_slot = 0;

  auto operator<=>(const QueueEntry&) const = default;
};

// The position of a shape among its team's shapes.
struct ShapeOrderKey {
  Rank m_rank = Rank::kNormal;
  QueueEntry m_entry;
  ShapeIndex m_shape = 0;

  auto operator<=>(const ShapeOrderKey&) const = default;
};

struct Shape {
  // No attempt of this shape was tried yet, or it may fit for another reason
  // than room that grew.
  static constexpr std::uint64_t kNotTried =
      std::numeric_limits<std::uint64_t>::max();

  ShapeKey m_key;
  TeamIndex m_team = kNoIndex;
  GangIndex m_gang = kNoIndex;
  absl::btree_set<QueueEntry> m_entries;
  // It fitted nowhere when the VM table had this growth version.
  std::uint64_t m_blocked_version = kNotTried;
};

struct Gang {
  std::vector<AttemptSlot> m_members;
  TeamIndex m_team = kNoIndex;
  // Since when the gang waits for a reservation.
  TimePoint m_waiting_since;
  TimePoint m_next_try;
  // Members of which the start failed; the gang waits for the others.
  std::uint32_t m_parked = 0;
  bool m_queued = false;
};

struct Team {
  double m_weight = 1.0;
  // Charges of running attempts and room claimed for waiting ones.
  Resources m_used;
  // The part of m_used that urgent work and services hold.
  Resources m_express_used;
  std::int64_t m_waiting = 0;
  std::int64_t m_running = 0;
  absl::btree_set<ShapeOrderKey> m_ordered_shapes;
  absl::flat_hash_map<ShapeKey, ShapeIndex> m_shapes;
  // All heads of express ranks, or of all ranks, were blocked at this version.
  std::uint64_t m_express_blocked = Shape::kNotTried;
  std::uint64_t m_all_blocked = Shape::kNotTried;
};

class TeamQueues {
 public:
  explicit TeamQueues(AttemptTable& attempts) : m_attempts(attempts) {}

  TeamIndex Intern(std::string_view name);
  TeamIndex Find(std::string_view name) const { return m_names.Find(name); }
  const std::string& NameOf(TeamIndex team) const {
    return m_names.NameOf(team);
  }

  std::size_t TeamCount() const { return m_teams.size(); }
  Team& At(TeamIndex team) { return m_teams[team]; }
  const Team& At(TeamIndex team) const { return m_teams[team]; }
  Shape& ShapeAt(ShapeIndex shape) { return m_shapes[shape]; }
  const Shape& ShapeAt(ShapeIndex shape) const { return m_shapes[shape]; }

  // Queues an attempt that stands alone.
  void Push(AttemptSlot slot);
  // Queues the members of a gang as one entry.
  void PushGang(Gang& gang, GangIndex index);
  // Takes an attempt, or all of its gang, out of its queue.
  void Remove(AttemptSlot slot);
  // Lets all blocked shapes of a team be tried again.
  void Unblock(TeamIndex team);

  std::int64_t WaitingCount() const { return m_waiting; }
  std::int64_t WaitingTeams() const { return m_waiting_teams; }
  // Adds to the waiting attempts of a team, also for those outside a queue.
  void AddWaiting(TeamIndex team, std::int64_t count);

  void Check() const;

 private:
  ShapeIndex NewShape(const ShapeKey& key, TeamIndex team);
  void FreeShape(ShapeIndex index);
  void PushEntry(ShapeIndex index, const QueueEntry& entry);

  AttemptTable& m_attempts;
  NameInterner m_names;
  std::vector<Team> m_teams;
  std::vector<Shape> m_shapes;
  std::vector<ShapeIndex> m_unused;
  std::int64_t m_waiting = 0;
  std::int64_t m_waiting_teams = 0;
};

}  // namespace mustardslip
