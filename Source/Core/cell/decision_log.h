// Writes a cell's decisions to the daemon's log output; called by CellOwner.
//
// Each change of a cell's state is a log record, so the lines are made from the
// records of a durable batch. Runs of one step share a line.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cell/cell_types.h"
#include "cell/log_record.h"

namespace mustardslip {

// A start that was sent and has neither been answered nor timed out.
struct OpenStart {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  std::string m_vm;

  auto operator<=>(const OpenStart&) const = default;
  bool operator==(const OpenStart&) const = default;
};

// Logs a durable batch. The starts of its planned runs are sent right after it.
void LogDecisions(const std::vector<LogRecord>& records);
// Logs why a job became failed: the runs that count, the limit, the
// configuration and the owner's fence.
void LogJobFailure(const JobFailure& failure, std::int64_t fence);
// Logs what a gang waited for, or waits for.
void LogGangDelay(const GangDelay& delay);
// Logs the new estimate of a VM's speed and the former one.
void LogVmSpeed(const VmSpeedChange& change);
// Logs which images slow each other down, or no longer do, and the evidence.
void LogContention(const ContentionChange& change);
// Logs an answer of the advice service.
void LogAdvice(const AdviceAnswer& answer);
// Logs a stop whose reason no log record shows; nothing for other stops.
void LogStop(const StopRun& stop);
// Logs a start that was refused or not answered, with the fence that it carried
// and the time since it was sent; nothing for other starts.
void LogStartAnswer(const StartAnswer& answer, std::int64_t fence,
                    std::int64_t after_ms);
// Logs a run that is closed because its VM does not list it.
void LogRunNotListed(const RunNotListed& run);
// Logs that the accepted jobs of a queue go to another pool.
void LogQueueMoved(const QueueMoved& move, std::int64_t fence);
// Logs the starts whose answers an owner does not wait for any more.
void LogAbandonedStarts(const std::set<OpenStart>& starts, std::int64_t fence);

}  // namespace mustardslip
