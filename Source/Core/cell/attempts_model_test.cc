// Model test of failures: random histories of a cell with changes of the limit
// of attempts, takeovers, crashing VMs and VMs missing from the VM list.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

constexpr int kVms = 4;
constexpr int kMaxJobs = 10;
// A task may be given up once this many VMs have crashed under it.
constexpr std::size_t kCrashesToGiveUp = 2;

// Runs a cell and keeps, apart from its code, which runs really failed, and
// under which a VM really crashed.
class AttemptsModel {
 public:
  AttemptsModel() {
    for (int i = 0; i < kVms; ++i) {
      m_cell.AddVm(VmName(i), {64'000, 128'000, 0});
    }
    Configure();
    m_cell.Run(100);
  }

  void RunRandomEvent() {
    const std::string vm = VmName(*rc::gen::inRange(0, kVms));
    switch (*rc::gen::inRange(0, 14)) {
      case 0:
      case 1:
        SubmitRandomJob();
        break;
      case 2:
        Configure();
        break;
      case 3:
        m_cell.TakeOver();
        break;
      case 4:
        m_cell.m_log = m_cell.Core().State().Snapshot();
        m_cell.TakeOver();
        break;
      case 5:
        Crash(vm);
        break;
      case 6:
        m_cell.Unlist(vm);
        break;
      case 7:
        m_cell.List(vm);
        break;
      case 8:
        m_cell.Vm(vm).m_reachable = !m_cell.Vm(vm).m_reachable;
        m_unheard_ends.erase(vm);
        break;
      default:
        EndRandomRuns(vm);
        break;
    }
    m_cell.Run(*rc::gen::element(50, 150, 400));
    Check();
  }

 private:
  static std::string VmName(int number) {
    return "vm-" + std::to_string(number);
  }

  void Configure() {
    m_limit = *rc::gen::inRange(1, 4);
    m_limits.push_back(m_limit);
    QueueRules queue = m_cell.Queue();
    queue.m_max_attempts = m_limit;
    m_cell.Configure(++m_version, {queue});
  }

  // The VM is back at once, without the runs that it had. Those that ended
  // while nobody could reach it were there as far as an owner can know.
  void Crash(const std::string& name) {
    const SimulatedVm& vm = m_cell.Vm(name);
    std::vector<SimulatedVm::Running> crashed = m_unheard_ends[name];
    crashed.insert(crashed.end(), vm.m_running.begin(), vm.m_running.end());
    for (const SimulatedVm::Running& run : crashed) {
      m_crashed_runs[FailingUnit(run.m_task)].insert(run.m_run);
    }
    m_unheard_ends.erase(name);
    m_cell.Restart(name, vm.m_description.m_incarnation.m_born + 1);
  }

  // With the limit of any earlier configuration.
  void SubmitRandomJob() {
    if (m_jobs == kMaxJobs) {
      return;
    }
    StepSpec step = CellHarness::Step(
        static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)), 8'000);
    step.m_gang = *rc::gen::inRange(0, 3) == 0;
    QueueRules queue = m_cell.Queue();
    queue.m_max_attempts = *rc::gen::elementOf(m_limits);
    m_cell.Submit(m_cell.Job(++m_jobs, {step}, queue));
    m_gang[CellHarness::Id(m_jobs)] = step.m_gang;
  }

  void EndRandomRuns(const std::string& name) {
    SimulatedVm& vm = m_cell.Vm(name);
    const std::vector<SimulatedVm::Running> running = vm.m_running;
    for (const SimulatedVm::Running& run : running) {
      const RunEnd how =
          *rc::gen::element(RunEnd::kFailed, RunEnd::kFailed, RunEnd::kFailed,
                            RunEnd::kStopped, RunEnd::kLeaseExpired,
                            RunEnd::kGangMemberEnded, RunEnd::kGangIncomplete);
      CellHarness::EndRun(vm, run, how);
      if (!vm.m_reachable) {
        m_unheard_ends[name].push_back(run);
      }
      if (how == RunEnd::kFailed) {
        m_failed_runs[FailingUnit(run.m_task)].insert(run.m_run);
      }
    }
  }

  // The task, or the first member for a gang, which fails as one.
  TaskRef FailingUnit(TaskRef task) const {
    if (m_gang.at(task.m_job)) {
      task.m_index = 0;
    }
    return task;
  }

  void Check() {
    for (; m_checked < m_cell.m_failures.size(); ++m_checked) {
      const JobFailure& failure = m_cell.m_failures[m_checked];
      const TaskRef unit = FailingUnit(failure.m_task);
      const std::set<std::uint32_t>& really =
          failure.m_crashes_vms ? m_crashed_runs[unit] : m_failed_runs[unit];
      RC_ASSERT(failure.m_failures == failure.m_runs.size());
      for (const std::uint32_t run : failure.m_runs) {
        RC_ASSERT(really.count(run) == 1U);
      }
      if (failure.m_crashes_vms) {
        RC_ASSERT(failure.m_runs.size() >= kCrashesToGiveUp);
      } else {
        RC_ASSERT(failure.m_max_attempts == m_limit);
        RC_ASSERT(failure.m_failures >= static_cast<std::uint32_t>(m_limit));
      }
      RC_ASSERT(m_failed_jobs.insert(failure.m_task.m_job).second);
    }
    for (int job = 1; job <= m_jobs; ++job) {
      const bool shown = m_cell.Lookup(job).m_phase == JobPhase::kFailed;
      RC_ASSERT(shown == (m_failed_jobs.count(CellHarness::Id(job)) == 1U));
    }
  }

  CellHarness m_cell;
  std::int64_t m_version = 0;
  // The limit in force, and all that ever were.
  std::int64_t m_limit = 0;
  std::vector<std::int64_t> m_limits;
  int m_jobs = 0;
  std::map<std::string, bool> m_gang;
  // Failed runs as the VMs know them.
  std::map<TaskRef, std::set<std::uint32_t>> m_failed_runs;
  // Runs that ended on a VM while it was cut off, by its name.
  std::map<std::string, std::vector<SimulatedVm::Running>> m_unheard_ends;
  // Runs that a VM had when it crashed.
  std::map<TaskRef, std::set<std::uint32_t>> m_crashed_runs;
  // Jobs that the owners reported as failed, each once.
  std::set<std::string> m_failed_jobs;
  std::size_t m_checked = 0;
};

// Fails if a job is shown as failed without that many failed runs of one task
// or gang as the configuration in force allows, or two under which VMs crashed,
// if an end that is no failure or a failure that is reported again counts, if a
// run counts under which no VM crashed, if a failure is not reported for the
// log, or if a failed job changes its state at a later owner.
RC_GTEST_PROP(AttemptsModelTest, JobsFailOnlyByTheLimitInForce, ()) {
  AttemptsModel model;
  const int events = *rc::gen::inRange(5, 60);
  for (int i = 0; i < events; ++i) {
    model.RunRandomEvent();
  }
}

}  // namespace
}  // namespace mustardslip
