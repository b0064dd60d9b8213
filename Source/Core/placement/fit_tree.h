// Segment tree of capacities: finds the next position whose capacity fits a
// need without visiting every position. Used by VmTable for VMs and racks.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

#include "common/resources.h"

namespace mustardslip {

class FitTree {
 public:
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  // A capacity in which nothing fits.
  static constexpr Resources kNoCapacity{-1, -1, -1};

  // Sets the capacity at a position; the tree grows as needed.
  void Set(std::size_t position, const Resources& capacity);

  // `position` must have been set or be below one that was.
  const Resources& At(std::size_t position) const {
    return m_nodes[m_leaves + position];
  }

  // Component-wise maximum over all positions; kNoCapacity if there are none.
  Resources Maximum() const {
    return m_nodes.empty() ? kNoCapacity : m_nodes[1];
  }

  // The first position at or after `from` whose capacity fits `need`, or kNone.
  std::size_t FindFrom(std::size_t from, const Resources& need) const;

 private:
  void Grow(std::size_t positions);
  std::size_t Find(std::size_t node, std::size_t begin, std::size_t size,
                   std::size_t from, const Resources& need) const;

  std::size_t m_leaves = 0;
  // Node i is the maximum of nodes 2i and 2i + 1; leaves start at m_leaves.
  std::vector<Resources> m_nodes;
};

}  // namespace mustardslip
