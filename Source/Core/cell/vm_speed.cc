// Evaluation of runs by step, and the decayed estimates of the VMs.
#include "cell/vm_speed.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace mustardslip {
namespace {

// Hardware does not change while a VM lives, but its neighbors do. An episode
// of 5 s that vm_pace.h does not detect then has a tenth of the weight, while a
// VM with one run in 3 s still has ten samples.
constexpr double kHalfLifeMs = 30'000;
// An estimate with less weight is as good as none.
constexpr double kMinWeight = 0.05;
// A VM that is slower by a larger factor is handled by vm_pace.h. Limits the
// effect of a task that has several times the work of its step's others.
constexpr double kMaxFactor = 2.5;
const double kMaxResidual = std::log(kMaxFactor);
// Variance of a run's time within a step, on one VM, that is assumed at first
// and at least: reported shares are rounded.
constexpr double kInitialNoise = 0.09;
constexpr double kInitialNoiseWeight = 10;
constexpr double kMinNoise = 0.0025;
// The same for a declared time, whose error is not known.
constexpr double kInitialQueueVariance = 0.5;
constexpr double kInitialQueueWeight = 2;
constexpr double kMaxQueueError = 3;
// The variance between VMs is known with this many of them.
constexpr std::size_t kMinVmsForVariance = 8;
constexpr double kInitialPriorSamples = 1;
constexpr double kMinPriorSamples = 0.5;
constexpr double kMaxPriorSamples = 25;
// Less than this many peers tell nothing.
constexpr double kMinPeers = 0.02;
constexpr std::size_t kMaxBatchRuns = 32;
constexpr std::size_t kMaxBatches = 4'096;
// A step is evaluated this long after its first run became known, in units of
// its shortest run: one on a VM that is slower by kMaxFactor is then known too
// if they started together.
constexpr double kBatchRuns = kMaxFactor - 1;
constexpr std::int64_t kBatchMarginMs = 500;
// Members of a gang whose rates differ by less than this are taken to have one
// rate for all: rounding makes a difference of a tenth.
constexpr double kMinGangSpread = 1.2;
constexpr double kReportedFactor = 1.25;

double Median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double Clip(double value, double center) {
  return std::clamp(value, center - kMaxResidual, center + kMaxResidual);
}

}  // namespace

// What a task of the step takes on an average VM, as a logarithm.
struct VmSpeeds::Reference {
  // Sum of weights and of weighted times, all VMs together and each by itself.
  struct Sums {
    double m_weight = 0;
    double m_sum = 0;
    std::vector<double> m_log_ms;

    void Add(double value, double weight) {
      m_weight += weight;
      m_sum += value * weight;
    }
  };

  Sums m_all;
  std::map<VmIncarnation, Sums> m_by_vm;
  // From the declared time.
  std::optional<double> m_declared;
  double m_declared_weight = 0;
};

void VmSpeeds::Decayed::Add(double value, double weight, std::int64_t now_ms) {
  const double left = WeightAt(now_ms);
  m_sum = (m_weight > 0 ? m_sum * left / m_weight : 0) + value * weight;
  m_weight = left + weight;
  m_at_ms = now_ms;
}

double VmSpeeds::Decayed::WeightAt(std::int64_t now_ms) const {
  const auto passed = static_cast<double>(now_ms - m_at_ms);
  return m_weight * std::exp2(-std::max(passed, 0.0) / kHalfLifeMs);
}

double VmSpeeds::Of(const VmIncarnation& vm) const {
  const Entry* entry = Find(vm);
  return entry == nullptr ? 1.0 : entry->m_speed;
}

const VmSpeeds::Entry* VmSpeeds::Find(const VmIncarnation& vm) const {
  const auto found = m_vms.find(vm.m_id);
  return found == m_vms.end() || found->second.m_born != vm.m_born
             ? nullptr
             : &found->second;
}

void VmSpeeds::OnRun(const StepRef& step, const StepTraits& traits,
                     const VmIncarnation& vm, double run_ms,
                     std::int64_t now_ms) {
  if (run_ms < 1) {
    return;
  }
  const std::pair key(step, traits.m_service);
  if (m_batches.size() >= kMaxBatches && m_batches.count(key) == 0) {
    // Any step will do: this bounds memory under an extreme load only.
    Evaluate(m_batches.begin()->second, now_ms);
    m_batches.erase(m_batches.begin());
  }
  const auto [found, created] = m_batches.try_emplace(key);
  Batch& batch = found->second;
  if (created) {
    batch.m_traits = traits;
    batch.m_first_ms = now_ms;
    batch.m_shortest_ms = run_ms;
  }
  batch.m_shortest_ms = std::min(batch.m_shortest_ms, run_ms);
  batch.m_runs.push_back({vm, std::log(run_ms)});
  if (batch.m_runs.size() >=
      std::min<std::size_t>(traits.m_tasks, kMaxBatchRuns)) {
    Evaluate(batch, now_ms);
    m_batches.erase(found);
  }
}

