// Compares runs that have a neighbor with runs that have not, and keeps the
// estimates of pairs.
#include "cell/contention.h"

#include <algorithm>
#include <cmath>

namespace mustardslip {
namespace {

// Limits of the samples kept of a step, of an image and of a pair.
constexpr std::size_t kMaxReferences = 32;
constexpr std::size_t kMaxPairSamples = 32;
// Runs without the neighbor, each on a VM of its own, that a comparison needs:
// among the tasks of one step, or among all runs of the image.
constexpr std::size_t kMinStepReferences = 3;
constexpr std::size_t kMinImageReferences = 2;
constexpr std::int64_t kMaxReferenceAgeMs = 10'000;
// With more images on a VM, a slowdown has too many possible causes.
constexpr std::size_t kMaxNeighbors = 12;
// Speeds that differ from the usual one by more than this factor are left out:
// a task that takes seven times as long also reports for seven times as long,
// so 3 such tasks in 100 give 18 of 100 reports. Larger than the ratio of the
// speeds of VMs whose speed is not known yet. vm_pace.h handles VMs that slow
// down their tasks by more.
const double kMaxLogDeviation = std::log(3.5);
// Latencies have no such outliers; larger factors are clipped.
const double kMaxLatencyLogFactor = std::log(8);
// A sample counts half after the first time and not at all after the second.
constexpr double kHalfLifeMs = 10'000;
constexpr std::int64_t kMaxSampleAgeMs = 40'000;
// An estimate from this many samples counts half.
constexpr double kShrinkage = 2;
// Deviation of a value that is assumed before enough of them show it.
constexpr double kPriorDeviation = 0.25;
// A pair becomes harmful if its effect is above the first factor and the mean
// of its samples above this many standard errors, and harmless if its effect is
// below the second factor. Many pairs are compared twice a second, so that
// fewer standard errors would often be exceeded by chance.
constexpr double kMinStandardErrors = 4;
const double kHarmfulEffect = std::log(1.2);
const double kHarmlessEffect = std::log(1.1);
constexpr std::int64_t kRefreshMs = 500;
// Cost of level 1; each further level stands for twice the cost, so that errors
// well below a factor of two seldom change the level.
constexpr double kLowestCost = 0.1;

bool Contains(const ImageSet& images, ImageId image) {
  return std::binary_search(images.begin(), images.end(), image);
}

struct Weighted {
  double m_value = 0;
  double m_weight = 1;
};

struct RobustMean {
  double m_mean = 0;
  // Square of the standard error.
  double m_variance = 0;
  // Sum of the weights of the values that count.
  double m_weight = 0;
};

// The mean of the values near the median. Unlike the median, it does not jump
// between the values of two groups of VMs. Requires a value.
RobustMean MeanNearMedian(std::vector<Weighted>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end(),
                   [](const Weighted& a, const Weighted& b) {
                     return a.m_value < b.m_value;
                   });
  const double median = middle->m_value;
  std::erase_if(values, [median](const Weighted& value) {
    return std::abs(value.m_value - median) > kMaxLogDeviation;
  });
  RobustMean result;
  for (const Weighted& value : values) {
    result.m_weight += value.m_weight;
    result.m_mean += value.m_weight * value.m_value;
  }
  result.m_mean /= result.m_weight;
  double squares = kPriorDeviation * kPriorDeviation;
  for (const Weighted& value : values) {
    const double deviation = value.m_value - result.m_mean;
    squares += value.m_weight * deviation * deviation;
  }
  result.m_variance = squares / (result.m_weight * result.m_weight);
  return result;
}

// Replaces the entry of the same VM, or the oldest one if there is no room.
template <typename Entry>
void KeepNewest(std::vector<Entry>& entries, Entry added,
                std::size_t max_entries) {
  const auto same_vm = std::find_if(
      entries.begin(), entries.end(),
      [&](const Entry& entry) { return entry.m_vm == added.m_vm; });
  if (same_vm != entries.end()) {
    *same_vm = std::move(added);
  } else if (entries.size() < max_entries) {
    entries.push_back(std::move(added));
  } else {
    *std::min_element(entries.begin(), entries.end(),
                      [](const Entry& a, const Entry& b) {
                        return a.m_at_ms < b.m_at_ms;
                      }) = std::move(added);
  }
}

}  // namespace

ImageId ContentionModel::IdOf(std::string_view name) {
  if (name.empty()) {
    return 0;
  }
  Image& image = m_images.Use(std::string(name));
  if (image.m_id == 0) {
    image.m_id = ++m_last_image;
  }
  return image.m_id;
}

