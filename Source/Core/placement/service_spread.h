// Counts the tasks of each service per rack and per VM, so that VmSelector can
// spread them.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "placement/vm_table.h"

namespace mustardslip {

class ServiceSpread {
 public:
  void Add(std::uint32_t service, std::uint32_t rack, VmIndex vm, int change) {
    Change(m_by_rack, Key(service, rack), change);
    Change(m_by_vm, Key(service, vm), change);
  }

  int CountOnRack(std::uint32_t service, std::uint32_t rack) const {
    return Read(m_by_rack, Key(service, rack));
  }

  int CountOnVm(std::uint32_t service, VmIndex vm) const {
    return Read(m_by_vm, Key(service, vm));
  }

  // The rack at which the next search for the service starts: the one after the
  // rack that was selected last.
  std::uint32_t& NextRack(std::uint32_t service) {
    return m_next_rack[service];
  }

 private:
  using Counts = absl::flat_hash_map<std::uint64_t, int>;

  static std::uint64_t Key(std::uint32_t service, std::uint32_t place) {
    return std::uint64_t{service} << 32 | place;
  }

  static void Change(Counts& counts, std::uint64_t key, int change) {
    const auto found = counts.try_emplace(key, 0).first;
    found->second += change;
    if (found->second == 0) {
      counts.erase(found);
    }
  }

  static int Read(const Counts& counts, std::uint64_t key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  }

  Counts m_by_rack;
  Counts m_by_vm;
  absl::flat_hash_map<std::uint32_t, std::uint32_t> m_next_rack;
};

}  // namespace mustardslip
