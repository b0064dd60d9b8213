// Test harness that drives a CellCore without I/O: a log that becomes durable
// at once or on request, simulated VMs, and a simulated advice service.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_core.h"
#include "cell/superseded_owner.h"

namespace mustardslip {

// A VM that keeps the runs it was told to start until a test ends them.
struct SimulatedVm {
  struct Running {
    TaskRef m_task;
    std::uint32_t m_run = 0;
    bool operator==(const Running&) const = default;
  };

  VmDescription m_description;
  std::int64_t m_clock_offset_ms = 0;
  std::vector<Running> m_running;
  // Percentage of work done, by run.
  std::map<RunKey, double> m_percent;
  double m_percent_per_ms = 0.01;
  // Reported for each run.
  std::int64_t m_usage_or_latency = 0;
  std::vector<ReportedEnd> m_ended;
  std::uint64_t m_last_end = 0;
  bool m_reachable = true;
  // What a call tells while the VM is not reachable.
  VmCallFailure m_failure = VmCallFailure::kNoAnswer;
  // If false, starts are executed but not answered.
  bool m_answers_starts = true;
  // If false, stops are neither executed nor answered.
  bool m_executes_stops = true;
  // If true, starts are kept in m_late_starts, neither executed nor answered.
  bool m_delays_starts = false;
  std::vector<StartRun> m_late_starts;
  // Stopped runs; a start that arrives after the stop is rejected.
  std::set<RunKey> m_stopped;
  // With CellHarness::m_simulate_leases, on the VM's clock: when its runs end
  // unless a call extends the lease, and the highest fence that it has seen.
  std::int64_t m_lease_until_vm_ms = 0;
  Revision m_fence = 0;
  // If false, polls are executed but not answered.
  bool m_answers_polls = true;
  // With CellHarness::m_simulate_leases: the highest run of each task that was
  // stopped or has ended here. Starts up to it are refused.
  std::map<TaskRef, std::uint32_t> m_highest_ended;
  // The last end before the lease last expired. A run whose end was not
  // acknowledged before that may be repeated.
  std::uint64_t m_last_end_before_expiry = 0;
  // If true, polls are executed late and not answered.
  bool m_delays_polls = false;
  // Whether an owner that was superseded without knowing it reaches the VM.
  bool m_reachable_by_former = false;
  // If false, a new owner does not find the VM in the VM list.
  bool m_has_entry = true;
};

// A call that did not reach its VM in time and is executed later.
struct LateCall {
  std::string m_vm;
  std::int64_t m_due_ms = 0;
  Revision m_fence = 0;
  std::optional<std::int64_t> m_deadline_vm_ms;
  // Empty for a poll.
  std::optional<StartRun> m_start;
  // Polls only: the VM discards ends up to this one.
  std::uint64_t m_last_end = 0;
};

class CellHarness {
 public:
  static constexpr const char* kService = "svc";

  explicit CellHarness(CellFeatures features = {})
      : m_features(features),
        m_core(std::make_unique<CellCore>(CellBounds{}, features)) {
    m_core->OnRules(m_rules, Now());
    m_core->OnRecovered(Now());
  }

  CellTime Now() const {
    return {m_now_ms, kUnixStartMs + m_now_ms + m_unix_skew_ms};
  }
  CellCore& Core() { return *m_core; }

  // --- Set-up ---

  QueueRules Queue(const std::string& name = "queue") const {
    QueueRules queue;
    queue.m_name = name;
    queue.m_service = kService;
    queue.m_max_attempts = 3;
    queue.m_stretch = 2;
    queue.m_target_latency_ms = 1'000;
    return queue;
  }

  SimulatedVm& AddVm(const std::string& id, Resources capacity,
                     std::vector<std::string> labels = {},
                     std::int64_t born = 1) {
    SimulatedVm& vm = m_vms[id];
    vm = {};
    vm.m_description.m_incarnation = {id, born};
    vm.m_description.m_service = kService;
    vm.m_description.m_address = "127.0.0.1:1";
    vm.m_description.m_capacity = capacity;
    vm.m_description.m_labels = std::move(labels);
    m_core->OnVmListed(vm.m_description, Now());
    return vm;
  }

