// Scheduler of one VM group: decides which waiting attempt starts on which VM.
//
// Deterministic: no I/O, clock or randomness. The caller passes events with
// their time and carries out the returned decisions. A start is charged to its
// VM at once, so the caller must report its end with Ended() or its failure
// with StartFailed(). Not thread-safe.
//
// Policy: weighted Dominant Resource Fairness between teams; inside a team by
// rank (urgent, services, normal, low), then earliest deadline, then arrival.
// Urgent work and services of teams below their share are placed before all
// other work. Services are spread over racks, other work is placed best-fit.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "placement/attempt_table.h"
#include "placement/placement_types.h"
#include "placement/quarantine.h"
#include "placement/service_spread.h"
#include "placement/team_queues.h"
#include "placement/usage_estimator.h"
#include "placement/vm_selector.h"
#include "placement/vm_table.h"

namespace mustardslip {

class PlacementCore {
 public:
  explicit PlacementCore(PlacementOptions options);
  PlacementCore(const PlacementCore&) = delete;
  PlacementCore& operator=(const PlacementCore&) = delete;

  // Adds or updates a VM. A VM with kRemoved accepts no tasks and is erased
  // once Ended() was called for each attempt of AttemptsOn().
  void SetVm(const VmDescription& description, VmCondition condition);

  // Sets a team's fair-share weight, which must be positive; the default is 1.
  void SetTeamShare(const std::string& team, double weight);

  // Adds an attempt that already runs on the VM, when state is rebuilt after a
  // takeover. Its charge is limited to the VM's uncharged resources. A known
  // attempt is ignored; an unknown VM is added with zero capacity.
  void AddRunning(const AttemptSpec& spec, const std::string& vm,
                  TimePoint now = {});

  // Queues independent attempts, or all of them as one gang. Returns immediate
  // refusals; a gang is refused as a whole. Known attempts are ignored.
  std::vector<Decision> Enqueue(const std::vector<AttemptSpec>& attempts,
                                bool gang, TimePoint now);

  // Returns the starts, preemptions and refusals that are due. Call it after
  // events and at least every 100 ms while attempts wait.
  std::vector<Decision> Decide(TimePoint now);

  // Removes a running attempt that ended or whose VM was lost, and releases its
  // charge. After a preemption the caller enqueues a new attempt.
  void Ended(const AttemptId& attempt, TaskEndReason reason, TimePoint now);

  // Reports a start that certainly had no effect, because the worker refused it
  // or was unreachable. The attempt returns to its place in the queue. A gang
  // returns once this was called for all members that have not ended; the
  // caller must stop the members that did start.
  void StartFailed(const AttemptId& attempt, TimePoint now);

  // Removes a waiting attempt; false if it is running or unknown. The other
  // members of its gang stay.
  bool Cancel(const AttemptId& attempt);

  // Records usage for the correction of declared sizes. The charge of a task
  // that uses more than its charge is raised, up to what its VM has uncharged.
  void ReportUsage(const AttemptId& attempt, const Resources& used);

  // The charge of an attempt; for a queued one, its claim. Zero otherwise.
  Resources ChargedSize(const AttemptId& attempt) const;

  std::int64_t QueueLength() const { return m_queues.WaitingCount(); }
  std::int64_t QueueLength(const std::string& team) const;
  std::int64_t RunningCount() const { return m_running; }
  std::int64_t QuarantinedCount() const { return m_quarantine.Count(); }
  std::size_t VmCount() const { return m_vms.Count(); }
  // Sum over all VMs that are not erased.
  Resources TotalCapacity() const { return m_vms.Total(); }
  // Capacity available to new tasks.
  Resources FreeCapacity() const { return m_vms.TotalPlaceable(); }
  Resources ChargedResources() const { return m_vms.Charged(); }
  // Component-wise maximum of the VM sizes.
  Resources LargestVm() const { return m_vms.TotalTree().Maximum(); }
  // Charges of a team's running attempts plus its claims.
  Resources TeamUsage(const std::string& team) const;
  // Running attempts on a VM.
  std::vector<AttemptId> AttemptsOn(const std::string& vm) const;

  // Ends the process if the state is inconsistent. For tests.
  void CheckInvariants() const;

 private:
  struct TeamShare {
    double m_share = 0;
    TeamIndex m_team = 0;

    auto operator<=>(const TeamShare&) const = default;
  };

  // Resources of a VM that are reserved for a waiting attempt.
  struct Claim {
    AttemptSlot m_slot = kNoIndex;
    VmIndex m_vm = kNoIndex;
    Resources m_resources;
    TimePoint m_until;
  };

  // The gang for which VMs are reserved. Only one at a time: two gangs that
  // each reserve a part of what the other needs would deadlock.
  struct Reservation {
    GangIndex m_gang = kNoIndex;
    std::vector<Claim> m_claims;
    TimePoint m_until;
  };

  // Running attempts of one VM whose preemption frees the required resources.
  struct Victims {
    VmIndex m_vm = kNoIndex;
    double m_cost = 0;
    std::vector<AttemptSlot> m_slots;
  };

  // placement_check.cc
  void CheckReservedResources() const;

