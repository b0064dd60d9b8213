// Property tests that compare FitTree and BestFitIndex with a linear scan.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "placement/best_fit_index.h"
#include "placement/fit_tree.h"

namespace mustardslip {
namespace {

rc::Gen<Resources> AnyResources() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 64), rc::gen::inRange(0, 64),
                     rc::gen::inRange(0, 4)),
      [](const std::tuple<int, int, int>& values) {
        return Resources{std::get<0>(values) * std::int64_t{125},
                         std::get<1>(values) * std::int64_t{100},
                         std::get<2>(values)};
      });
}

// Guards against missing a VM that fits, and against returning one that does
// not, after entries have changed.
RC_GTEST_PROP(FitTree, FindsTheFirstPositionThatFits, ()) {
  const auto capacities =
      *rc::gen::container<std::vector<Resources>>(AnyResources());
  const auto need = *AnyResources();
  FitTree tree;
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    tree.Set(i, FitTree::kNoCapacity);
    tree.Set(i, capacities[i]);
  }
  std::size_t found = tree.FindFrom(0, need);
  for (std::size_t i = 0; i < capacities.size(); ++i) {
    if (need.FitsIn(capacities[i])) {
      RC_ASSERT(found == i);
      found = tree.FindFrom(i + 1, need);
    }
  }
  RC_ASSERT(found == FitTree::kNone);
}

// Guards against skipping VMs that fit and against a wrong visiting order.
RC_GTEST_PROP(BestFitIndex, VisitsLeastFreeCpuFirst, ()) {
  const auto capacities =
      *rc::gen::container<std::vector<Resources>>(8, AnyResources());
  const auto need = *AnyResources();
  BestFitIndex index;
  for (VmIndex vm = 0; vm < capacities.size(); ++vm) {
    index.Insert(vm, {1, 1, 1}, true);
    index.Erase(vm, {1, 1, 1}, true);
    index.Insert(vm, capacities[vm], true);
  }
  VmIndex first = 0xffffffff;
  index.Visit(need, [&](VmIndex vm) {
    first = need.FitsIn(capacities[vm]) ? vm : first;
    return need.FitsIn(capacities[vm]);
  });
  const bool any = std::any_of(
      capacities.begin(), capacities.end(),
      [&](const Resources& capacity) { return need.FitsIn(capacity); });
  RC_ASSERT(any == (first != 0xffffffff));
  if (any) {
    // VMs are ordered by free accelerators, then by free CPU.
    for (const Resources& capacity : capacities) {
      RC_ASSERT(!need.FitsIn(capacity) ||
                std::pair(capacity.m_accelerators, capacity.m_cpu_millis) >=
                    std::pair(capacities[first].m_accelerators,
                              capacities[first].m_cpu_millis));
    }
  }
}

}  // namespace
}  // namespace mustardslip
