// Queues of the waiting attempts of all teams, used by PlacementCore.
//
// Attempts of a team with the same declared size, limits, rank and kind form an
// equivalence class, called a shape: if one of them fits on no VM, none does.
// A shape is ordered by deadline, then by arrival. A gang is a shape of its
// own.
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
// Ranks up to this one are express: they are placed before the other work of
// all teams.
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

// Sort key of a shape among the shapes of its team: rank, then first entry.
struct ShapeOrderKey {
  Rank m_rank = Rank::kNormal;
  QueueEntry m_entry;
  ShapeIndex m_shape = 0;

  auto operator<=>(const ShapeOrderKey&) const = default;
};

struct Shape {
  // No placement of this shape was tried yet, or it may fit for a reason other
  // than grown free capacity.
  static constexpr std::uint64_t kNotTried =
      std::numeric_limits<std::uint64_t>::max();

  ShapeKey m_key;
  TeamIndex m_team = kNoIndex;
  GangIndex m_gang = kNoIndex;
  absl::btree_set<QueueEntry> m_entries;
  // The growth version of VmTable at which the shape last fitted on no VM.
  std::uint64_t m_blocked_version = kNotTried;
};

struct Gang {
  std::vector<AttemptSlot> m_members;
  TeamIndex m_team = kNoIndex;
  // Start of the wait for a reservation.
  TimePoint m_waiting_since;
  TimePoint m_next_try;
  // Members whose start failed; the gang is queued again once all have.
  std::uint32_t m_parked = 0;
  bool m_queued = false;
};

struct Team {
  double m_weight = 1.0;
  // Charges of running attempts plus claims of waiting ones.
  Resources m_used;
  // The part of m_used that belongs to urgent work and services.
  Resources m_express_used;
  std::int64_t m_waiting = 0;
  std::int64_t m_running = 0;
  absl::btree_set<ShapeOrderKey> m_ordered_shapes;
  absl::flat_hash_map<ShapeKey, ShapeIndex> m_shapes;
  // Growth versions at which no shape of an express rank, or of any rank, could
  // be placed.
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

  // Queues an attempt that is not in a gang.
  void Push(AttemptSlot slot);
  // Queues the members of a gang as one entry.
  void PushGang(Gang& gang, GangIndex index);
  // Removes an attempt, or the entry of its whole gang, from its queue.
  void Remove(AttemptSlot slot);
  // Marks all shapes of a team as not tried.
  void Unblock(TeamIndex team);

  std::int64_t WaitingCount() const { return m_waiting; }
  std::int64_t WaitingTeams() const { return m_waiting_teams; }
  // Adds `count`, which may be negative, to a team's number of waiting
  // attempts. Parked members of a gang count too, although they are in no
  // queue.
  void AddWaiting(TeamIndex team, std::int64_t count);

  // Ends the process if the queues are inconsistent. For tests.
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
