// Maps worker calls to HTTP and answers to results.
#include "fleet/worker_client.h"

#include <fmt/core.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/worker_wire.h"
#include "transport/http_error.h"
#include "transport/json_packet.h"

namespace mustardslip {
namespace {

std::string TaskPath(const AttemptId& attempt, const std::string& action) {
  return "tasks/" + EncodePercent(attempt) + "/" + action;
}

}  // namespace

WorkerClient::WorkerClient(Endpoint endpoint, std::string prefix,
                           Milliseconds call_timeout)
    : m_prefix(std::move(prefix)),
      m_call_timeout(call_timeout),
      m_http(std::move(endpoint)) {}

Result<HttpResponse> WorkerClient::Send(const std::string& path,
                                        HttpCall call) {
  call.m_target = m_prefix + "/v1/" + path;
  // On a kept connection the library sends a call again that had no answer in
  // time. A resent service request would run twice, since workers do not know
  // request ids; so would a resent start if the worker restarted in between.
  // The other calls would only take twice their timeout.
  call.m_connection = Connection::kFresh;
  Result<HttpResponse> response = m_http.Send(call);
  if (response && response->m_status != 200) {
    return tl::unexpected(ErrorFromResponse(*response));
  }
  return response;
}

Result<FenceReply> WorkerClient::Fence(Epoch epoch) {
  const auto response = Send(fmt::format("fence?epoch={}", epoch),
                             {.m_method = "POST", .m_timeout = m_call_timeout});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeFenceReply(response->m_body);
}

Result<void> WorkerClient::Start(const TaskStart& start) {
  return Send("tasks", {.m_method = "POST",
                        .m_body = EncodeTaskStart(start),
                        .m_timeout = m_call_timeout})
      .map([](const HttpResponse&) {});
}

Result<std::vector<AttemptId>> WorkerClient::Renew(
    Epoch epoch, const std::vector<AttemptId>& attempts, Milliseconds lease) {
  const nlohmann::json body = {
      {"epoch", epoch}, {"attempts", attempts}, {"lease_ms", lease.count()}};
  const auto response = Send(
      "renew",
      {.m_method = "POST", .m_body = body.dump(), .m_timeout = m_call_timeout});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeAnswer([&] {
    return nlohmann::json::parse(response->m_body)
        .at("unknown")
        .get<std::vector<AttemptId>>();
  });
}

Result<void> WorkerClient::Control(Epoch epoch, const AttemptId& attempt,
                                   const std::string& action) {
  const char* separator = action.find('?') == std::string::npos ? "?" : "&";
  return Send(TaskPath(attempt,
                       fmt::format("{}{}epoch={}", action, separator, epoch)),
              {.m_method = "POST", .m_timeout = m_call_timeout})
      .map([](const HttpResponse&) {});
}

Result<void> WorkerClient::Release(Epoch epoch, const AttemptId& attempt) {
  return Control(epoch, attempt, "release");
}

Result<void> WorkerClient::Stop(Epoch epoch, const AttemptId& attempt) {
  return Control(epoch, attempt, "stop");
}

Result<void> WorkerClient::Checkpoint(Epoch epoch, const AttemptId& attempt) {
  return Control(epoch, attempt, "checkpoint");
}

Result<void> WorkerClient::Throttle(Epoch epoch, const AttemptId& attempt,
                                    int percent) {
  return Control(epoch, attempt, fmt::format("throttle?percent={}", percent));
}

Result<ServiceAnswer> WorkerClient::Request(const AttemptId& attempt,
                                            const std::string& request_id,
                                            const std::string& body,
                                            Milliseconds timeout) {
  const auto response = Send(
      TaskPath(attempt, "requests?request_id=") + EncodePercent(request_id),
      {.m_method = "POST",
       .m_headers = {{"Content-Type", "application/octet-stream"}},
       .m_body = body,
       .m_timeout = timeout});
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto status = response->m_headers.find(kServiceStatusHeader);
  ServiceAnswer answer;
  if (status != response->m_headers.end()) {
    const std::string& text = status->second;
    const auto [end, error] = std::from_chars(
        text.data(), text.data() + text.size(), answer.m_status);
    if (error == std::errc() && end == text.data() + text.size()) {
      answer.m_body = response->m_body;
      return answer;
    }
  }
  return Fail(ErrorCode::kUnknownOutcome, "malformed_answer",
              "no valid status of the service");
}

Result<WorkerEvents> WorkerClient::Events(Milliseconds wait) {
  const auto response = Send(fmt::format("events?wait_ms={}", wait.count()),
                             {.m_timeout = m_call_timeout + wait});
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeWorkerEvents(response->m_body);
}

Result<void> WorkerClient::Acknowledge(std::int64_t sequence) {
  return Send(fmt::format("ack?up_to={}", sequence),
              {.m_method = "POST", .m_timeout = m_call_timeout})
      .map([](const HttpResponse&) {});
}

}  // namespace mustardslip
