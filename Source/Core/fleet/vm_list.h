// The platform's lagging list of live and leaving VMs.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "common/result.h"

namespace mustardslip {

enum class VmState { kLive, kLeaving };

struct ListedVm {
  std::string m_id;
  VmState m_state = VmState::kLive;

  bool operator==(const ListedVm&) const = default;
};

struct VmList {
  // Grows with every change of the list. A lower version than one already seen
  // is a stale answer and is ignored.
  std::int64_t m_version = 0;
  std::vector<ListedVm> m_vms;

  bool operator==(const VmList&) const = default;
};

// Blocking and thread-safe. Errors: kUnavailable, kTimeout, kUnknownOutcome;
// reading has no effect.
template <typename T>
concept VmListSource = requires(T source) {
  { source.Read() } -> std::same_as<Result<VmList>>;
};

}  // namespace mustardslip
