// Shapes, their order inside a team, and counts of waiting attempts.
#include "placement/team_queues.h"

#include <algorithm>

#include "common/result.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kNoDeadline = std::numeric_limits<std::int64_t>::max();

QueueEntry EntryOf(const Attempt& attempt, AttemptSlot slot) {
  return {
      attempt.m_deadline_unix_ms > 0 ? attempt.m_deadline_unix_ms : kNoDeadline,
      attempt.m_sequence, slot};
}

Resources ComponentMinimum(const Resources& left, const Resources& right) {
  return {std::min(left.m_cpu_millis, right.m_cpu_millis),
          std::min(left.m_memory_mb, right.m_memory_mb),
          std::min(left.m_accelerators, right.m_accelerators)};
}

ShapeKey KeyOf(const Attempt& attempt) {
  return {attempt.m_declared, attempt.m_limits,
          RankOf(attempt.m_kind, attempt.m_priority), attempt.m_kind};
}

}  // namespace

Rank RankOf(JobKind kind, Priority priority) {
  switch (priority) {
    case Priority::kUrgent:
      return Rank::kUrgent;
    case Priority::kLow:
      return Rank::kLow;
    case Priority::kNormal:
      break;
  }
  return kind == JobKind::kService ? Rank::kService : Rank::kNormal;
}

TeamIndex TeamQueues::Intern(std::string_view name) {
  const TeamIndex team = m_names.Intern(name);
  if (team >= m_teams.size()) {
    m_teams.resize(team + 1);
  }
  return team;
}

ShapeIndex TeamQueues::NewShape(const ShapeKey& key, TeamIndex team) {
  ShapeIndex index = 0;
  if (m_unused.empty()) {
    index = static_cast<ShapeIndex>(m_shapes.size());
    m_shapes.emplace_back();
  } else {
    index = m_unused.back();
    m_unused.pop_back();
  }
  m_shapes[index].m_key = key;
  m_shapes[index].m_team = team;
  return index;
}

void TeamQueues::FreeShape(ShapeIndex index) {
  Shape& shape = m_shapes[index];
  Team& team = m_teams[shape.m_team];
  if (shape.m_gang == kNoIndex) {
    team.m_shapes.erase(shape.m_key);
  }
  // A shape beyond the number examined in a pass may now be within it.
  team.m_express_blocked = Shape::kNotTried;
  team.m_all_blocked = Shape::kNotTried;
  shape = Shape{};
  m_unused.push_back(index);
}

void TeamQueues::PushEntry(ShapeIndex index, const QueueEntry& entry) {
  Shape& shape = m_shapes[index];
  Team& team = m_teams[shape.m_team];
  const Rank rank = shape.m_key.m_rank;
  if (!shape.m_entries.empty()) {
    const QueueEntry head = *shape.m_entries.begin();
    if (head < entry) {
      shape.m_entries.insert(entry);
      return;
    }
    team.m_ordered_shapes.erase({rank, head, index});
  }
  shape.m_entries.insert(entry);
  team.m_ordered_shapes.insert({rank, entry, index});
}

void TeamQueues::Push(AttemptSlot slot) {
  Attempt& attempt = m_attempts[slot];
  Team& team = m_teams[attempt.m_team];
  const ShapeKey key = KeyOf(attempt);
  const auto found = team.m_shapes.find(key);
  ShapeIndex index = kNoIndex;
  if (found == team.m_shapes.end()) {
    index = NewShape(key, attempt.m_team);
    team.m_shapes.emplace(key, index);
    team.m_express_blocked = Shape::kNotTried;
    team.m_all_blocked = Shape::kNotTried;
  } else {
    index = found->second;
  }
  attempt.m_shape = index;
  attempt.m_phase = Phase::kQueued;
  PushEntry(index, EntryOf(attempt, slot));
}

void TeamQueues::PushGang(Gang& gang, GangIndex index) {
  const AttemptSlot first = gang.m_members.front();
  ShapeKey key = KeyOf(m_attempts[first]);
  key.m_kind = JobKind::kGang;
  const ShapeIndex shape = NewShape(key, gang.m_team);
  m_shapes[shape].m_gang = index;
  for (const AttemptSlot member : gang.m_members) {
    Resources& minimum = m_shapes[shape].m_key.m_declared;
    minimum = ComponentMinimum(minimum, m_attempts[member].m_declared);
    m_attempts[member].m_shape = shape;
    m_attempts[member].m_phase = Phase::kQueued;
  }
  gang.m_queued = true;
  PushEntry(shape, EntryOf(m_attempts[first], first));
  Team& team = m_teams[gang.m_team];
  team.m_express_blocked = Shape::kNotTried;
  team.m_all_blocked = Shape::kNotTried;
}

void TeamQueues::Remove(AttemptSlot slot) {
  const ShapeIndex index = m_attempts[slot].m_shape;
  m_attempts[slot].m_shape = kNoIndex;
  Shape& shape = m_shapes[index];
  Team& team = m_teams[shape.m_team];
  const QueueEntry head = *shape.m_entries.begin();
  const QueueEntry entry =
      shape.m_gang == kNoIndex ? EntryOf(m_attempts[slot], slot) : head;
  Invariant(shape.m_entries.erase(entry) == 1,
            "a queued attempt is in the queue of its shape");
  if (entry != head) {
    return;
  }
  team.m_ordered_shapes.erase({shape.m_key.m_rank, head, index});
  if (shape.m_entries.empty()) {
    FreeShape(index);
    return;
  }
  team.m_ordered_shapes.insert(
      {shape.m_key.m_rank, *shape.m_entries.begin(), index});
}

void TeamQueues::Unblock(TeamIndex team) {
  for (const ShapeOrderKey& key : m_teams[team].m_ordered_shapes) {
    m_shapes[key.m_shape].m_blocked_version = Shape::kNotTried;
  }
  m_teams[team].m_express_blocked = Shape::kNotTried;
  m_teams[team].m_all_blocked = Shape::kNotTried;
}

void TeamQueues::AddWaiting(TeamIndex index, std::int64_t count) {
  Team& team = m_teams[index];
  const bool waited = team.m_waiting > 0;
  team.m_waiting += count;
  Invariant(team.m_waiting >= 0, "the waiting count is not negative");
  const bool waits = team.m_waiting > 0;
  m_waiting += count;
  m_waiting_teams += static_cast<int>(waits) - static_cast<int>(waited);
}

void TeamQueues::Check() const {
  std::int64_t waiting = 0;
  for (const Team& team : m_teams) {
    waiting += team.m_waiting;
    for (const ShapeOrderKey& key : team.m_ordered_shapes) {
      const Shape& shape = m_shapes[key.m_shape];
      Invariant(
          !shape.m_entries.empty() && *shape.m_entries.begin() == key.m_entry,
          "the order key has the first entry of its shape");
    }
  }
  Invariant(waiting == m_waiting, "the waiting count is the sum over teams");
}

}  // namespace mustardslip
