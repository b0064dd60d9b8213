// A stand-in for worker VMs; one process serves many VMs.
//
// Serves the paths in fleet/worker_client.h under `/<vm id>`; tasks run as
// their payload says (fleet/task_script.h). For tests:
//   POST /control/vms?add=&drop=  adds or removes one VM; cpu_millis,
//                                 memory_mb and accelerators in the query set
//                                 the size of an added one
//   POST /control/faults          JSON of FaultSetting (fault_gate.h) and vm
//                                 (id, or all); further modes: fail_all (each
//                                 task fails as soon as it runs) and
//                                 unreachable (503, nothing done)
//   POST /control/reboot?vm=      new boot id; tasks, ends and epoch are gone
//   POST /control/advance?ms=     moves the time forward
//   GET  /control/journal?since=  JSON: last, and entries of seq, unix_ms, vm,
//                                 event and more by event: fenced, started,
//                                 released, throttled, ended, rejected,
//                                 request_started, request_ended, rebooted
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>

#include "fault_gate.h"
#include "fleet/worker_model.h"
#include "stand_in.h"
#include "stand_in_clock.h"
#include "worker_journal.h"

namespace mustardslip {

class StandInWorkers : public StandIn {
 public:
  // `size` is the size of VMs that are added without one.
  StandInWorkers(StandInClock::Kind kind, Resources size,
                 Milliseconds usage_delay);
  ~StandInWorkers() override;

  HttpResponse Handle(const HttpRequest& request) override;
  void Advance(Milliseconds step) override;
  void Stop() override;

  void AddVm(const std::string& vm, const Resources& size);
  void AddVm(const std::string& vm) { AddVm(vm, m_size); }
  // Faults of one VM, or of all for "all". False if there is no such VM.
  bool SetFaults(const std::string& vm, const FaultSetting& setting,
                 bool fail_all);
  // Calls of all VMs that have had a fault.
  std::int64_t FaultStrikes() const;
  bool Reboot(const std::string& vm);
  std::int64_t UnixMillis() const { return m_clock.UnixMillis(); }

 private:
  class Vm;

  HttpResponse Control(const HttpRequest& request);
  HttpResponse ChangeVms(const HttpRequest& request);
  HttpResponse ChangeFaults(const HttpRequest& request);
  HttpResponse ReadJournal(const HttpRequest& request);
  std::shared_ptr<Vm> Find(const std::string& vm) const;
  // Calls `action` for one VM or all; false if there is none.
  bool ForEach(const std::string& vm,
               const std::function<void(Vm&)>& action) const;

  StandInClock m_clock;
  const Resources m_size;
  const Milliseconds m_usage_delay;
  WorkerJournal m_journal;
  mutable std::shared_mutex m_mutex;
  std::map<std::string, std::shared_ptr<Vm>> m_vms;  // Guarded by m_mutex.
};

}  // namespace mustardslip