  SimulatedVm& Vm(const std::string& id) { return m_vms.at(id); }

  // The VM restarts at the same address under its id, with a clock that begins
  // at 0. The VM list does not name the new incarnation yet.
  SimulatedVm& Restart(const std::string& id, std::int64_t born) {
    SimulatedVm& vm = m_vms.at(id);
    const VmDescription description = vm.m_description;
    vm = {};
    vm.m_description = description;
    vm.m_description.m_incarnation.m_born = born;
    vm.m_clock_offset_ms = -m_now_ms;
    return vm;
  }

  // The VM's entry is removed from the VM list.
  void Unlist(const std::string& id) { m_core->OnVmUnlisted(id, Now()); }

  // The VM list names the VM as it is now.
  void List(const std::string& id) {
    m_core->OnVmListed(m_vms.at(id).m_description, Now());
  }

  // Starts that were delayed arrive, whatever incarnation they were meant for.
  void DeliverLateStarts(const std::string& id) {
    SimulatedVm& vm = m_vms.at(id);
    for (const StartRun& start : std::exchange(vm.m_late_starts, {})) {
      Arrive(vm, start);
    }
  }

  static StepSpec Step(std::uint32_t count, std::int64_t cpu) {
    StepSpec step;
    step.m_count = count;
    step.m_resources = {cpu, 0, 0};
    step.m_estimate_ms = 1'000;
    return step;
  }

  WorkflowSpec Job(int number, std::vector<StepSpec> steps,
                   const QueueRules& queue, const std::string& team = "") {
    WorkflowSpec spec;
    spec.m_id = Id(number);
    spec.m_queue = queue;
    spec.m_team = team;
    spec.m_payload = "payload";
    spec.m_steps = std::move(steps);
    return spec;
  }
  WorkflowSpec Job(int number, std::vector<StepSpec> steps) {
    return Job(number, std::move(steps), Queue());
  }

  static std::string Id(int number) {
    std::string id = std::to_string(number);
    return std::string(kWorkflowIdDigits - id.size(), '0') + id;
  }

  // --- Callers ---

  void Submit(WorkflowSpec spec) {
    m_core->Submit(++m_token, std::move(spec), Now());
  }
  // The answer to the newest caller request, if there is one.
  std::optional<CellAnswer> LastAnswer() const { return Answer(m_token); }
  // The answer to the n-th caller request, counted from 1.
  std::optional<CellAnswer> Answer(std::uint64_t number) const {
    const auto found = m_answers.find(number);
    return found == m_answers.end() ? std::nullopt
                                    : std::optional(found->second);
  }
  CellAnswer Lookup(int number) {
    m_core->Lookup(++m_token, "queue", Id(number));
    ExecuteEffects();
    return m_answers.at(m_token);
  }
  std::uint64_t CountWaiting() {
    m_core->CountWaiting(++m_token, "queue");
    ExecuteEffects();
    return m_answers.at(m_token).m_count;
  }
  void Cancel(int number) {
    m_core->Cancel(++m_token, "queue", Id(number), Now());
  }

  // --- Time ---

  // Advances time in small steps, polls the VMs and schedules in each.
  void Run(std::int64_t ms) {
    constexpr std::int64_t kStepMs = 50;
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_now_ms += kStepMs;
      Work(kStepMs);
      ExecuteLateCalls();
      EndExpiredRuns();
      m_core->OnTick(Now());
      RunFormerOwner();
      Look();
      Pump();
    }
  }

