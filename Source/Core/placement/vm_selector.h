// Chooses the VM for one task: services apart from each other, other work
// tightly packed.
#pragma once

#include <cstdint>
#include <span>

#include "placement/service_spread.h"
#include "placement/vm_table.h"

namespace mustardslip {

struct SelectionRequest {
  Resources m_need;
  // nullptr: no limits.
  const InternedLimits* m_limits = nullptr;
  // kNoIndex for work that is not spread.
  std::uint32_t m_service = kNoIndex;
  // VMs to be taken only if no other fits.
  std::span<const VmIndex> m_avoid;
};

class VmSelector {
 public:
  VmSelector(const VmTable& vms, ServiceSpread& spread)
      : m_vms(vms), m_spread(spread) {}

  // kNoIndex if the need fits nowhere.
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
