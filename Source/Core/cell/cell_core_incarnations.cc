// CellCore: which incarnations of VMs exist, and what becomes of their runs
// when they or their leases end. How long a lease may last is in
// cell_core_lease_bounds.cc.
#include <algorithm>

#include "cell/cell_core.h"

namespace mustardslip {
namespace {

// How long ends of a VM that is not listed any more are waited for. Ends that
// it reports later are processed again, each failure counted once.
constexpr std::int64_t kAwaitUnlistedVmMs = 60'000;

}  // namespace

void CellCore::OnVmListed(const VmDescription& description,
                          const CellTime& now) {
  VmState& vm = m_state.FindOrCreateVm(description.m_incarnation);
  SetDescription(vm, description, now);
  // The list names one incarnation of a VM. Runs of others end only when the
  // new one reports: the entry may be another writer's, and a start may have
  // reached the new incarnation before it was listed.
  bool superseded = false;
  for (VmState* life : m_state.IncarnationsOf(description.m_incarnation.m_id)) {
    life->m_listed = false;
    superseded = superseded || (life->m_fenced && life->Incarnation().m_born >
                                                      vm.Incarnation().m_born);
  }
  vm.m_listed = !superseded;
  m_dirty = true;
}

void CellCore::OnVmUnlisted(const std::string& id, const CellTime& now) {
  for (VmState* life : m_state.IncarnationsOf(id)) {
    life->m_listed = false;
    if (life->HasCrashed()) {
      ConfirmLostSuspects(life->Incarnation(), now);
    }
  }
}

void CellCore::OnOtherIncarnation(const VmIncarnation& asked,
                                  const VmReport& report, const CellTime& now) {
  OnVmCallFailed(asked, VmCallFailure::kNoAnswer, now);
  if (report.m_vm.m_born > asked.m_born) {
    // Unlisted, and so without starts, until its own entry gives its capacity.
    VmState& vm = m_state.FindOrCreateVm(report.m_vm);
    const VmState* earlier = m_state.FindVm(asked);
    if (vm.m_description.m_address.empty() && earlier != nullptr) {
      vm.m_description.m_address = earlier->m_description.m_address;
    }
  }
  // An older one than asked: the asked one is not there, whatever the list
  // says.
  OnVmReport(report, now);
}

// The VM answered as this incarnation, so the earlier ones are gone. Runs that
// they listed are lost. Other runs may be on this one: calls name a VM by its
// id alone.
void CellCore::EndEarlierIncarnations(const VmState& vm, const CellTime& now) {
  ConfirmCrashes(vm, now);
  for (VmState* life : m_state.IncarnationsOf(vm.Incarnation().m_id)) {
    if (life->Incarnation().m_born >= vm.Incarnation().m_born) {
      continue;
    }
    life->m_listed = false;
    // Its ends went with it.
    life->m_acknowledged_end = life->m_last_end;
    for (const RunKey& key : life->OpenRuns()) {
      const OpenRun* run = m_state.FindRun(key.first, key.second);
      if (run == nullptr || run->m_awaiting_log || run->Listed()) {
        CloseRun(key.first, key.second, life->Incarnation(), RunEnd::kLost, "",
                 0, now);
      } else {
        CarryOver(key, *life, vm);
      }
    }
  }
}

// Charges the run to `to`. The first record keeps the job active while the
// second one closes the run on `from`.
void CellCore::CarryOver(const RunKey& key, const VmState& from,
                         const VmState& to) {
  const auto& [task, number] = key;
  const OpenRun before = *m_state.FindRun(task, number);
  Append(RunPlanned{task, number, to.Incarnation()});
  Append(RunEnded{task, number, RunEnd::kNotStarted, "", from.Incarnation(), 0,
                  0});
  OpenRun& run = *m_state.FindRun(task, number);
  run.m_carried_over = true;
  run.m_start_sent_ms = before.m_start_sent_ms;
  // The fence of this owner already keeps out the starts of earlier ones.
  run.m_listed_after_vm_ms =
      before.m_start_sent_ms == 0 ? 0 : OpenRun::kUnknownVmTime;
  ++m_counters.m_carried_over;
}

void CellCore::OnVmCallFailed(const VmIncarnation& life, VmCallFailure failure,
                              const CellTime& now) {
  VmState* vm = m_state.FindVm(life);
  if (vm == nullptr) {
    return;
  }
  vm->m_poll_due_ms = 0;
  if (vm->m_first_failed_call_ms == 0) {
    vm->m_first_failed_call_ms = std::max<std::int64_t>(1, now.m_steady_ms);
    SuspectNewRuns(*vm, now);
  }
  vm->m_seems_gone = vm->m_seems_gone || failure == VmCallFailure::kGone;
}

// True if nothing has to be known of the VM any more. Ends that it has not
// discarded are waited for: it may only be cut off from the VM list.
bool CellCore::IsForgettable(VmState& vm, const CellTime& now) {
  if (vm.m_listed || !vm.m_open.empty() || vm.HasLeaseBound()) {
    vm.m_unused_since_ms = 0;
    return false;
  }
  if (vm.m_unused_since_ms == 0) {
    vm.m_unused_since_ms = std::max<std::int64_t>(1, now.m_steady_ms);
  }
  return vm.m_last_end == vm.m_durable_end &&
         (!vm.HasUnacknowledgedEnds() ||
          now.m_steady_ms - vm.m_unused_since_ms > kAwaitUnlistedVmMs);
}

// Marks the runs of VMs whose lease has certainly expired as lost, and drops
// unlisted VMs without runs.
void CellCore::ExpireVmLeases(const CellTime& now) {
  std::vector<VmIncarnation> unused;
  for (auto& [life, vm] : m_state.Vms()) {
    if (IsForgettable(vm, now)) {
      unused.push_back(life);
    }
    if (vm.m_open.empty()) {
      continue;
    }
    const bool unreachable =
        vm.m_first_failed_call_ms != 0 || !vm.m_listed || !vm.m_fenced;
    if (!unreachable) {
      continue;
    }
    if (!LeaseMayLast(vm, now)) {
      MarkRunsLost(vm, now);
    }
  }
  for (const VmIncarnation& life : unused) {
    m_state.Vms().erase(life);
  }
}

void CellCore::MarkRunsLost(VmState& vm, const CellTime& now) {
  if (vm.HasCrashed()) {
    ConfirmCrashOf(vm, now);
  }
  for (const RunKey& key : vm.OpenRuns()) {
    const OpenRun* run = m_state.FindRun(key.first, key.second);
    if (run != nullptr && MayRunOnNewerIncarnation(vm, *run, now)) {
      continue;
    }
    if (run != nullptr) {
      RememberLostSuspect(vm, key, *run);
    }
    CloseRun(key.first, key.second, vm.Incarnation(), RunEnd::kLost, "", 0,
             now);
  }
}

}  // namespace mustardslip
