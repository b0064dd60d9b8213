// Estimates how fast each VM is, relative to the other VMs of its service, from
// the time that runs take on them. Free of I/O, clock and randomness.
//
// The logarithm of a run's time is the work of its task less the logarithm of
// its VM's speed. The work is not known, but the tasks of a step resemble each
// other: a VM's residual is its run's distance from the step's mean over other
// VMs, corrected for their known speeds, and from the step's declared time,
// corrected by the mean error of such declarations in its queue. Short episodes
// of a VM that is slow by multiples are vm_pace.h's; the caller leaves its runs
// out.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_types.h"

namespace mustardslip {

// What is known in advance of the runs of a step.
struct StepTraits {
  std::string m_service;
  std::string m_queue;
  // The declared time of a task; 0 if there is none.
  std::int64_t m_estimate_ms = 0;
  std::uint32_t m_tasks = 1;
  // The members of a gang end together, so that only their rates may tell their
  // speed, and only if each is reported by itself.
  bool m_gang = false;

  bool operator==(const StepTraits&) const = default;
};

class VmSpeeds {
 public:
  // Speed relative to the mean of the VM's service; 1.0 if unknown.
  double Of(const VmIncarnation& vm) const;
  // True if no VM has an estimate.
  bool Empty() const { return m_vms.empty(); }
  std::size_t Size() const { return m_vms.size(); }
  std::uint64_t Changes() const { return m_changes; }

  // All work of one run of the step takes this long on the VM. Call it once for
  // each run. `now_ms` is the owner's steady clock.
  void OnRun(const StepRef& step, const StepTraits& traits,
             const VmIncarnation& vm, double run_ms, std::int64_t now_ms);
  // Drops the runs of the VM that are not evaluated yet: it was slow or stalled
  // meanwhile.
  void OnImpaired(const VmIncarnation& vm);
  // Evaluates the steps that have waited long enough, forgets, and returns the
  // estimates that changed by more than a quarter since they were last
  // returned. Call it about once a second.
  std::vector<VmSpeedChange> Refresh(std::int64_t now_ms);

  // Sums whose addends lose half of their weight in each half life.
  class Decayed {
   public:
    void Add(double value, double weight, std::int64_t now_ms);
    double WeightAt(std::int64_t now_ms) const;
    // Requires an Add.
    double Mean() const { return m_sum / m_weight; }

   private:
    double m_sum = 0;
    double m_weight = 0;
    std::int64_t m_at_ms = 0;
  };

 private:
  // The estimate of one VM: its newest known incarnation.
  struct Entry {
    std::int64_t m_born = 0;
    std::string m_service;
    // Of the residuals.
    Decayed m_samples;
    // Logarithm of the speed, shrunk towards 0 for few samples.
    double m_log = 0;
    // Invariant: the exponential of m_log less the service's m_center, as of
    // the last change of either.
    double m_speed = 1;
    // As returned by Refresh.
    double m_reported = 1;
  };
  struct Service {
    // Variance of a residual within a step.
    Decayed m_noise;
    double m_center = 0;
    // The number of samples that weigh as much as the assumption that the VM is
    // average: the ratio of the variances within steps and between VMs.
    double m_prior_samples = 1;
  };
  // Errors of the declared times: logarithms of the true by the declared time.
  struct Queue {
    Decayed m_error;
    Decayed m_square;
  };
  struct Run {
    VmIncarnation m_vm;
    double m_log_ms = 0;
  };
  // The runs of a step that are not evaluated yet.
  struct Batch {
    StepTraits m_traits;
    std::vector<Run> m_runs;
    std::int64_t m_first_ms = 0;
    double m_shortest_ms = 0;
  };
  using QueueKey = std::pair<std::string, std::string>;
  struct Reference;

  const Entry* Find(const VmIncarnation& vm) const;
  double NoiseOf(const Service& service) const;
  Reference ReferenceOf(const Batch& batch, std::int64_t now_ms);
  static bool TellsSpeed(const Batch& batch);
  void Evaluate(const Batch& batch, std::int64_t now_ms);
  void Learn(const VmIncarnation& vm, const std::string& service,
             double residual, double weight, std::int64_t now_ms);
  void LearnQueue(const Batch& batch, const Reference& reference,
                  std::int64_t now_ms);
  void Forget(std::int64_t now_ms);
  void EvaluateDueBatches(std::int64_t now_ms);
  void UpdateServices(std::int64_t now_ms);

  // By VM id. Bounded: an entry without new samples is dropped.
  absl::flat_hash_map<std::string, Entry> m_vms;
  std::map<std::string, Service> m_services;
  // Bounded like m_vms.
  std::map<QueueKey, Queue> m_queues;
  // Bounded in number and in runs each.
  // By step and service: a step has runs in two pools if its queue moved.
  std::map<std::pair<StepRef, std::string>, Batch> m_batches;
  std::uint64_t m_changes = 0;
};

}  // namespace mustardslip
