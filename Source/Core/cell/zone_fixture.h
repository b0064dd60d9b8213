// Test fixture for CellCore with VMs in several zones.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_core_fixture.h"

namespace mustardslip {

// Two tasks of this size do not fit on a VM.
inline constexpr std::int64_t kLargeTask = 40'000;
inline constexpr FreeAdviceCalls kFreeCalls{16, 16};

inline StepSpec GangStep(std::uint32_t count, std::int64_t cpu) {
  StepSpec gang = CellHarness::Step(count, cpu);
  gang.m_gang = true;
  return gang;
}

class ZoneTest : public CellCoreTest {
 protected:
  // The zone is the first letter of the id.
  SimulatedVm& AddVmIn(const std::string& id, Resources capacity = kVmCapacity,
                       std::vector<std::string> labels = {}) {
    SimulatedVm& vm = m_cell.AddVm(id, capacity, std::move(labels));
    vm.m_description.m_zone = id.substr(0, 1);
    m_cell.List(id);
    m_cell.Run(100);
    return vm;
  }
  void AddCold(const std::string& id, Resources capacity,
               std::int64_t cold_left_ms) {
    AddVmIn(id, capacity).m_description.m_cold_left_ms = cold_left_ms;
    m_cell.List(id);
  }
  void Evacuate(const std::string& zone) {
    m_cell.Core().OnZoneEvacuated(zone, true);
  }
  void Restore(const std::string& zone) {
    m_cell.Core().OnZoneEvacuated(zone, false);
  }

  std::size_t StartsIn(const std::string& zone) const {
    return static_cast<std::size_t>(
        std::count_if(m_cell.m_starts.begin(), m_cell.m_starts.end(),
                      [&](const StartRun& start) {
                        return start.m_vm.m_id.starts_with(zone);
                      }));
  }
  std::size_t RunningOn(const std::string& vm) {
    return m_cell.Vm(vm).m_running.size();
  }
  // VMs named in calls to the advice service whose id has this prefix.
  std::size_t AskedIn(const std::string& prefix) const {
    std::size_t count = 0;
    for (const AdviceRequest& request : m_cell.m_asked) {
      count += static_cast<std::size_t>(std::count_if(
          request.m_vms.begin(), request.m_vms.end(),
          [&](const std::string& id) { return id.starts_with(prefix); }));
    }
    return count;
  }
  std::uint64_t EndedAs(RunEnd end) {
    const auto& ends = m_cell.Core().Counters().m_ends;
    const auto found = ends.find(end);
    return found == ends.end() ? 0 : found->second;
  }
  // Plans the waiting tasks and begins to write the records, which are not
  // durable yet.
  void PlanAndWrite() {
    m_cell.m_store_up = false;
    m_cell.Pump();
    ASSERT_TRUE(m_cell.Core().HasOpenBatch());
    m_cell.Write();
    m_cell.m_store_up = true;
  }
  void FinishWrite() {
    m_cell.ConfirmWrite();
    m_cell.Pump();
  }
};

}  // namespace mustardslip