  // Advances time while nobody owns the cell.
  void RunWithoutOwner(std::int64_t ms) {
    constexpr std::int64_t kStepMs = 50;
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_now_ms += kStepMs;
      ExecuteLateCalls();
      EndExpiredRuns();
      RunFormerOwner();
    }
  }

  // Advances time in one step without polling VMs.
  void RunWithoutPolls(std::int64_t ms) {
    m_now_ms += ms;
    m_core->OnTick(Now());
    Pump();
  }

  // Advances the progress of all runs by this time; none ends by itself.
  void Work(std::int64_t ms) {
    constexpr double kAlmostDone = 99;
    for (auto& [id, vm] : m_vms) {
      for (const SimulatedVm::Running& running : vm.m_running) {
        double& percent = vm.m_percent[{running.m_task, running.m_run}];
        // A test may have set the whole share.
        percent = std::max(
            percent,
            std::min(kAlmostDone,
                     percent + vm.m_percent_per_ms * static_cast<double>(ms)));
      }
    }
  }

  // Polls each VM once; unreachable ones are reported as silent.
  void Look() {
    for (auto& [id, vm] : m_vms) {
      Look(vm);
    }
  }

  // Polls the VM once for each of its incarnations that the owner polls.
  void Look(SimulatedVm& vm) {
    const VmIncarnation actual = vm.m_description.m_incarnation;
    if (m_core->AwaitsHigherFence(actual.m_id)) {
      return;
    }
    std::vector<VmIncarnation> polled;
    for (const VmState* state : m_core->State().IncarnationsOf(actual.m_id)) {
      if (!state->m_description.m_address.empty() &&
          (state->m_listed || !state->m_open.empty() ||
           state->HasUnacknowledgedEnds() || state->m_awaits_fence)) {
        polled.push_back(state->Incarnation());
      }
    }
    for (const VmIncarnation& asked : polled) {
      VmState* state = m_core->State().FindVm(asked);
      const auto deadline = m_core->NextLease(*state, Now());
      Deliver(vm, {actual.m_id, 0, FenceOf(actual.m_id), deadline, std::nullopt,
                   m_core->EndsToAcknowledge(*state)});
      if (!vm.m_reachable || !vm.m_answers_polls || vm.m_delays_polls) {
        m_core->OnVmCallFailed(asked, vm.m_failure, Now());
      } else if (asked != actual) {
        m_core->OnOtherIncarnation(asked, Report(vm), Now());
      } else {
        m_core->OnVmReport(Report(vm), Now());
      }
    }
  }

  VmReport Report(const SimulatedVm& vm) const {
    VmReport report;
    report.m_vm = vm.m_description.m_incarnation;
    report.m_vm_ms = m_now_ms + vm.m_clock_offset_ms;
    for (const SimulatedVm::Running& running : vm.m_running) {
      const auto percent = vm.m_percent.find({running.m_task, running.m_run});
      report.m_running.push_back(
          {running.m_task, running.m_run, "",
           percent == vm.m_percent.end() ? 0 : percent->second,
           vm.m_usage_or_latency});
    }
    const std::size_t listed = std::min(vm.m_ended.size(), m_max_listed_ends);
    report.m_ended.assign(
        vm.m_ended.begin(),
        vm.m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
    // As a client that only knows the limit.
    report.m_more = listed == m_max_listed_ends;
    return report;
  }

  // Schedules, makes the planned batch durable unless the store is down, and
  // executes the effects.
  void Pump() {
    for (int round = 0; round < 4; ++round) {
      m_core->Schedule(Now(), {kFreeAdviceCalls, kFreeAdviceCalls});
      ExecuteEffects();
      if (!m_store_up || m_core->HasBatchInFlight()) {
        return;
      }
      if (m_core->HasOpenBatch()) {
        Write();
        ConfirmWrite();
      }
      ExecuteEffects();
    }
  }

  // Writes the batch to the store without its answer, which Pump delivers.
  void Write() {
    const std::vector<LogRecord>& records = m_core->BeginBatch();
    m_log.insert(m_log.end(), records.begin(), records.end());
    ++m_revision;
  }
  // The answer to Write.
  void ConfirmWrite() { m_core->OnDurable(Now(), m_revision); }

  // This configuration, with these queues, is in force from now on, also for
  // later owners.
  void Configure(std::int64_t version, std::vector<QueueRules> queues) {
    m_rules.m_version = version;
    m_rules.m_queues = std::move(queues);
    m_core->OnRules(m_rules, Now());
  }

  // The team's limits are in force from now on, also for later owners.
  void SetTeam(const std::string& team, const TeamLimits& limits) {
    ++m_rules.m_version;
    m_rules.m_teams[team] = limits;
    m_core->OnRules(m_rules, Now());
  }

  // Replaces the core by a new owner that recovers from the stored log.
  void TakeOver() {
    m_owner_fence = ++m_revision;
    m_core = std::make_unique<CellCore>(CellBounds{}, m_features);
    m_core->OnRules(m_rules, Now());
    Recover();
  }

  // The same, but the former owner goes on, without the store, until a VM tells
  // it that it was superseded.
  void Supersede() {
    m_former = std::make_unique<SupersededOwner>(std::move(m_core),
                                                 m_owner_fence, Now());
    TakeOver();
  }

  // The same as TakeOver, but the new owner has not read the configuration yet.
  void TakeOverWithoutConfiguration() {
    m_owner_fence = ++m_revision;
    m_core = std::make_unique<CellCore>(CellBounds{}, m_features);
    Recover();
  }

  // --- VMs ---

  // Ends all runs of the job on their VMs.
  void End(int number, RunEnd how, const std::string& checkpoint = "") {
    for (auto& [id, vm] : m_vms) {
      const std::vector<SimulatedVm::Running> running = vm.m_running;
      for (const SimulatedVm::Running& run : running) {
        if (run.m_task.m_job == Id(number)) {
          EndRun(vm, run, how, checkpoint);
        }
      }
    }
  }

  static void EndRun(SimulatedVm& vm, SimulatedVm::Running run, RunEnd how,
                     const std::string& checkpoint = "") {
    std::erase(vm.m_running, run);
    std::uint32_t& highest_ended = vm.m_highest_ended[run.m_task];
    highest_ended = std::max(highest_ended, run.m_run);
    vm.m_ended.push_back(
        {++vm.m_last_end, run.m_task, run.m_run, how, checkpoint});
  }

  std::size_t RunningOf(int number) const {
    std::size_t count = 0;
    for (const auto& [id, vm] : m_vms) {
      count += static_cast<std::size_t>(std::count_if(
          vm.m_running.begin(), vm.m_running.end(),
          [&](const auto& run) { return run.m_task.m_job == Id(number); }));
    }
    return count;
  }

  // All start orders in the order of their execution.
  std::vector<StartRun> m_starts;
  std::vector<StopRun> m_stops;
  std::vector<JobFailure> m_failures;
  std::vector<GangDelay> m_gang_delays;
  std::vector<VmSpeedChange> m_speed_changes;
  std::vector<ContentionChange> m_contention_changes;
  std::vector<AdviceRequest> m_asked;
  std::vector<RunNotListed> m_not_listed;
  std::vector<QueueMoved> m_moves;
  bool m_store_up = true;
  // Which VMs the advice service allows.
  std::function<bool(const std::string&)> m_advice = [](const std::string&) {
    return true;
  };
  std::int64_t m_ticket_validity_ms = 2'000;
  std::vector<LogRecord> m_log;
  // A VM's list returns at most this many ends, the first ones.
  std::size_t m_max_listed_ends = std::numeric_limits<std::size_t>::max();
  // VMs end runs whose lease has expired, and refuse calls with a lower fence.
  bool m_simulate_leases = false;
  // Error of the current owner's Unix time.
  std::int64_t m_unix_skew_ms = 0;
  // When a call to an unreachable VM is executed, counted from when it is sent;
  // 0 for never.
  std::int64_t m_late_call_ms = 0;
  // Starts of a task that was running already.
  std::vector<TaskRef> m_started_twice;
  // Starts of a task after a run of it had ended as done, if that end was
  // acknowledged to its VM then or later.
  std::vector<TaskRef> m_started_after_done;

 private:
  static constexpr std::int64_t kUnixStartMs = 1'800'000'000'000;
  static constexpr std::size_t kFreeAdviceCalls = 16;

  void Recover() {
    for (const LogRecord& record : m_log) {
      m_core->Replay(record);
    }
    m_core->OnRecovered(Now());
    for (auto& [id, vm] : m_vms) {
      if (vm.m_has_entry) {
        m_core->OnVmListed(vm.m_description, Now());
      }
    }
  }

  // The fence of the owner's calls to the VM.
  Revision FenceOf(const std::string& vm) const {
    return std::max(m_owner_fence, m_core->RaisedFence(vm));
  }

  void RunFormerOwner() {
    if (m_former == nullptr) {
      return;
    }
    for (auto& [id, vm] : m_vms) {
      SimulatedVm& called = vm;
      const auto call = [&](std::optional<std::int64_t> deadline,
                            std::uint64_t last_end,
                            bool& refused) -> std::optional<VmReport> {
        if (!called.m_reachable_by_former) {
          return std::nullopt;
        }
        refused = !Execute(
            called, {called.m_description.m_incarnation.m_id, 0,
                     m_former->Fence(), deadline, std::nullopt, last_end});
        return refused ? std::nullopt : std::optional(Report(called));
      };
      if (!m_former->Poll(id, Now(), call)) {
        m_former.reset();
        return;
      }
    }
    m_former->OnTick(Now());
  }

  void ExecuteEffects() {
    for (Effect& effect : m_core->TakeEffects()) {
      std::visit([this](auto& item) { Execute(item); }, effect);
    }
  }

  void Execute(const ReplyToCaller& reply) {
    m_answers[reply.m_token] = reply.m_answer;
  }

  void Execute(const JobFailure& failure) { m_failures.push_back(failure); }

  void Execute(const GangDelay& delay) { m_gang_delays.push_back(delay); }

  void Execute(const VmSpeedChange& change) {
    m_speed_changes.push_back(change);
  }
  void Execute(const ContentionChange& change) {
    m_contention_changes.push_back(change);
  }
  void Execute(const RunNotListed& run) { m_not_listed.push_back(run); }
  void Execute(const QueueMoved& move) { m_moves.push_back(move); }

  void Execute(const StartRun& start) {
    m_starts.push_back(start);
    SimulatedVm& vm = m_vms.at(start.m_vm.m_id);
    if (vm.m_delays_starts) {
      vm.m_late_starts.push_back(start);
      return;
    }
    const bool executed =
        Deliver(vm, {start.m_vm.m_id, 0, FenceOf(start.m_vm.m_id),
                     start.m_deadline_vm_ms, start});
    if (vm.m_reachable && vm.m_answers_starts) {
      m_core->OnStartAnswer(
          {start.m_task, start.m_run, start.m_vm,
           executed ? StartOutcome::kStarted : StartOutcome::kRefused,
           m_now_ms + vm.m_clock_offset_ms, ""},
          Now());
    }
  }

  void Arrive(SimulatedVm& vm, const StartRun& start) {
    if (vm.m_stopped.count({start.m_task, start.m_run}) != 0) {
      return;
    }
    if (m_done.count(start.m_task) != 0) {
      m_started_after_done.push_back(start.m_task);
    }
    for (const auto& [id, other] : m_vms) {
      for (const SimulatedVm::Running& run : other.m_running) {
        if (run.m_task == start.m_task) {
          m_started_twice.push_back(start.m_task);
        }
      }
      for (const ReportedEnd& end : other.m_ended) {
        if (end.m_task == start.m_task && end.m_end == RunEnd::kDone) {
          m_started_since_done.insert(
              {other.m_description.m_incarnation, end.m_sequence});
        }
      }
    }
    vm.m_running.push_back({start.m_task, start.m_run});
  }

  // The VM discards its ends up to this one.
  void AcknowledgeEnds(SimulatedVm& vm, std::uint64_t up_to) {
    for (const ReportedEnd& end : vm.m_ended) {
      if (end.m_sequence > up_to || end.m_end != RunEnd::kDone ||
          end.m_sequence <= vm.m_last_end_before_expiry) {
        continue;
      }
      m_done.insert(end.m_task);
      if (m_started_since_done.count(
              {vm.m_description.m_incarnation, end.m_sequence}) != 0) {
        m_started_after_done.push_back(end.m_task);
      }
    }
    std::erase_if(vm.m_ended, [&](const ReportedEnd& end) {
      return end.m_sequence <= up_to;
    });
  }

  // The call reaches the VM now, later or never. True if it was executed now.
  bool Deliver(SimulatedVm& vm, LateCall call) {
    const bool delayed = vm.m_delays_polls && !call.m_start;
    if (vm.m_reachable && !delayed) {
      return Execute(vm, call);
    }
    if (m_late_call_ms > 0) {
      call.m_due_ms = m_now_ms + m_late_call_ms;
      m_late_calls.push_back(std::move(call));
    }
    return false;
  }

  // Whatever incarnation of the VM the call was meant for. False if the VM
  // refuses it.
  bool Execute(SimulatedVm& vm, const LateCall& call) {
    if (m_simulate_leases) {
      const std::int64_t vm_now_ms = m_now_ms + vm.m_clock_offset_ms;
      if (call.m_fence < vm.m_fence) {
        return false;
      }
      vm.m_fence = call.m_fence;
      if (call.m_start && *call.m_deadline_vm_ms < vm_now_ms) {
        return false;
      }
      if (call.m_deadline_vm_ms) {
        vm.m_lease_until_vm_ms =
            std::max(vm.m_lease_until_vm_ms,
                     std::min(*call.m_deadline_vm_ms,
                              vm_now_ms + CellBounds{}.m_max_lease_ms));
      }
    }
    if (call.m_start && m_simulate_leases &&
        call.m_start->m_run <= vm.m_highest_ended[call.m_start->m_task]) {
      return false;
    }
    AcknowledgeEnds(vm, call.m_last_end);
    if (call.m_start) {
      Arrive(vm, *call.m_start);
    }
    return true;
  }

  void ExecuteLateCalls() {
    std::vector<LateCall> waiting;
    for (const LateCall& call : std::exchange(m_late_calls, {})) {
      if (call.m_due_ms > m_now_ms) {
        waiting.push_back(call);
      } else {
        Execute(m_vms.at(call.m_vm), call);
      }
    }
    m_late_calls = std::move(waiting);
  }

  void EndExpiredRuns() {
    for (auto& [id, vm] : m_vms) {
      if (m_simulate_leases &&
          m_now_ms + vm.m_clock_offset_ms > vm.m_lease_until_vm_ms) {
        for (const SimulatedVm::Running& run :
             std::exchange(vm.m_running, {})) {
          EndRun(vm, run, RunEnd::kLeaseExpired);
        }
        vm.m_last_end_before_expiry = vm.m_last_end;
      }
    }
  }

  void Execute(const StopRun& stop) {
    m_stops.push_back(stop);
    SimulatedVm& vm = m_vms.at(stop.m_vm.m_id);
    const SimulatedVm::Running run{stop.m_task, stop.m_run};
    const bool runs = std::find(vm.m_running.begin(), vm.m_running.end(),
                                run) != vm.m_running.end();
    if (!vm.m_reachable || !vm.m_executes_stops) {
      return;
    }
    vm.m_stopped.insert({stop.m_task, stop.m_run});
    std::uint32_t& highest_ended = vm.m_highest_ended[stop.m_task];
    highest_ended = std::max(highest_ended, stop.m_run);
    if (runs) {
      EndRun(vm, run, RunEnd::kStopped);
    }
    m_core->OnStopAnswer(
        {stop.m_task, stop.m_run, stop.m_vm, m_now_ms + vm.m_clock_offset_ms});
  }

  void Execute(const AdviceRequest& ask) {
    m_asked.push_back(ask);
    AdviceAnswer answer;
    answer.m_step = ask.m_step;
    answer.m_asked = ask.m_vms;
    answer.m_ok = true;
    answer.m_validity_ms = m_ticket_validity_ms;
    for (const std::string& vm : ask.m_vms) {
      if (m_advice(vm)) {
        answer.m_good.push_back({vm, "ticket-" + vm});
      }
    }
    m_core->OnAdvice(answer, Now());
  }

  CellFeatures m_features;
  std::unique_ptr<CellCore> m_core;
  std::unique_ptr<SupersededOwner> m_former;
  CellRules m_rules;
  std::int64_t m_now_ms = 1'000;
  std::uint64_t m_token = 0;
  std::map<std::uint64_t, CellAnswer> m_answers;
  std::map<std::string, SimulatedVm> m_vms;
  std::vector<LateCall> m_late_calls;
  // Tasks of which an end as done was acknowledged.
  std::set<TaskRef> m_done;
  // Ends as done that were not acknowledged yet when their task was started
  // again.
  std::set<std::pair<VmIncarnation, std::uint64_t>> m_started_since_done;
  // Of the store.
  Revision m_revision = 1;
  // Revision of the owner's record.
  Revision m_owner_fence = 1;
};

}  // namespace mustardslip
