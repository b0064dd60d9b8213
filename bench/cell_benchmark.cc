// Measures the processor time of the owner of a cell, by kind of event, on a
// backlog that exceeds the capacity of the fleet. Drives CellCore without I/O,
// each load without the optional parts of the decisions, with placement by the
// speed of the VMs, and with that and preemption.
//
// Usage: cell_benchmark [VMS STEPS]...; the default is a table of fleet sizes
// and backlogs.
#include <fmt/core.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_core.h"
#include "cpu_time.h"

namespace mustardslip::bench {
namespace {

constexpr const char* kService = "svc";
constexpr Resources kVmCapacity{64'000, 131'072, 0};
constexpr int kVmsPerRack = 20;
// One in this many VMs is slow.
constexpr int kSlowVmDivisor = 4;
constexpr double kSlowSpeed = 0.55;
constexpr double kFastSpeed = 1.2;
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kTickMs = 40;
constexpr std::int64_t kCommitMs = 30;
constexpr std::int64_t kReportMs = 200;
constexpr std::int64_t kAdviceMs = 80;
constexpr std::int64_t kTicketMs = 2'000;
constexpr std::int64_t kUnixStartMs = 1'800'000'000'000;
// Simulated time before and during the measurement.
constexpr std::int64_t kWarmUpMs = 1'000;
constexpr std::int64_t kMeasuredMs = 3'000;

// The kinds of jobs of a mixed fleet: share of the submissions and shape.
struct JobKind {
  int m_share = 0;
  std::uint32_t m_tasks = 0;
  std::int64_t m_cpu_millis = 0;
  std::int64_t m_run_ms = 0;
  bool m_gang = false;
  std::int64_t m_priority = 0;
  // Latency objective beyond the run time.
  std::int64_t m_target_ms = 0;
};
constexpr JobKind kKinds[] = {{83, 3, 16'000, 800, false, 0, 1'000},
                              {10, 19, 11'000, 2'700, false, 2, 60'000},
                              {7, 20, 18'000, 4'000, true, 1, 60'000}};

struct Variant {
  const char* m_name;
  CellFeatures m_features;
};
constexpr Variant kVariants[] = {
    {"plain", {}},
    {"by speed", {.m_place_by_speed = true}},
    {"by speed, preemption", {.m_place_by_speed = true, .m_preemption = true}}};

enum class Event { kSchedule, kTick, kReport, kSubmit, kAdvice, kDurable };
constexpr int kEventKinds = 6;

struct Cost {
  std::int64_t m_calls = 0;
  std::int64_t m_cpu_ns = 0;
};

class OwnerLoad {
 public:
  OwnerLoad(int vms, int steps, CellFeatures features)
      : m_core(CellBounds{}, features) {
    m_core.OnRules({}, Now());
    m_core.OnRecovered(Now());
    for (int i = 0; i < vms; ++i) {
      AddVm(i);
    }
    for (int i = 0; i < steps; ++i) {
      Submit();
    }
  }

  void Run(std::int64_t ms) {
    for (const std::int64_t end = m_now_ms + ms; m_now_ms < end;) {
      m_now_ms += kStepMs;
      Step();
    }
  }

  void ResetCosts() { m_costs = {}; }
  const Cost& CostOf(Event event) { return m_costs[event]; }
  std::size_t ReadyCount() const { return m_core.Ready().Size(); }
  std::uint64_t Starts() const { return m_core.Counters().m_starts; }

 private:
  struct RunningTask {
    TaskRef m_task;
    std::uint32_t m_run = 0;
    std::int64_t m_begin_ms = 0;
    std::int64_t m_end_ms = 0;
  };
  struct Vm {
    VmDescription m_description;
    std::vector<RunningTask> m_running;
    std::vector<ReportedEnd> m_ended;
    std::uint64_t m_last_end = 0;
    std::int64_t m_next_report_ms = 0;
    double m_speed = 1;
  };

  CellTime Now() const { return {m_now_ms, kUnixStartMs + m_now_ms}; }

  template <typename Call>
  void Measure(Event event, const Call& call) {
    const std::int64_t begin_ns = ThreadCpuNanoseconds();
    call();
    Cost& cost = m_costs[event];
    ++cost.m_calls;
    cost.m_cpu_ns += ThreadCpuNanoseconds() - begin_ns;
  }

  void AddVm(int number) {
    Vm vm;
    vm.m_description.m_incarnation = {fmt::format("vm-{:016x}", number), 1};
    vm.m_description.m_service = kService;
    vm.m_description.m_address = "127.0.0.1:1";
    vm.m_description.m_capacity = kVmCapacity;
    vm.m_description.m_labels = {"a",
                                 fmt::format("rack-{}", number / kVmsPerRack)};
    vm.m_next_report_ms = m_now_ms + number % kReportMs;
    vm.m_speed = number % kSlowVmDivisor == 0 ? kSlowSpeed : kFastSpeed;
    m_core.OnVmListed(vm.m_description, Now());
    m_vm_of_id[vm.m_description.m_incarnation.m_id] = m_vms.size();
    m_vms.push_back(std::move(vm));
  }

  static const JobKind& KindOf(int job) {
    int share = job * 37 % 100;
    for (const JobKind& kind : kKinds) {
      share -= kind.m_share;
      if (share < 0) {
        return kind;
      }
    }
    return kKinds[0];
  }

  void Submit() {
    const int number = ++m_last_job;
    const JobKind& kind = KindOf(number);
    WorkflowSpec spec;
    spec.m_id = fmt::format("{:016x}", number);
    spec.m_queue.m_name = fmt::format("queue-{}", &kind - kKinds);
    spec.m_queue.m_service = kService;
    spec.m_queue.m_max_attempts = 4;
    spec.m_queue.m_stretch = 2;
    spec.m_queue.m_priority = kind.m_priority;
    spec.m_queue.m_target_latency_ms = kind.m_target_ms;
    spec.m_queue.m_needs_advice = true;
    spec.m_queue.m_advice_base_ms = kAdviceMs;
    spec.m_team = fmt::format("team-{}", number % 29);
    StepSpec step;
    step.m_count = kind.m_tasks;
    step.m_resources = {kind.m_cpu_millis, 1'000, 0};
    step.m_estimate_ms = kind.m_run_ms;
    step.m_gang = kind.m_gang;
    step.m_checkpoint = !kind.m_gang;
    spec.m_steps = {step};
    m_run_ms[spec.m_id] = kind.m_run_ms;
    Measure(Event::kSubmit,
            [&] { m_core.Submit(++m_token, std::move(spec), Now()); });
  }

  void Step() {
    for (Vm& vm : m_vms) {
      EndRuns(vm);
      if (vm.m_next_report_ms <= m_now_ms) {
        vm.m_next_report_ms = m_now_ms + kReportMs;
        ReportVm(vm);
      }
    }
    while (!m_advice.empty() && m_advice.front().first <= m_now_ms) {
      AnswerAdvice(m_advice.front().second);
      m_advice.pop_front();
    }
    if (m_now_ms % kTickMs == 0) {
      Measure(Event::kTick, [&] { m_core.OnTick(Now()); });
    }
    if (m_now_ms % kCommitMs == 0) {
      Commit();
    }
    ExecuteEffects();
  }

  void Commit() {
    Measure(Event::kSchedule, [&] {
      m_core.Schedule(Now(), {FreeCalls(), FreeCalls()});
    });
    ExecuteEffects();
    if (m_core.HasOpenBatch()) {
      Measure(Event::kDurable, [&] {
        m_core.BeginBatch();
        m_core.OnDurable(Now(), 1);
      });
    }
  }

  // One call for about three VMs of the system, which are one for six workers.
  std::size_t FreeCalls() const {
    const std::size_t calls = m_vms.size() / 3 + 2;
    return calls - std::min(calls, m_advice.size());
  }

  void EndRuns(Vm& vm) {
    std::erase_if(vm.m_running, [&](const RunningTask& run) {
      if (run.m_end_ms > m_now_ms) {
        return false;
      }
      vm.m_ended.push_back(
          {++vm.m_last_end, run.m_task, run.m_run, RunEnd::kDone, ""});
      return true;
    });
  }

  void ReportVm(Vm& vm) {
    VmState* state = m_core.State().FindVm(vm.m_description.m_incarnation);
    std::erase_if(vm.m_ended, [&](const ReportedEnd& end) {
      return end.m_sequence <= state->m_durable_end;
    });
    VmReport report;
    report.m_vm = vm.m_description.m_incarnation;
    report.m_vm_ms = m_now_ms;
    for (const RunningTask& run : vm.m_running) {
      const double share = static_cast<double>(m_now_ms - run.m_begin_ms) /
                           static_cast<double>(run.m_end_ms - run.m_begin_ms);
      report.m_running.push_back({run.m_task, run.m_run, "", 100 * share});
    }
    report.m_ended = vm.m_ended;
    Measure(Event::kReport, [&] {
      m_core.NextLease(*state, Now());
      m_core.OnVmReport(report, Now());
    });
  }

  void AnswerAdvice(const AdviceRequest& request) {
    AdviceAnswer answer;
    answer.m_step = request.m_step;
    answer.m_asked = request.m_vms;
    answer.m_ok = true;
    answer.m_validity_ms = kTicketMs;
    for (const std::string& vm : request.m_vms) {
      if (std::hash<std::string>{}(vm + request.m_step.m_job) % 2 == 0) {
        answer.m_good.push_back({vm, "ticket"});
      }
    }
    Measure(Event::kAdvice, [&] { m_core.OnAdvice(answer, Now()); });
  }

  void ExecuteEffects() {
    for (Effect& effect : m_core.TakeEffects()) {
      std::visit([this](auto& one) { Execute(one); }, effect);
    }
  }

  void Execute(const StartRun& start) {
    Vm& vm = m_vms[m_vm_of_id.at(start.m_vm.m_id)];
    const auto run_ms = static_cast<std::int64_t>(
        static_cast<double>(m_run_ms.at(start.m_task.m_job)) / vm.m_speed);
    vm.m_running.push_back(
        {start.m_task, start.m_run, m_now_ms, m_now_ms + run_ms});
    m_core.OnStartAnswer({start.m_task, start.m_run, start.m_vm,
                          StartOutcome::kStarted, m_now_ms, ""},
                         Now());
    if (start.m_task.m_index == 0) {
      Submit();  // Keeps the backlog at its length.
    }
  }
  void Execute(const StopRun& stop) {
    Vm& vm = m_vms[m_vm_of_id.at(stop.m_vm.m_id)];
    std::erase_if(vm.m_running, [&](const RunningTask& run) {
      const bool stopped = run.m_task == stop.m_task && run.m_run == stop.m_run;
      if (stopped) {
        vm.m_ended.push_back(
            {++vm.m_last_end, run.m_task, run.m_run, RunEnd::kStopped, "c"});
      }
      return stopped;
    });
  }
  void Execute(const AdviceRequest& request) {
    m_advice.emplace_back(m_now_ms + kAdviceMs, request);
  }
  void Execute(const ReplyToCaller&) {}
  void Execute(const JobFailure&) {}
  void Execute(const GangDelay&) {}
  void Execute(const VmSpeedChange&) {}
  void Execute(const ContentionChange&) {}
  void Execute(const RunNotListed&) {}
  void Execute(const QueueMoved&) {}

  CellCore m_core;
  std::int64_t m_now_ms = 1'000;
  std::uint64_t m_token = 0;
  int m_last_job = 0;
  std::vector<Vm> m_vms;
  std::map<std::string, std::size_t> m_vm_of_id;
  std::map<std::string, std::int64_t> m_run_ms;
  // Calls to the advice service with the time of their answer, in its order.
  std::deque<std::pair<std::int64_t, AdviceRequest>> m_advice;
  std::map<Event, Cost> m_costs;
};

void PrintLoad(int vms, int steps, const Variant& variant) {
  constexpr const char* kNames[kEventKinds] = {"schedule", "tick",   "report",
                                               "submit",   "advice", "durable"};
  OwnerLoad load(vms, steps, variant.m_features);
  load.Run(kWarmUpMs);
  load.ResetCosts();
  const std::uint64_t starts = load.Starts();
  load.Run(kMeasuredMs);
  std::int64_t total_ns = 0;
  fmt::print("{} VMs, {} steps ready, {} starts, {}\n", vms, load.ReadyCount(),
             load.Starts() - starts, variant.m_name);
  for (int i = 0; i < kEventKinds; ++i) {
    const Cost& cost = load.CostOf(static_cast<Event>(i));
    total_ns += cost.m_cpu_ns;
    fmt::print("  {:<9} {:>7} calls {:>10.1f} us each\n", kNames[i],
               cost.m_calls,
               cost.m_calls == 0 ? 0.0
                                 : static_cast<double>(cost.m_cpu_ns) / 1e3 /
                                       static_cast<double>(cost.m_calls));
  }
  fmt::print("  cores     {:.3f}\n",
             static_cast<double>(total_ns) / 1e6 / kMeasuredMs);
}

}  // namespace
}  // namespace mustardslip::bench

int main(int argc, char** argv) {
  using mustardslip::bench::PrintLoad;
  std::vector<std::pair<int, int>> loads = {
      {50, 100},     {540, 100},     {540, 1'000},   {540, 3'000},
      {540, 10'000}, {3'000, 3'000}, {7'000, 10'000}};
  if (argc > 2) {
    loads.clear();
    for (int i = 1; i + 1 < argc; i += 2) {
      loads.emplace_back(std::atoi(argv[i]), std::atoi(argv[i + 1]));
    }
  }
  for (const auto& [vms, steps] : loads) {
    for (const auto& variant : mustardslip::bench::kVariants) {
      PrintLoad(vms, steps, variant);
    }
  }
  return 0;
}
