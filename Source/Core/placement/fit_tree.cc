// Complete binary tree of component-wise maxima.
#include "placement/fit_tree.h"

#include <algorithm>
#include <bit>

namespace mustardslip {
namespace {

constexpr std::size_t kInitialLeaves = 16;

Resources Maximum(const Resources& left, const Resources& right) {
  return {std::max(left.m_cpu_millis, right.m_cpu_millis),
          std::max(left.m_memory_mb, right.m_memory_mb),
          std::max(left.m_accelerators, right.m_accelerators)};
}

}  // namespace

void FitTree::Set(std::size_t position, const Resources& capacity) {
  if (position >= m_leaves) {
    Grow(position + 1);
  }
  std::size_t node = m_leaves + position;
  m_nodes[node] = capacity;
  for (node /= 2; node > 0; node /= 2) {
    const Resources maximum =
        mustardslip::Maximum(m_nodes[2 * node], m_nodes[2 * node + 1]);
    if (maximum == m_nodes[node]) {
      return;
    }
    m_nodes[node] = maximum;
  }
}

void FitTree::Grow(std::size_t positions) {
  const std::size_t leaves = std::max(kInitialLeaves, std::bit_ceil(positions));
  std::vector<Resources> nodes(2 * leaves, kNoCapacity);
  for (std::size_t i = 0; i < m_leaves; ++i) {
    nodes[leaves + i] = m_nodes[m_leaves + i];
  }
  for (std::size_t node = leaves - 1; node > 0; --node) {
    nodes[node] = mustardslip::Maximum(nodes[2 * node], nodes[2 * node + 1]);
  }
  m_leaves = leaves;
  m_nodes = std::move(nodes);
}

std::size_t FitTree::FindFrom(std::size_t from, const Resources& need) const {
  return m_leaves == 0 ? kNone : Find(1, 0, m_leaves, from, need);
}

std::size_t FitTree::Find(std::size_t node, std::size_t begin, std::size_t size,
                          std::size_t from, const Resources& need) const {
  if (begin + size <= from || !need.FitsIn(m_nodes[node])) {
    return kNone;
  }
  if (size == 1) {
    return begin;
  }
  const std::size_t half = size / 2;
  const std::size_t left = Find(2 * node, begin, half, from, need);
  if (left != kNone) {
    return left;
  }
  return Find(2 * node + 1, begin + half, half, from, need);
}

}  // namespace mustardslip
