// CellCore: what ends and progress of runs tell of the speed of their VMs.
#include "cell/cell_core.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kRefreshSpeedsMs = 1'000;
// Runs on a VM are left out for this long after it may be used again: the
// expected duration of a stall.
constexpr std::int64_t kEpisodeMs = 5'000;

// The service is that of the VM: the job's queue may have gone to another pool
// since the run was started.
StepTraits TraitsOf(const VmState& vm, const Job& job, const StepSpec& spec) {
  return {vm.m_description.m_service, job.m_spec.m_queue.m_name,
          spec.m_estimate_ms, spec.m_count, spec.m_gang};
}

// A long-lived task has no end, and one on idle processors is as fast as the
// others leave it.
bool TellsSpeed(const StepSpec& spec) {
  return !spec.m_long_lived && !spec.m_uses_idle_cpu;
}

// An episode may go on unnoticed while no run of the VM can be measured.
bool IsImpaired(const VmState& vm, const CellTime& now) {
  return vm.m_pace != VmPace::kNormal ||
         (vm.m_impaired_until_ms > 0 &&
          now.m_steady_ms < vm.m_impaired_until_ms + kEpisodeMs);
}

}  // namespace

// To be called while the runs are open, and not after a silence of the VM: when
// the runs ended would then not be known.
void CellCore::LearnFromEnds(const VmState& vm, const VmReport& report,
                             const CellTime& now) {
  if (!m_features.m_place_by_speed || report.m_more || IsImpaired(vm, now)) {
    return;
  }
  for (const ReportedEnd& end : report.m_ended) {
    OpenRun* run = m_state.FindRun(end.m_task, end.m_run);
    if (end.m_sequence <= vm.m_last_end || end.m_end != RunEnd::kDone ||
        run == nullptr || run->m_vm != vm.Incarnation() ||
        run->m_speed_settled || run->m_started_vm_ms == 0) {
      continue;
    }
    const Job& job = *m_state.FindJob(end.m_task.m_job);
    const StepSpec& spec = job.m_spec.m_steps[end.m_task.m_step];
    // A later run may have resumed from a checkpoint.
    const bool whole = !spec.m_checkpoint || end.m_run == 1;
    if (!TellsSpeed(spec) || spec.m_gang || !whole) {
      continue;
    }
    run->m_speed_settled = true;
    m_speeds.OnRun(StepOf(end.m_task), TraitsOf(vm, job, spec),
                   vm.Incarnation(),
                   static_cast<double>(report.m_vm_ms - run->m_started_vm_ms),
                   now.m_steady_ms);
  }
}

// To be called once the VM's pace is known.
void CellCore::LearnFromProgress(const VmState& vm, const VmReport& report,
                                 const CellTime& now) {
  if (!m_features.m_place_by_speed) {
    return;
  }
  const bool impaired = IsImpaired(vm, now);
  if (vm.m_pace != VmPace::kNormal) {
    m_speeds.OnImpaired(vm.Incarnation());
  }
  for (const ReportedRun& listed : report.m_running) {
    OpenRun* run = m_state.FindRun(listed.m_task, listed.m_run);
    if (run == nullptr || run->m_vm != vm.Incarnation() ||
        run->m_speed_settled) {
      continue;
    }
    const Job& job = *m_state.FindJob(listed.m_task.m_job);
    const StepSpec& spec = job.m_spec.m_steps[listed.m_task.m_step];
    if (impaired || !TellsSpeed(spec)) {
      run->m_speed_settled = true;
    } else if (const auto rate = run->m_progress.MeanRate()) {
      run->m_speed_settled = true;
      m_speeds.OnRun(StepOf(listed.m_task), TraitsOf(vm, job, spec),
                     vm.Incarnation(), RunProgress::kWholePercent / *rate,
                     now.m_steady_ms);
    }
  }
}

void CellCore::RefreshSpeeds(const CellTime& now) {
  if (!m_features.m_place_by_speed ||
      now.m_steady_ms < m_next_speed_refresh_ms) {
    return;
  }
  m_next_speed_refresh_ms = now.m_steady_ms + kRefreshSpeedsMs;
  for (VmSpeedChange& change : m_speeds.Refresh(now.m_steady_ms)) {
    m_effects.push_back(std::move(change));
  }
}

}  // namespace mustardslip
