// Estimates how much tasks of one image slow down those of another on the same
// VM, and what starting a task beside them costs.
//
// Free of I/O, clock and randomness. Owned by CellCore, read by a scheduling
// pass. Volatile: a new owner knows nothing and learns again.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_types.h"
#include "cell/contention_samples.h"
#include "cell/recent_map.h"
#include "cell/vm_state.h"

namespace mustardslip {

class ContentionModel {
 public:
  // Bounds on the memory; of what exceeds them, the least recently seen is
  // dropped.
  static constexpr std::size_t kMaxImages = 1'024;
  static constexpr std::size_t kMaxPairs = 4'096;
  static constexpr std::size_t kMaxSteps = 512;

  struct PairEstimate {
    // How many times as long the work takes; at least 1.
    double m_factor = 1;
    std::size_t m_samples = 0;
    bool m_harmful = false;

    bool operator==(const PairEstimate&) const = default;
  };

  // Learns from a report. `now_ms`: owner's steady clock.
  void Observe(const VmObservation& observation, std::int64_t now_ms);
  // Forgets old samples and updates the estimates and costs. Does nothing until
  // an interval has passed since the last time.
  void Refresh(std::int64_t now_ms);
  // Returns and clears the pairs that became harmful or harmless.
  std::vector<ContentionChange> TakeChanges();

  // What starting a task of `image` on the VM costs: by how much, relative to
  // their run time alone, the task is slowed down by the runs there and slows
  // them down. Counts harmful pairs only; 0 if nothing is known.
  double Cost(const VmState& vm, const std::string& image) const {
    return Cost(vm.m_images, image);
  }
  double Cost(const ImageCounts& images, const std::string& image) const;
  // True if `image` is part of a harmful pair.
  bool IsPartOfHarmfulPair(const std::string& image) const {
    return m_costs.contains(image);
  }

  // Nullopt if nothing is known of the pair.
  std::optional<PairEstimate> Estimate(const std::string& slowed,
                                       const std::string& by) const;
  std::size_t HarmfulPairs() const { return m_harmful.size(); }
  std::size_t Pairs() const { return m_pairs.Size(); }
  std::size_t Images() const { return m_images.Size(); }

 private:
  // A measured speed of one image on one VM.
  struct Reference {
    std::uint64_t m_vm = 0;
    std::int64_t m_at_ms = 0;
    double m_log_speed = 0;
    // A neighbor was known to hurt.
    bool m_disturbed = false;
    // Images that were there at any time of the measurement.
    ImageSet m_neighbors;
  };
  using References = std::vector<Reference>;

  struct Image {
    ImageId m_id = 0;
    // Rates relative to the estimated run time.
    References m_progress;
    References m_latency;
  };

  struct PairSample {
    std::uint64_t m_vm = 0;
    std::int64_t m_at_ms = 0;
    // Logarithm of the slowdown.
    double m_log_factor = 0;
    // Square of the standard error of the speed compared with.
    double m_usual_variance = 0;
  };
  struct Pair {
    std::string m_slowed;
    std::string m_by;
    // At most one of each VM.
    std::vector<PairSample> m_samples;
    // Logarithm of the estimated factor; at least 0.
    double m_effect = 0;
    // The effect is well above the error of the estimate.
    bool m_certain = false;
  };
  struct UsualSpeed {
    double m_log_speed = 0;
    // Square of the standard error.
    double m_variance = 0;
  };
  // The slowed image in the upper half.
  using PairKey = std::uint64_t;

  // Parts of the cost of a start beside one run of another image.
  struct NeighborCost {
    // Of the started task, once however many runs are there.
    double m_suffered = 0;
    // Of each run there.
    double m_caused = 0;
  };

  static PairKey KeyOf(ImageId slowed, ImageId by) {
    constexpr unsigned kHalf = 32;
    return (PairKey{slowed} << kHalf) | by;
  }
  // 0 for an empty name.
  ImageId IdOf(std::string_view name);
  // Logarithm of the factor of a harmful pair, 0 of any other.
  double EffectOf(PairKey key) const;
  void Learn(const ObservedRun& run, const ContentionSample& sample,
             const std::map<ImageId, std::string_view>& names,
             std::int64_t now_ms);
  // The usual speed on VMs without the neighbor; nullopt with too few
  // references.
  static std::optional<UsualSpeed> FindUsualSpeed(const References& references,
                                                  ImageId without,
                                                  std::uint64_t other_than_vm,
                                                  std::size_t min_references,
                                                  std::int64_t now_ms);
  static void EstimateEffect(Pair& pair, std::int64_t now_ms);
  void UpdateCosts();

  ContentionSampler m_sampler;
  ImageId m_last_image = 0;
  RecentMap<std::string, Image> m_images{kMaxImages};
  // By step: rates in percent per millisecond.
  RecentMap<StepRef, References> m_steps{kMaxSteps};
  RecentMap<PairKey, Pair> m_pairs{kMaxPairs};
  std::map<PairKey, ContentionChange> m_harmful;
  // By started image, then by the image of a neighbor. Derived from m_harmful.
  absl::flat_hash_map<std::string,
                      absl::flat_hash_map<std::string, NeighborCost>>
      m_costs;
  std::vector<ContentionChange> m_changes;
  std::optional<std::int64_t> m_refreshed_ms;
};

// The costs during one scheduling pass, with the starts that it has planned.
class PassContention {
 public:
  // `model`: null if contention is not avoided.
  explicit PassContention(const ContentionModel* model) : m_model(model) {}

  // True if it matters on which VM a task of `image` starts.
  bool Matters(const std::string& image) const {
    return m_model != nullptr && m_model->IsPartOfHarmfulPair(image);
  }
  // The cost in coarse steps, so that differences within the error of the
  // estimates leave the order of VMs as it is. 0 if it does not matter.
  int CostLevel(const VmState& vm, const std::string& image) const;
  // Sorts by the cost level of each entry's VM and keeps the order of VMs with
  // the same level. `vm_of(entry)` returns a pointer to the VM.
  template <typename Entry, typename VmOf>
  void SortByCost(const std::string& image, std::vector<Entry>& entries,
                  VmOf vm_of) const {
    if (Matters(image)) {
      std::stable_sort(
          entries.begin(), entries.end(), [&](const Entry& a, const Entry& b) {
            return CostLevel(*vm_of(a), image) < CostLevel(*vm_of(b), image);
          });
    }
  }
  void OnPlanned(const VmState& vm, const std::string& image);

 private:
  const ContentionModel* m_model;
  std::map<const VmState*, ImageCounts> m_planned;
};

}  // namespace mustardslip
