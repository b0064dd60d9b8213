// Searches the indexes of VmTable for a VM.
#include "placement/vm_selector.h"

#include <algorithm>
#include <tuple>

namespace mustardslip {
namespace {

// Maximum number of racks compared for a service task; the search ends earlier
// at a rack that runs no task of the service.
constexpr int kMaxRacksCompared = 16;

}  // namespace

bool VmSelector::Accepts(VmIndex vm, const SelectionRequest& request) const {
  const VmEntry& record = m_vms[vm];
  return request.m_need.FitsIn(record.m_indexed_free) &&
         (request.m_limits == nullptr || request.m_limits->Allows(record)) &&
         std::find(request.m_avoid.begin(), request.m_avoid.end(), vm) ==
             request.m_avoid.end();
}

VmIndex VmSelector::Select(const SelectionRequest& request) {
  VmIndex vm = kNoIndex;
  if (request.m_limits != nullptr && !request.m_limits->m_racks.empty()) {
    vm = SelectInRacks(request);
  } else if (request.m_service != kNoIndex) {
    vm = SelectSpread(request);
  } else {
    vm = SelectBestFit(request);
    if (vm == kNoIndex) {
      vm = SelectFirstFit(request);
    }
  }
  if (vm == kNoIndex && !request.m_avoid.empty()) {
    SelectionRequest relaxed = request;
    relaxed.m_avoid = {};
    return Select(relaxed);
  }
  return vm;
}

VmIndex VmSelector::SelectSpread(const SelectionRequest& request) {
  const std::size_t racks = m_vms.RackCount();
  std::uint32_t& next = m_spread.NextRack(request.m_service);
  VmIndex best = kNoIndex;
  auto best_key = std::make_tuple(0, 0, std::int64_t{0});
  std::size_t rack = m_vms.RackTree().FindFrom(next, request.m_need);
  bool wrapped = false;
  for (int compared = 0; compared < kMaxRacksCompared;) {
    if (rack >= racks) {
      if (wrapped) {
        break;
      }
      wrapped = true;
      rack = m_vms.RackTree().FindFrom(0, request.m_need);
      continue;
    }
    if (wrapped && rack >= next) {
      break;
    }
    const int on_rack = m_spread.CountOnRack(request.m_service,
                                             static_cast<std::uint32_t>(rack));
    bool fits = false;
    for (const VmIndex vm : m_vms.RackVms(static_cast<std::uint32_t>(rack))) {
      if (!Accepts(vm, request)) {
        continue;
      }
      fits = true;
      const auto key =
          std::make_tuple(on_rack, m_spread.CountOnVm(request.m_service, vm),
                          -m_vms[vm].m_indexed_free.m_cpu_millis);
      if (best == kNoIndex || key < best_key) {
        best = vm;
        best_key = key;
      }
    }
    if (fits && on_rack == 0) {
      break;
    }
    compared += static_cast<int>(fits);
    rack = m_vms.RackTree().FindFrom(rack + 1, request.m_need);
  }
  if (best != kNoIndex) {
    next = m_vms[best].m_rack + 1;
  }
  return best;
}

VmIndex VmSelector::SelectInRacks(const SelectionRequest& request) const {
  VmIndex best = kNoIndex;
  auto best_key = std::make_tuple(0, 0, std::int64_t{0});
  const bool spread = request.m_service != kNoIndex;
  for (const std::uint32_t rack : request.m_limits->m_racks) {
    if (rack >= m_vms.RackCount()) {
      continue;
    }
    for (const VmIndex vm : m_vms.RackVms(rack)) {
      if (!Accepts(vm, request)) {
        continue;
      }
      const std::int64_t free = m_vms[vm].m_indexed_free.m_cpu_millis;
      const auto key =
          spread ? std::make_tuple(
                       m_spread.CountOnRack(request.m_service, rack),
                       m_spread.CountOnVm(request.m_service, vm), -free)
                 : std::make_tuple(0, 0, free);
      if (best == kNoIndex || key < best_key) {
        best = vm;
        best_key = key;
      }
    }
  }
  return best;
}

VmIndex VmSelector::SelectBestFit(const SelectionRequest& request) const {
  VmIndex best = kNoIndex;
  m_vms.ByFreeRoom().Visit(request.m_need, [&](VmIndex vm) {
    if (!Accepts(vm, request)) {
      return false;
    }
    best = vm;
    return true;
  });
  return best;
}

VmIndex VmSelector::SelectFirstFit(const SelectionRequest& request) const {
  const FitTree& tree = m_vms.FreeTree();
  for (std::size_t vm = tree.FindFrom(0, request.m_need); vm != FitTree::kNone;
       vm = tree.FindFrom(vm + 1, request.m_need)) {
    if (Accepts(static_cast<VmIndex>(vm), request)) {
      return static_cast<VmIndex>(vm);
    }
  }
  return kNoIndex;
}

}  // namespace mustardslip
