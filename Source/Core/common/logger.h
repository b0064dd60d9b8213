// JSON-line logs on standard output, with one category per slice.
//
// Logging never blocks and its volume is bounded: lines that standard output
// does not take at once, and lines beyond the rate, are dropped and counted;
// the count is logged as `log_lines_dropped`.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace mustardslip {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Categories are the slice names, so that one slice can be read alone.
enum class LogCategory {
  kCommon,
  kTransport,
  kStore,
  kFleet,
  kMembership,
  kConfiguration,
  kAdmission,
  kLedger,
  kPlacement,
  kDispatch,
  kJobs,
  kGateway,
  kReport,
  kCell,
};

using LogFields =
    std::initializer_list<std::pair<std::string_view, nlohmann::json>>;

// Drops messages below `level`. The default is kInfo.
void SetLogLevel(LogLevel level);

// Adds a field `instance` to each line, to tell daemons apart.
void SetLogInstance(std::string instance);

// Writes one line: time, level, category, event and the fields. `event` is a
// stable name for machines.
void Log(LogLevel level, LogCategory category, std::string_view event,
         LogFields fields = {});

}  // namespace mustardslip
