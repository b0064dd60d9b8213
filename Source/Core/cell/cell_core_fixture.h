// Test fixture for CellCore with simulated VMs and store.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "cell/cell_harness.h"

namespace mustardslip {

inline constexpr Resources kVmCapacity{64'000, 128'000, 0};

class CellCoreTest : public testing::Test {
 protected:
  void AddVms(int count) {
    for (int i = 0; i < count; ++i) {
      m_cell.AddVm("vm-" + std::to_string(i), kVmCapacity);
    }
    m_cell.Run(100);
  }

  QueueRules QueueWithAttempts(std::int64_t max_attempts) const {
    QueueRules queue = m_cell.Queue();
    queue.m_max_attempts = max_attempts;
    return queue;
  }

  // Fails the runs of job 1, so often if it is started so often.
  void FailRuns(int count) {
    for (int i = 0; i < count; ++i) {
      m_cell.Run(200);
      m_cell.End(1, RunEnd::kFailed);
    }
    m_cell.Run(200);
  }

  // Job 1 is a gang whose first run failed and whose second run is open.
  void StartGangThatFailedOnce(std::int64_t cpu) {
    AddVms(3);
    StepSpec gang = CellHarness::Step(2, cpu);
    gang.m_gang = true;
    m_cell.Submit(m_cell.Job(1, {gang}));
    m_cell.Run(200);
    m_cell.End(1, RunEnd::kFailed);
    m_cell.Run(500);
    ASSERT_EQ(m_cell.RunningOf(1), 2U);
  }

  // A new owner starts from a snapshot of the current state.
  void TakeOverFromSnapshot() {
    m_cell.m_log = m_cell.Core().State().Snapshot();
    m_cell.TakeOver();
  }

  JobPhase PhaseOf(int number) { return m_cell.Lookup(number).m_phase; }

  CellHarness m_cell;
};

}  // namespace mustardslip
