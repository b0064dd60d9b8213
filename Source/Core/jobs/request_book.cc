// RequestBook: service requests from submission to the answer.
#include "jobs/request_book.h"

#include <algorithm>

#include "common/random_id.h"
#include "transport/http_status.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

ServiceResponse MakeResponse(Outcome outcome, int status, std::string reason) {
  return {{outcome, status, std::move(reason), 0}, ""};
}

// The response to a retry whose answer is no longer cached, derived from the
// ledger record.
ServiceResponse ResponseFromRecord(RecordState state) {
  switch (state) {
    case RecordState::kDone:
      return MakeResponse(Outcome::kDone, HttpStatus::kGone, "answer_expired");
    case RecordState::kFailed:
      return MakeResponse(Outcome::kFailed, HttpStatus::kGone,
                          "answer_expired");
    default:
      return MakeResponse(Outcome::kOutcomeUnknown, HttpStatus::kConflict,
                          "no_end_recorded");
  }
}

RecordState StateOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return RecordState::kDone;
    case Outcome::kFailed:
      return RecordState::kFailed;
    case Outcome::kNotRun:
      return RecordState::kNotRun;
    default:
      return RecordState::kUnknown;
  }
}

}  // namespace

void RequestBook::Reply(ServiceResponder responder, ServiceResponse response) {
  m_actions.m_answers.push_back({std::move(responder), std::move(response)});
}

ServiceResponse RequestBook::NotRun(int status, std::string reason,
                                    bool may_pass_soon) const {
  ServiceResponse response =
      MakeResponse(Outcome::kNotRun, status, std::move(reason));
  if (may_pass_soon) {
    response.m_reply.m_retry_after_ms = m_options.m_retry_after.count();
  }
  return response;
}

void RequestBook::Submit(ServiceCall call, std::string body,
                         ServiceResponder responder, bool has_service,
                         const MarkLookup& find_record, Moment moment) {
  if (const auto refusal = CheckKey(call, moment)) {
    Reply(std::move(responder), *refusal);
    return;
  }
  Request request;
  const std::string& key = call.m_idempotency_key;
  if (!key.empty()) {
    request.m_record = KeyHash(call.m_team, key);
    request.m_content = HashHex128(call.m_service + "\n" + body);
    if (Deduplicate(call, request.m_record, request.m_content, responder,
                    find_record, moment.m_now)) {
      return;
    }
  }
  if (const auto refusal = CheckQueueLimits(call, has_service)) {
    Reply(std::move(responder), *refusal);
    return;
  }
  request.m_call = std::move(call);
  request.m_body = std::make_shared<const std::string>(std::move(body));
  request.m_responders.push_back(std::move(responder));
  AddRequest(std::move(request), moment);
}

std::optional<ServiceResponse> RequestBook::CheckKey(const ServiceCall& call,
                                                     Moment moment) const {
  if (call.m_idempotent) {
    return std::nullopt;
  }
  if (call.m_idempotency_key.empty()) {
    return NotRun(HttpStatus::kBadRequest, "key_required", false);
  }
  const Result<std::int64_t> issued =
      ParseIdempotencyKey(call.m_idempotency_key);
  if (!issued) {
    return NotRun(HttpStatus::kBadRequest, issued.error().Reason(), false);
  }
  switch (CheckKeyAge(*issued, moment.m_unix_ms / kMillisPerSecond)) {
    case KeyAge::kTooOld:
      // The ledger may have dropped its record already.
      return MakeResponse(Outcome::kOutcomeUnknown, HttpStatus::kConflict,
                          "key_too_old");
    case KeyAge::kFromFuture:
      return NotRun(HttpStatus::kBadRequest, "key_from_future", false);
    default:
      return std::nullopt;
  }
}

bool RequestBook::Deduplicate(const ServiceCall& call,
                              const std::string& record,
                              const std::string& content,
                              ServiceResponder& responder,
                              const MarkLookup& find_record, TimePoint now) {
  const ServiceResponse reused =
      NotRun(HttpStatus::kUnprocessable, "key_reused", false);
  const auto open = m_by_record.find(record);
  if (open != m_by_record.end()) {
    Request& request = m_open.at(open->second);
    if (request.m_content != content) {
      Reply(std::move(responder), reused);
      return true;
    }
    request.m_responders.push_back(std::move(responder));
    return true;
  }
  if (const CachedAnswer* cached = m_answers.Find(record, now)) {
    Reply(std::move(responder),
          cached->m_content == content ? cached->m_response : reused);
    return true;
  }
  const std::optional<LedgerRecord> known = find_record(record);
  if (!known ||
      (known->m_content == content && known->m_state == RecordState::kNotRun)) {
    return false;
  }
  if (call.m_idempotent && known->m_content == content) {
    return false;
  }
  Reply(std::move(responder), known->m_content == content
                                  ? ResponseFromRecord(known->m_state)
                                  : reused);
  return true;
}