  // placement_core.cc: event handlers.
  AttemptSlot AddAttempt(const AttemptSpec& spec, TimePoint now);
  std::uint32_t InternLimits(const PlacementLimits& limits);
  const InternedLimits* LimitsOf(const Attempt& attempt) const;
  // The reason for refusing the attempt, or an empty string. `count` is the
  // number of attempts that are queued together with this one.
  std::string RefusalReason(const AttemptSpec& spec, std::int64_t count,
                            TimePoint now);
  void EnqueueSingle(const AttemptSpec& spec, TimePoint now,
                     std::vector<Decision>& decisions);
  void EnqueueGang(const std::vector<AttemptSpec>& attempts, TimePoint now,
                   std::vector<Decision>& decisions);
  void Queue(AttemptSlot slot);
  void RemoveFromQueue(AttemptSlot slot);
  void RemoveWaiting(AttemptSlot slot);
  bool FitsAnyVm(const Resources& need, const InternedLimits* limits) const;
  bool GangFitsFleet(const std::vector<AttemptSpec>& attempts);
  void StopRunning(AttemptSlot slot);
  void ForgetVmIfGone(VmIndex vm);
  std::int64_t UnixMs(TimePoint now) const;

  // placement_decide.cc: choice of the next attempt.
  Resources Need(const Attempt& attempt) const;
  void StartRunning(AttemptSlot slot, VmIndex vm, const Resources& charge,
                    TimePoint now);
  double Share(const Team& team) const;
  // True if `usage` exceeds the team's fair share while other teams wait.
  bool ExceedsShare(const Team& team, const Resources& usage) const;
  // Adds the charge or claim of an attempt to its team's usage.
  void AddUsage(const Attempt& attempt, const Resources& amount);
  void ExpireDeadlines(TimePoint now, std::vector<Decision>& decisions);
  void Place(Rank last_rank, TimePoint now, std::vector<Decision>& decisions);
  bool StartOne(TeamIndex team, Rank last_rank, TimePoint now,
                std::vector<Decision>& decisions);
  bool StartShape(ShapeIndex shape, TimePoint now,
                  std::vector<Decision>& decisions);
  void StartQueued(AttemptSlot slot, VmIndex vm, const Resources& charge,
                   TimePoint now, std::vector<Decision>& decisions);
  VmIndex SelectVm(const Attempt& attempt, const Resources& need);
  double ActiveWeight() const;

  // placement_gang.cc: gangs.
  bool StartGangShape(GangIndex gang, TimePoint now,
                      std::vector<Decision>& decisions);
  GangIndex NewGang(std::vector<AttemptSlot> members, TimePoint now);
  void QueueGang(GangIndex gang);
  // Removes a member; a gang without members is erased.
  void RemoveFromGang(AttemptSlot slot);
  // Queues the gang again once all its remaining members are parked (kParked).
  void QueueParkedGang(GangIndex gang);
  // A cheap necessary condition for the gang to fit.
  bool MayFitGang(const Gang& gang) const;

  // Starts the members on the VMs in `places`, in the order of the members. Any
  // reservation of the gang is released first.
  void StartMembers(GangIndex gang, const std::vector<Claim>& places,
                    TimePoint now, std::vector<Decision>& decisions);

  // placement_reservation.cc: VMs reserved for a waiting gang.
  void UpdateReservation(TimePoint now, std::vector<Decision>& decisions);
  bool ReservationIsReady() const;
  void MakeReservation(TimePoint now);
  bool ReserveVms(GangIndex gang, TimePoint now);
  // Releases the reservation; the gang then waits for another from `now` on.
  void ReleaseReservation(TimePoint now);

  // placement_claims.cc: preemption and claims for urgent work.
  void FulfillClaims(TimePoint now, std::vector<Decision>& decisions);
  void ExpireClaims(TimePoint now);
  void Preempt(TimePoint now, std::vector<Decision>& decisions);
  bool PreemptOne(TeamIndex team, TimePoint now,
                  std::vector<Decision>& decisions);
  Victims FindVictims(const Attempt& attempt, const Resources& need,
                      TimePoint now);
  Victims VictimsOn(VmIndex vm, const Resources& need, TimePoint now) const;
  void MakeClaim(AttemptSlot slot, VmIndex vm, const Resources& resources,
                 TimePoint now);
  // The first attempt of a shape without a claim, if its preemption delay has
  // passed; else kNoIndex.
  AttemptSlot FindPreemptor(ShapeIndex shape, TimePoint now) const;
  // Releases the claimed resources; the attempt stays queued.
  void ReleaseClaim(AttemptSlot slot);

  PlacementOptions m_options;
  VmTable m_vms;
  AttemptTable m_attempts;
  TeamQueues m_queues;
  ServiceSpread m_spread;
  VmSelector m_selector;
  Quarantine m_quarantine;
  UsageEstimator m_estimator;
  NameInterner m_services;
  std::vector<PlacementLimits> m_limit_specs;
  std::vector<InternedLimits> m_limits;
  std::vector<Gang> m_gangs;
  std::vector<GangIndex> m_unused_gangs;
  absl::btree_set<std::pair<std::int64_t, AttemptSlot>> m_deadlines;
  std::vector<TeamShare> m_team_heap;
  absl::flat_hash_map<AttemptSlot, Claim> m_claims;
  absl::flat_hash_map<VmIndex, std::vector<AttemptSlot>> m_vm_claims;
  absl::btree_set<std::pair<TimePoint, AttemptSlot>> m_claim_expirations;
  // VMs with claims whose condition or charges changed since the last call of
  // Decide().
  std::vector<VmIndex> m_changed_vms;
  std::size_t m_preemption_cursor = 0;
  Reservation m_reservation;
  // Queued gangs, ordered by the start of their wait for a reservation.
  absl::btree_set<std::pair<TimePoint, GangIndex>> m_waiting_gangs;
  double m_active_weight = 0;
  std::int64_t m_running = 0;
  std::uint64_t m_next_sequence = 1;
};

}  // namespace mustardslip
