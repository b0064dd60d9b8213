// The indexes by free room against a linear scan.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "placement/best_fit_index.h"
#include "placement/fit_tree.h"

namespace mustardslip {
namespace {

rc::Gen<Resources> AnyRoom() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 64), rc::gen::inRange(0, 64),
                     rc::gen::inRange(0, 4)),
      [](const std::tuple<int, int, int>& values) {
        return Resources{std::get<0>(values) * std::int64_t{125},
                         std::get<1>(values) * std::int64_t{100},
                         std::get<2>(values)};
      });
}

// Guards against work that waits although a VM has room, and against VMs
// offered without it, after any sequence of changes.
RC_GTEST_PROP(FitTree, FindsTheFirstPositionThatFits, ()) {
  const auto rooms = *rc::gen::container<std::vector<Resources>>(AnyRoom());
  const auto need = *AnyRoom();
  FitTree tree;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    tree.Set(i, FitTree::kNoCapacity);
    tree.Set(i, rooms[i]);
  }
  std::size_t found = tree.FindFrom(0, need);
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    if (need.FitsIn(rooms[i])) {
      RC_ASSERT(found == i);
      found = tree.FindFrom(i + 1, need);
    }
  }
  RC_ASSERT(found == FitTree::kNone);
}

// Guards against a best fit that skips VMs, or orders them wrongly.
RC_GTEST_PROP(BestFitIndex, VisitsTheTightestProcessorsFirst, ()) {
  const auto rooms = *rc::gen::container<std::vector<Resources>>(8, AnyRoom());
  const auto need = *AnyRoom();
  BestFitIndex index;
  for (VmIndex vm = 0; vm < rooms.size(); ++vm) {
    index.Insert(vm, {1, 1, 1}, true);
    index.Erase(vm, {1, 1, 1}, true);
    index.Insert(vm, rooms[vm], true);
  }
  VmIndex first = 0xffffffff;
  index.Visit(need, [&](VmIndex vm) {
    first = need.FitsIn(rooms[vm]) ? vm : first;
    return need.FitsIn(rooms[vm]);
  });
  const bool any =
      std::any_of(rooms.begin(), rooms.end(),
                  [&](const Resources& room) { return need.FitsIn(room); });
  RC_ASSERT(any == (first != 0xffffffff));
  if (any) {
    // Work takes the fewest free accelerators, then the fewest processors.
    for (const Resources& room : rooms) {
      RC_ASSERT(!need.FitsIn(room) ||
                std::pair(room.m_accelerators, room.m_cpu_millis) >=
                    std::pair(rooms[first].m_accelerators,
                              rooms[first].m_cpu_millis));
    }
  }
}

}  // namespace
}  // namespace mustardslip
