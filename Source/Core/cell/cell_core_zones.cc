// CellCore: zones that operators have evacuated. Their VMs get no starts, and
// what runs there continues. IsUsable keeps them out of each scheduling pass.
#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "cell/cell_core.h"
#include "cell/pool_capacity.h"

namespace mustardslip {

void CellCore::OnZonesListed() {
  m_zones_known = true;
  m_dirty = true;
}

void CellCore::OnZoneEvacuated(const std::string& zone, bool evacuated) {
  if (evacuated) {
    m_evacuated_zones.insert(zone);
  } else {
    m_evacuated_zones.erase(zone);
  }
  for (auto& [life, vm] : m_state.Vms()) {
    if (vm.m_description.m_zone == zone) {
      vm.m_evacuated = evacuated;
    }
  }
  m_dirty = true;
}

ZoneUse CellCore::UseOfZone(const std::string& zone) const {
  ZoneUse use;
  for (const auto& [life, vm] : m_state.Vms()) {
    if (vm.m_description.m_zone == zone) {
      use.m_known = true;
      use.m_vms += vm.m_listed ? 1 : 0;
      use.m_runs += vm.m_open.size();
    }
  }
  return use;
}

std::size_t CellCore::EvacuatedVms() const {
  const auto& vms = m_state.Vms();
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [](const auto& vm) {
        return vm.second.m_listed && vm.second.m_evacuated;
      }));
}

// The VM list may be read again at any time. An entry that was read before
// does not make the VM cold anew.
void CellCore::SetDescription(VmState& vm, const VmDescription& description,
                              const CellTime& now) const {
  if (description.m_cold_left_ms != vm.m_description.m_cold_left_ms) {
    vm.m_cold_until_ms = now.m_steady_ms + description.m_cold_left_ms;
  }
  vm.m_description = description;
  vm.m_evacuated = m_evacuated_zones.count(description.m_zone) != 0;
}

// Marks the planned runs of gangs with a member in an evacuated zone as
// aborted before the first start of the batch is sent, so that no member of
// them starts. All members of a gang are planned in one batch.
void CellCore::AbortEvacuatedGangs(const Batch& batch) {
  if (m_evacuated_zones.empty()) {
    return;
  }
  for (const DeferredEffect& effect : batch.m_deferred) {
    const auto* start = std::get_if<PlannedStart>(&effect);
    if (start == nullptr) {
      continue;
    }
    const Placement& placement = start->m_placement;
    const Job* job = m_state.FindJob(placement.m_task.m_job);
    const VmState* vm = m_state.FindVm(placement.m_vm);
    StepState* step = m_state.FindStep(placement.m_task);
    if (job != nullptr && step != nullptr && vm != nullptr && vm->m_evacuated &&
        job->m_spec.m_steps[placement.m_task.m_step].m_gang) {
      step->m_last_aborted_run =
          std::max(step->m_last_aborted_run, placement.m_run);
    }
  }
}

// A move stops all members of a gang. Those in an evacuated zone cannot start
// there again: false if other VMs have no room for them, and for the member
// that is to leave `vm`.
bool CellCore::GangFitsOutsideZones(const VmState& vm, const Job& job,
                                    const StepSpec& spec, const StepState& step,
                                    std::int64_t now_ms) const {
  std::map<VmIncarnation, std::int64_t> members;
  for (const TaskState& task : step.m_tasks) {
    for (const OpenRun& run : task.m_open) {
      ++members[run.m_vm];
    }
  }
  std::int64_t to_place = 0;
  for (const auto& [life, count] : members) {
    const auto host = m_state.Vms().find(life);
    const bool evacuated =
        host != m_state.Vms().end() && host->second.m_evacuated;
    to_place += evacuated ? count : 0;
  }
  if (to_place == 0) {
    return true;
  }
  to_place += vm.m_evacuated ? 0 : members[vm.Incarnation()];
  for (const auto& [life, other] : m_state.Vms()) {
    if (!MayMoveTo(other, vm, job, spec, step, now_ms)) {
      continue;
    }
    std::int64_t fit =
        std::min<std::int64_t>(FitCount(spec.Charge(), other.Free()), to_place);
    if (spec.m_max_per_vm > 0) {
      const auto there = members.find(life);
      const std::int64_t used = there == members.end() ? 0 : there->second;
      fit = std::clamp<std::int64_t>(spec.m_max_per_vm - used, 0, fit);
    }
    to_place -= fit;
  }
  return to_place <= 0;
}

}  // namespace mustardslip
