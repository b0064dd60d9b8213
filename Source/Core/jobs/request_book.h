// The state machine of the service requests of one team shard: deduplication,
// queues, choice of a group, outcomes. It does no I/O: TeamShard passes in
// events and carries out the resulting RequestActions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/retry_budget.h"
#include "jobs/answer_cache.h"
#include "jobs/group_choice.h"
#include "jobs/job_book.h"
#include "ledger/idempotency_key.h"
#include "ledger/ledger_record.h"
#include "transport/rpc.h"

namespace mustardslip {

struct RequestBookOptions {
  std::size_t m_max_waiting_per_service = 1000;
  std::size_t m_max_open_per_team = 10'000;
  std::size_t m_max_answer_bytes = 64U << 20U;
  Milliseconds m_answer_age{600'000};
  // Retry-After of temporary refusals and of store outages.
  Milliseconds m_retry_after{1000};
  Milliseconds m_default_timeout{30'000};
  Milliseconds m_max_timeout{600'000};
  // A group that refused a request of a service gets none of it for this long.
  Milliseconds m_refusal_pause{50};
  RetryBudgetOptions m_retry_budget;
};

using ServiceResponder =
    std::function<void(ServiceCallReply reply, std::string body)>;

// A Serve call to a group.
struct ServeOrder {
  std::uint64_t m_id = 0;
  std::string m_group;
  ServeRequest m_request;
  std::shared_ptr<const std::string> m_body;
};

// A new record to be written to the ledger before the request is sent.
struct RecordOrder {
  std::string m_record;
  std::string m_content;
  std::int64_t m_issued_unix_s = 0;
};

struct Answer {
  ServiceResponder m_responder;
  ServiceResponse m_response;
};

// What TeamShard has to carry out.
struct RequestActions {
  std::vector<RecordOrder> m_records;
  std::vector<MarkEnd> m_record_ends;
  std::vector<ServeOrder> m_serves;
  std::vector<Answer> m_answers;
};

// Not thread-safe. Invariants: a request that was sent to a group is answered
// as not run only after that call had no effect; a non-idempotent request is
// sent only after its record was committed, and again only after each earlier
// call had no effect.
class RequestBook {
 public:
  RequestBook(std::int64_t shard, Epoch epoch, RequestBookOptions options)
      : m_shard(shard),
        m_epoch(epoch),
        m_options(options),
        m_answers(options.m_max_answer_bytes, options.m_answer_age),
        m_budget(options.m_retry_budget) {}

  // `has_service`: the team has a service job of this name that has not ended.
  void Submit(ServiceCall call, std::string body, ServiceResponder responder,
              bool has_service, const MarkLookup& find_record, Moment moment);
  void RecordCommitted(const std::string& record, Moment moment);
  void RecordFailed(const std::string& record, const Error& error,
                    Moment moment);
  // The result of the Serve call with this id.
  void Served(std::uint64_t id, const RpcResult& result, Moment moment);
  void UpdateGroups(const GroupSummaries& groups) { m_groups = groups; }
  // Ends unsent requests past their deadline and sends waiting requests to free
  // slots.
  void Tick(Moment moment);
  // Ends all requests: unsent ones as not run, sent ones as outcome unknown.
  void Abandon(Moment moment);
  RequestActions TakeActions() { return std::exchange(m_actions, {}); }
  std::size_t Open() const { return m_open.size(); }

 private:
  enum class Phase { kRecording, kWaiting, kSending };
  using ServiceName = std::pair<std::string, std::string>;

  struct Request {
    ServiceCall m_call;
    std::shared_ptr<const std::string> m_body;
    // The id of the ledger record; empty for a request without a key.
    std::string m_record;
    std::string m_content;
    TimePoint m_deadline;
    Phase m_phase = Phase::kWaiting;
    std::string m_group;
    std::vector<ServiceResponder> m_responders;
  };
  struct Service {
    std::deque<std::uint64_t> m_waiting;
    std::map<std::string, int> m_in_flight;
    std::map<std::string, TimePoint> m_refused_until;
  };

  void Reply(ServiceResponder responder, ServiceResponse response);
  std::optional<ServiceResponse> CheckKey(const ServiceCall& call,
                                          Moment moment) const;
  // Answers a request whose key is known or attaches it to the open request
  // with this key. Returns false if the request has to be executed.
  bool Deduplicate(const ServiceCall& call, const std::string& record,
                   const std::string& content, ServiceResponder& responder,
                   const MarkLookup& find_record, TimePoint now);
  std::optional<ServiceResponse> CheckQueueLimits(const ServiceCall& call,
                                                  bool has_service) const;
  void AddRequest(Request request, Moment moment);
  ServiceResponse NotRun(int status, std::string reason,
                         bool may_pass_soon) const;
  void Enqueue(std::uint64_t id, Request& request, bool first);
  void SendWaiting(const ServiceName& name, Moment moment);
  void Send(std::uint64_t id, Request& request, std::string group,
            TimePoint now);
  void HandleServeError(std::uint64_t id, const Error& error, Moment moment);
  void Finish(std::uint64_t id, ServiceResponse response, TimePoint now);
  void RemoveRequest(std::uint64_t id, const Request& request);
  void ExpireDue(Moment moment);
  void EndUnsent(std::uint64_t id, const std::string& reason, TimePoint now);
  static ServiceName NameOf(const Request& request) {
    return {request.m_call.m_team, request.m_call.m_service};
  }

  const std::int64_t m_shard;
  const Epoch m_epoch;
  const RequestBookOptions m_options;
  GroupSummaries m_groups;
  std::unordered_map<std::uint64_t, Request> m_open;
  // Open requests that have a key, by record id.
  std::unordered_map<std::string, std::uint64_t> m_by_record;
  std::map<ServiceName, Service> m_services;
  std::map<std::string, std::size_t> m_open_of_team;
  std::multimap<TimePoint, std::uint64_t> m_deadlines;
  AnswerCache m_answers;
  RetryBudget m_budget;
  std::uint64_t m_next_id = 1;
  RequestActions m_actions;
};

}  // namespace mustardslip
