// The versions of a VM list with a lag, for the fake and the stand-in.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "fleet/vm_list.h"

namespace mustardslip {

// Not thread-safe. The caller passes the time (Unix milliseconds) to each call.
class VmListModel {
 public:
  // The list starts empty. Versions start at the time, so that they grow over
  // restarts of a process.
  explicit VmListModel(std::int64_t now_ms)
      : m_versions({{now_ms, {now_ms, {}}}}) {}

  void Set(std::int64_t now_ms, std::vector<ListedVm> vms) {
    m_versions.push_back({now_ms, {Newest().m_version + 1, std::move(vms)}});
  }

  const VmList& Newest() const { return m_versions.back().m_list; }

  // The list as it was `lag` ago.
  const VmList& Read(std::int64_t now_ms, Milliseconds lag) const {
    const Version* visible = &m_versions.front();
    for (const Version& version : m_versions) {
      if (version.m_unix_ms <= now_ms - lag.count()) {
        visible = &version;
      }
    }
    return visible->m_list;
  }

 private:
  struct Version {
    std::int64_t m_unix_ms = 0;
    VmList m_list;
  };

  // Oldest first; never empty.
  std::vector<Version> m_versions;
};

}  // namespace mustardslip
