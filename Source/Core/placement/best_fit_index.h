// VMs ordered by free processors and, inside a step of processors, by free
// memory: finds tight fits in logarithmic time.
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
  // `has_accelerators` keeps VMs with accelerators for work that needs them.
  void Insert(VmIndex vm, const Resources& free, bool has_accelerators);
  void Erase(VmIndex vm, const Resources& free, bool has_accelerators);

  // Calls `visit(vm)` for VMs that may hold `need`, tightest processors first
  // inside each class of accelerators, until it returns true. The caller
  // checks the exact fit. May skip a VM that fits by less than one step.
  template <typename Visitor>
  void Visit(const Resources& need, Visitor visit) const;

 private:
  // 1/8 processor: 64-core VMs need 512 steps, and VMs of more than 128 cores
  // share the last step.
  static constexpr std::int64_t kStepCpuMillis = 125;
  static constexpr std::size_t kSteps = 1024;
  // Class 0 has no accelerators; class 1 + n has n free ones.
  static constexpr std::int64_t kMaxFreeAccelerators = 16;
  // VMs tried in one step; more of them are alike.
  static constexpr int kVisitsPerStep = 4;

  using Entry = std::pair<std::int64_t, VmIndex>;  // Free memory, VM.

  struct Class {
    Class() : m_steps(kSteps), m_max_memory(2 * kSteps, -1) {}

    void Update(std::size_t step);
    std::size_t Find(std::size_t node, std::size_t begin, std::size_t size,
                     std::size_t from, std::int64_t memory) const;

    std::vector<absl::btree_set<Entry>> m_steps;
    // Tree of the largest free memory of each step.
    std::vector<std::int64_t> m_max_memory;
    std::int64_t m_count = 0;
  };

  static std::size_t StepOf(std::int64_t cpu_millis);
  static std::size_t ClassOf(const Resources& free, bool has_accelerators);

  std::vector<std::unique_ptr<Class>> m_classes;
};

template <typename Visitor>
void BestFitIndex::Visit(const Resources& need, Visitor visit) const {
  const std::size_t first =
      need.m_accelerators > 0 ? ClassOf(need, true) : std::size_t{0};
  for (std::size_t index = first; index < m_classes.size(); ++index) {
    const Class* group = m_classes[index].get();
    if (group == nullptr || group->m_count == 0) {
      continue;
    }
    std::size_t step =
        group->Find(1, 0, kSteps, StepOf(need.m_cpu_millis), need.m_memory_mb);
    while (step < kSteps) {
      const auto& entries = group->m_steps[step];
      auto entry = entries.lower_bound(Entry(need.m_memory_mb, 0));
      for (int i = 0; i < kVisitsPerStep && entry != entries.end();
           ++i, ++entry) {
        if (visit(entry->second)) {
          return;
        }
      }
      step = group->Find(1, 0, kSteps, step + 1, need.m_memory_mb);
    }
  }
}

}  // namespace mustardslip
