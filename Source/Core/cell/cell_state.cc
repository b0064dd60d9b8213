// Applies log records to the state of a cell.
#include "cell/cell_state.h"

#include <algorithm>

namespace mustardslip {
namespace {

// Requires that the job has ended.
JobResult ResultOf(const Job& job) {
  if (job.m_cancelled) {
    return JobResult::kCancelled;
  }
  return job.m_failed ? JobResult::kFailed : JobResult::kComplete;
}

void AppendFailures(const TaskRef& task, const FailedRuns& failures,
                    std::vector<LogRecord>& records) {
  const std::vector<std::uint32_t>& runs = failures.Runs();
  auto count = static_cast<std::uint32_t>(failures.Count() - runs.size());
  for (const std::uint32_t run : runs) {
    records.push_back(FailedRunSnapshot{task, ++count, run});
  }
}

void AppendCrashes(const TaskRef& task, const CrashedRuns& crashes,
                   std::vector<LogRecord>& records) {
  for (const std::uint32_t run : crashes.m_all.Runs()) {
    records.push_back(
        CrashSuspicion{task, run, crashes.m_alone.Has(run), true});
  }
}

}  // namespace

bool CellState::operator==(const CellState& other) const {
  const auto same_job = [](const auto& left, const auto& right) {
    const auto summary = SummaryOf(*left.second);
    return left.first == right.first && summary == SummaryOf(*right.second) &&
           (summary || *left.second == *right.second);
  };
  const auto same_id = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  const std::vector<const VmState*> vms = VmsInLog();
  const std::vector<const VmState*> other_vms = other.VmsInLog();
  return m_rules_version == other.m_rules_version &&
         m_jobs.size() == other.m_jobs.size() &&
         std::all_of(m_jobs.begin(), m_jobs.end(),
                     [&](const auto& entry) {
                       const auto found = other.m_jobs.find(entry.first);
                       return found != other.m_jobs.end() &&
                              same_job(entry, *found);
                     }) &&
         std::equal(m_active.begin(), m_active.end(), other.m_active.begin(),
                    other.m_active.end(), same_id) &&
         std::equal(vms.begin(), vms.end(), other_vms.begin(), other_vms.end(),
                    [](const VmState* left, const VmState* right) {
                      return *left == *right;
                    }) &&
         m_team_usage == other.m_team_usage;
}

void CellState::Apply(const LogRecord& record) {
  std::visit([this](const auto& one) { ApplyOne(one); }, record);
}

Job* CellState::FindJob(const std::string& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

const Job* CellState::FindJob(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

VmState& CellState::FindOrCreateVm(const VmIncarnation& life) {
  const auto [found, created] = m_vms.try_emplace(life);
  if (created) {
    found->second.m_description.m_incarnation = life;
  }
  return found->second;
}

VmState* CellState::FindVm(const VmIncarnation& life) {
  const auto found = m_vms.find(life);
  return found == m_vms.end() ? nullptr : &found->second;
}

std::vector<VmState*> CellState::IncarnationsOf(const std::string& id) {
  std::vector<VmState*> incarnations;
  for (auto vm = m_vms.lower_bound(VmIncarnation{id, INT64_MIN});
       vm != m_vms.end() && vm->first.m_id == id; ++vm) {
    incarnations.push_back(&vm->second);
  }
  return incarnations;
}

VmState* CellState::FindListedVm(const std::string& id) {
  VmState* listed = nullptr;
  for (VmState* life : IncarnationsOf(id)) {
    listed = life->m_listed ? life : listed;
  }
  return listed;
}

Usage CellState::TeamUsage(const std::string& team) const {
  const auto found = m_team_usage.find(team);
  return found == m_team_usage.end() ? Usage{} : found->second;
}

StepState* CellState::FindStep(const TaskRef& task) {
  Job* job = FindJob(task.m_job);
  if (job == nullptr || task.m_step >= job->m_spec.m_steps.size()) {
    return nullptr;
  }
  const auto occurrence = job->m_occurrences.find(task.m_occurrence);
  if (occurrence == job->m_occurrences.end()) {
    return nullptr;
  }
  return &occurrence->second.m_steps[task.m_step];
}

TaskState* CellState::FindTask(const TaskRef& task) {
  StepState* step = FindStep(task);
  if (step == nullptr || task.m_index >= step->m_tasks.size()) {
    return nullptr;
  }
  return &step->m_tasks[task.m_index];
}

OpenRun* CellState::FindRun(const TaskRef& task, std::uint32_t number) {
  TaskState* state = FindTask(task);
  if (state == nullptr) {
    return nullptr;
  }
  for (OpenRun& run : state->m_open) {
    if (run.m_number == number) {
      return &run;
    }
  }
  return nullptr;
}

std::optional<CellState::TaskContext> CellState::ResolveTask(
    const TaskRef& task) {
  Job* job = FindJob(task.m_job);
  if (job == nullptr || task.m_step >= job->m_spec.m_steps.size()) {
    return std::nullopt;
  }
  Occurrence& occurrence = job->OccurrenceAt(task.m_occurrence);
  StepState& step = occurrence.m_steps[task.m_step];
  if (task.m_index >= step.m_tasks.size()) {
    return std::nullopt;
  }
  return TaskContext{*job, occurrence, step, job->m_spec.m_steps[task.m_step],
                     step.m_tasks[task.m_index]};
}

void CellState::ApplyOne(const JobAccepted& record) {
  const auto [found, created] = m_jobs.try_emplace(record.m_spec.m_id);
  if (!created) {
    return;
  }
  found->second = std::make_unique<Job>(MakeJob(record));
  m_active[found->first] = found->second.get();
  m_changed.push_back(found->first);
}

void CellState::ApplyOne(const JobCancelled& record) {
  Job* job = FindJob(record.m_job);
  if (job == nullptr || job->Ended()) {
    return;
  }
  job->m_cancelled = true;
  job->m_ended_unix_ms = record.m_unix_ms;
  m_changed.push_back(record.m_job);
  UpdateActive(record.m_job, *job);
}

void CellState::ApplyOne(const RunPlanned& record) {
  const auto place = ResolveTask(record.m_task);
  if (!place) {
    return;
  }
  auto& [job, occurrence, step, spec, task] = *place;
  OpenRun run;
  run.m_number = record.m_run;
  run.m_vm = record.m_vm;
  task.m_open.push_back(run);
  task.m_last_run = std::max(task.m_last_run, record.m_run);
  step.m_last_run = std::max(step.m_last_run, record.m_run);
  ++step.m_open;
  ++job.m_open_runs;
  job.m_started = true;

  FindOrCreateVm(record.m_vm)
      .AddRun({record.m_task, record.m_run},
              {spec.Charge(), spec.m_long_lived, spec.m_image});
  m_team_usage[job.m_spec.m_team].Add({spec.m_resources, spec.m_long_lived});
  m_changed.push_back(record.m_task.m_job);
  // In a snapshot the open runs of an ended job follow its end.
  UpdateActive(record.m_task.m_job, job);
}

void CellState::ApplyOne(const RunEnded& record) {
  VmState& vm = FindOrCreateVm(record.m_vm);
  vm.m_last_end = std::max(vm.m_last_end, record.m_sequence);
  if (vm.RemoveRun({record.m_task, record.m_run}) && vm.m_open.empty()) {
    DropUnusedLeaseBounds(record.m_vm.m_id);
  }
  Job* job = FindJob(record.m_task.m_job);
  if (job == nullptr || FindTask(record.m_task) == nullptr) {
    return;
  }
  // Only an end that the VM reported shows that the run began.
  job->m_confirmed = job->m_confirmed || record.m_sequence > 0;
  CloseRun(*job, record);
  CountEnd(*job, record);
  m_changed.push_back(record.m_task.m_job);
  UpdateActive(record.m_task.m_job, *job);
}

void CellState::CloseRun(Job& job, const RunEnded& record) {
  StepState& step = *FindStep(record.m_task);
  TaskState& task = step.m_tasks[record.m_task.m_index];
  const auto run = std::find_if(
      task.m_open.begin(), task.m_open.end(), [&](const OpenRun& open) {
        return open.m_number == record.m_run && open.m_vm == record.m_vm;
      });
  if (run == task.m_open.end()) {
    return;
  }
  task.m_open.erase(run);
  --step.m_open;
  --job.m_open_runs;
  const StepSpec& spec = job.m_spec.m_steps[record.m_task.m_step];
  Usage& usage = m_team_usage[job.m_spec.m_team];
  usage.Remove({spec.m_resources, spec.m_long_lived});
  if (usage == Usage{}) {
    m_team_usage.erase(job.m_spec.m_team);
  }
}

void CellState::CountEnd(Job& job, const RunEnded& record) {
  Occurrence& occurrence = job.m_occurrences.at(record.m_task.m_occurrence);
  StepState& step = occurrence.m_steps[record.m_task.m_step];
  const StepSpec& spec = job.m_spec.m_steps[record.m_task.m_step];
  TaskState& task = step.m_tasks[record.m_task.m_index];
  // An end that is reported again must not replace a newer run's checkpoint.
  if (!record.m_checkpoint.empty() &&
      (task.m_checkpoint.empty() || record.m_run == task.m_last_run)) {
    task.m_checkpoint = record.m_checkpoint;
  }
  if (job.Ended() || spec.m_long_lived) {
    return;
  }
  if (record.m_end == RunEnd::kDone) {
    const bool was_done = occurrence.Done();
    if (spec.m_gang) {
      // The success of one member completes the whole gang.
      for (TaskState& member : step.m_tasks) {
        MarkDone(occurrence, step, member);
      }
    } else {
      MarkDone(occurrence, step, task);
    }
    if (!was_done && occurrence.Done()) {
      ++job.m_done_occurrences;
      if (job.m_done_occurrences == job.OccurrenceCount()) {
        job.m_complete = true;
        job.m_ended_unix_ms = record.m_unix_ms;
      }
    }
  } else if (record.m_end == RunEnd::kFailed && !task.m_done) {
    step.FailuresOf(spec, record.m_task.m_index).Add(record.m_run);
  }
}

void CellState::MarkDone(Occurrence& occurrence, StepState& step,
                         TaskState& task) {
  if (task.m_done) {
    return;
  }
  task.m_done = true;
  ++step.m_done;
  if (step.Done()) {
    ++occurrence.m_done_steps;
  }
}

void CellState::UpdateActive(const std::string& id, Job& job) {
  if (job.Ended() && job.m_open_runs == 0) {
    m_active.erase(id);
  } else {
    m_active[id] = &job;
  }
}

void CellState::ApplyOne(const TaskSnapshot& record) {
  const auto place = ResolveTask(record.m_task);
  if (!place) {
    return;
  }
  auto& [job, occurrence, step, spec, task] = *place;
  task.m_last_run = record.m_last_run;
  step.m_last_run = std::max(step.m_last_run, record.m_last_run);
  task.m_failures.Restore(record.m_failures);
  task.m_checkpoint = record.m_checkpoint;
  if (record.m_done) {
    MarkDone(occurrence, step, task);
    if (occurrence.Done()) {
      ++job.m_done_occurrences;
    }
  }
}

void CellState::ApplyOne(const VmSnapshot& record) {
  VmState& vm = FindOrCreateVm(record.m_vm);
  vm.m_last_end = std::max(vm.m_last_end, record.m_last_end);
}

void CellState::ApplyOne(const JobProgress& record) {
  Job* job = FindJob(record.m_job);
  if (job == nullptr) {
    return;
  }
  job->m_started = job->m_started || record.m_started;
  job->m_confirmed = job->m_confirmed || record.m_confirmed;
  job->m_ended_unix_ms = record.m_ended_unix_ms;
  if (record.m_failed) {
    job->m_failed = true;
  } else if (record.m_ended_unix_ms != 0 && !job->m_cancelled) {
    job->m_complete = true;
  }
  m_changed.push_back(record.m_job);
  UpdateActive(record.m_job, *job);
}

void CellState::ApplyOne(const FailedRunSnapshot& record) {
  if (const auto place = ResolveTask(record.m_task)) {
    place->m_step.FailuresOf(place->m_spec, record.m_task.m_index)
        .Restore(record.m_failures, record.m_run);
  }
}

void CellState::ApplyOne(const CrashSuspicion& record) {
  const auto place = ResolveTask(record.m_task);
  if (!place) {
    return;
  }
  if (record.m_confirmed) {
    CrashedRuns& crashes =
        place->m_step.CrashesOf(place->m_spec, record.m_task.m_index);
    crashes.m_all.Add(record.m_run);
    if (record.m_alone) {
      crashes.m_alone.Add(record.m_run);
    }
    if (OpenRun* run = FindRun(record.m_task, record.m_run)) {
      run->m_suspicion = OpenRun::Suspicion::kNone;
    }
    return;
  }
  if (OpenRun* run = FindRun(record.m_task, record.m_run)) {
    run->m_suspicion = record.m_alone ? OpenRun::Suspicion::kAlone
                                      : OpenRun::Suspicion::kWithOthers;
  }
}

void CellState::ApplyOne(const RulesInForce& record) {
  m_rules_version = std::max(m_rules_version, record.m_version);
  for (const QueueRules& rules : record.m_changed) {
    for (const auto& [id, job] : m_active) {
      if (job->m_spec.m_queue.m_name == rules.m_name) {
        job->m_spec.m_queue = rules;
      }
    }
  }
}

void CellState::ApplyOne(const JobEnded& record) {
  const auto [found, created] = m_jobs.try_emplace(record.m_job);
  if (!created) {
    return;
  }
  found->second = std::make_unique<Job>();
  Job& job = *found->second;
  job.m_spec.m_id = record.m_job;
  job.m_spec.m_queue.m_name = record.m_queue;
  job.m_started = true;
  job.m_complete = record.m_result == JobResult::kComplete;
  job.m_failed = record.m_result == JobResult::kFailed;
  job.m_cancelled = record.m_result == JobResult::kCancelled;
  job.m_ended_unix_ms = record.m_ended_unix_ms;
}

void CellState::DropJobsEndedBefore(std::int64_t unix_ms) {
  std::erase_if(m_jobs, [&](const auto& entry) {
    const Job& job = *entry.second;
    const bool drop =
        job.Ended() && job.m_open_runs == 0 && job.m_ended_unix_ms < unix_ms;
    if (drop) {
      m_active.erase(entry.first);
    }
    return drop;
  });
}

void CellState::Withdraw(const std::string& id) {
  m_active.erase(id);
  m_jobs.erase(id);
}

// Appends the snapshot records of one step: the state of its tasks to `records`
// and its open runs to `open`, which the snapshot places after all states.
// `ref` is the step's first task.
void CellState::AppendStepSnapshot(TaskRef ref, const StepState& step,
                                   std::vector<LogRecord>& records,
                                   std::vector<LogRecord>& open) {
  for (; ref.m_index < step.m_tasks.size(); ++ref.m_index) {
    const TaskState& task = step.m_tasks[ref.m_index];
    if (task.m_last_run != 0 || task.m_done) {
      records.push_back(TaskSnapshot{ref, task.m_last_run,
                                     task.m_failures.Count(), task.m_done,
                                     task.m_checkpoint});
      AppendFailures(ref, task.m_failures, records);
      AppendCrashes(ref, task.m_crashes, records);
    }
    for (const OpenRun& run : task.m_open) {
      open.push_back(RunPlanned{ref, run.m_number, run.m_vm});
      if (run.m_suspicion != OpenRun::Suspicion::kNone) {
        open.push_back(CrashSuspicion{
            ref, run.m_number, run.m_suspicion == OpenRun::Suspicion::kAlone,
            false});
      }
    }
  }
  ref.m_index = 0;
  AppendFailures(ref, step.m_gang_failures, records);
  AppendCrashes(ref, step.m_gang_crashes, records);
}

std::optional<JobEnded> CellState::SummaryOf(const Job& job) {
  if (!job.Ended() || job.m_open_runs > 0) {
    return std::nullopt;
  }
  return JobEnded{job.m_spec.m_id, job.m_spec.m_queue.m_name, ResultOf(job),
                  job.m_ended_unix_ms};
}

std::vector<const VmState*> CellState::VmsInLog() const {
  std::vector<const VmState*> vms;
  for (const auto& [life, vm] : m_vms) {
    if (vm.m_last_end > 0 || !vm.m_open.empty() || vm.HasLeaseBound()) {
      vms.push_back(&vm);
    }
  }
  return vms;
}

std::vector<LogRecord> CellState::Snapshot() const {
  std::vector<LogRecord> records;
  std::vector<LogRecord> open;
  if (m_rules_version != 0) {
    records.push_back(RulesInForce{m_rules_version, {}});
  }
  for (const auto& [id, job] : m_jobs) {
    if (auto summary = SummaryOf(*job)) {
      records.push_back(std::move(*summary));
      continue;
    }
    records.push_back(JobAccepted{job->m_spec, job->m_accepted_unix_ms});
    for (const auto& [number, occurrence] : job->m_occurrences) {
      for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
        AppendStepSnapshot({id, number, s, 0}, occurrence.m_steps[s], records,
                           open);
      }
    }
    if (job->m_cancelled) {
      records.push_back(JobCancelled{id, job->m_ended_unix_ms});
    }
    records.push_back(JobProgress{id, job->m_ended_unix_ms, job->m_failed,
                                  job->m_started, job->m_confirmed});
  }
  records.insert(records.end(), open.begin(), open.end());
  for (const auto& [life, vm] : m_vms) {
    if (vm.m_last_end > 0) {
      records.push_back(VmSnapshot{life, vm.m_last_end});
    }
    if (vm.HasLeaseBound()) {
      records.push_back(VmUnreachable{life, vm.m_runs_ended_by_unix_ms});
    }
  }
  return records;
}

std::vector<std::string> CellState::TakeChangedJobs() {
  std::vector<std::string> changed;
  changed.swap(m_changed);
  return changed;
}

}  // namespace mustardslip
