// Routes, authorises and forwards requests.
#include "gateway/gateway.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>

#include "common/logger.h"
#include "common/random_id.h"
#include "gateway/job_input.h"

namespace mustardslip {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kRequestsSuffix = "/requests";
constexpr std::string_view kBearer = "Bearer ";
constexpr Milliseconds kSubmitTimeout{10'000};
// The owner's answer at the request's deadline has to arrive before the gateway
// gives up; otherwise "not run" became "outcome unknown".
constexpr Milliseconds kAnswerMargin{1'000};
constexpr std::int64_t kDefaultRetryAfterMs = 1'000;
constexpr std::size_t kRefusalCacheEntries = 10'000;
constexpr Milliseconds kRefusalMaxAge{2'000};
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

HttpResponse JsonResponse(int status, const Json& body) {
  return {status,
          {{"content-type", "application/json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

HttpResponse RefuseInput(int status, const std::string& reason,
                         const std::string& message) {
  return JsonResponse(
      status,
      {{"outcome", "not_run"}, {"reason", reason}, {"message", message}});
}

HttpResponse NotRun(int status, const std::string& reason,
                    std::int64_t retry_after_ms) {
  HttpResponse response =
      JsonResponse(status, {{"outcome", "not_run"}, {"reason", reason}});
  // Seconds, rounded up: a client that comes back early is refused again.
  const std::int64_t seconds =
      (std::max<std::int64_t>(retry_after_ms, 1) + 999) / 1000;
  response.m_headers["Retry-After"] = std::to_string(seconds);
  return response;
}

HttpResponse NotRun(const std::string& reason, std::int64_t retry_after_ms) {
  return NotRun(HttpStatusOf(Outcome::kNotRun, reason), reason,
                retry_after_ms > 0 ? retry_after_ms : kDefaultRetryAfterMs);
}

HttpResponse OutcomeUnknown(const std::string& reason) {
  return JsonResponse(504,
                      {{"outcome", "outcome_unknown"}, {"reason", reason}});
}

// A refusal by the gateway itself. With a key an earlier try may have run
// through another gateway, so only the key's owner may say "not run".
HttpResponse RefuseTry(const std::string& key, const std::string& reason) {
  HttpResponse response = NotRun(reason, kDefaultRetryAfterMs);
  if (!key.empty()) {
    response.m_body =
        Json{{"outcome", "outcome_unknown"}, {"reason", reason}}.dump() + "\n";
  }
  return response;
}

// The answer for an error of a call that would have run work.
HttpResponse AnswerError(const Error& error) {
  switch (error.Code()) {
    case ErrorCode::kUnauthenticated:
      return RefuseInput(401, error.Reason(), error.Message());
    case ErrorCode::kPermissionDenied:
      return RefuseInput(403, error.Reason(), error.Message());
    case ErrorCode::kInvalidArgument:
      return RefuseInput(error.Reason() == "key_reused" ? 422 : 400,
                         error.Reason(), error.Message());
    case ErrorCode::kNotFound:
      return RefuseInput(404, error.Reason(), error.Message());
    default:
      return error.HadNoEffect() ? NotRun(error.Reason(), 0)
                                 : OutcomeUnknown(error.Reason());
  }
}

// The same for a request that may have a key: kUnavailable means that no owner
// answered.
HttpResponse AnswerError(const std::string& key, const Error& error) {
  return error.Code() == ErrorCode::kUnavailable
             ? RefuseTry(key, error.Reason())
             : AnswerError(error);
}

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string RequestId(const HttpRequest& request) {
  const std::string given = request.Header("x-request-id");
  return given.empty() || given.size() > 128 ? RandomHexId() : given;
}

const char* KindName(JobKind kind) {
  switch (kind) {
    case JobKind::kService:
      return "service";
    case JobKind::kGang:
      return "gang";
    default:
      return "batch";
  }
}

}  // namespace

// Takes a place for one request of a team and gives it back.
class Gateway::Admission {
 public:
  Admission(Gateway& gateway, std::string team)
      : m_gateway(gateway), m_team(std::move(team)) {
    const std::lock_guard lock(gateway.m_mutex);
    int& of_team = gateway.m_team_in_flight[m_team];
    m_admitted = gateway.m_in_flight < gateway.m_options.m_max_in_flight &&
                 of_team < gateway.m_options.m_max_in_flight_per_team;
    if (m_admitted) {
      ++gateway.m_in_flight;
      ++of_team;
    }
  }

  ~Admission() {
    if (!m_admitted) {
      return;
    }
    const std::lock_guard lock(m_gateway.m_mutex);
    --m_gateway.m_in_flight;
    --m_gateway.m_team_in_flight[m_team];
  }

  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  bool IsAdmitted() const { return m_admitted; }

 private:
  Gateway& m_gateway;
  const std::string m_team;
  bool m_admitted = false;
};

Gateway::Gateway(GatewayOptions options, GatewayPorts ports)
    : m_options(options),
      m_ports(std::move(ports)),
      m_refusals(kRefusalCacheEntries, kRefusalMaxAge) {}

HttpResponse Gateway::Handle(const HttpRequest& request) {
  HttpRequest with_id = request;
  const std::string request_id = RequestId(request);
  with_id.m_headers["x-request-id"] = request_id;
  HttpResponse response = Route(with_id);
  response.m_headers["X-Request-Id"] = request_id;
  Log(LogLevel::kDebug, LogCategory::kGateway, "request",
      {{"request_id", request_id},
       {"method", request.m_method},
       {"path", request.m_path},
       {"status", response.m_status}});
  return response;
}

HttpResponse Gateway::Route(const HttpRequest& request) {
  const std::string& path = request.m_path;
  if (path == "/healthz") {
    return {200, {{"content-type", "text/plain"}}, "ok\n"};
  }
  if (path == "/readyz") {
    const bool ready = m_ports.m_is_ready();
    return {ready ? 200 : 503,
            {{"content-type", "text/plain"}},
            ready ? "ready\n" : "not ready\n"};
  }
  if (path == "/metrics") {
    return {200, {{"content-type", "text/plain"}}, m_ports.m_metrics()};
  }
  if (path == kJobsPath || path.starts_with(std::string(kJobsPath) + "/")) {
    return RouteJobs(request);
  }
  if (path.starts_with(kServicesPath) && path.ends_with(kRequestsSuffix) &&
      path.size() > kServicesPath.size() + kRequestsSuffix.size()) {
    if (request.m_method != "POST") {
      return RefuseInput(405, "method_not_allowed", "use POST");
    }
    return CallService(request, path.substr(kServicesPath.size(),
                                            path.size() - kServicesPath.size() -
                                                kRequestsSuffix.size()));
  }
  return RouteOperators(request);
}

HttpResponse Gateway::RouteJobs(const HttpRequest& request) {
  const std::string& path = request.m_path;
  const std::string& method = request.m_method;
  if (path == kJobsPath) {
    return method == "POST"
               ? SubmitJob(request)
               : RefuseInput(405, "method_not_allowed", "use POST");
  }
  std::string job = path.substr(kJobsPath.size() + 1);
  const std::size_t slash = job.find('/');
  const std::string action =
      slash == std::string::npos ? "" : job.substr(slash + 1);
  job = job.substr(0, slash);
  if (method == "GET" && action == "explain") {
    return JobCall(request, job, "ExplainJob");
  }
  if (!action.empty()) {
    return RefuseInput(404, "not_found", path);
  }
  if (method == "GET") {
    return JobCall(
        request, job,
        request.m_query.contains("wait_ms") ? "WaitJob" : "LookupJob");
  }
  if (method == "DELETE") {
    return JobCall(request, job, "CancelJob");
  }
  return RefuseInput(405, "method_not_allowed", "use GET or DELETE");
}

HttpResponse Gateway::RouteOperators(const HttpRequest& request) {
  const std::string& path = request.m_path;
  if (path != "/v1/config" && path != "/v1/status" &&
      path != "/v1/report/burn") {
    return RefuseInput(404, "not_found", path);
  }
  const auto caller = Authorize(request, "");
  if (!caller) {
    return AnswerError(caller.error());
  }
  if (!caller->m_is_operator) {
    return RefuseInput(403, "operator_key_required",
                       "use a key with operator rights");
  }
  if (path == "/v1/status" && request.m_method == "GET") {
    return JsonResponse(200, m_ports.m_status());
  }
  if (path == "/v1/report/burn" && request.m_method == "GET") {
    const bool json = request.Query("format") == "json";
    return {200,
            {{"content-type", json ? "application/json" : "text/plain"}},
            m_ports.m_burn_report(json)};
  }
  if (path == "/v1/config" && request.m_method == "GET") {
    return m_ports.m_get_configuration();
  }
  if (path == "/v1/config" && request.m_method == "PUT") {
    return m_ports.m_put_configuration(request);
  }
  return RefuseInput(405, "method_not_allowed", path);
}

Result<Gateway::Caller> Gateway::Authorize(const HttpRequest& request,
                                           const std::string& queue) const {
  const std::shared_ptr<const Configuration> configuration =
      m_ports.m_configuration();
  const OpenQueue* open_queue =
      queue.empty() ? nullptr : configuration->FindOpenQueue(queue);
  if (open_queue != nullptr) {
    return Caller{open_queue->m_team, false};
  }
  const std::string header = request.Header("authorization");
  if (!header.starts_with(kBearer)) {
    return Fail(ErrorCode::kUnauthenticated, "missing_key",
                "send Authorization: Bearer <key>");
  }
  if (!m_ports.m_keys_are_fresh()) {
    return Fail(ErrorCode::kUnavailable, "configuration_unverified");
  }
  const auto principal = VerifyKey(
      std::string_view(header).substr(kBearer.size()), *configuration);
  if (!principal) {
    return tl::unexpected(principal.error());
  }
  if (!queue.empty() && queue != principal->m_team) {
    return Fail(ErrorCode::kPermissionDenied, "queue_of_another_team",
                "the queue is not open and not the key's team's");
  }
  return Caller{principal->m_team, principal->m_is_operator};
}

Milliseconds Gateway::TimeoutOf(const HttpRequest& request,
                                const std::string& header) const {
  const auto given = ParseNumber(request.Header(header));
  const Milliseconds wanted =
      given && *given > 0 ? Milliseconds(*given) : m_options.m_default_timeout;
  return std::min(wanted, m_options.m_max_timeout);
}

RpcResult Gateway::CallShard(std::int64_t shard, const std::string& method,
                             const RpcMessage& message,
                             Milliseconds timeout) const {
  return m_ports.m_call_team_shard(shard, method, message, timeout);
}

void Gateway::Record(const std::string& team, const std::string& kind,
                     const Error& error) const {
  const Outcome outcome =
      error.HadNoEffect() ? Outcome::kNotRun : Outcome::kOutcomeUnknown;
  m_ports.m_record_outcome({team, kind, outcome, error.Reason()});
}

HttpResponse Gateway::SubmitJob(const HttpRequest& request) {
  auto spec = ParseJobSpec(request.m_body);
  if (!spec) {
    return AnswerError(spec.error());
  }
  const std::string key = request.Header("idempotency-key");
  const auto caller = Authorize(request, spec->m_queue);
  if (!caller) {
    return AnswerError(key, caller.error());
  }
  if (!spec->m_team.empty() && spec->m_team != caller->m_team) {
    return RefuseInput(403, "team_of_another_key",
                       "team: the key belongs to another team");
  }
  spec->m_team = caller->m_team;
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return RefuseInput(400, "invalid_idempotency_key", "at most 128 bytes");
  }
  if (!spec->m_idempotent && key.empty()) {
    return RefuseInput(400, "idempotency_key_required",
                       "a non-idempotent job needs an Idempotency-Key header");
  }
  const Admission admission(*this, caller->m_team);
  if (!admission.IsAdmitted()) {
    return RefuseTry(key, "too_many_requests");
  }
  const std::int64_t shard =
      TeamShardOf(caller->m_team, m_options.m_team_shards);
  const std::string suffix =
      key.empty() ? RandomHexId() : HashHex128(caller->m_team + "\n" + key);
  const SubmitJobRequest submission{*spec, key,
                                    fmt::format("{}-{}", shard, suffix),
                                    request.Header("x-request-id")};
  const RpcResult reply =
      CallShard(shard, "SubmitJob", MakeMessage(submission), kSubmitTimeout);
  const char* kind = KindName(spec->m_kind);
  if (!reply) {
    Record(caller->m_team, kind, reply.error());
    return AnswerError(key, reply.error());
  }
  const auto status = ReadHeader<JobStatus>(*reply);
  if (!status) {
    return OutcomeUnknown("malformed_answer");
  }
  m_ports.m_record_outcome(
      {caller->m_team, kind, status->m_outcome, status->m_reason});
  if (status->m_outcome == Outcome::kNotRun) {
    HttpResponse response = NotRun(status->m_reason, status->m_retry_after_ms);
    Json body = ToCallerJson(*status);
    response.m_body = body.dump() + "\n";
    return response;
  }
  const bool ended = status->m_outcome != Outcome::kQueued &&
                     status->m_outcome != Outcome::kRunning;
  if (!ended && request.m_query.contains("wait_ms")) {
    return JobCall(request, submission.m_job, "WaitJob");
  }
  return JsonResponse(HttpStatusOf(status->m_outcome, status->m_reason),
                      ToCallerJson(*status));
}

HttpResponse Gateway::JobCall(const HttpRequest& request,
                              const std::string& job,
                              const std::string& method) {
  const std::string queue = request.Query("queue");
  auto caller = Authorize(request, queue);
  if (!caller && method == "WaitJob" && request.m_method == "POST") {
    // The submission was authorised under the queue that its body names.
    const auto spec = ParseJobSpec(request.m_body);
    caller = Authorize(request, spec ? spec->m_queue : "");
  }
  if (!caller) {
    return AnswerError(caller.error());
  }
  const auto shard = ParseNumber(job.substr(0, job.find('-')));
  if (!shard || *shard < 0 || *shard >= m_options.m_team_shards ||
      job.find('-') == std::string::npos) {
    return RefuseInput(404, "no_such_job", job);
  }
  const std::string wait_text = request.Query("wait_ms", "0");
  const auto wait = ParseNumber(wait_text);
  if (!wait || *wait < 0) {
    return RefuseInput(400, "invalid_field", "wait_ms: give a whole number");
  }
  const std::int64_t wait_ms =
      std::min<std::int64_t>(*wait, m_options.m_max_timeout.count());
  const JobRequest call{job, caller->m_team, wait_ms};
  const RpcResult reply =
      CallShard(*shard, method, MakeMessage(call),
                m_options.m_default_timeout + Milliseconds(wait_ms));
  if (!reply) {
    const Error& error = reply.error();
    if (error.Code() == ErrorCode::kNotFound) {
      return RefuseInput(404, "no_such_job", job);
    }
    // The job itself may well run: this is about the lookup alone.
    return JsonResponse(503, {{"job", job}, {"reason", error.Reason()}});
  }
  if (method == "ExplainJob") {
    return JsonResponse(200, reply->m_header);
  }
  const auto status = ReadHeader<JobStatus>(*reply);
  if (!status) {
    return JsonResponse(503, {{"job", job}, {"reason", "malformed_answer"}});
  }
  return JsonResponse(HttpStatusOf(status->m_outcome, status->m_reason),
                      ToCallerJson(*status));
}

HttpResponse Gateway::CallService(const HttpRequest& request,
                                  const std::string& service) {
  const std::string key = request.Header("idempotency-key");
  const auto caller = Authorize(request, request.Query("queue"));
  if (!caller) {
    return AnswerError(key, caller.error());
  }
  ServiceCall call;
  call.m_team = caller->m_team;
  call.m_service = service;
  call.m_request_id = request.Header("x-request-id");
  call.m_idempotency_key = key;
  call.m_idempotent = request.Header("x-non-idempotent") != "true";
  call.m_timeout_ms = TimeoutOf(request, "x-timeout-ms").count();
  if (call.m_idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return RefuseInput(400, "invalid_idempotency_key", "at most 128 bytes");
  }
  if (!call.m_idempotent && call.m_idempotency_key.empty()) {
    return RefuseInput(
        400, "idempotency_key_required",
        "a non-idempotent request needs an Idempotency-Key header");
  }
  const Admission admission(*this, caller->m_team);
  if (!admission.IsAdmitted()) {
    return RefuseTry(key, "too_many_requests");
  }
  return ForwardService(request, call);
}

// Only a request without a key may be refused from the cache: with a key the
// same work may have been taken through another gateway in the meantime, and
// "not run" would be false.
HttpResponse Gateway::ForwardService(const HttpRequest& request,
                                     const ServiceCall& call) {
  const bool cacheable = call.m_idempotency_key.empty();
  const std::string fingerprint =
      cacheable ? HashHex128(call.m_service + "\n" + request.m_body) : "";
  const SystemClock clock;
  if (cacheable) {
    const std::lock_guard lock(m_mutex);
    if (const auto refusal =
            m_refusals.Find(call.m_team, fingerprint, clock.Now())) {
      return NotRun(refusal->m_reason, refusal->m_retry_after_ms);
    }
  }
  const RpcResult reply =
      CallShard(TeamShardOf(call.m_team, m_options.m_team_shards),
                "ServiceRequest", MakeMessage(call, request.m_body),
                Milliseconds(call.m_timeout_ms) + kAnswerMargin);
  if (!reply) {
    Record(call.m_team, "request", reply.error());
    return AnswerError(call.m_idempotency_key, reply.error());
  }
  const auto answer = ReadHeader<ServiceCallReply>(*reply);
  if (!answer) {
    return OutcomeUnknown("malformed_answer");
  }
  m_ports.m_record_outcome(
      {call.m_team, "request", answer->m_outcome, answer->m_reason});
  if (answer->m_outcome == Outcome::kNotRun) {
    if (cacheable && answer->m_retry_after_ms > 0) {
      const std::lock_guard lock(m_mutex);
      m_refusals.Put(call.m_team, fingerprint,
                     {answer->m_reason, answer->m_retry_after_ms}, clock.Now());
    }
    return NotRun(answer->m_reason, answer->m_retry_after_ms);
  }
  if (answer->m_outcome == Outcome::kOutcomeUnknown) {
    return OutcomeUnknown(answer->m_reason);
  }
  HttpResponse response{answer->m_status,
                        {{"content-type", "application/octet-stream"}},
                        reply->m_payload};
  response.m_headers["X-Outcome"] = Json(answer->m_outcome).get<std::string>();
  return response;
}

}  // namespace mustardslip
