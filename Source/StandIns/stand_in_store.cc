// HTTP in front of the store's state.
#include "stand_in_store.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "transport/http_error.h"
#include "transport/json_packet.h"

namespace mustardslip {
namespace {

constexpr std::string_view kLeasesPath = "/v1/leases";
constexpr std::string_view kRenewSuffix = "/renew";

std::optional<StoreCall> CallOf(const HttpRequest& request) {
  const std::string& method = request.m_method;
  const std::string& path = request.m_path;
  if (path == "/v1/kv") {
    if (method == "GET") {
      return StoreCall::kGet;
    }
    if (method == "PUT") {
      return StoreCall::kPut;
    }
    if (method == "DELETE") {
      return StoreCall::kDelete;
    }
    return std::nullopt;
  }
  if (path == "/v1/list" && method == "GET") {
    return StoreCall::kList;
  }
  if (path == "/v1/watch" && method == "GET") {
    return StoreCall::kWatch;
  }
  if (path == kLeasesPath && method == "POST") {
    return StoreCall::kGrantLease;
  }
  if (!path.starts_with(kLeasesPath)) {
    return std::nullopt;
  }
  if (path.ends_with(kRenewSuffix) && method == "POST") {
    return StoreCall::kRenewLease;
  }
  if (method == "DELETE") {
    return StoreCall::kRevokeLease;
  }
  return std::nullopt;
}

// The lease in /v1/leases/<id> or /v1/leases/<id>/renew.
StoreLeaseId LeaseOf(const HttpRequest& request) {
  std::string_view id = request.m_path;
  id.remove_prefix(std::min(id.size(), kLeasesPath.size() + 1));
  if (id.ends_with(kRenewSuffix)) {
    id.remove_suffix(kRenewSuffix.size());
  }
  return std::string(id);
}

HttpResponse RevisionResponse(const Result<StoreRevision>& revision) {
  if (!revision) {
    return ErrorResponse(revision.error());
  }
  return {200, {{"X-Revision", std::to_string(*revision)}}, ""};
}

HttpResponse VoidResponse(const Result<void>& result) {
  return result ? JsonResponse(nlohmann::json::object())
                : ErrorResponse(result.error());
}

HttpResponse ReadResponse(const StoreRead& read) {
  HttpResponse response;
  response.m_headers["X-Revision"] = std::to_string(read.m_revision);
  response.m_headers["X-Version"] =
      std::to_string(read.m_entry ? read.m_entry->m_version : kAbsent);
  if (read.m_entry) {
    response.m_headers["content-type"] = "application/octet-stream";
    response.m_body = read.m_entry->m_value;
  }
  return response;
}

HttpResponse ListResponse(StoreList list) {
  JsonPacket packet;
  packet.m_json["revision"] = list.m_revision;
  nlohmann::json entries = nlohmann::json::array();
  for (StoreEntry& entry : list.m_entries) {
    entries.push_back({{"key", entry.m_key}, {"version", entry.m_version}});
    packet.m_blobs.push_back(std::move(entry.m_value));
  }
  packet.m_json["entries"] = std::move(entries);
  return {200,
          {{"content-type", "application/octet-stream"}},
          EncodeJsonPacket(std::move(packet))};
}

}  // namespace

HttpResponse StandInStore::Handle(const HttpRequest& request) {
  if (request.m_path.starts_with("/control/")) {
    return Control(request);
  }
  const std::optional<StoreCall> call = CallOf(request);
  if (!call) {
    return UnknownPath(request);
  }
  {
    const std::lock_guard lock(m_mutex);
    ++m_calls[static_cast<std::size_t>(*call)];
    m_bytes_in += request.m_body.size();
  }
  HttpResponse response =
      m_faults.Run(IsWrite(*call), [&] { return Apply(*call, request); });
  const std::lock_guard lock(m_mutex);
  m_bytes_out += response.m_body.size();
  return response;
}

template <typename Action>
HttpResponse StandInStore::WithModel(Action action) {
  const std::lock_guard lock(m_mutex);
  HttpResponse response = action(m_clock.UnixMillis());
  m_changed.notify_all();
  return response;
}

HttpResponse StandInStore::Apply(StoreCall call, const HttpRequest& request) {
  if (call == StoreCall::kWatch) {
    return Watch(request);
  }
  const std::string key = request.Query("key");
  const StoreRevision expected = QueryNumber(request, "expected", -1);
  return WithModel([&](std::int64_t now_ms) {
    switch (call) {
      case StoreCall::kGet:
        return ReadResponse(m_model.Get(now_ms, key));
      case StoreCall::kList:
        return ListResponse(m_model.List(now_ms, request.Query("prefix")));
      case StoreCall::kPut:
        return RevisionResponse(m_model.Put(now_ms, key, request.m_body,
                                            expected, request.Query("lease")));
      case StoreCall::kDelete:
        return RevisionResponse(m_model.Delete(now_ms, key, expected));
      case StoreCall::kGrantLease:
        return JsonResponse(
            {{"lease", m_model.GrantLease(now_ms, Milliseconds(QueryNumber(
                                                      request, "ttl_ms")))}});
      case StoreCall::kRenewLease:
        return VoidResponse(m_model.RenewLease(now_ms, LeaseOf(request)));
      case StoreCall::kRevokeLease:
        return VoidResponse(m_model.RevokeLease(now_ms, LeaseOf(request)));
      case StoreCall::kWatch:
        break;
    }
    return UnknownPath(request);
  });
}

HttpResponse StandInStore::Watch(const HttpRequest& request) {
  const std::string prefix = request.Query("prefix");
  const StoreRevision since = QueryNumber(request, "since");
  std::unique_lock lock(m_mutex);
  ++m_watches_now;
  m_watches_peak = std::max(m_watches_peak, m_watches_now);
  const std::int64_t end_ms =
      m_clock.UnixMillis() + QueryNumber(request, "limit_ms");
  const auto changed = [&] {
    return m_model.ChangedSince(m_clock.UnixMillis(), prefix, since);
  };
  // A lease that ends changes keys without a call, so the wait is cut there.
  while (!m_stopped && !changed() && m_clock.UnixMillis() < end_ms) {
    const std::int64_t wake_ms =
        std::min(end_ms, m_model.NextLeaseEnd().value_or(end_ms));
    const StoreRevision revision = m_model.Revision();
    m_clock.WaitUntil(lock, m_changed, wake_ms, [&] {
      return m_stopped || m_model.Revision() != revision;
    });
  }
  --m_watches_now;
  return JsonResponse(
      {{"changed", changed()}, {"revision", m_model.Revision()}});
}

HttpResponse StandInStore::Control(const HttpRequest& request) {
  if (request.m_path == "/control/counts") {
    return Counts();
  }
  if (request.m_path == "/control/expire_lease") {
    ExpireLease(request.Query("lease"));
    return JsonResponse(nlohmann::json::object());
  }
  if (request.m_path == "/control/advance") {
    Advance(Milliseconds(QueryNumber(request, "ms")));
    return JsonResponse(nlohmann::json::object());
  }
  if (request.m_path != "/control/faults") {
    return UnknownPath(request);
  }
  const auto setting =
      ParseFaultSetting(nlohmann::json::parse(request.m_body, nullptr, false));
  if (!setting) {
    return ErrorResponse(setting.error());
  }
  SetFaults(*setting);
  return JsonResponse(nlohmann::json::object());
}

HttpResponse StandInStore::Counts() const {
  const std::lock_guard lock(m_mutex);
  nlohmann::json calls;
  for (const StoreCall call : kAllStoreCalls) {
    calls[std::string(ToString(call))] =
        m_calls[static_cast<std::size_t>(call)];
  }
  return JsonResponse({{"calls", calls},
                       {"watches_now", m_watches_now},
                       {"watches_peak", m_watches_peak},
                       {"bytes_in", m_bytes_in},
                       {"bytes_out", m_bytes_out},
                       {"keys", m_model.KeyCount()},
                       {"leases", m_model.LeaseCount()},
                       {"revision", m_model.Revision()}});
}

void StandInStore::ExpireLease(const StoreLeaseId& lease) {
  const std::lock_guard lock(m_mutex);
  if (lease.empty()) {
    m_model.EndAllLeases();
  } else {
    static_cast<void>(m_model.RevokeLease(m_clock.UnixMillis(), lease));
  }
  m_changed.notify_all();
}

std::uint64_t StandInStore::Calls(StoreCall call) const {
  const std::lock_guard lock(m_mutex);
  return m_calls[static_cast<std::size_t>(call)];
}

void StandInStore::Advance(Milliseconds step) {
  const std::lock_guard lock(m_mutex);
  m_clock.Advance(step);
  m_changed.notify_all();
}

void StandInStore::Stop() {
  m_faults.Stop();
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace mustardslip
