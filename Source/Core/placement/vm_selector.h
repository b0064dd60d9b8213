// Selects the VM for one task: services are spread over racks and VMs, other
// work is placed best-fit. Called by PlacementCore.
#pragma once

#include <cstdint>
#include <span>

#include "placement/service_spread.h"
#include "placement/vm_table.h"

namespace mustardslip {

struct SelectionRequest {
  Resources m_need;
  // nullptr if there are no limits.
  const InternedLimits* m_limits = nullptr;
  // kNoIndex if the task belongs to no service.
  std::uint32_t m_service = kNoIndex;
  // VMs that are selected only if the task fits on no other.
  std::span<const VmIndex> m_avoid;
};

class VmSelector {
 public:
  VmSelector(const VmTable& vms, ServiceSpread& spread)
      : m_vms(vms), m_spread(spread) {}

  // Returns kNoIndex if the task fits on no VM.
  VmIndex Select(const SelectionRequest& request);

 private:
  bool Accepts(VmIndex vm, const SelectionRequest& request) const;
  VmIndex SelectSpread(const SelectionRequest& request);
  VmIndex SelectInRacks(const SelectionRequest& request) const;
  VmIndex SelectBestFit(const SelectionRequest& request) const;
  VmIndex SelectFirstFit(const SelectionRequest& request) const;

  const VmTable& m_vms;
  ServiceSpread& m_spread;
};

}  // namespace mustardslip
