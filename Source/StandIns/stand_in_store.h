// A stand-in for the platform's key-value store.
//
// Serves the paths in store/store_client.h, and for tests:
//   POST /control/faults          JSON of FaultSetting (fault_gate.h): mode,
//                                 delay_ms, probability, seed, writes_only,
//                                 count
//   POST /control/expire_lease[?lease=]   ends one lease, or all
//   POST /control/advance?ms=     moves the time forward
//   GET  /control/counts          JSON: calls by kind, watches_now,
//                                 watches_peak, bytes_in, bytes_out, keys,
//                                 leases, revision
#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "fault_gate.h"
#include "stand_in.h"
#include "stand_in_clock.h"
#include "store/store_call.h"
#include "store/store_model.h"

namespace mustardslip {

class StandInStore : public StandIn {
 public:
  explicit StandInStore(StandInClock::Kind kind) : m_clock(kind) {}

  HttpResponse Handle(const HttpRequest& request) override;
  void Advance(Milliseconds step) override;
  void Stop() override;

  void SetFaults(const FaultSetting& setting) { m_faults.Set(setting); }
  std::int64_t FaultStrikes() const { return m_faults.Strikes(); }
  // Ends the lease, or all leases if it is empty, and deletes their keys.
  void ExpireLease(const StoreLeaseId& lease);
  std::uint64_t Calls(StoreCall call) const;

 private:
  HttpResponse Control(const HttpRequest& request);
  HttpResponse Counts() const;
  HttpResponse Apply(StoreCall call, const HttpRequest& request);
  HttpResponse Watch(const HttpRequest& request);
  // Runs `action` on the state under the lock and wakes the watches.
  template <typename Action>
  HttpResponse WithModel(Action action);

  StandInClock m_clock;
  FaultGate m_faults{m_clock};
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  StoreModel m_model;                                    // Guarded by m_mutex.
  bool m_stopped = false;                                // Guarded by m_mutex.
  std::array<std::uint64_t, kStoreCallKinds> m_calls{};  // Guarded by m_mutex.
  std::int64_t m_watches_now = 0;                        // Guarded by m_mutex.
  std::int64_t m_watches_peak = 0;                       // Guarded by m_mutex.
  std::uint64_t m_bytes_in = 0;                          // Guarded by m_mutex.
  std::uint64_t m_bytes_out = 0;                         // Guarded by m_mutex.
};

}  // namespace mustardslip
