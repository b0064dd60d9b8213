// Simulated VMs whose tasks slow each other down by known factors, and a model
// that learns from their reports.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell/contention.h"
#include "cell/run_progress.h"

namespace mustardslip {

// Runs tasks on VMs and reports them to a model as a VM does: shares in whole
// percent, latencies in whole milliseconds.
class SimulatedTasks {
 public:
  struct Task {
    std::string m_image;
    SampleKind m_kind = SampleKind::kProgress;
    double m_work_ms = 3'000;
    // Of its work; 0 for none.
    std::int64_t m_estimate_ms = 3'000;
    double m_latency_ms = 20;
    // Steps of more than one task; 0 for a step of its own in each run.
    std::uint32_t m_step = 0;
    std::uint32_t m_run = 0;
    double m_percent = 0;
  };
  struct Vm {
    // Known to the model only with `m_speed_is_known`.
    double m_speed = 1;
    bool m_speed_is_known = false;
    std::vector<Task> m_tasks;
    std::int64_t m_next_report_ms = 0;
    std::vector<ObservedRun> m_ended;
  };

  explicit SimulatedTasks(std::size_t vms) : m_vms(vms) {}

  Vm& At(std::size_t vm) { return m_vms.at(vm); }
  ContentionModel& Model() { return m_model; }

  // How many times as long `image` takes beside `by`.
  void SetSlowdown(const std::string& image, const std::string& by,
                   double factor) {
    m_slowdown[{image, by}] = factor;
  }

  // Of a task's work, as a share of it: an even deviation, and one task in 32
  // that takes seven times as long.
  void VaryWork(double deviation) { m_work_deviation = deviation; }

  void Add(std::size_t vm, Task task) {
    Begin(task);
    At(vm).m_tasks.push_back(std::move(task));
  }
  void Add(std::size_t vm, const std::string& image) { Add(vm, Task{image}); }
  void Remove(std::size_t vm, const std::string& image) {
    std::erase_if(At(vm).m_tasks,
                  [&](const Task& task) { return task.m_image == image; });
  }

  // Tasks that end are followed by others of the same image.
  void Run(std::int64_t ms) {
    constexpr std::int64_t kStepMs = 20;
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_now_ms += kStepMs;
      for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Work(m_vms[i], kStepMs);
        if (m_now_ms >= m_vms[i].m_next_report_ms) {
          Report(i);
        }
      }
      m_model.Refresh(m_now_ms);
      for (ContentionChange& change : m_model.TakeChanges()) {
        m_changes.push_back(std::move(change));
      }
    }
  }

  ContentionModel::PairEstimate Estimate(const std::string& image,
                                         const std::string& by) const {
    return m_model.Estimate(image, by).value_or(
        ContentionModel::PairEstimate{});
  }

  std::vector<ContentionChange> m_changes;

 private:
  void Begin(Task& task) {
    task.m_percent = 0;
    task.m_run = ++m_last_run;
    if (m_work_deviation > 0) {
      constexpr std::uint32_t kOneIn = 32;
      constexpr double kLongTask = 7;
      std::uniform_real_distribution<double> spread(1 - m_work_deviation,
                                                    1 + m_work_deviation);
      task.m_work_ms = static_cast<double>(task.m_estimate_ms) *
                       spread(m_random) *
                       (m_random() % kOneIn == 0 ? kLongTask : 1);
    }
  }

  double SlowdownOf(const Vm& vm, const Task& task) const {
    std::map<std::string, double> factors;
    for (const Task& other : vm.m_tasks) {
      const auto found = m_slowdown.find({task.m_image, other.m_image});
      if (&other != &task && found != m_slowdown.end()) {
        factors[other.m_image] = found->second;
      }
    }
    double factor = 1;
    for (const auto& [image, one] : factors) {
      factor *= one;
    }
    return factor;
  }

  void Work(Vm& vm, std::int64_t ms) {
    std::vector<double> slowdowns;
    for (const Task& task : vm.m_tasks) {
      slowdowns.push_back(SlowdownOf(vm, task));
    }
    for (std::size_t i = 0; i < vm.m_tasks.size(); ++i) {
      Task& task = vm.m_tasks[i];
      if (task.m_kind != SampleKind::kProgress) {
        task.m_percent = RunProgress::kWholePercent;
        continue;
      }
      task.m_percent += RunProgress::kWholePercent * vm.m_speed *
                        static_cast<double>(ms) /
                        (task.m_work_ms * slowdowns[i]);
      if (task.m_percent >= RunProgress::kWholePercent) {
        vm.m_ended.push_back(Observe(vm, task));
        Begin(task);
      }
    }
  }

  ObservedRun Observe(const Vm& vm, const Task& task) const {
    TaskRef ref{"one", 0, task.m_step, task.m_run};
    if (task.m_step == 0) {
      ref = {std::to_string(task.m_run), 0, 0, 0};
    }
    return {
        {ref, task.m_run},
        task.m_image,
        task.m_kind,
        task.m_estimate_ms,
        std::floor(task.m_percent),
        std::llround(task.m_latency_ms * SlowdownOf(vm, task) / vm.m_speed)};
  }

  void Report(std::size_t index) {
    constexpr std::int64_t kMinIntervalMs = 300;
    constexpr std::int64_t kIntervalSpreadMs = 500;
    Vm& vm = m_vms[index];
    vm.m_next_report_ms =
        m_now_ms + kMinIntervalMs +
        static_cast<std::int64_t>(m_random() % kIntervalSpreadMs);
    VmObservation observation;
    observation.m_vm = {"vm-" + std::to_string(index), 1};
    // Each VM has a clock of its own.
    observation.m_vm_ms = m_now_ms + static_cast<std::int64_t>(index) * 777;
    observation.m_speed = vm.m_speed_is_known ? vm.m_speed : 1;
    for (const Task& task : vm.m_tasks) {
      observation.m_running.push_back(Observe(vm, task));
    }
    observation.m_ended = std::exchange(vm.m_ended, {});
    m_model.Observe(observation, m_now_ms);
  }

  ContentionModel m_model;
  std::vector<Vm> m_vms;
  std::map<std::pair<std::string, std::string>, double> m_slowdown;
  double m_work_deviation = 0;
  std::int64_t m_now_ms = 1'000;
  std::uint32_t m_last_run = 0;
  std::mt19937 m_random{7};
};

}  // namespace mustardslip
