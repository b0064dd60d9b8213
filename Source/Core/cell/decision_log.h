// Log lines for the decisions of a cell.
//
// Each change of a cell's state is a record, so the records of a durable batch
// are what is to be logged. Runs of one step are logged together.
#pragma once

#include <vector>

#include "cell/cell_types.h"
#include "cell/log_record.h"

namespace mustardslip {

// Logs a batch that is in the store.
void LogDecisions(const std::vector<LogRecord>& records);
// Logs what the advice service said.
void LogAdvice(const AdviceAnswer& answer);
// Logs a start that was not carried out, or not answered.
void LogStartAnswer(const StartAnswer& answer);

}  // namespace mustardslip
