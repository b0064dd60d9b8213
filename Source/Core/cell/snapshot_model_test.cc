// Model test of snapshots: random histories of a cell with a snapshot at a
// random position of the log.
#include <fmt/core.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cell/cell_harness.h"

namespace mustardslip {
namespace {

constexpr int kVms = 4;
constexpr int kMaxJobs = 12;

WorkflowSpec RandomJob(const CellHarness& cell, int number) {
  WorkflowSpec spec;
  spec.m_id = CellHarness::Id(number);
  spec.m_queue = cell.Queue();
  spec.m_queue.m_max_attempts = *rc::gen::inRange(1, 4);
  spec.m_payload = "payload";
  const int steps = *rc::gen::inRange(1, 4);
  for (int i = 0; i < steps; ++i) {
    StepSpec step =
        CellHarness::Step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)),
                          8'000 * *rc::gen::inRange<std::int64_t>(1, 5));
    step.m_gang = *rc::gen::inRange(0, 3) == 0;
    step.m_checkpoint = *rc::gen::inRange(0, 2) == 0;
    if (i > 0 && *rc::gen::inRange(0, 2) == 0) {
      step.m_dependencies = {static_cast<std::uint32_t>(i - 1)};
    }
    spec.m_steps.push_back(std::move(step));
  }
  return spec;
}

// Ends a random subset of the VM's runs.
void EndRandomRuns(SimulatedVm& vm) {
  const std::vector<SimulatedVm::Running> running = vm.m_running;
  for (const SimulatedVm::Running& run : running) {
    if (*rc::gen::inRange(0, 2) == 0) {
      const RunEnd how = *rc::gen::element(
          RunEnd::kDone, RunEnd::kDone, RunEnd::kFailed, RunEnd::kFailed,
          RunEnd::kLeaseExpired, RunEnd::kGangMemberEnded);
      CellHarness::EndRun(vm, run, how, "checkpoint");
    }
  }
}

void RunRandomEvent(CellHarness& cell, int& jobs) {
  const std::string vm = "vm-" + std::to_string(*rc::gen::inRange(0, kVms));
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      if (jobs < kMaxJobs) {
        cell.Submit(RandomJob(cell, ++jobs));
      }
      break;
    case 2:
      if (jobs > 0) {
        cell.Cancel(*rc::gen::inRange(1, jobs + 1));
      }
      break;
    case 3:
      cell.Vm(vm).m_answers_starts = *rc::gen::inRange(0, 2) == 0;
      break;
    case 4:
      cell.Restart(vm, cell.Vm(vm).m_description.m_incarnation.m_born + 1);
      break;
    case 5:
      cell.Unlist(vm);
      break;
    case 6:
      cell.List(vm);
      break;
    default:
      EndRandomRuns(cell.Vm(vm));
      break;
  }
  cell.Run(*rc::gen::element(50, 150, 400));
}

std::vector<LogRecord> SnapshotOf(const std::vector<LogRecord>& records) {
  CellState state;
  for (const LogRecord& record : records) {
    state.Apply(record);
  }
  std::vector<LogRecord> snapshot = state.Snapshot();
  // CellState does not keep jobs in a defined order.
  std::sort(snapshot.begin(), snapshot.end(),
            [](const LogRecord& left, const LogRecord& right) {
              return EncodeRecords({left}) < EncodeRecords({right});
            });
  return snapshot;
}

// Formats a record for failure messages.
std::string Describe(const LogRecord& record) {
  return std::visit(
      [&](const auto& one) {
        std::string text = fmt::format("record kind {}", record.index());
        if constexpr (requires { one.m_task; }) {
          text += " of " + ToString(one.m_task);
        }
        if constexpr (requires { one.m_job; }) {
          text += " of " + one.m_job;
        }
        if constexpr (requires { one.m_last_run; }) {
          text += fmt::format(" last run {}", one.m_last_run);
        }
        if constexpr (requires { one.m_failures; }) {
          text += fmt::format(" failures {}", one.m_failures);
        }
        if constexpr (requires { one.m_run; }) {
          text += fmt::format(" run {}", one.m_run);
        }
        if constexpr (requires { one.m_done; }) {
          text += fmt::format(" done {}", one.m_done);
        }
        if constexpr (requires { one.m_ended_unix_ms; }) {
          text += fmt::format(" ended {}", one.m_ended_unix_ms);
        }
        return text;
      },
      record);
}

// Fails if a snapshot loses or adds state that a new owner depends on: the
// snapshot and the rest of the log must give the same state as the whole log.
RC_GTEST_PROP(SnapshotModelTest, SnapshotAndRestOfLogGiveTheStateOfTheLog, ()) {
  CellHarness cell;
  for (int i = 0; i < kVms; ++i) {
    cell.AddVm("vm-" + std::to_string(i), {64'000, 128'000, 0});
  }
  cell.Run(100);
  int jobs = 0;
  const int events = *rc::gen::inRange(5, 60);
  for (int i = 0; i < events; ++i) {
    RunRandomEvent(cell, jobs);
  }
  const std::vector<LogRecord>& log = cell.m_log;
  const auto cut = static_cast<std::ptrdiff_t>(
      *rc::gen::inRange<std::size_t>(0, log.size() + 1));
  std::vector<LogRecord> restored =
      SnapshotOf({log.begin(), log.begin() + cut});
  restored.insert(restored.end(), log.begin() + cut, log.end());
  const std::vector<LogRecord> from_log = SnapshotOf(log);
  const std::vector<LogRecord> from_snapshot = SnapshotOf(restored);
  for (std::size_t i = 0; i < from_log.size() && i < from_snapshot.size();
       ++i) {
    RC_ASSERT(Describe(from_snapshot[i]) == Describe(from_log[i]));
  }
  RC_ASSERT(from_snapshot == from_log);
}

}  // namespace
}  // namespace mustardslip
