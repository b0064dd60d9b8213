// The daemon: settings, signals and one Node.
#include <absl/flags/flag.h>
#include <fmt/core.h>
#include <signal.h>

#include <cstdint>
#include <exception>
#include <string>

#include "common/logger.h"
#include "common/settings.h"
#include "server/node.h"

ABSL_FLAG(std::string, http_address, "127.0.0.1:8080",
          "host:port for callers and operators");
ABSL_FLAG(std::string, rpc_address, "127.0.0.1:8081",
          "host:port for other daemons");
ABSL_FLAG(std::string, zone, "zone-a", "availability zone of this daemon");
ABSL_FLAG(std::string, store, "127.0.0.1:7001",
          "host:port of the platform's key-value store");
ABSL_FLAG(std::string, vm_list, "127.0.0.1:7002",
          "host:port of the platform's VM list");
ABSL_FLAG(int, team_shards, 32,
          "number of team shards; the same in all daemons of a deployment");
ABSL_FLAG(int, member_lease_ms, 3'000,
          "lease of the member record, in milliseconds");
ABSL_FLAG(int, drain_delay_ms, 2'000,
          "how long requests are accepted after SIGTERM, in milliseconds");
ABSL_FLAG(int, store_timeout_ms, 1'000,
          "limit of one store call, in milliseconds");
ABSL_FLAG(int, worker_timeout_ms, 2'000,
          "limit of one call to a worker, in milliseconds");
ABSL_FLAG(int, max_connections, 1'024, "most HTTP connections at once");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace mustardslip {
namespace {

const SettingsTable& Table() {
  static const SettingsTable table(
      {"http_address", "rpc_address", "zone", "store", "vm_list", "team_shards",
       "member_lease_ms", "drain_delay_ms", "store_timeout_ms",
       "worker_timeout_ms", "max_connections", "log_level"});
  return table;
}

Result<void> CheckRange(const char* name, int value, int low, int high) {
  if (value < low || value > high) {
    return Fail(
        ErrorCode::kInvalidArgument, "invalid_setting",
        fmt::format("--{}: give a number from {} to {}", name, low, high));
  }
  return {};
}

Result<void> CheckNumbers() {
  struct Range {
    const char* m_name;
    int m_value;
    int m_low;
    int m_high;
  };
  const Range ranges[] = {
      {"team_shards", absl::GetFlag(FLAGS_team_shards), 1, 4'096},
      {"member_lease_ms", absl::GetFlag(FLAGS_member_lease_ms), 1'000, 60'000},
      {"drain_delay_ms", absl::GetFlag(FLAGS_drain_delay_ms), 0, 600'000},
      {"store_timeout_ms", absl::GetFlag(FLAGS_store_timeout_ms), 10, 60'000},
      {"worker_timeout_ms", absl::GetFlag(FLAGS_worker_timeout_ms), 10, 60'000},
      {"max_connections", absl::GetFlag(FLAGS_max_connections), 16, 16'384},
  };
  for (const Range& range : ranges) {
    if (auto check =
            CheckRange(range.m_name, range.m_value, range.m_low, range.m_high);
        !check) {
      return check;
    }
  }
  if (absl::GetFlag(FLAGS_store_timeout_ms) >=
      absl::GetFlag(FLAGS_member_lease_ms)) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
                "--store_timeout_ms must be below --member_lease_ms, or a slow "
                "renewal loses the lease");
  }
  return {};
}

Result<Endpoint> ParseSetting(const char* name, const std::string& text) {
  auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
                fmt::format("--{}: {}", name, endpoint.error().Message()));
  }
  return endpoint;
}

Result<NodeOptions> MakeOptions() {
  if (auto numbers = CheckNumbers(); !numbers) {
    return tl::unexpected(numbers.error());
  }
  NodeOptions options;
  struct Target {
    const char* m_name;
    std::string m_text;
    Endpoint* m_endpoint;
  };
  const Target targets[] = {
      {"http_address", absl::GetFlag(FLAGS_http_address),
       &options.m_http_address},
      {"rpc_address", absl::GetFlag(FLAGS_rpc_address), &options.m_rpc_address},
      {"store", absl::GetFlag(FLAGS_store), &options.m_store},
      {"vm_list", absl::GetFlag(FLAGS_vm_list), &options.m_vm_list},
  };
  for (const Target& target : targets) {
    const auto endpoint = ParseSetting(target.m_name, target.m_text);
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    *target.m_endpoint = *endpoint;
  }
  if (options.m_http_address == options.m_rpc_address) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
                "--http_address and --rpc_address must differ");
  }
  options.m_zone = absl::GetFlag(FLAGS_zone);
  options.m_team_shards = absl::GetFlag(FLAGS_team_shards);
  options.m_member_lease = Milliseconds(absl::GetFlag(FLAGS_member_lease_ms));
  options.m_drain_delay = Milliseconds(absl::GetFlag(FLAGS_drain_delay_ms));
  options.m_store_timeout = Milliseconds(absl::GetFlag(FLAGS_store_timeout_ms));
  options.m_worker_timeout =
      Milliseconds(absl::GetFlag(FLAGS_worker_timeout_ms));
  options.m_max_connections =
      static_cast<unsigned>(absl::GetFlag(FLAGS_max_connections));
  return options;
}

Result<void> ApplyLogLevel(const std::string& name) {
  const std::pair<const char*, LogLevel> levels[] = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  for (const auto& [text, level] : levels) {
    if (name == text) {
      SetLogLevel(level);
      return {};
    }
  }
  return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
              "--log_level: give debug, info, warning or error");
}

// Waits for SIGTERM or SIGINT, which were blocked before any thread started.
void WaitForStopSignal(const sigset_t& signals) {
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  Log(LogLevel::kInfo, LogCategory::kCommon, "signal",
      {{"number", signal_number}});
}

int Run(const NodeOptions& options) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  signal(SIGPIPE, SIG_IGN);
  SetLogInstance(ToString(options.m_rpc_address));
  try {
    Node node(options);
    node.Start();
    Log(LogLevel::kInfo, LogCategory::kCommon, "started",
        {{"http", ToString(options.m_http_address)},
         {"rpc", ToString(options.m_rpc_address)},
         {"zone", options.m_zone}});
    WaitForStopSignal(signals);
    node.Stop();
  } catch (const std::exception& error) {
    Log(LogLevel::kError, LogCategory::kCommon, "start_failed",
        {{"error", error.what()}});
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace mustardslip

int main(int argc, char** argv) {
  using mustardslip::kUsageExitCode;
  const auto positional = mustardslip::Table().Parse(argc, argv);
  if (!positional) {
    const bool help = positional.error().Reason() == "help_requested";
    fmt::print(help ? stdout : stderr, "{}\n", positional.error().Message());
    return help ? 0 : kUsageExitCode;
  }
  if (!positional->empty()) {
    fmt::print(stderr, "unexpected argument \"{}\"; see --help\n",
               positional->front());
    return kUsageExitCode;
  }
  const auto level = mustardslip::ApplyLogLevel(absl::GetFlag(FLAGS_log_level));
  if (!level) {
    fmt::print(stderr, "{}\n", level.error().Message());
    return kUsageExitCode;
  }
  const auto options = mustardslip::MakeOptions();
  if (!options) {
    fmt::print(stderr, "{}\n", options.error().Message());
    return kUsageExitCode;
  }
  return mustardslip::Run(*options);
}
