// Reads the VM list over HTTP.
#include "fleet/vm_list_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "transport/http_error.h"
#include "transport/json_packet.h"

namespace mustardslip {

VmListClient::VmListClient(Endpoint endpoint, Milliseconds call_timeout)
    : m_call_timeout(call_timeout), m_http(std::move(endpoint)) {}

Result<VmList> VmListClient::Read() {
  // On a kept connection the library would send the call again after a timeout
  // and take twice as long.
  const auto response = m_http.Send({.m_target = "/v1/vms",
                                     .m_timeout = m_call_timeout,
                                     .m_connection = Connection::kFresh});
  if (!response) {
    return tl::unexpected(response.error());
  }
  if (response->m_status != 200) {
    return tl::unexpected(ErrorFromResponse(*response));
  }
  return DecodeAnswer([&] {
    const auto json = nlohmann::json::parse(response->m_body);
    VmList list;
    list.m_version = json.at("version").get<std::int64_t>();
    for (const nlohmann::json& vm : json.at("vms")) {
      // A state that this version does not know must not get new work.
      const bool live = vm.at("state").get<std::string>() == "live";
      list.m_vms.push_back({vm.at("id").get<std::string>(),
                            live ? VmState::kLive : VmState::kLeaving});
    }
    return list;
  });
}

}  // namespace mustardslip
