// HTTP in front of the versions of the VM list.
#include "stand_in_vm_list.h"

#include <algorithm>
#include <utility>

#include "transport/http_error.h"

namespace mustardslip {
namespace {

ListedVm VmFromJson(const nlohmann::json& json) {
  const bool live = json.value("state", std::string("live")) == "live";
  return {json.at("id").get<std::string>(),
          live ? VmState::kLive : VmState::kLeaving};
}

nlohmann::json ToJson(const VmList& list) {
  nlohmann::json vms = nlohmann::json::array();
  for (const ListedVm& vm : list.m_vms) {
    vms.push_back(
        {{"id", vm.m_id},
         {"state", vm.m_state == VmState::kLive ? "live" : "leaving"}});
  }
  return {{"version", list.m_version}, {"vms", std::move(vms)}};
}

std::vector<std::string> Ids(const nlohmann::json& json, const char* name) {
  return json.value(name, std::vector<std::string>());
}

// The list after the change that `json` describes.
std::vector<ListedVm> Changed(std::vector<ListedVm> vms,
                              const nlohmann::json& json) {
  if (json.contains("vms")) {
    vms.clear();
    for (const nlohmann::json& vm : json["vms"]) {
      vms.push_back(VmFromJson(vm));
    }
  }
  for (const std::string& id : Ids(json, "add")) {
    std::erase_if(vms, [&](const ListedVm& vm) { return vm.m_id == id; });
    vms.push_back({id, VmState::kLive});
  }
  for (const std::string& id : Ids(json, "leaving")) {
    for (ListedVm& vm : vms) {
      vm.m_state = vm.m_id == id ? VmState::kLeaving : vm.m_state;
    }
  }
  for (const std::string& id : Ids(json, "drop")) {
    std::erase_if(vms, [&](const ListedVm& vm) { return vm.m_id == id; });
  }
  return vms;
}

}  // namespace

StandInVmList::StandInVmList(StandInClock::Kind kind, Milliseconds lag)
    : m_clock(kind), m_model(m_clock.UnixMillis()), m_lag(lag) {}

HttpResponse StandInVmList::Handle(const HttpRequest& request) {
  const bool post = request.m_method == "POST";
  if (request.m_path == "/v1/vms" && request.m_method == "GET") {
    return m_faults.Run(/*is_write=*/false, [this] { return Read(); });
  }
  if (request.m_path == "/control/vms" && post) {
    return ChangeVms(request);
  }
  if (request.m_path == "/control/faults" && post) {
    return ChangeFaults(request);
  }
  if (request.m_path == "/control/advance" && post) {
    Advance(Milliseconds(QueryNumber(request, "ms")));
    return JsonResponse(nlohmann::json::object());
  }
  if (request.m_path == "/control/counts") {
    const std::lock_guard lock(m_mutex);
    return JsonResponse({{"reads", m_reads}});
  }
  return UnknownPath(request);
}

HttpResponse StandInVmList::Read() {
  const std::lock_guard lock(m_mutex);
  ++m_reads;
  return JsonResponse(ToJson(m_model.Read(m_clock.UnixMillis(), m_lag)));
}

void StandInVmList::SetVms(std::vector<ListedVm> vms) {
  const std::lock_guard lock(m_mutex);
  m_model.Set(m_clock.UnixMillis(), std::move(vms));
}

void StandInVmList::SetLag(Milliseconds lag) {
  const std::lock_guard lock(m_mutex);
  m_lag = lag;
}

HttpResponse StandInVmList::ChangeVms(const HttpRequest& request) {
  const auto json = nlohmann::json::parse(request.m_body, nullptr, false);
  try {
    if (!json.is_object()) {
      return ErrorResponse(Error(ErrorCode::kInvalidArgument, "invalid_vms"));
    }
    const std::lock_guard lock(m_mutex);
    m_model.Set(m_clock.UnixMillis(), Changed(m_model.Newest().m_vms, json));
    return JsonResponse({{"version", m_model.Newest().m_version}});
  } catch (const nlohmann::json::exception& error) {
    return ErrorResponse(
        Error(ErrorCode::kInvalidArgument, "invalid_vms", error.what()));
  }
}

HttpResponse StandInVmList::ChangeFaults(const HttpRequest& request) {
  auto json = nlohmann::json::parse(request.m_body, nullptr, false);
  if (json.is_object() && json.contains("lag_ms") &&
      json["lag_ms"].is_number_integer()) {
    SetLag(Milliseconds(json["lag_ms"].get<std::int64_t>()));
  }
  // A stale list is a lag and not a fault of the call.
  if (json.is_object() && json.contains("mode") && json["mode"] == "stale") {
    json["mode"] = "ok";
  }
  const auto setting = ParseFaultSetting(json);
  if (!setting) {
    return ErrorResponse(setting.error());
  }
  SetFaults(*setting);
  return JsonResponse(nlohmann::json::object());
}

}  // namespace mustardslip
