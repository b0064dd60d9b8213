// CellCore: what is learned of contention between the tasks on a VM.
#include "cell/cell_core.h"

namespace mustardslip {
namespace {

// Gang members advance with the members on other VMs, and a task that is being
// stopped does not work on.
SampleKind KindOf(const StepSpec& spec, const OpenRun* run) {
  if (run == nullptr || run->m_phase == RunPhase::kStopping) {
    return SampleKind::kNone;
  }
  if (spec.m_long_lived) {
    return spec.m_target_latency_ms > 0 ? SampleKind::kLatency
                                        : SampleKind::kNone;
  }
  return spec.m_gang ? SampleKind::kNone : SampleKind::kProgress;
}

// Null if the step is not known.
const StepSpec* FindSpec(const CellState& state, const TaskRef& task) {
  const Job* job = state.FindJob(task.m_job);
  return job != nullptr && task.m_step < job->m_spec.m_steps.size()
             ? &job->m_spec.m_steps[task.m_step]
             : nullptr;
}

}  // namespace

// Requires that the report's ends have not been processed yet.
void CellCore::ObserveContention(const VmState& vm, const VmReport& report,
                                 const CellTime& now) {
  if (!m_contention) {
    return;
  }
  VmObservation observation;
  observation.m_vm = vm.Incarnation();
  observation.m_vm_ms = report.m_vm_ms;
  observation.m_speed = m_speeds.Of(vm.Incarnation());
  for (const ReportedRun& listed : report.m_running) {
    const StepSpec* spec = FindSpec(m_state, listed.m_task);
    if (spec == nullptr) {
      observation.m_has_unknown_runs = true;
      continue;
    }
    observation.m_running.push_back(
        {{listed.m_task, listed.m_run},
         spec->m_image,
         KindOf(*spec, m_state.FindRun(listed.m_task, listed.m_run)),
         spec->m_estimate_ms,
         listed.m_percent,
         listed.m_usage_or_latency});
  }
  for (const ReportedEnd& end : report.m_ended) {
    const StepSpec* spec = FindSpec(m_state, end.m_task);
    if (spec != nullptr && end.m_sequence > vm.m_last_end) {
      observation.m_ended.push_back({{end.m_task, end.m_run}, spec->m_image});
    }
  }
  m_contention->Observe(observation, now.m_steady_ms);
}

void CellCore::RefreshContention(const CellTime& now) {
  if (!m_contention) {
    return;
  }
  m_contention->Refresh(now.m_steady_ms);
  for (ContentionChange& change : m_contention->TakeChanges()) {
    m_effects.push_back(std::move(change));
  }
}

}  // namespace mustardslip
