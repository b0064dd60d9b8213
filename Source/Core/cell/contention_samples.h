// Measures runs together with their neighbors: turns a VM's reports into
// samples, each with the images that shared the VM during its window.
//
// Free of I/O and side effects. Used by ContentionModel.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

#include "cell/cell_types.h"
#include "cell/recent_map.h"
#include "cell/vm_state.h"

namespace mustardslip {

// Number of an image; 0 for a run without one, of which nothing is learned.
using ImageId = std::uint32_t;
// In ascending order, each once.
using ImageSet = absl::InlinedVector<ImageId, 6>;

enum class SampleKind : std::uint8_t {
  kNone,      // The run is only a neighbor of others.
  kProgress,  // Rate of the completed share of its work.
  kLatency,   // Tail latency of a serving task.
};

struct ObservedRun {
  RunKey m_key;
  std::string_view m_image;
  SampleKind m_kind = SampleKind::kNone;
  // The client's estimate of the run time; 0 for none.
  std::int64_t m_estimate_ms = 0;
  // As in ReportedRun.
  double m_percent = 0;
  // 0 if the VM reports none.
  std::int64_t m_latency_ms = 0;
};

// What one report of a VM tells of the runs on it.
struct VmObservation {
  VmIncarnation m_vm;
  // On the VM's clock.
  std::int64_t m_vm_ms = 0;
  // The VM's speed relative to the others of its service; 1 if unknown.
  double m_speed = 1;
  std::vector<ObservedRun> m_running;
  // Runs whose end is reported for the first time.
  std::vector<ObservedRun> m_ended;
  // The VM also lists runs whose image is not known.
  bool m_has_unknown_runs = false;
};

struct ContentionSample {
  // Position in VmObservation::m_running.
  std::size_t m_run = 0;
  // Different for each incarnation of a VM.
  std::uint64_t m_vm = 0;
  // Logarithm of the speed of the run, with the VM's speed divided out: of its
  // rate in percent per millisecond, or of the inverse of its latency.
  double m_log_speed = 0;
  // Images of the other runs that were there during the whole window, and of
  // those that were there at any time in it.
  ImageSet m_throughout;
  ImageSet m_at_any_time;
};

class ContentionSampler {
 public:
  // `images` and `ended_images` hold the images of the runs in
  // `observation.m_running` and `observation.m_ended`. Reports older than the
  // newest one of the VM are ignored.
  std::vector<ContentionSample> Observe(
      const VmObservation& observation, const std::vector<ImageId>& images,
      const std::vector<ImageId>& ended_images);

 private:
  // Bounds the memory; the largest cells have 7,000 VMs.
  static constexpr std::size_t kMaxVms = 8'192;
  static constexpr std::int64_t kNever =
      std::numeric_limits<std::int64_t>::min();

  // Times are on the VM's clock.
  struct TrackedRun {
    ImageId m_image = 0;
    // The first report that lists the run.
    std::int64_t m_since_ms = 0;
    double m_first_percent = 0;
    // Its share has changed since the first report. Before that the run may
    // still be restoring a checkpoint.
    bool m_progresses = false;
    std::int64_t m_window_start_ms = 0;
    double m_window_start_percent = 0;
  };
  struct TrackedVm {
    std::uint64_t m_number = 0;
    std::int64_t m_vm_ms = kNever;
    // The newest report with runs whose image is not known.
    std::int64_t m_unknown_runs_ms = kNever;
    std::map<RunKey, TrackedRun> m_runs;
    // By image: the first report without the run of it that ended last.
    std::map<ImageId, std::int64_t> m_gone;
  };

  static void UpdateRuns(TrackedVm& vm, const VmObservation& observation,
                         const std::vector<ImageId>& images,
                         const std::vector<ImageId>& ended_images);
  // True if the run's window ends with this report; sets the sample's speed.
  static bool MeasureProgress(const ObservedRun& run, std::int64_t vm_ms,
                              TrackedRun& tracked, ContentionSample& sample);
  static bool MeasureLatency(const ObservedRun& run, std::int64_t vm_ms,
                             TrackedRun& tracked, ContentionSample& sample);
  static void FindNeighbors(const TrackedVm& vm, const TrackedRun& run,
                            std::int64_t start_ms, ContentionSample& sample);

  std::uint64_t m_last_vm_number = 0;
  RecentMap<VmIncarnation, TrackedVm> m_vms{kMaxVms};
};

}  // namespace mustardslip
