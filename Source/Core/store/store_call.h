// The kinds of store calls, for counters and planned faults.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace mustardslip {

enum class StoreCall {
  kGet,
  kList,
  kPut,
  kDelete,
  kWatch,
  kGrantLease,
  kRenewLease,
  kRevokeLease,
};

inline constexpr std::size_t kStoreCallKinds = 8;

inline constexpr std::array<StoreCall, kStoreCallKinds> kAllStoreCalls = {
    StoreCall::kGet,        StoreCall::kList,       StoreCall::kPut,
    StoreCall::kDelete,     StoreCall::kWatch,      StoreCall::kGrantLease,
    StoreCall::kRenewLease, StoreCall::kRevokeLease};

constexpr std::string_view ToString(StoreCall call) {
  constexpr std::array<std::string_view, kStoreCallKinds> kNames = {
      "get",   "list",        "put",         "delete",
      "watch", "grant_lease", "renew_lease", "revoke_lease"};
  return kNames[static_cast<std::size_t>(call)];
}

// True for the calls that the store counts as writes.
constexpr bool IsWrite(StoreCall call) {
  return call != StoreCall::kGet && call != StoreCall::kList &&
         call != StoreCall::kWatch;
}

}  // namespace mustardslip
