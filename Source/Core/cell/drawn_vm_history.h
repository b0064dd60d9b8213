// Draws a history of three VMs and the owners of their cell, for model tests:
// restarts under the same id, cuts, late calls, lost answers, entries that are
// away, changes of the owner, owners that do not know that they were
// superseded, snapshots, and log writes that wait or whose answer is lost.
#pragma once

#include <rapidcheck.h>

#include <limits>
#include <string>

#include "cell/vm_lease_fixture.h"

namespace mustardslip {

class DrawnVmHistory {
 public:
  DrawnVmHistory() {
    m_cell.m_simulate_leases = true;
    m_cell.m_late_call_ms = *rc::gen::element(0, 500, 2'000, 4'500);
    // Most lists are cut in some histories.
    m_cell.m_max_listed_ends =
        *rc::gen::element<std::size_t>(1, 2, kNoLimit, kNoLimit);
    for (int i = 0; i < kVms; ++i) {
      m_cell
          .AddVm("vm-" + std::to_string(i), kVmCapacity, {},
                 m_cell.Now().m_unix_ms - i)
          .m_clock_offset_ms = RandomClock();
    }
    m_cell.Run(*rc::gen::element(200, 5'000, 30'000));
  }

  // The same, or a run ends as done, or polls begin or cease to be late.
  void RunRandomEventOrEnd() {
    const std::string id = "vm-" + std::to_string(*rc::gen::inRange(0, kVms));
    SimulatedVm& vm = m_cell.Vm(id);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        if (!vm.m_running.empty()) {
          CellHarness::EndRun(vm, vm.m_running.front(), RunEnd::kDone);
        }
        m_cell.Run(*rc::gen::element(50, 500, 2'000));
        break;
      case 1:
        vm.m_delays_polls = !vm.m_delays_polls;
        m_distinct_clocks = true;
        break;
      default:
        RunRandomEvent();
        break;
    }
  }

  void RunRandomEvent() {
    const std::string id = "vm-" + std::to_string(*rc::gen::inRange(0, kVms));
    SimulatedVm& vm = m_cell.Vm(id);
    switch (*rc::gen::inRange(0, 16)) {
      case 0:
      case 1:
        Restart(id);
        break;
      case 2:
      case 3:
        vm.m_reachable = !vm.m_reachable;
        break;
      case 4:
        vm.m_answers_polls = !vm.m_answers_polls;
        vm.m_answers_starts = vm.m_answers_polls;
        break;
      case 5:
        m_cell.TakeOver();
        break;
      case 6:
        m_cell.m_store_up = true;
        m_cell.Supersede();
        break;
      case 7:
        m_cell.Unlist(id);
        break;
      case 8:
        m_cell.List(id);
        break;
      case 9:
        vm.m_reachable_by_former = !vm.m_reachable_by_former;
        break;
      case 10:
        vm.m_has_entry = !vm.m_has_entry;
        break;
      case 11:
        TakeOverFromSnapshot();
        break;
      case 12:
        ToggleStore();
        break;
      case 13:
        WriteWithoutAnswer();
        break;
      default:
        Submit();
        break;
    }
    m_cell.Run(
        *rc::gen::element(50, 100, 200, 500, 1'000, 3'000, 6'000, 12'000));
  }

  const CellHarness& Cell() const { return m_cell; }

 private:
  static constexpr int kVms = 3;
  static constexpr std::size_t kNoLimit =
      std::numeric_limits<std::size_t>::max();

  static std::int64_t RandomClock() {
    return *rc::gen::element<std::int64_t>(0, 2'000, 8'000, kHourMs,
                                           2 * kHourMs);
  }

  void Submit() {
    m_cell.Submit(m_cell.Job(++m_jobs, {CellHarness::Step(kVms, 1'000)}));
  }

  void Restart(const std::string& id) {
    const SimulatedVm before = m_cell.Vm(id);
    SimulatedVm& vm = m_cell.Restart(id, m_cell.Now().m_unix_ms);
    vm.m_reachable = before.m_reachable;
    vm.m_reachable_by_former = before.m_reachable_by_former;
    vm.m_delays_polls = before.m_delays_polls;
    vm.m_clock_offset_ms = RandomClock();
    if (m_distinct_clocks) {
      // An owner that gets no list tells incarnations by their clocks.
      vm.m_clock_offset_ms = before.m_clock_offset_ms + 2 * kHourMs;
    }
    Submit();
    m_cell.Pump();
  }

  // The owner's state is in the log only once its batches are.
  void TakeOverFromSnapshot() {
    if (!m_cell.m_store_up) {
      ToggleStore();
    }
    m_cell.Pump();
    if (!m_cell.Core().HasOpenBatch() && !m_cell.Core().HasBatchInFlight()) {
      m_cell.m_log = m_cell.Core().State().Snapshot();
    }
    m_cell.TakeOver();
  }

  // When the store is back, so is the answer to a write.
  void ToggleStore() {
    m_cell.m_store_up = !m_cell.m_store_up;
    if (m_cell.m_store_up && m_cell.Core().HasBatchInFlight()) {
      m_cell.ConfirmWrite();
    }
  }

  void WriteWithoutAnswer() {
    if (!m_cell.m_store_up && m_cell.Core().HasOpenBatch() &&
        !m_cell.Core().HasBatchInFlight()) {
      m_cell.Write();
    }
  }

  CellHarness m_cell;
  int m_jobs = 0;
  bool m_distinct_clocks = false;
};

}  // namespace mustardslip
