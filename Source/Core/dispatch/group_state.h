// State machine of a VM group owner, without I/O.
//
// Inputs are requests from team shard owners, replies from workers and the VM
// list; outputs are commands to workers and reports to team shard owners.
// GroupOwner calls it and executes the commands.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/result.h"
#include "dispatch/messages.h"
#include "fleet/vm_list.h"
#include "fleet/worker_api.h"
#include "placement/placement_core.h"

namespace mustardslip {

struct StartCommand {
  std::string m_vm;
  TaskStart m_start;
};
struct ReleaseCommand {
  std::string m_vm;
  AttemptId m_attempt;
};
struct StopCommand {
  std::string m_vm;
  AttemptId m_attempt;
};
struct CheckpointCommand {
  std::string m_vm;
  AttemptId m_attempt;
};
struct AcknowledgeCommand {
  std::string m_vm;
  std::int64_t m_sequence = 0;
};
using GroupCommand = std::variant<StartCommand, ReleaseCommand, StopCommand,
                                  CheckpointCommand, AcknowledgeCommand>;
using GroupCommands = std::vector<GroupCommand>;

struct GroupStateOptions {
  // Longer than an hour, so that running tasks survive a store outage of that
  // length.
  Milliseconds m_task_lease = std::chrono::minutes(90);
  // A worker rejects a start that arrives later than this after it was issued.
  Milliseconds m_start_window{5'000};
  // How long a VM must be both unlisted and unreachable before it is treated as
  // lost; covers the delay of the VM list.
  Milliseconds m_vm_loss_delay{10'000};
  PlacementOptions m_placement;
};

// A slot of a service task, reserved for one request.
struct SlotLease {
  std::string m_vm;
  AttemptId m_attempt;
};

class GroupState {
 public:
  GroupState(std::string group, Epoch epoch,
             std::map<std::int64_t, Epoch> team_epochs,
             GroupStateOptions options);

  // --- Fleet -----------------------------------------------------------------
  // Sets the configured VMs. A VM removed from the configuration gets no new
  // tasks.
  void SetVms(const std::vector<VmDescription>& vms);
  void SetTeamShare(const std::string& team, double share);
  // Ignores a list that is older than the last one applied.
  GroupCommands SetVmList(const VmList& list, TimePoint now);
  // Processes the worker's reply to the fence, which lists its tasks.
  GroupCommands OnFenced(const std::string& vm, const FenceReply& reply,
                         TimePoint now);
  // Processes task ends and usage reported by the worker. Returns true if the
  // VM must be fenced again: a changed boot id means that its tasks are lost.
  bool OnEvents(const std::string& vm, const WorkerEvents& events,
                TimePoint now);
  void OnUnreachable(const std::string& vm, TimePoint now);
  // Attempts on the VM whose leases must be renewed.
  std::vector<AttemptId> AttemptsToRenew(const std::string& vm) const;
  // Reports attempts as lost that the worker did not know at renewal.
  void OnUnknownToWorker(const std::string& vm,
                         const std::vector<AttemptId>& attempts, TimePoint now);

  // --- Requests from team shard owners ---------------------------------------
  // Errors: kStaleEpoch; kUnavailable with reason "rebuilding" for attempts
  // that may run on a VM whose tasks are not known yet.
  Result<void> Place(const PlaceRequest& request, TimePoint now);
  Result<GroupCommands> StopAttempts(const StopRequest& request, TimePoint now);
  Result<FenceTeamReply> FenceTeam(const FenceTeamRequest& request);
  // Errors: kStaleEpoch, kResourceExhausted with reason "no_free_slot" or
  // "no_such_service".
  Result<SlotLease> AcquireSlot(const ServeRequest& request);
  // Releases the slot; stops idle service tasks if the VM is leaving.
  GroupCommands ReleaseSlot(const SlotLease& lease);

  // --- Placement and starts --------------------------------------------------
  GroupCommands Decide(TimePoint now, std::int64_t unix_ms);
  GroupCommands OnStarted(const AttemptId& attempt, TimePoint now);
  // Precondition: the start definitely had no effect on the worker.
  GroupCommands OnStartFailed(const AttemptId& attempt,
                              const std::string& reason, TimePoint now);
  // The start command to resend when its effect is unknown: same attempt, same
  // VM. Empty if the attempt is no longer starting.
  std::optional<StartCommand> ResendStart(const AttemptId& attempt,
                                          std::int64_t unix_ms) const;

  // --- Reports ---------------------------------------------------------------
  std::vector<std::int64_t> ShardsWithReports() const;
  // The oldest reports for a shard, bounded in number and bytes.
  std::vector<AttemptReport> PeekReports(std::int64_t team_shard) const;
  // Removes the first `count` reports, which the shard's owner acknowledged.
  GroupCommands AcknowledgeReports(std::int64_t team_shard, std::size_t count);

  GroupSummary Summary() const;
  std::int64_t QueuedCount() const { return m_placement.QueueLength(); }
  bool AllVmsKnown() const;
  bool IsRunning(const AttemptId& attempt) const;
  // Sequence number of the last task end read from the VM; 0 for none.
  std::int64_t LastEndSequence(const std::string& vm) const;
  Epoch GroupEpoch() const { return m_epoch; }

 private:
  enum class Phase { kQueued, kStarting, kHeld, kRunning, kEnded };

  // Attempts that start together or not at all.
  struct Gang {
    std::vector<AttemptId> m_members;
    std::size_t m_held = 0;
    bool m_released = false;
    bool m_failed = false;
  };

  struct Attempt {
    AttemptSpec m_spec;
    std::int64_t m_team_shard = 0;
    Phase m_phase = Phase::kQueued;
    std::string m_vm;
    // Empty for a task that is not part of a gang.
    std::string m_gang;
    int m_slots_in_use = 0;
    bool m_stop_requested = false;
    // True while the placement core counts its resources as used.
    bool m_resources_counted = false;
  };

  struct Vm {
    VmDescription m_description;
    bool m_configured = true;
    bool m_tasks_known = false;
    bool m_listed_live = false;
    bool m_listed_leaving = false;
    bool m_was_listed = false;
    std::optional<TimePoint> m_unreachable_since;
    std::optional<TimePoint> m_unlisted_since;
    std::string m_boot_id;
    // Sequence numbers of ends not yet acknowledged by a team shard owner.
    std::set<std::int64_t> m_unacknowledged_ends;
    std::int64_t m_last_end_sequence = 0;
    std::set<AttemptId> m_attempts;
  };

  struct OutgoingReport {
    AttemptReport m_report;
    std::int64_t m_end_sequence = 0;  // 0: nothing to acknowledge.
  };

  Result<void> CheckTeamEpoch(std::int64_t team_shard, Epoch epoch);
  VmCondition ConditionOf(const Vm& vm) const;
  void UpdateCondition(const Vm& vm);
  GroupCommands Apply(const std::vector<Decision>& decisions, TimePoint now,
                      std::int64_t unix_ms);
  void StartAttempt(const StartTask& task, bool hold, std::int64_t unix_ms,
                    GroupCommands& commands);
  TaskStart MakeStart(const Attempt& attempt, std::int64_t unix_ms) const;
  void AdoptTask(Vm& vm, const WorkerTask& task);
  GroupCommands FailGang(const std::string& gang, const std::string& reason,
                         TimePoint now);
  GroupCommands ResolveHeldGangs(TimePoint now);
  GroupCommands StopIdleServices(const Vm& vm);
  void ReportLost(const AttemptId& id, const std::string& reason,
                  TimePoint now);
  void ReportAllLost(Vm& vm, const std::string& reason, TimePoint now);
  // Reports the attempt as not started; cancels its whole gang if it has one.
  void Refuse(const AttemptId& id, const std::string& reason, TimePoint now);
  void RemoveFromIndexes(const AttemptId& id);
  // Removes the record but keeps the id for kRetiredLifetime, so that a delayed
  // Place does not start the attempt again.
  void Retire(const AttemptId& id);
  void ExpireRetired(TimePoint now);
  AttemptReport MakeReport(const Attempt& attempt, AttemptState state) const;
  void QueueReport(const Attempt& attempt, AttemptReport report,
                   std::int64_t end_sequence = 0);
  static AttemptState ReportState(Phase phase);

  const std::string m_group;
  const Epoch m_epoch;
  const GroupStateOptions m_options;
  PlacementCore m_placement;
  // The highest epoch seen of each team shard; never lowered.
  std::map<std::int64_t, Epoch> m_team_epochs;
  std::int64_t m_list_version = -1;
  std::map<std::string, Vm> m_vms;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  std::unordered_map<std::string, Gang> m_gangs;
  // Running attempts of each service, by team and name.
  std::map<std::pair<std::string, std::string>, std::set<AttemptId>> m_services;
  std::map<std::int64_t, std::deque<OutgoingReport>> m_outbox;
  // Retired attempt ids, and the same in the order of retirement.
  std::unordered_set<AttemptId> m_retired;
  std::deque<std::pair<TimePoint, AttemptId>> m_retired_order;
  TimePoint m_last_decision{};
};

}  // namespace mustardslip