void ContentionModel::Observe(const VmObservation& observation,
                              std::int64_t now_ms) {
  std::vector<ImageId> images;
  std::vector<ImageId> ended_images;
  std::map<ImageId, std::string_view> names;
  for (const ObservedRun& run : observation.m_running) {
    images.push_back(IdOf(run.m_image));
    names.emplace(images.back(), run.m_image);
  }
  for (const ObservedRun& run : observation.m_ended) {
    ended_images.push_back(IdOf(run.m_image));
  }
  for (const ContentionSample& sample :
       m_sampler.Observe(observation, images, ended_images)) {
    Learn(observation.m_running[sample.m_run], sample, names, now_ms);
  }
}

void ContentionModel::Learn(const ObservedRun& run,
                            const ContentionSample& sample,
                            const std::map<ImageId, std::string_view>& names,
                            std::int64_t now_ms) {
  if (sample.m_at_any_time.size() > kMaxNeighbors) {
    return;
  }
  Image& image = m_images.Use(std::string(run.m_image));
  if (image.m_id == 0) {
    // Dropped by the images of this very report.
    return;
  }
  const bool latency = run.m_kind == SampleKind::kLatency;
  References* step = latency ? nullptr : &m_steps.Use(StepOf(run.m_key.first));
  References& of_image = latency ? image.m_latency : image.m_progress;
  // Steps of one image differ in work: only their estimates make their rates
  // comparable.
  const bool comparable = latency || run.m_estimate_ms > 0;
  const double log_work =
      latency || !comparable ? 0
                             : std::log(static_cast<double>(run.m_estimate_ms));

  double largest_effect = 0;
  for (const ImageId neighbor : sample.m_at_any_time) {
    largest_effect =
        std::max(largest_effect, EffectOf(KeyOf(image.m_id, neighbor)));
  }
  for (const ImageId neighbor : sample.m_throughout) {
    const auto name = names.find(neighbor);
    const PairKey key = KeyOf(image.m_id, neighbor);
    // A neighbor that is known to hurt more explains what is measured.
    if (name == names.end() || EffectOf(key) < largest_effect) {
      continue;
    }
    std::optional<UsualSpeed> usual;
    if (step != nullptr) {
      usual = FindUsualSpeed(*step, neighbor, sample.m_vm, kMinStepReferences,
                             now_ms);
    }
    if (!usual && comparable) {
      usual = FindUsualSpeed(of_image, neighbor, sample.m_vm,
                             kMinImageReferences, now_ms);
      if (usual) {
        usual->m_log_speed -= log_work;
      }
    }
    if (!usual) {
      continue;
    }
    double log_factor = usual->m_log_speed - sample.m_log_speed;
    if (latency) {
      log_factor =
          std::clamp(log_factor, -kMaxLatencyLogFactor, kMaxLatencyLogFactor);
    } else if (std::abs(log_factor) > kMaxLogDeviation) {
      continue;
    }
    Pair& pair = m_pairs.Use(key);
    if (pair.m_slowed.empty()) {
      pair.m_slowed = run.m_image;
      pair.m_by = name->second;
    }
    KeepNewest(pair.m_samples,
               {sample.m_vm, now_ms, log_factor, usual->m_variance},
               kMaxPairSamples);
  }
  const Reference reference{sample.m_vm, now_ms, sample.m_log_speed,
                            largest_effect > 0, sample.m_at_any_time};
  if (step != nullptr) {
    KeepNewest(*step, reference, kMaxReferences);
  }
  if (comparable) {
    Reference relative = reference;
    relative.m_log_speed += log_work;
    KeepNewest(of_image, std::move(relative), kMaxReferences);
  }
}

std::optional<ContentionModel::UsualSpeed> ContentionModel::FindUsualSpeed(
    const References& references, ImageId without, std::uint64_t other_than_vm,
    std::size_t min_references, std::int64_t now_ms) {
  std::vector<Weighted> speeds;
  std::vector<Weighted> undisturbed;
  speeds.reserve(references.size());
  undisturbed.reserve(references.size());
  for (const Reference& reference : references) {
    if (reference.m_vm != other_than_vm &&
        now_ms - reference.m_at_ms <= kMaxReferenceAgeMs &&
        !Contains(reference.m_neighbors, without)) {
      speeds.push_back({reference.m_log_speed});
      if (!reference.m_disturbed) {
        undisturbed.push_back(speeds.back());
      }
    }
  }
  std::vector<Weighted>& used =
      undisturbed.size() < min_references ? speeds : undisturbed;
  if (used.size() < min_references) {
    return std::nullopt;
  }
  const RobustMean mean = MeanNearMedian(used);
  return UsualSpeed{mean.m_mean, mean.m_variance};
}

double ContentionModel::EffectOf(PairKey key) const {
  const auto pair = m_harmful.find(key);
  return pair == m_harmful.end() ? 0 : std::log(pair->second.m_factor);
}

