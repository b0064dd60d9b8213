// Formats and writes log lines.
#include "common/logger.h"

#include <fmt/chrono.h>
#include <fmt/core.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

#include "common/token_bucket.h"

namespace mustardslip {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<std::string_view, 14> kCategoryNames = {
    "common",        "transport", "store",  "fleet",     "membership",
    "configuration", "admission", "ledger", "placement", "dispatch",
    "jobs",          "gateway",   "report", "cell"};

// A line up to this size is written to a pipe whole or not at all.
constexpr std::size_t kMaxLineBytes = 4'096;

// Requests make most lines; warnings have a budget of their own, so that they
// are not lost behind them.
constexpr double kLinesPerSecond = 500;
constexpr double kLineBurst = 2'000;
constexpr double kWarningsPerSecond = 50;
constexpr double kWarningBurst = 200;

std::atomic<LogLevel> g_level = LogLevel::kInfo;
std::mutex g_mutex;

std::string& Instance() {
  static std::string instance;
  return instance;
}

std::uint64_t g_dropped = 0;  // Guarded by g_mutex.

// False if standard output takes no line now.
bool WriteLine(std::string_view line) {
  pollfd ready = {STDOUT_FILENO, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

bool TakeFromBudget(LogLevel level) {
  static TokenBucket lines(kLinesPerSecond, kLineBurst);
  static TokenBucket warnings(kWarningsPerSecond, kWarningBurst);
  const auto now = std::chrono::steady_clock::now();
  return level >= LogLevel::kWarning ? warnings.Take(now) : lines.Take(now);
}

std::string Format(LogLevel level, LogCategory category, std::string_view event,
                   LogFields fields) {
  nlohmann::ordered_json line;
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  line["time"] = fmt::format("{:%FT%T}Z", now);
  line["level"] = kLevelNames.at(static_cast<std::size_t>(level));
  line["category"] = kCategoryNames.at(static_cast<std::size_t>(category));
  line["event"] = event;
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (!Instance().empty()) {
    line["instance"] = Instance();
  }
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() >= kMaxLineBytes) {
    text.resize(kMaxLineBytes - 1);
  }
  text += '\n';
  return text;
}

}  // namespace

void SetLogLevel(LogLevel level) { g_level = level; }

void SetLogInstance(std::string instance) {
  const std::lock_guard lock(g_mutex);
  Instance() = std::move(instance);
}

void Log(LogLevel level, LogCategory category, std::string_view event,
         LogFields fields) {
  if (level < g_level.load(std::memory_order_relaxed)) {
    return;
  }
  const std::lock_guard lock(g_mutex);
  if (!TakeFromBudget(level)) {
    ++g_dropped;
    return;
  }
  if (g_dropped > 0 &&
      WriteLine(Format(LogLevel::kWarning, LogCategory::kCommon,
                       "log_lines_dropped", {{"lines", g_dropped}}))) {
    g_dropped = 0;
  }
  if (!WriteLine(Format(level, category, event, fields))) {
    ++g_dropped;
  }
}

}  // namespace mustardslip
