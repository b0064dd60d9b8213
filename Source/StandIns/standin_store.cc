// The program of the key-value store stand-in.
#include <absl/flags/flag.h>

#include <cstdint>
#include <string>

#include "common/settings.h"
#include "stand_in.h"
#include "stand_in_store.h"
#include "store/key_value_store.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, port, 7001, "TCP port to listen on");
ABSL_FLAG(std::uint32_t, max_threads, 1024, "most connections served at once");

int main(int argc, char** argv) {
  using mustardslip::StandInClock;
  const mustardslip::SettingsTable table({"address", "port", "max_threads"});
  const auto settings = mustardslip::ParseStandInSettings(table, argc, argv);
  if (settings.m_ends) {
    return settings.m_exit_code;
  }
  mustardslip::StandInStore store(StandInClock::Kind::kReal);
  return mustardslip::RunStandIn(
      store, {.m_address = absl::GetFlag(FLAGS_address),
              .m_port = absl::GetFlag(FLAGS_port),
              .m_max_threads = absl::GetFlag(FLAGS_max_threads),
              .m_max_body_bytes = mustardslip::kMaxStoreValueBytes});
}