std::optional<ServiceResponse> RequestBook::CheckQueueLimits(
    const ServiceCall& call, bool has_service) const {
  if (!has_service) {
    return NotRun(HttpStatus::kNotFound, "service_not_found", false);
  }
  const auto team = m_open_of_team.find(call.m_team);
  if (team != m_open_of_team.end() &&
      team->second >= m_options.m_max_open_per_team) {
    return NotRun(HttpStatus::kTooManyRequests, "team_queue_full", true);
  }
  const auto service = m_services.find({call.m_team, call.m_service});
  if (service != m_services.end() &&
      service->second.m_waiting.size() >= m_options.m_max_waiting_per_service) {
    return NotRun(HttpStatus::kTooManyRequests, "service_queue_full", true);
  }
  return std::nullopt;
}

void RequestBook::AddRequest(Request request, Moment moment) {
  const std::int64_t asked = request.m_call.m_timeout_ms;
  const Milliseconds timeout =
      asked > 0 ? std::min(Milliseconds(asked), m_options.m_max_timeout)
                : m_options.m_default_timeout;
  request.m_deadline = moment.m_now + timeout;
  const std::uint64_t id = m_next_id++;
  m_deadlines.emplace(request.m_deadline, id);
  m_open_of_team[request.m_call.m_team]++;
  if (!request.m_record.empty()) {
    m_by_record[request.m_record] = id;
  }
  const bool needs_record = !request.m_call.m_idempotent;
  Request& stored = m_open[id] = std::move(request);
  m_budget.OnFirstAttempt();
  if (needs_record) {
    stored.m_phase = Phase::kRecording;
    m_actions.m_records.push_back(
        {stored.m_record, stored.m_content,
         *ParseIdempotencyKey(stored.m_call.m_idempotency_key)});
    return;
  }
  Enqueue(id, stored, false);
  SendWaiting(NameOf(stored), moment);
}

void RequestBook::Enqueue(std::uint64_t id, Request& request, bool first) {
  request.m_phase = Phase::kWaiting;
  std::deque<std::uint64_t>& waiting = m_services[NameOf(request)].m_waiting;
  waiting.insert(first ? waiting.begin() : waiting.end(), id);
}

void RequestBook::RecordCommitted(const std::string& record, Moment moment) {
  const auto found = m_by_record.find(record);
  if (found == m_by_record.end()) {
    return;
  }
  Request& request = m_open.at(found->second);
  if (request.m_phase != Phase::kRecording) {
    return;
  }
  Enqueue(found->second, request, false);
  SendWaiting(NameOf(request), moment);
}

void RequestBook::RecordFailed(const std::string& record, const Error& error,
                               Moment moment) {
  const auto found = m_by_record.find(record);
  if (found == m_by_record.end() ||
      m_open.at(found->second).m_phase != Phase::kRecording) {
    return;
  }
  Finish(found->second,
         NotRun(HttpStatus::kServiceUnavailable, error.Reason(), true),
         moment.m_now);
}

void RequestBook::SendWaiting(const ServiceName& name, Moment moment) {
  Service& service = m_services[name];
  std::erase_if(service.m_refused_until, [&moment](const auto& item) {
    return item.second <= moment.m_now;
  });
  ServeNeed need{name.first, name.second, {}, {}};
  for (const auto& [group, until] : service.m_refused_until) {
    need.m_excluded.insert(group);
  }
  while (!service.m_waiting.empty()) {
    need.m_in_flight = service.m_in_flight;
    std::optional<std::string> group = ChooseForServe(need, m_groups);
    if (!group) {
      return;
    }
    const std::uint64_t id = service.m_waiting.front();
    service.m_waiting.pop_front();
    Send(id, m_open.at(id), std::move(*group), moment.m_now);
  }
}

void RequestBook::Send(std::uint64_t id, Request& request, std::string group,
                       TimePoint now) {
  request.m_phase = Phase::kSending;
  request.m_group = std::move(group);
  m_services[NameOf(request)].m_in_flight[request.m_group]++;
  const ServiceCall& call = request.m_call;
  const auto left =
      std::chrono::duration_cast<Milliseconds>(request.m_deadline - now);
  m_actions.m_serves.push_back(
      {id,
       request.m_group,
       {m_shard, m_epoch, call.m_team, call.m_service, call.m_request_id,
        std::max<std::int64_t>(left.count(), 1), call.m_idempotent},
       request.m_body});
}

