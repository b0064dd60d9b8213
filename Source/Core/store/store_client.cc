// Maps store calls to HTTP and answers to results.
#include "store/store_client.h"

#include <fmt/core.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "transport/http_error.h"
#include "transport/json_packet.h"

namespace mustardslip {
namespace {

// Answers to a correct call on a working store.
bool IsStoreFault(const Error& error) {
  return error.Code() != ErrorCode::kConflict &&
         error.Code() != ErrorCode::kNotFound &&
         error.Code() != ErrorCode::kInvalidArgument;
}

Result<StoreRevision> NumberHeader(const HttpResponse& response,
                                   const std::string& name) {
  const auto field = response.m_headers.find(name);
  if (field != response.m_headers.end()) {
    const std::string& text = field->second;
    StoreRevision value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size()) {
      return value;
    }
  }
  return Fail(ErrorCode::kUnknownOutcome, "malformed_answer",
              fmt::format("no valid header {}", name));
}

std::string KeyTarget(const std::string& key) {
  return "/v1/kv?key=" + EncodePercent(key);
}

}  // namespace

StoreClient::StoreClient(Endpoint endpoint, Milliseconds call_timeout)
    : m_call_timeout(call_timeout), m_http(std::move(endpoint)) {}

Result<HttpResponse> StoreClient::Send(StoreCall kind, HttpCall call) {
  const auto index = static_cast<std::size_t>(kind);
  ++m_calls[index];
  // On a kept connection the library sends a call again that had no answer in
  // time. A resent compare-and-swap would conflict with its own first delivery,
  // a resent grant would leave a second lease, and any resent call takes twice
  // its timeout and twice its share of a store that is already slow.
  call.m_connection = Connection::kFresh;
  call.m_timeout += m_call_timeout;
  Result<HttpResponse> response = m_http.Send(call);
  if (response && response->m_status != 200) {
    response = tl::unexpected(ErrorFromResponse(*response));
  }
  if (!response && IsStoreFault(response.error())) {
    ++m_failures[index];
  }
  return response;
}

Result<StoreRead> StoreClient::Get(const std::string& key) {
  const auto response = Send(StoreCall::kGet, {.m_target = KeyTarget(key),
                                               .m_timeout = Milliseconds(0)});
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto revision = NumberHeader(*response, "x-revision");
  if (!revision) {
    return tl::unexpected(revision.error());
  }
  const auto version = NumberHeader(*response, "x-version");
  if (!version) {
    return tl::unexpected(version.error());
  }
  if (*version == kAbsent) {
    return StoreRead{std::nullopt, *revision};
  }
  return StoreRead{StoreEntry{key, response->m_body, *version}, *revision};
}

Result<StoreList> StoreClient::List(const std::string& prefix) {
  const auto response = Send(
      StoreCall::kList, {.m_target = "/v1/list?prefix=" + EncodePercent(prefix),
                         .m_timeout = Milliseconds(0)});
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto packet = DecodeJsonPacket(response->m_body);
  if (!packet) {
    return Fail(ErrorCode::kUnknownOutcome, "malformed_answer",
                packet.error().Message());
  }
  return DecodeAnswer([&] {
    StoreList list;
    list.m_revision = packet->m_json.at("revision").get<StoreRevision>();
    const nlohmann::json& entries = packet->m_json.at("entries");
    for (std::size_t i = 0; i < packet->m_blobs.size(); ++i) {
      list.m_entries.push_back({entries.at(i).at("key").get<std::string>(),
                                packet->m_blobs[i],
                                entries.at(i).at("version")});
    }
    return list;
  });
}

Result<StoreRevision> StoreClient::Put(const std::string& key,
                                       const std::string& value,
                                       StoreRevision expected,
                                       const StoreLeaseId& lease) {
  if (value.size() > kMaxStoreValueBytes) {
    return Fail(ErrorCode::kInvalidArgument, "value_too_large", key);
  }
  const auto response =
      Send(StoreCall::kPut,
           {.m_method = "PUT",
            .m_target = fmt::format("{}&expected={}&lease={}", KeyTarget(key),
                                    expected, EncodePercent(lease)),
            .m_body = value,
            .m_timeout = Milliseconds(0)});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return NumberHeader(*response, "x-revision");
}

Result<StoreRevision> StoreClient::Delete(const std::string& key,
                                          StoreRevision expected) {
  const auto response =
      Send(StoreCall::kDelete,
           {.m_method = "DELETE",
            .m_target = fmt::format("{}&expected={}", KeyTarget(key), expected),
            .m_timeout = Milliseconds(0)});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return NumberHeader(*response, "x-revision");
}

Result<StoreWatch> StoreClient::Watch(const std::string& prefix,
                                      StoreRevision since, Milliseconds limit) {
  const auto response = Send(
      StoreCall::kWatch,
      {.m_target = fmt::format("/v1/watch?prefix={}&since={}&limit_ms={}",
                               EncodePercent(prefix), since, limit.count()),
       .m_timeout = limit});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeAnswer([&] {
    const auto json = nlohmann::json::parse(response->m_body);
    return StoreWatch{json.at("changed").get<bool>(),
                      json.at("revision").get<StoreRevision>()};
  });
}

Result<StoreLeaseId> StoreClient::GrantLease(Milliseconds ttl) {
  const auto response =
      Send(StoreCall::kGrantLease,
           {.m_method = "POST",
            .m_target = fmt::format("/v1/leases?ttl_ms={}", ttl.count()),
            .m_timeout = Milliseconds(0)});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeAnswer([&] {
    return nlohmann::json::parse(response->m_body)
        .at("lease")
        .get<StoreLeaseId>();
  });
}

Result<void> StoreClient::RenewLease(const StoreLeaseId& lease) {
  return Send(StoreCall::kRenewLease,
              {.m_method = "POST",
               .m_target = "/v1/leases/" + EncodePercent(lease) + "/renew",
               .m_timeout = Milliseconds(0)})
      .map([](const HttpResponse&) {});
}

Result<void> StoreClient::RevokeLease(const StoreLeaseId& lease) {
  return Send(StoreCall::kRevokeLease,
              {.m_method = "DELETE",
               .m_target = "/v1/leases/" + EncodePercent(lease),
               .m_timeout = Milliseconds(0)})
      .map([](const HttpResponse&) {});
}

std::uint64_t StoreClient::Calls(StoreCall call) const {
  return m_calls[static_cast<std::size_t>(call)];
}

std::uint64_t StoreClient::Failures(StoreCall call) const {
  return m_failures[static_cast<std::size_t>(call)];
}

}  // namespace mustardslip
