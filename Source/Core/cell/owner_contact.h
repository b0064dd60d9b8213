// Whether a daemon without an owner expects one soon. CellNode has one; while
// it does not, callers are sent to other daemons.
//
// A daemon that cannot reach the store learns who the next owner is only from
// another daemon (OwnerLocator); if none says so soon, it is cut off. The
// exception is an outage of the store itself: the owner's lease may end with
// it, and the daemons find the next owner within a moment of the store's
// return. Callers who were sent away then would reach daemons in the same
// state.
#pragma once

#include <cstdint>

namespace mustardslip {

class OwnerContact {
 public:
  // A change of the owner takes less than this: the lease of the old one and
  // the load of the log.
  static constexpr std::int64_t kMaxOwnerChangeMs = 3'000;
  // Other daemons tell who the next owner is within this time: its election and
  // a question to a few of them.
  static constexpr std::int64_t kMaxLocateMs = 800;

  // An owner is connected at `now_ms` (steady clock), and is able to write to
  // the store or not.
  void OnConnected(std::int64_t now_ms, bool store_writable) {
    m_last_connected_ms = now_ms;
    m_store_away = !store_writable;
  }

  bool EverConnected() const { return m_last_connected_ms != 0; }

  // How long the daemon has had no owner. Requires EverConnected().
  std::int64_t MsWithoutOwner(std::int64_t now_ms) const {
    return now_ms - m_last_connected_ms;
  }

  // For a daemon without an owner. `store_failing`: its own calls to the store
  // fail.
  bool Isolated(std::int64_t now_ms, bool store_failing) const {
    const bool located_by_others = store_failing && !m_store_away;
    return MsWithoutOwner(now_ms) >
           (located_by_others ? kMaxLocateMs : kMaxOwnerChangeMs);
  }

 private:
  // 0 before the first time.
  std::int64_t m_last_connected_ms = 0;
  // What the last owner said: the store did not take its writes.
  bool m_store_away = false;
};

}  // namespace mustardslip