void VmSpeeds::OnImpaired(const VmIncarnation& vm) {
  for (auto& [step, batch] : m_batches) {
    std::erase_if(batch.m_runs, [&](const Run& run) { return run.m_vm == vm; });
  }
}

double VmSpeeds::NoiseOf(const Service& service) const {
  return std::max(kMinNoise, service.m_noise.Mean());
}

// Peers of unknown speed count up to half as much as those of known speed.
VmSpeeds::Reference VmSpeeds::ReferenceOf(const Batch& batch,
                                          std::int64_t now_ms) {
  const Service& service = m_services.at(batch.m_traits.m_service);
  Reference reference;
  const auto queue =
      m_queues.find({batch.m_traits.m_service, batch.m_traits.m_queue});
  if (batch.m_traits.m_estimate_ms > 0 && queue != m_queues.end()) {
    const double error = queue->second.m_error.Mean();
    const double variance =
        std::max(kMinNoise, queue->second.m_square.Mean() - error * error);
    reference.m_declared =
        std::log(static_cast<double>(batch.m_traits.m_estimate_ms)) + error;
    reference.m_declared_weight = NoiseOf(service) / variance;
  }
  std::vector<double> values;
  for (const Run& run : batch.m_runs) {
    const Entry* entry = Find(run.m_vm);
    values.push_back(run.m_log_ms + (entry == nullptr ? 0 : entry->m_log));
  }
  const std::vector<double> unclipped = values;
  if (reference.m_declared) {
    values.push_back(*reference.m_declared);
  }
  const double median = Median(values);
  for (std::size_t i = 0; i < batch.m_runs.size(); ++i) {
    const Run& run = batch.m_runs[i];
    const Entry* entry = Find(run.m_vm);
    const double known =
        entry == nullptr ? 0 : entry->m_samples.WeightAt(now_ms);
    const double prior = service.m_prior_samples;
    const double weight = 1 / (1 + prior / (known + prior));
    const double value = Clip(unclipped[i], median);
    reference.m_all.Add(value, weight);
    Reference::Sums& own = reference.m_by_vm[run.m_vm];
    own.Add(value, weight);
    own.m_log_ms.push_back(run.m_log_ms);
  }
  return reference;
}

bool VmSpeeds::TellsSpeed(const Batch& batch) {
  if (batch.m_runs.empty() || !batch.m_traits.m_gang) {
    return !batch.m_runs.empty();
  }
  const auto [least, most] = std::minmax_element(
      batch.m_runs.begin(), batch.m_runs.end(),
      [](const Run& a, const Run& b) { return a.m_log_ms < b.m_log_ms; });
  return most->m_log_ms - least->m_log_ms >= std::log(kMinGangSpread);
}

void VmSpeeds::Evaluate(const Batch& batch, std::int64_t now_ms) {
  if (!TellsSpeed(batch)) {
    return;
  }
  const auto [service, created] =
      m_services.try_emplace(batch.m_traits.m_service);
  if (created) {
    service->second.m_noise.Add(kInitialNoise, kInitialNoiseWeight, now_ms);
    service->second.m_prior_samples = kInitialPriorSamples;
  }
  const Reference reference = ReferenceOf(batch, now_ms);
  for (const auto& [vm, own] : reference.m_by_vm) {
    const double peers =
        reference.m_all.m_weight - own.m_weight + reference.m_declared_weight;
    if (peers < kMinPeers) {
      continue;
    }
    const double mean =
        (reference.m_all.m_sum - own.m_sum +
         reference.m_declared_weight * reference.m_declared.value_or(0)) /
        peers;
    const Entry* entry = Find(vm);
    const double expected = entry == nullptr ? 0 : entry->m_log;
    double sum = 0;
    for (const double log_ms : own.m_log_ms) {
      const double residual = Clip(mean - log_ms, expected);
      sum += residual;
      if (entry != nullptr) {
        // Less the part that is due to the few peers.
        const double deviation = residual - expected;
        service->second.m_noise.Add(deviation * deviation * peers / (peers + 1),
                                    peers / (peers + 1), now_ms);
      }
    }
    const auto runs = static_cast<double>(own.m_log_ms.size());
    // All runs share the error of the mean.
    Learn(vm, batch.m_traits.m_service, sum / runs,
          runs * peers / (runs + peers), now_ms);
  }
  LearnQueue(batch, reference, now_ms);
}

void VmSpeeds::Learn(const VmIncarnation& vm, const std::string& service,
                     double residual, double weight, std::int64_t now_ms) {
  Entry& entry = m_vms[vm.m_id];
  if (entry.m_born > vm.m_born) {
    return;
  }
  if (entry.m_born != vm.m_born || entry.m_service != service) {
    entry = {};
    entry.m_born = vm.m_born;
    entry.m_service = service;
  }
  entry.m_samples.Add(residual, weight, now_ms);
  const Service& mean = m_services.at(service);
  const double known = entry.m_samples.WeightAt(now_ms);
  entry.m_log = entry.m_samples.Mean() * known / (known + mean.m_prior_samples);
  entry.m_speed = std::exp(entry.m_log - mean.m_center);
}

