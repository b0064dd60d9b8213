// Index of VMs by free CPU, in buckets, and by free memory inside a bucket.
// Finds best-fit candidates in logarithmic time. Owned by VmTable.
#pragma once

#include <absl/container/btree_set.h>

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "common/resources.h"

namespace mustardslip {

using VmIndex = std::uint32_t;

class BestFitIndex {
 public:
  // `has_accelerators`: the VM has accelerators, free or not. Such VMs are
  // visited last for work that needs none.
  void Insert(VmIndex vm, const Resources& free, bool has_accelerators);
  void Erase(VmIndex vm, const Resources& free, bool has_accelerators);

  // Calls `visit(vm)` for VMs that may fit `need`, least free CPU first inside
  // each accelerator class, until it returns true. The caller checks the exact
  // fit. May skip a VM whose free CPU exceeds the need by less than one bucket.
  template <typename Visitor>
  void Visit(const Resources& need, Visitor visit) const;

 private:
  // 1/8 core: 64-core VMs need 512 buckets, and all VMs with more than 128 free
  // cores share the last bucket.
  static constexpr std::int64_t kBucketCpuMillis = 125;
  static constexpr std::size_t kBuckets = 1024;
  // Index 0 of m_classes: VMs without accelerators; index 1 + n: VMs with n
  // free ones, up to this number.
  static constexpr std::int64_t kMaxFreeAccelerators = 16;
  // Maximum number of VMs visited in one bucket; further ones are similar.
  static constexpr int kMaxVisitsPerBucket = 4;

  using Entry = std::pair<std::int64_t, VmIndex>;  // Free memory, VM.

  struct AcceleratorClass {
    AcceleratorClass() : m_buckets(kBuckets), m_max_memory(2 * kBuckets, -1) {}

    void Update(std::size_t bucket);
    std::size_t Find(std::size_t node, std::size_t begin, std::size_t size,
                     std::size_t from, std::int64_t memory) const;

    std::vector<absl::btree_set<Entry>> m_buckets;
    // Segment tree of the maximum free memory of each bucket; -1 if empty.
    std::vector<std::int64_t> m_max_memory;
    std::int64_t m_count = 0;
  };

  static std::size_t BucketOf(std::int64_t cpu_millis);
  static std::size_t ClassOf(const Resources& free, bool has_accelerators);

  std::vector<std::unique_ptr<AcceleratorClass>> m_classes;
};

template <typename Visitor>
void BestFitIndex::Visit(const Resources& need, Visitor visit) const {
  const std::size_t first =
      need.m_accelerators > 0 ? ClassOf(need, true) : std::size_t{0};
  for (std::size_t index = first; index < m_classes.size(); ++index) {
    const AcceleratorClass* accelerator_class = m_classes[index].get();
    if (accelerator_class == nullptr || accelerator_class->m_count == 0) {
      continue;
    }
    std::size_t bucket = accelerator_class->Find(
        1, 0, kBuckets, BucketOf(need.m_cpu_millis), need.m_memory_mb);
    while (bucket < kBuckets) {
      const auto& entries = accelerator_class->m_buckets[bucket];
      auto entry = entries.lower_bound(Entry(need.m_memory_mb, 0));
      for (int i = 0; i < kMaxVisitsPerBucket && entry != entries.end();
           ++i, ++entry) {
        if (visit(entry->second)) {
          return;
        }
      }
      bucket =
          accelerator_class->Find(1, 0, kBuckets, bucket + 1, need.m_memory_mb);
    }
  }
}

}  // namespace mustardslip
