// Windows of measurement, and who shared the VM during each.
#include "cell/contention_samples.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cell/run_progress.h"

namespace mustardslip {
namespace {

// Shares are rounded to 1 %: a short window must cover several percent, a
// longer one may cover fewer.
constexpr std::int64_t kShortWindowMs = 300;
constexpr double kShortWindowPercent = 8;
constexpr std::int64_t kLongWindowMs = 1'500;
constexpr double kLongWindowPercent = 4;
// A window that has not covered enough by then is begun again.
constexpr std::int64_t kMaxWindowMs = 30'000;
// A VM reports the tail latency of the last half second.
constexpr std::int64_t kLatencyWindowMs = 500;
// Latencies are whole milliseconds; a constant keeps their rounding small.
constexpr double kLatencyRoundingMs = 1;
// After a longer silence it is not known what ran on the VM in the meantime.
constexpr std::int64_t kMaxGapMs = 4'000;

void Normalize(ImageSet& images) {
  std::sort(images.begin(), images.end());
  images.erase(std::unique(images.begin(), images.end()), images.end());
}

}  // namespace

std::vector<ContentionSample> ContentionSampler::Observe(
    const VmObservation& observation, const std::vector<ImageId>& images,
    const std::vector<ImageId>& ended_images) {
  TrackedVm& vm = m_vms.Use(observation.m_vm);
  if (vm.m_number == 0) {
    vm.m_number = ++m_last_vm_number;
  }
  const std::int64_t vm_ms = observation.m_vm_ms;
  if (vm.m_vm_ms != kNever) {
    if (vm_ms <= vm.m_vm_ms) {
      return {};
    }
    if (vm_ms - vm.m_vm_ms > kMaxGapMs) {
      vm.m_runs.clear();
      vm.m_gone.clear();
    }
  }
  vm.m_vm_ms = vm_ms;
  if (observation.m_has_unknown_runs) {
    vm.m_unknown_runs_ms = vm_ms;
  }
  UpdateRuns(vm, observation, images, ended_images);

  std::vector<ContentionSample> samples;
  for (std::size_t i = 0; i < observation.m_running.size(); ++i) {
    const ObservedRun& run = observation.m_running[i];
    TrackedRun& tracked = vm.m_runs.at(run.m_key);
    if (tracked.m_image == 0 || run.m_kind == SampleKind::kNone) {
      continue;
    }
    ContentionSample sample;
    sample.m_run = i;
    sample.m_vm = vm.m_number;
    const std::int64_t start_ms = run.m_kind == SampleKind::kLatency
                                      ? vm_ms - kLatencyWindowMs
                                      : tracked.m_window_start_ms;
    const bool measured = run.m_kind == SampleKind::kLatency
                              ? MeasureLatency(run, vm_ms, tracked, sample)
                              : MeasureProgress(run, vm_ms, tracked, sample);
    if (!measured || vm.m_unknown_runs_ms >= start_ms) {
      continue;
    }
    sample.m_log_speed -= std::log(observation.m_speed);
    FindNeighbors(vm, tracked, start_ms, sample);
    samples.push_back(std::move(sample));
  }
  return samples;
}

void ContentionSampler::UpdateRuns(TrackedVm& vm,
                                   const VmObservation& observation,
                                   const std::vector<ImageId>& images,
                                   const std::vector<ImageId>& ended_images) {
  const std::int64_t vm_ms = observation.m_vm_ms;
  std::map<RunKey, TrackedRun> running;
  for (std::size_t i = 0; i < observation.m_running.size(); ++i) {
    const ObservedRun& run = observation.m_running[i];
    if (auto known = vm.m_runs.extract(run.m_key)) {
      running.insert(std::move(known));
    } else {
      running.emplace(run.m_key, TrackedRun{images[i], vm_ms, run.m_percent,
                                            false, vm_ms, run.m_percent});
    }
  }
  for (const auto& [key, run] : vm.m_runs) {
    vm.m_gone[run.m_image] = vm_ms;
  }
  // Some ran only between two reports.
  for (const ImageId image : ended_images) {
    vm.m_gone[image] = vm_ms;
  }
  std::erase_if(vm.m_gone, [&](const auto& gone) {
    return gone.first == 0 || gone.second < vm_ms - kMaxWindowMs;
  });
  vm.m_runs = std::move(running);
}

bool ContentionSampler::MeasureProgress(const ObservedRun& run,
                                        std::int64_t vm_ms, TrackedRun& tracked,
                                        ContentionSample& sample) {
  const std::int64_t window_ms = vm_ms - tracked.m_window_start_ms;
  const double percent = run.m_percent - tracked.m_window_start_percent;
  const auto begin_window = [&] {
    tracked.m_window_start_ms = vm_ms;
    tracked.m_window_start_percent = run.m_percent;
  };
  if (!tracked.m_progresses) {
    tracked.m_progresses = run.m_percent > tracked.m_first_percent;
    begin_window();
    return false;
  }
  const bool done = run.m_percent >= RunProgress::kWholePercent;
  if (done || window_ms > kMaxWindowMs) {
    begin_window();
    return false;
  }
  if (!(window_ms >= kShortWindowMs && percent >= kShortWindowPercent) &&
      !(window_ms >= kLongWindowMs && percent >= kLongWindowPercent)) {
    return false;
  }
  sample.m_log_speed = std::log(percent / static_cast<double>(window_ms));
  begin_window();
  return true;
}

bool ContentionSampler::MeasureLatency(const ObservedRun& run,
                                       std::int64_t vm_ms, TrackedRun& tracked,
                                       ContentionSample& sample) {
  // For a serving task the whole share means that it has finished starting.
  if (run.m_percent < RunProgress::kWholePercent) {
    tracked.m_window_start_ms = vm_ms;
    return false;
  }
  if (run.m_latency_ms <= 0 ||
      vm_ms - tracked.m_window_start_ms < kLatencyWindowMs) {
    return false;
  }
  tracked.m_window_start_ms = vm_ms;
  sample.m_log_speed =
      -std::log(static_cast<double>(run.m_latency_ms) + kLatencyRoundingMs);
  return true;
}

void ContentionSampler::FindNeighbors(const TrackedVm& vm,
                                      const TrackedRun& run,
                                      std::int64_t start_ms,
                                      ContentionSample& sample) {
  for (const auto& [key, other] : vm.m_runs) {
    if (&other == &run || other.m_image == 0) {
      continue;
    }
    sample.m_at_any_time.push_back(other.m_image);
    if (other.m_since_ms <= start_ms) {
      sample.m_throughout.push_back(other.m_image);
    }
  }
  for (const auto& [image, gone_ms] : vm.m_gone) {
    if (gone_ms > start_ms) {
      sample.m_at_any_time.push_back(image);
    }
  }
  Normalize(sample.m_at_any_time);
  Normalize(sample.m_throughout);
}

}  // namespace mustardslip
