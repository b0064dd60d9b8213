// CellCore: tells tasks that crash the VMs which start them from tasks that
// only shared a VM with one, and gives the jobs of the former up.
//
// The suspects of a crash are the runs that the VM was told to start just
// before it fell silent; one that the VM did not confirm may not have arrived,
// and proves less. A suspect's next start is kept apart from others
// (Scheduler), so that a further crash has one suspect. The VM has crashed if a
// newer incarnation of it answers, or if nobody listens at its address any more
// (or another VM) and it has left the VM list when its lease has expired. One
// that answers again as it was, or never, was cut off. Suspicions and crashes
// are log records: a new owner knows them, and a run counts once.
#include <set>
#include <tuple>
#include <utility>

#include "cell/cell_core.h"
#include "cell/crash_timing.h"

namespace mustardslip {
namespace {

// The crash that the suspicion of the run becomes.
CrashSuspicion CrashOf(const RunKey& key, const OpenRun& run) {
  return {key.first, key.second, run.m_suspicion == OpenRun::Suspicion::kAlone,
          true};
}

}  // namespace

// The VM fell silent: notes which runs it was just told to start.
void CellCore::SuspectNewRuns(const VmState& vm, const CellTime& now) {
  // A VM that leaves falls silent as planned.
  if (vm.m_description.m_draining) {
    return;
  }
  std::vector<RunKey> suspects;
  // Members of a gang are one suspect.
  std::set<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>>
      units;
  for (const auto& [key, charge] : vm.m_open) {
    const OpenRun* run = m_state.FindRun(key.first, key.second);
    if (run == nullptr || run->m_start_sent_ms == 0 ||
        now.m_steady_ms - run->m_start_sent_ms > kCrashWindowMs) {
      continue;
    }
    const TaskRef& task = key.first;
    const bool gang =
        m_state.FindJob(task.m_job)->m_spec.m_steps[task.m_step].m_gang;
    units.emplace(task.m_job, task.m_occurrence, task.m_step,
                  gang ? 0 : task.m_index);
    suspects.push_back(key);
  }
  for (const auto& [task, number] : suspects) {
    const bool began =
        m_state.FindRun(task, number)->m_phase != RunPhase::kPlanned;
    Append(CrashSuspicion{task, number, began && units.size() == 1, false});
  }
}

// The VM crashed under its suspects.
void CellCore::ConfirmCrashOf(const VmState& vm, const CellTime& now) {
  std::vector<CrashSuspicion> crashes;
  for (const auto& [key, charge] : vm.m_open) {
    const OpenRun* run = m_state.FindRun(key.first, key.second);
    if (run != nullptr && run->m_suspicion != OpenRun::Suspicion::kNone) {
      crashes.push_back(CrashOf(key, *run));
    }
  }
  Confirm(crashes, now);
}

// `newer`, an incarnation of the VM, has answered: the earlier ones crashed.
void CellCore::ConfirmCrashes(const VmState& newer, const CellTime& now) {
  const VmIncarnation& life = newer.Incarnation();
  for (const VmState* earlier : m_state.IncarnationsOf(life.m_id)) {
    if (earlier->Incarnation().m_born < life.m_born) {
      ConfirmCrashOf(*earlier, now);
    }
  }
  auto lost = m_lost_suspects.lower_bound({life.m_id, INT64_MIN});
  while (lost != m_lost_suspects.end() && lost->first < life) {
    const VmIncarnation earlier = lost->first;
    ++lost;
    ConfirmLostSuspects(earlier, now);
  }
}

void CellCore::ConfirmLostSuspects(const VmIncarnation& life,
                                   const CellTime& now) {
  if (const auto lost = m_lost_suspects.extract(life)) {
    Confirm(lost.mapped(), now);
  }
}

void CellCore::Confirm(const std::vector<CrashSuspicion>& crashes,
                       const CellTime& now) {
  for (const CrashSuspicion& crash : crashes) {
    Append(crash);
    GiveUpIfItCrashesVms(crash.m_task, now);
  }
}

// A run is closed when its VM's lease has expired. Whether the VM crashed may
// be known later.
void CellCore::RememberLostSuspect(const VmState& vm, const RunKey& key,
                                   const OpenRun& run) {
  if (run.m_suspicion != OpenRun::Suspicion::kNone) {
    m_lost_suspects[vm.Incarnation()].push_back(CrashOf(key, run));
  }
}

// The VM answers as it was: it was cut off or slow. A suspicion that a later
// owner finds in the log ends with the VM's first answer to it.
void CellCore::ClearSuspects(const VmState& vm) {
  m_lost_suspects.erase(vm.Incarnation());
  for (const auto& [key, charge] : vm.m_open) {
    if (OpenRun* run = m_state.FindRun(key.first, key.second)) {
      run->m_suspicion = OpenRun::Suspicion::kNone;
    }
  }
}

// A start is planned on the VM or sent to it: a suspect's keeps others away
// until a crash would have been noticed.
void CellCore::NoteStart(const Placement& placement, const CellTime& now) {
  VmState& vm = *m_state.FindVm(placement.m_vm);
  vm.m_last_start_ms = now.m_steady_ms;
  const StepSpec& spec = m_state.FindJob(placement.m_task.m_job)
                             ->m_spec.m_steps[placement.m_task.m_step];
  if (m_state.FindStep(placement.m_task)
          ->IsSuspect(spec, placement.m_task.m_index)) {
    vm.m_probation_until_ms = now.m_steady_ms + kQuietAroundSuspectMs;
  }
}

void CellCore::GiveUpIfItCrashesVms(const TaskRef& task, const CellTime& now) {
  const Job* job = m_state.FindJob(task.m_job);
  const StepState* step = m_state.FindStep(task);
  if (job == nullptr || step == nullptr || job->Ended() || step->Done()) {
    return;
  }
  const CrashedRuns& crashes =
      step->CrashesOf(job->m_spec.m_steps[task.m_step], task.m_index);
  if (!crashes.ShowTheCause()) {
    return;
  }
  JobFailure failure;
  failure.m_task = task;
  failure.m_runs = crashes.m_all.Runs();
  failure.m_failures = crashes.m_all.Count();
  failure.m_crashes_vms = true;
  FailJob(*job, std::move(failure), now);
  Defer(StopJob{task.m_job});
}

}  // namespace mustardslip
