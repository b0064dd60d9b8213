// CellCore: how long a VM may hold its runs, and the records that tell later
// owners so. An owner that a VM does not answer records by when the runs there
// have ended (VmUnreachable). From then on it sends the VM no deadline, neither
// a lease nor a start, until the VM has answered and the record of that
// (VmReachable) is durable. An owner that was superseded cannot write it.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cell/cell_core.h"

namespace mustardslip {
namespace {

// Time between the computed end of a lease and the end of the VM's runs.
constexpr std::int64_t kLeaseExpirySlackMs = 300;
// A call without an answer may be executed this much later.
constexpr std::int64_t kLateCallMs = 5'000;
// How long after its start a VM may execute calls to the incarnation before it.
constexpr std::int64_t kFormerCallsMs = kMaxClockAgeMs + kLateCallMs;
// The times of day of a VM and the owner may differ by a jump of some seconds.
constexpr std::int64_t kClockDifferenceMs = 5'000;

// Real time that a lease of this length may last on a clock that is 2 % slow.
constexpr std::int64_t OnSlowClock(std::int64_t ms) {
  constexpr std::int64_t kSlowClockDivisor = 50;
  return ms + ms / kSlowClockDivisor;
}

// The owner has no answer from the VM, or no address to ask.
bool IsUnreachable(const VmState* vm) {
  return vm->m_first_failed_call_ms != 0 ||
         (!vm->m_fenced && vm->m_description.m_address.empty());
}

// Owner's steady clock: the end of the lease that this owner gave. Requires a
// known clock.
std::int64_t GrantedLeaseEndMs(const VmState& vm) {
  return vm.m_clock.CertainlyAfterMs(vm.m_lease_until_vm_ms +
                                     kLeaseExpirySlackMs);
}

}  // namespace

std::optional<std::int64_t> CellCore::NextLease(VmState& vm,
                                                const CellTime& now) {
  if (!vm.m_fenced || !vm.m_clock.Known() || vm.m_first_failed_call_ms != 0 ||
      vm.IsClockOutdated(now.m_steady_ms) || !vm.MayGetDeadline()) {
    return std::nullopt;
  }
  const std::int64_t length = std::min(kVmLeaseMs, m_bounds.m_max_lease_ms);
  const std::int64_t deadline =
      vm.m_clock.LowerBoundMs(now.m_steady_ms) + length;
  vm.m_lease_until_vm_ms = std::max(vm.m_lease_until_vm_ms, deadline);
  NoteDeadlineCall(vm, now);
  return deadline;
}

void CellCore::NoteDeadlineCall(const VmState& vm, const CellTime& now) {
  m_deadline_calls[vm.Incarnation()] = now.m_steady_ms;
}

// Drops the calls that FormerCallsLeaseMayLast does not count any more.
void CellCore::ForgetDeadlineCalls(const CellTime& now) {
  std::erase_if(m_deadline_calls, [&](const auto& call) {
    return now.m_steady_ms - call.second > FormerCallMs();
  });
}

std::int64_t CellCore::LongestLeaseMs() const {
  return std::max(kVmLeaseMs, m_bounds.m_max_lease_ms);
}

// How long after a call that was meant for its former incarnation a VM may hold
// its runs because of it.
std::int64_t CellCore::FormerCallMs() const {
  return kLateCallMs + OnSlowClock(LongestLeaseMs()) + kLeaseExpirySlackMs;
}

// How long a VM may hold its runs, counted from when it first answers this
// owner and so refuses the calls of earlier ones. Calls with a deadline on the
// clock of a former incarnation may have given it the longest lease, if it was
// young enough when they arrived; its own clock tells nothing of its age.
std::int64_t CellCore::FirstLeaseMs(const VmState& vm, const CellTime& now) {
  const VmIncarnation& life = vm.Incarnation();
  if (m_state.IncarnationsOf(life.m_id).front() != &vm) {
    return LongestLeaseMs();
  }
  if (life.m_born == 0) {
    return kVmLeaseMs;
  }
  const std::int64_t age_ms = now.m_unix_ms - life.m_born;
  return std::clamp(
      kFormerCallsMs + kClockDifferenceMs + LongestLeaseMs() - age_ms,
      kVmLeaseMs, LongestLeaseMs());
}

// Owner's steady clock. For a VM that has not answered this owner, so that
// earlier ones may have called it until they lost the store.
std::int64_t CellCore::EarlierOwnersLeaseEndMs(const VmState& vm) {
  const std::int64_t first_ms = FirstLeaseMs(vm, m_recovered_at);
  // A deadline on the VM's own clock does not move when the call is late.
  const std::int64_t late_ms = first_ms > kVmLeaseMs ? kLateCallMs : 0;
  return m_recovered_at.m_steady_ms + kRenewWithoutStoreMs + late_ms +
         OnSlowClock(first_ms) + kLeaseExpirySlackMs;
}

// Owner's steady clock, 0 for none. For calls of this owner that were meant for
// earlier incarnations of the VM: those underway may still give it the longest
// lease.
std::int64_t CellCore::FormerCallsLeaseEndMs(const VmState& vm) const {
  const VmIncarnation& life = vm.Incarnation();
  std::int64_t end_ms = 0;
  for (auto call = m_deadline_calls.lower_bound({life.m_id, INT64_MIN});
       call != m_deadline_calls.end() && call->first < life; ++call) {
    end_ms = std::max(end_ms, call->second + FormerCallMs());
  }
  return end_ms;
}

// Owner's steady clock: until when a run may be on the VM unless it answers.
std::int64_t CellCore::LeaseEndMs(const VmState& vm) {
  const std::int64_t granted_ms =
      vm.m_clock.Known() ? GrantedLeaseEndMs(vm) : EarlierOwnersLeaseEndMs(vm);
  return std::max(granted_ms, FormerCallsLeaseEndMs(vm));
}

// The owner that wrote a record of the VM knew the same of earlier owners, and
// sent no deadline after it.
bool CellCore::EarlierOwnersLeaseMayLast(const VmState& vm,
                                         const CellTime& now) {
  const bool ended_by_record =
      vm.HasLeaseBound() &&
      now.m_unix_ms > vm.m_runs_ended_by_unix_ms + kClockDifferenceMs;
  return !ended_by_record && now.m_steady_ms <= EarlierOwnersLeaseEndMs(vm);
}

bool CellCore::FormerCallsLeaseMayLast(const VmState& vm,
                                       const CellTime& now) const {
  return now.m_steady_ms <= FormerCallsLeaseEndMs(vm);
}

// False if everything on the VM has certainly ended unless it has answered.
bool CellCore::LeaseMayLast(const VmState& vm, const CellTime& now) {
  const bool granted = vm.m_clock.Known()
                           ? now.m_steady_ms < GrantedLeaseEndMs(vm)
                           : EarlierOwnersLeaseMayLast(vm, now);
  return granted || FormerCallsLeaseMayLast(vm, now);
}

// True if the run's start may have reached a newer incarnation, which has not
// answered yet, and the lease there may last.
bool CellCore::MayRunOnNewerIncarnation(const VmState& vm, const OpenRun& run,
                                        const CellTime& now) {
  if (run.Listed()) {
    return false;
  }
  const bool of_earlier_owner = run.m_start_sent_ms == 0;
  const VmState& newest = *m_state.IncarnationsOf(vm.Incarnation().m_id).back();
  if (&newest == &vm) {
    return !of_earlier_owner && !run.Confirmed() &&
           now.m_steady_ms <= UnknownIncarnationLeaseEndMs(vm);
  }
  return FormerCallsLeaseMayLast(newest, now) ||
         (of_earlier_owner && EarlierOwnersLeaseMayLast(newest, now));
}

void CellCore::RecordUnreachableVms(const CellTime& now) {
  std::vector<VmState*> lives;
  for (auto& [life, vm] : m_state.Vms()) {
    if (!lives.empty() && lives.front()->Incarnation().m_id != life.m_id) {
      RecordUnreachable(lives, now);
      lives.clear();
    }
    lives.push_back(&vm);
  }
  RecordUnreachable(lives, now);
}

// `lives`: all incarnations of one VM, the oldest first. Calls name a VM by its
// id alone, so none of them may be one that gets deadlines. A run may be on the
// incarnation that it was planned on, and on later ones.
void CellCore::RecordUnreachable(const std::vector<VmState*>& lives,
                                 const CellTime& now) {
  if (!std::all_of(lives.begin(), lives.end(), IsUnreachable)) {
    return;
  }
  bool has_runs = false;
  bool unconfirmed = false;
  for (const VmState* vm : lives) {
    has_runs = has_runs || !vm->m_open.empty();
    unconfirmed = unconfirmed || HasUnconfirmedRuns(*vm);
    // A record of an earlier owner stays: this owner's own bound is later.
    if (has_runs && !vm->HasLeaseBound()) {
      const std::int64_t end_ms = std::max(
          LeaseEndMs(*vm), unconfirmed ? UnknownIncarnationLeaseEndMs(*vm) : 0);
      Append(VmUnreachable{vm->Incarnation(),
                           now.m_unix_ms + end_ms - now.m_steady_ms});
    }
  }
}

// True if starts were sent to this incarnation that it has not confirmed: the
// VM may have restarted before, which nobody knows, and have them on the next
// one.
bool CellCore::HasUnconfirmedRuns(const VmState& vm) {
  return std::any_of(vm.m_open.begin(), vm.m_open.end(), [&](const auto& open) {
    const OpenRun* run = m_state.FindRun(open.first.first, open.first.second);
    return run == nullptr || (!run->Confirmed() && !run->m_awaiting_log);
  });
}

// True if starts were sent to this incarnation that none of its lists settled.
bool CellCore::HasUnsettledRuns(const VmState& vm) {
  return std::any_of(vm.m_open.begin(), vm.m_open.end(), [&](const auto& open) {
    const OpenRun* run = m_state.FindRun(open.first.first, open.first.second);
    return run == nullptr ||
           (!run->Listed() && !run->m_awaiting_log && !run->m_left_out_of_list);
  });
}

// Owner's steady clock, 0 for none: until when an incarnation that nobody knows
// may hold runs because of this owner's calls to `vm`.
std::int64_t CellCore::UnknownIncarnationLeaseEndMs(const VmState& vm) const {
  const auto call = m_deadline_calls.find(vm.Incarnation());
  return call == m_deadline_calls.end() ? 0 : call->second + FormerCallMs();
}

// The VM answered as this incarnation.
void CellCore::RecordReachable(VmState& vm) {
  const std::string& id = vm.Incarnation().m_id;
  std::set<VmIncarnation> recorded;
  for (const VmState* life : m_state.IncarnationsOf(id)) {
    if (life->HasLeaseBound()) {
      recorded.insert(life->Incarnation());
    }
  }
  // Without this an answer would end the leases while the store takes no
  // writes. Replaced instead of removed, since effects may wait for the batch.
  for (LogRecord& record : m_open.m_records) {
    const auto* unreachable = std::get_if<VmUnreachable>(&record);
    if (unreachable != nullptr && recorded.erase(unreachable->m_vm) != 0) {
      m_state.FindVm(unreachable->m_vm)->m_runs_ended_by_unix_ms = 0;
      record = VmReachable{vm.Incarnation()};
    }
  }
  if (!recorded.empty()) {
    Append(VmReachable{vm.Incarnation()});
    m_reachable_records[id] = ++m_last_reachable_record;
    Defer(AllowDeadlines{id, m_last_reachable_record});
  }
  vm.m_awaits_reachable = m_reachable_records.count(id) != 0;
}

void CellCore::OnReachableDurable(const AllowDeadlines& allow) {
  const auto newest = m_reachable_records.find(allow.m_vm);
  if (newest == m_reachable_records.end() || newest->second != allow.m_number) {
    return;
  }
  m_reachable_records.erase(newest);
  for (VmState* life : m_state.IncarnationsOf(allow.m_vm)) {
    life->m_awaits_reachable = false;
  }
  m_dirty = true;
}

}  // namespace mustardslip
