// Table of the waiting and running attempts of PlacementCore. An attempt keeps
// its slot until it is removed.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "common/random_id.h"
#include "placement/best_fit_index.h"
#include "placement/placement_types.h"

namespace mustardslip {

using AttemptSlot = std::uint32_t;
constexpr std::uint32_t kNoIndex = 0xffffffff;

enum class Phase : std::uint8_t {
  kFree,     // The slot is unused.
  kQueued,   // Waiting in the queue of a shape.
  kRunning,  // Charged to a VM.
  kParked,   // Start failed; waiting for the other members of its gang.
};

struct Attempt {
  AttemptId m_id;
  Resources m_declared;
  Resources m_charged;
  std::int64_t m_run_time_ms = 0;
  std::int64_t m_deadline_unix_ms = 0;
  TimePoint m_queued_at;
  TimePoint m_started_at;
  std::uint64_t m_sequence = 0;
  // Hash of the job id. Ids are not interned because interned names are never
  // erased and jobs are short-lived.
  std::uint64_t m_job = 0;
  std::uint32_t m_team = kNoIndex;
  std::uint32_t m_service = kNoIndex;
  std::uint32_t m_limits = 0;
  std::uint32_t m_shape = kNoIndex;
  std::uint32_t m_gang = kNoIndex;
  VmIndex m_vm = kNoIndex;
  // Index in the VM's list of attempts.
  std::uint32_t m_position = 0;
  JobKind m_kind = JobKind::kBatch;
  Priority m_priority = Priority::kNormal;
  Phase m_phase = Phase::kFree;
  bool m_checkpointable = false;
  bool m_preempted = false;
  // Queued with a claim on a VM; m_charged is the claimed amount.
  bool m_claimed = false;
};

// True if the attempt may be preempted for urgent work while it runs.
inline bool IsPreemptible(const Attempt& attempt) {
  return attempt.m_checkpointable && !attempt.m_preempted &&
         attempt.m_kind == JobKind::kBatch &&
         attempt.m_priority != Priority::kUrgent;
}

class AttemptTable {
 public:
  AttemptSlot Add(const AttemptId& id) {
    AttemptSlot slot = 0;
    if (m_unused.empty()) {
      slot = static_cast<AttemptSlot>(m_attempts.size());
      m_attempts.emplace_back();
    } else {
      slot = m_unused.back();
      m_unused.pop_back();
    }
    Attempt& attempt = m_attempts[slot];
    attempt = Attempt{};
    attempt.m_id = id;
    MapOf(id).emplace(attempt.m_id, slot);
    ++m_size;
    return slot;
  }

  void Remove(AttemptSlot slot) {
    MapOf(m_attempts[slot].m_id).erase(m_attempts[slot].m_id);
    --m_size;
    m_attempts[slot] = Attempt{};
    m_unused.push_back(slot);
  }

  // Returns kNoIndex if the id is unknown.
  AttemptSlot Find(std::string_view id) const {
    const Map& map = m_maps[Hash64(id) % kMaps];
    const auto found = map.find(id);
    return found == map.end() ? kNoIndex : found->second;
  }

  Attempt& operator[](AttemptSlot slot) { return m_attempts[slot]; }
  const Attempt& operator[](AttemptSlot slot) const { return m_attempts[slot]; }

  std::size_t Size() const { return m_size; }
  // Used and unused slots; slot numbers are below this value.
  std::size_t SlotCount() const { return m_attempts.size(); }

 private:
  using Map = absl::flat_hash_map<std::string_view, AttemptSlot>;

  // The ids are split over several maps because a rehash moves all entries of a
  // map at once: with one map for 200,000 attempts this took up to 81 ms.
  static constexpr std::size_t kMaps = 256;

  Map& MapOf(std::string_view id) { return m_maps[Hash64(id) % kMaps]; }

  std::deque<Attempt> m_attempts;  // Stable addresses for the keys below.
  std::vector<AttemptSlot> m_unused;
  std::vector<Map> m_maps = std::vector<Map>(kMaps);
  std::size_t m_size = 0;
};

}  // namespace mustardslip
