// A stand-in for the platform's list of live and leaving VMs.
//
// Serves GET /v1/vms (fleet/vm_list_client.h), and for tests:
//   POST /control/vms             JSON, all fields optional: vms (list of id
//                                 and state; replaces the list), add, leaving
//                                 and drop (lists of ids)
//   POST /control/faults          JSON of FaultSetting (fault_gate.h), or
//                                 {"mode":"stale","lag_ms":N}: the list as it
//                                 was N ms ago
//   POST /control/advance?ms=     moves the time forward
//   GET  /control/counts          JSON: reads
#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fault_gate.h"
#include "fleet/vm_list.h"
#include "fleet/vm_list_model.h"
#include "stand_in.h"
#include "stand_in_clock.h"

namespace mustardslip {

class StandInVmList : public StandIn {
 public:
  // Each change becomes visible after `lag`.
  StandInVmList(StandInClock::Kind kind, Milliseconds lag);

  HttpResponse Handle(const HttpRequest& request) override;
  void Advance(Milliseconds step) override { m_clock.Advance(step); }
  void Stop() override { m_faults.Stop(); }

  void SetFaults(const FaultSetting& setting) { m_faults.Set(setting); }
  std::int64_t FaultStrikes() const { return m_faults.Strikes(); }
  void SetLag(Milliseconds lag);
  // Replaces the list.
  void SetVms(std::vector<ListedVm> vms);

 private:
  HttpResponse ChangeVms(const HttpRequest& request);
  HttpResponse ChangeFaults(const HttpRequest& request);
  HttpResponse Read();

  StandInClock m_clock;
  FaultGate m_faults{m_clock};
  std::mutex m_mutex;
  VmListModel m_model;        // Guarded by m_mutex.
  Milliseconds m_lag;         // Guarded by m_mutex.
  std::uint64_t m_reads = 0;  // Guarded by m_mutex.
};

}  // namespace mustardslip
