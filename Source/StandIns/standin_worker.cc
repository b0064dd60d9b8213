// The program of the worker stand-in.
#include <absl/flags/flag.h>

#include <cstdint>
#include <string>
#include <vector>

#include "common/settings.h"
#include "stand_in.h"
#include "stand_in_workers.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, port, 7003, "TCP port to listen on");
ABSL_FLAG(std::uint32_t, max_threads, 4096, "most connections served at once");
ABSL_FLAG(std::vector<std::string>, vms, {}, "ids of the VMs to serve");
ABSL_FLAG(std::int64_t, cpu_millis, 64'000,
          "processors of each VM, in thousandths");
ABSL_FLAG(std::int64_t, memory_mb, 131'072, "memory of each VM, in MB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of each VM");
ABSL_FLAG(std::int64_t, usage_delay_ms, 1'000,
          "time until a task's usage is reported, in milliseconds");

namespace {

// Room for the largest request body (1 MB) or start.
constexpr std::size_t kMaxBodyBytes = 2U << 20U;

}  // namespace

int main(int argc, char** argv) {
  using mustardslip::StandInClock;
  const mustardslip::SettingsTable table({"address", "port", "max_threads",
                                          "vms", "cpu_millis", "memory_mb",
                                          "accelerators", "usage_delay_ms"});
  const auto settings = mustardslip::ParseStandInSettings(table, argc, argv);
  if (settings.m_ends) {
    return settings.m_exit_code;
  }
  mustardslip::StandInWorkers workers(
      StandInClock::Kind::kReal,
      {absl::GetFlag(FLAGS_cpu_millis), absl::GetFlag(FLAGS_memory_mb),
       absl::GetFlag(FLAGS_accelerators)},
      mustardslip::Milliseconds(absl::GetFlag(FLAGS_usage_delay_ms)));
  for (const std::string& vm : absl::GetFlag(FLAGS_vms)) {
    workers.AddVm(vm);
  }
  return mustardslip::RunStandIn(
      workers, {.m_address = absl::GetFlag(FLAGS_address),
                .m_port = absl::GetFlag(FLAGS_port),
                .m_max_threads = absl::GetFlag(FLAGS_max_threads),
                .m_max_body_bytes = kMaxBodyBytes});
}