void RequestBook::Served(std::uint64_t id, const RpcResult& result,
                         Moment moment) {
  const auto found = m_open.find(id);
  if (found == m_open.end()) {
    return;
  }
  Request& request = found->second;
  const ServiceName name = NameOf(request);
  m_services[name].m_in_flight[request.m_group]--;
  if (!result) {
    HandleServeError(id, result.error(), moment);
  } else {
    const Result<ServeReply> reply = ReadHeader<ServeReply>(*result);
    const int status = reply ? reply->m_status : HttpStatus::kServerError;
    const Outcome outcome =
        status < HttpStatus::kServerError ? Outcome::kDone : Outcome::kFailed;
    Finish(id, {{outcome, status, "", 0}, result->m_payload}, moment.m_now);
  }
  SendWaiting(name, moment);
}

void RequestBook::HandleServeError(std::uint64_t id, const Error& error,
                                   Moment moment) {
  Request& request = m_open.at(id);
  if (!error.HadNoEffect()) {
    Finish(id,
           MakeResponse(Outcome::kOutcomeUnknown, HttpStatus::kGatewayTimeout,
                        error.Reason()),
           moment.m_now);
    return;
  }
  m_services[NameOf(request)].m_refused_until[request.m_group] =
      moment.m_now + m_options.m_refusal_pause;
  if (error.Code() == ErrorCode::kInvalidArgument) {
    Finish(id, NotRun(HttpStatus::kBadRequest, error.Reason(), false),
           moment.m_now);
  } else if (request.m_deadline <= moment.m_now) {
    Finish(id, NotRun(HttpStatus::kServiceUnavailable, "deadline_passed", true),
           moment.m_now);
  } else if (!m_budget.TryRetry(moment.m_now)) {
    Finish(id, NotRun(HttpStatus::kTooManyRequests, "retry_budget", true),
           moment.m_now);
  } else {
    Enqueue(id, request, true);
  }
}

void RequestBook::Finish(std::uint64_t id, ServiceResponse response,
                         TimePoint now) {
  Request request = std::move(m_open.at(id));
  RemoveRequest(id, request);
  const Outcome outcome = response.m_reply.m_outcome;
  if (!request.m_call.m_idempotent) {
    m_actions.m_record_ends.push_back({request.m_record, StateOf(outcome)});
  }
  const bool has_answer =
      outcome == Outcome::kDone || outcome == Outcome::kFailed;
  if (!request.m_record.empty() && has_answer) {
    m_answers.Put(request.m_record, {request.m_content, response}, now);
  }
  for (ServiceResponder& responder : request.m_responders) {
    Reply(std::move(responder), response);
  }
}

void RequestBook::RemoveRequest(std::uint64_t id, const Request& request) {
  if (!request.m_record.empty()) {
    m_by_record.erase(request.m_record);
  }
  const auto team = m_open_of_team.find(request.m_call.m_team);
  if (--team->second == 0) {
    m_open_of_team.erase(team);
  }
  if (request.m_phase == Phase::kWaiting) {
    std::erase(m_services[NameOf(request)].m_waiting, id);
  }
  m_open.erase(id);
}

void RequestBook::Tick(Moment moment) {
  ExpireDue(moment);
  for (auto& [name, service] : m_services) {
    if (!service.m_waiting.empty()) {
      SendWaiting(name, moment);
    }
  }
}

// Skips requests that were sent: the Serve call has the same deadline and its
// result ends the request.
void RequestBook::ExpireDue(Moment moment) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= moment.m_now) {
    const std::uint64_t id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    const auto found = m_open.find(id);
    if (found != m_open.end() && found->second.m_phase != Phase::kSending) {
      // Only a store outage delays the ledger write past the deadline.
      const bool is_recording = found->second.m_phase == Phase::kRecording;
      EndUnsent(id, is_recording ? "store_unavailable" : "deadline_passed",
                moment.m_now);
    }
  }
}

void RequestBook::EndUnsent(std::uint64_t id, const std::string& reason,
                            TimePoint now) {
  Finish(id, NotRun(HttpStatus::kServiceUnavailable, reason, true), now);
}

void RequestBook::Abandon(Moment moment) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : m_open) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    if (m_open.at(id).m_phase == Phase::kSending) {
      Finish(id,
             MakeResponse(Outcome::kOutcomeUnknown,
                          HttpStatus::kServiceUnavailable, "owner_stopped"),
             moment.m_now);
    } else {
      EndUnsent(id, "owner_moved", moment.m_now);
    }
  }
}

}  // namespace mustardslip