void VmSpeeds::LearnQueue(const Batch& batch, const Reference& reference,
                          std::int64_t now_ms) {
  if (batch.m_traits.m_estimate_ms <= 0) {
    return;
  }
  const double error = std::clamp(
      reference.m_all.m_sum / reference.m_all.m_weight -
          std::log(static_cast<double>(batch.m_traits.m_estimate_ms)),
      -kMaxQueueError, kMaxQueueError);
  const auto [queue, created] = m_queues.try_emplace(
      QueueKey{batch.m_traits.m_service, batch.m_traits.m_queue});
  if (created) {
    queue->second.m_error.Add(error, kInitialQueueWeight, now_ms);
    queue->second.m_square.Add(error * error + kInitialQueueVariance,
                               kInitialQueueWeight, now_ms);
    return;
  }
  queue->second.m_error.Add(error, 1, now_ms);
  queue->second.m_square.Add(error * error, 1, now_ms);
}

void VmSpeeds::Forget(std::int64_t now_ms) {
  absl::erase_if(m_vms, [&](const auto& one) {
    return one.second.m_samples.WeightAt(now_ms) < kMinWeight;
  });
  std::erase_if(m_queues, [&](const auto& one) {
    return one.second.m_error.WeightAt(now_ms) < kMinWeight;
  });
}

// Evaluates the steps that have waited long enough.
void VmSpeeds::EvaluateDueBatches(std::int64_t now_ms) {
  std::erase_if(m_batches, [&](const auto& one) {
    const Batch& batch = one.second;
    const std::int64_t wait_ms =
        static_cast<std::int64_t>(kBatchRuns * batch.m_shortest_ms) +
        kBatchMarginMs;
    const bool due = now_ms - batch.m_first_ms >= wait_ms;
    if (due) {
      Evaluate(batch, now_ms);
    }
    return due;
  });
}

// The mean of each service, and how much the speeds of its VMs differ: among
// VMs of like speed, differences between the estimates are taken for noise.
void VmSpeeds::UpdateServices(std::int64_t now_ms) {
  struct Sums {
    std::size_t m_count = 0;
    double m_sum = 0;
    double m_squares = 0;
    double m_noise = 0;
  };
  std::map<std::string, Sums> all;
  for (const auto& [id, entry] : m_vms) {
    Sums& sums = all[entry.m_service];
    const double known = entry.m_samples.WeightAt(now_ms);
    if (known < 1) {
      continue;
    }
    const double mean = entry.m_samples.Mean();
    ++sums.m_count;
    sums.m_sum += mean;
    sums.m_squares += mean * mean;
    sums.m_noise += 1 / known;
  }
  std::erase_if(m_services,
                [&](const auto& one) { return all.count(one.first) == 0; });
  for (auto& [name, sums] : all) {
    Service& service = m_services.at(name);
    if (sums.m_count < kMinVmsForVariance) {
      service.m_prior_samples = kInitialPriorSamples;
      continue;
    }
    const auto count = static_cast<double>(sums.m_count);
    const double mean = sums.m_sum / count;
    const double noise = NoiseOf(service);
    const double between = std::max(
        noise / kMaxPriorSamples,
        sums.m_squares / count - mean * mean - noise * sums.m_noise / count);
    service.m_prior_samples =
        std::clamp(noise / between, kMinPriorSamples, kMaxPriorSamples);
  }
}

std::vector<VmSpeedChange> VmSpeeds::Refresh(std::int64_t now_ms) {
  Forget(now_ms);
  EvaluateDueBatches(now_ms);
  UpdateServices(now_ms);
  std::map<std::string, std::pair<double, double>> centers;
  for (auto& [id, entry] : m_vms) {
    const double known = entry.m_samples.WeightAt(now_ms);
    const double prior = m_services.at(entry.m_service).m_prior_samples;
    entry.m_log = entry.m_samples.Mean() * known / (known + prior);
    auto& [sum, count] = centers[entry.m_service];
    sum += entry.m_log;
    count += 1;
  }
  for (const auto& [name, center] : centers) {
    m_services.at(name).m_center = center.first / center.second;
  }
  std::vector<VmSpeedChange> changes;
  for (auto& [id, entry] : m_vms) {
    entry.m_speed =
        std::exp(entry.m_log - m_services.at(entry.m_service).m_center);
    const double factor = entry.m_speed / entry.m_reported;
    if (factor > kReportedFactor || factor * kReportedFactor < 1) {
      changes.push_back({{id, entry.m_born},
                         entry.m_reported,
                         entry.m_speed,
                         entry.m_samples.WeightAt(now_ms)});
      entry.m_reported = entry.m_speed;
    }
  }
  m_changes += changes.size();
  return changes;
}

}  // namespace mustardslip