// The mean of the samples, moved towards no effect the fewer there are. One VM
// alone shows nothing: it may be slow for another reason.
void ContentionModel::EstimateEffect(Pair& pair, std::int64_t now_ms) {
  pair.m_effect = 0;
  pair.m_certain = false;
  if (pair.m_samples.size() < 2) {
    return;
  }
  std::vector<Weighted> factors;
  double usual_variance = 0;
  for (const PairSample& sample : pair.m_samples) {
    const auto age_ms = static_cast<double>(now_ms - sample.m_at_ms);
    factors.push_back({sample.m_log_factor, std::exp2(-age_ms / kHalfLifeMs)});
    usual_variance += sample.m_usual_variance;
  }
  // Samples of one time share their references, so these errors do not average
  // out.
  usual_variance /= static_cast<double>(pair.m_samples.size());
  const RobustMean mean = MeanNearMedian(factors);
  const double share = mean.m_weight / (mean.m_weight + kShrinkage);
  const double error = std::sqrt(mean.m_variance + usual_variance);
  pair.m_effect = std::max(0.0, mean.m_mean) * share;
  pair.m_certain = mean.m_mean >= kMinStandardErrors * error;
}

void ContentionModel::Refresh(std::int64_t now_ms) {
  if (m_refreshed_ms && now_ms - *m_refreshed_ms < kRefreshMs) {
    return;
  }
  m_refreshed_ms = now_ms;
  std::map<PairKey, ContentionChange> harmful;
  m_pairs.VisitAndKeepIf([&](PairKey key, Pair& pair) {
    std::erase_if(pair.m_samples, [&](const PairSample& sample) {
      return now_ms - sample.m_at_ms > kMaxSampleAgeMs;
    });
    EstimateEffect(pair, now_ms);
    if (m_harmful.contains(key)
            ? pair.m_effect >= kHarmlessEffect
            : pair.m_certain && pair.m_effect >= kHarmfulEffect) {
      harmful.emplace(key, ContentionChange{pair.m_slowed, pair.m_by, true,
                                            std::exp(pair.m_effect),
                                            pair.m_samples.size()});
    }
    return !pair.m_samples.empty();
  });
  for (const auto& [key, change] : harmful) {
    if (!m_harmful.contains(key)) {
      m_changes.push_back(change);
    }
  }
  for (const auto& [key, change] : m_harmful) {
    if (!harmful.contains(key)) {
      const Pair* pair = m_pairs.Find(key);
      m_changes.push_back({change.m_slowed_image, change.m_by_image, false,
                           pair == nullptr ? 1 : std::exp(pair->m_effect),
                           pair == nullptr ? 0 : pair->m_samples.size()});
    }
  }
  m_harmful = std::move(harmful);
  UpdateCosts();
}

void ContentionModel::UpdateCosts() {
  m_costs.clear();
  for (const auto& [key, pair] : m_harmful) {
    const double cost = pair.m_factor - 1;
    m_costs[pair.m_slowed_image][pair.m_by_image].m_suffered = cost;
    m_costs[pair.m_by_image][pair.m_slowed_image].m_caused = cost;
  }
}

std::vector<ContentionChange> ContentionModel::TakeChanges() {
  return std::exchange(m_changes, {});
}

double ContentionModel::Cost(const ImageCounts& images,
                             const std::string& image) const {
  const auto costs = m_costs.find(image);
  if (costs == m_costs.end()) {
    return 0;
  }
  double cost = 0;
  for (const auto& [neighbor, runs] : images) {
    const auto found = costs->second.find(neighbor);
    if (found != costs->second.end()) {
      cost += found->second.m_suffered + found->second.m_caused * runs;
    }
  }
  return cost;
}

std::optional<ContentionModel::PairEstimate> ContentionModel::Estimate(
    const std::string& slowed, const std::string& by) const {
  const Image* slowed_image = m_images.Find(slowed);
  const Image* by_image = m_images.Find(by);
  if (slowed_image == nullptr || by_image == nullptr) {
    return std::nullopt;
  }
  const PairKey key = KeyOf(slowed_image->m_id, by_image->m_id);
  const Pair* pair = m_pairs.Find(key);
  if (pair == nullptr) {
    return std::nullopt;
  }
  return PairEstimate{std::exp(pair->m_effect), pair->m_samples.size(),
                      m_harmful.contains(key)};
}

int PassContention::CostLevel(const VmState& vm,
                              const std::string& image) const {
  if (!Matters(image)) {
    return 0;
  }
  double cost = m_model->Cost(vm, image);
  if (const auto planned = m_planned.find(&vm); planned != m_planned.end()) {
    cost += m_model->Cost(planned->second, image);
  }
  return cost < kLowestCost
             ? 0
             : 1 + static_cast<int>(std::log2(cost / kLowestCost));
}

void PassContention::OnPlanned(const VmState& vm, const std::string& image) {
  if (Matters(image)) {
    ++m_planned[&vm][image];
  }
}

}  // namespace mustardslip
