// Optional scheduling policies of a cell, switched on by the deployment's
// settings. All are off by default.
#pragma once

namespace mustardslip {

struct SchedulingOptions {
  // A gang may have less urgent tasks stopped that resume from a checkpoint.
  bool m_preemption = false;

  bool operator==(const SchedulingOptions&) const = default;
};

}  // namespace mustardslip
