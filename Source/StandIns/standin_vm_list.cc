// The program of the VM list stand-in.
#include <absl/flags/flag.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/settings.h"
#include "stand_in.h"
#include "stand_in_vm_list.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, port, 7002, "TCP port to listen on");
ABSL_FLAG(std::int64_t, lag_ms, 0,
          "time until a change becomes visible, in milliseconds");
ABSL_FLAG(std::vector<std::string>, vms, {}, "ids of the VMs that are live");

int main(int argc, char** argv) {
  using mustardslip::StandInClock;
  const mustardslip::SettingsTable table({"address", "port", "lag_ms", "vms"});
  const auto settings = mustardslip::ParseStandInSettings(table, argc, argv);
  if (settings.m_ends) {
    return settings.m_exit_code;
  }
  mustardslip::StandInVmList list(
      StandInClock::Kind::kReal,
      mustardslip::Milliseconds(absl::GetFlag(FLAGS_lag_ms)));
  std::vector<mustardslip::ListedVm> vms;
  for (const std::string& id : absl::GetFlag(FLAGS_vms)) {
    vms.push_back({id, mustardslip::VmState::kLive});
  }
  list.SetVms(std::move(vms));
  return mustardslip::RunStandIn(list,
                                 {.m_address = absl::GetFlag(FLAGS_address),
                                  .m_port = absl::GetFlag(FLAGS_port)});
}
