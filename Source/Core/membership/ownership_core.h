// Shard ownership state machine of one daemon.
//
// Its inputs are the store's records, the time and the outcomes of its earlier
// decisions. It performs no I/O and reads no clock; MemberSession calls it and
// executes its decisions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "membership/cluster_view.h"

namespace mustardslip {

// Write the record with this incarnation as the owner, by compare-and-swap on
// the expected version (guard VERSION_CHECK of the specification), then report
// the outcome with AcquireDone().
struct AcquireShard {
  ShardId m_shard;
  StoreRevision m_expected_version = kAbsent;
  Epoch m_epoch = 0;

  bool operator==(const AcquireShard&) const = default;
};

// Planned hand-over: stop the shard's work, then report ShardStopped().
struct StopShard {
  ShardId m_shard;
  Epoch m_epoch = 0;

  bool operator==(const StopShard&) const = default;
};

// Write the record without an owner, then report ReleaseDone().
struct ReleaseShard {
  ShardId m_shard;
  StoreRevision m_expected_version = kAbsent;
  Epoch m_epoch = 0;

  bool operator==(const ReleaseShard&) const = default;
};

// The shard is no longer owned: stop its work immediately.
struct DropShard {
  ShardId m_shard;
  Epoch m_epoch = 0;

  bool operator==(const DropShard&) const = default;
};

// The lease has expired: register again under a new incarnation.
struct TakeNewIncarnation {
  bool operator==(const TakeNewIncarnation&) const = default;
};

using OwnershipDecision = std::variant<AcquireShard, StopShard, ReleaseShard,
                                       DropShard, TakeNewIncarnation>;
using OwnershipDecisions = std::vector<OwnershipDecision>;

struct OwnershipTimes {
  // Delay between registration and the first acquisition. After a store outage
  // all daemons register again within one renewal interval; without the delay
  // the first one would acquire every shard. Must exceed the interval.
  Milliseconds m_acquire_delay{1200};
  // Minimum time for which a member must have been visible before it is handed
  // a shard, so that a daemon that restarts repeatedly moves no shards.
  Milliseconds m_handover_age{2000};
  // Minimum time between two hand-overs by the same owner.
  Milliseconds m_handover_gap{500};
};

class OwnershipCore {
 public:
  explicit OwnershipCore(OwnershipTimes times = {}) : m_times(times) {}

  // Call when this daemon's member record has been written to the store.
  // Precondition: no shard is held.
  void Registered(std::string incarnation, TimePoint now);

  // Call when the store reports that the lease does not exist, but not while
  // the store is unreachable: an owner keeps its shards during an outage, which
  // fencing makes safe.
  OwnershipDecisions LeaseLost();

  // Processes new records. `wanted` holds all shards that need an owner.
  OwnershipDecisions Observe(const ClusterView& view,
                             const std::set<ShardId>& wanted, TimePoint now);

  // `version` is the record's new version, or empty if the write is not known
  // to have succeeded. Returns true if the shard is owned from now on.
  bool AcquireDone(const AcquireShard& decision,
                   std::optional<StoreRevision> version);

  OwnershipDecisions ShardStopped(const ShardId& shard, Epoch epoch);

  // `completed` is false if the write failed and must be retried; the next
  // Observe() then returns the decision again.
  void ReleaseDone(const ReleaseShard& decision, bool completed);

  // A receiver rejected this daemon's epoch because it has seen epoch `seen`.
  OwnershipDecisions StaleEpoch(const ShardId& shard, Epoch seen);

  // Hands over all shards and acquires no more.
  OwnershipDecisions StartLeaving();

  // When Observe() should be called even if no record has changed.
  std::optional<TimePoint> NextCheck() const { return m_next_check; }

  // Shards that this daemon owns or has not released yet, with their epochs.
  std::map<ShardId, Epoch> Held() const;

 private:
  enum class Phase { kOwned, kStopping, kStopped };

  struct HeldShard {
    Epoch m_epoch = 0;
    StoreRevision m_version = kAbsent;
    Phase m_phase = Phase::kOwned;
  };

  void UpdateMembers(const ClusterView& view, TimePoint now);
  void UpdateHighestEpochs(const ClusterView& view);
  void ReconcileHeldShards(const ClusterView& view,
                           OwnershipDecisions* decisions);
  void AcquireUnowned(const ClusterView& view, const std::set<ShardId>& wanted,
                      TimePoint now, OwnershipDecisions* decisions);
  bool ShouldAcquire(const ClusterView& view, const ShardId& shard) const;
  void StopUnwanted(const std::set<ShardId>& wanted,
                    OwnershipDecisions* decisions);
  void HandOverOneShard(const ClusterView& view, TimePoint now,
                        OwnershipDecisions* decisions);
  void Stop(const ShardId& shard, OwnershipDecisions* decisions);
  bool HandOverInProgress() const;
  void ScheduleCheck(TimePoint time);

  const OwnershipTimes m_times;
  // Empty while not registered; m_held is then empty too.
  std::string m_incarnation;
  TimePoint m_registered_at{};
  bool m_leaving = false;
  std::map<ShardId, HeldShard> m_held;
  // The highest epoch seen for each shard. A new epoch exceeds it, even if the
  // record was deleted or a receiver has seen a higher epoch than the record.
  std::map<ShardId, Epoch> m_highest_epoch;
  // When each current member was first seen.
  std::map<std::string, TimePoint> m_member_since;
  TimePoint m_last_handover{};
  std::optional<TimePoint> m_next_check;
};

}  // namespace mustardslip
