// Buckets by free CPU, with a segment tree of their maximum free memory.
#include "placement/best_fit_index.h"

#include <algorithm>

namespace mustardslip {

std::size_t BestFitIndex::BucketOf(std::int64_t cpu_millis) {
  return std::min(static_cast<std::size_t>(cpu_millis / kBucketCpuMillis),
                  kBuckets - 1);
}

std::size_t BestFitIndex::ClassOf(const Resources& free,
                                  bool has_accelerators) {
  if (!has_accelerators) {
    return 0;
  }
  return 1 + static_cast<std::size_t>(
                 std::min(free.m_accelerators, kMaxFreeAccelerators));
}

void BestFitIndex::Insert(VmIndex vm, const Resources& free,
                          bool has_accelerators) {
  const std::size_t index = ClassOf(free, has_accelerators);
  if (index >= m_classes.size()) {
    m_classes.resize(index + 1);
  }
  if (m_classes[index] == nullptr) {
    m_classes[index] = std::make_unique<AcceleratorClass>();
  }
  AcceleratorClass& accelerator_class = *m_classes[index];
  const std::size_t bucket = BucketOf(free.m_cpu_millis);
  accelerator_class.m_buckets[bucket].emplace(free.m_memory_mb, vm);
  ++accelerator_class.m_count;
  accelerator_class.Update(bucket);
}

void BestFitIndex::Erase(VmIndex vm, const Resources& free,
                         bool has_accelerators) {
  AcceleratorClass& accelerator_class =
      *m_classes[ClassOf(free, has_accelerators)];
  const std::size_t bucket = BucketOf(free.m_cpu_millis);
  accelerator_class.m_buckets[bucket].erase(Entry(free.m_memory_mb, vm));
  --accelerator_class.m_count;
  accelerator_class.Update(bucket);
}

void BestFitIndex::AcceleratorClass::Update(std::size_t bucket) {
  std::size_t node = kBuckets + bucket;
  m_max_memory[node] =
      m_buckets[bucket].empty() ? -1 : m_buckets[bucket].rbegin()->first;
  for (node /= 2; node > 0; node /= 2) {
    m_max_memory[node] =
        std::max(m_max_memory[2 * node], m_max_memory[2 * node + 1]);
  }
}

std::size_t BestFitIndex::AcceleratorClass::Find(std::size_t node,
                                                 std::size_t begin,
                                                 std::size_t size,
                                                 std::size_t from,
                                                 std::int64_t memory) const {
  if (begin + size <= from || m_max_memory[node] < memory) {
    return kBuckets;
  }
  if (size == 1) {
    return begin;
  }
  const std::size_t half = size / 2;
  const std::size_t left = Find(2 * node, begin, half, from, memory);
  if (left != kBuckets) {
    return left;
  }
  return Find(2 * node + 1, begin + half, half, from, memory);
}

}  // namespace mustardslip
