// Writes a cell's decisions to the daemon's log output; called by CellOwner.
//
// Each change of a cell's state is a log record, so the lines are made from the
// records of a durable batch. Runs of one step share a line.
#pragma once

#include <vector>

#include "cell/cell_types.h"
#include "cell/log_record.h"

namespace mustardslip {

// Logs a durable batch.
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
// Logs a start that was refused or not answered; nothing for other starts.
void LogStartAnswer(const StartAnswer& answer);

}  // namespace mustardslip
