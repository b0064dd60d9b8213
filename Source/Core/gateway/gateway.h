// The HTTP interface of a daemon for callers and operators.
//
// The gateway authenticates, validates and forwards; it keeps no state about
// jobs. What it cannot deliver is "not run"; what may have been delivered and
// has no answer is "outcome unknown".
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "admission/key_verifier.h"
#include "admission/refusal_cache.h"
#include "configuration/configuration.h"
#include "jobs/messages.h"
#include "membership/shard_router.h"
#include "transport/http_message.h"

namespace mustardslip {

struct GatewayOptions {
  int m_team_shards = 32;
  int m_max_in_flight = 900;
  // One team cannot take all places of a gateway.
  int m_max_in_flight_per_team = 450;
  Milliseconds m_default_timeout{10'000};
  Milliseconds m_max_timeout{120'000};
};

// What a caller was told. The kind is "request" for a service request, else the
// kind of the submitted job.
struct RecordedOutcome {
  std::string m_team;
  std::string m_kind;
  Outcome m_outcome = Outcome::kDone;
  std::string m_reason;

  bool operator==(const RecordedOutcome&) const = default;
};

// What the gateway needs from the rest of the daemon.
struct GatewayPorts {
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  // False: a withdrawn key could not be told from a valid one at this moment.
  std::function<bool()> m_keys_are_fresh;
  // Calls a team shard's owner, repeating within the timeout.
  std::function<RpcResult(std::int64_t shard, const std::string& method,
                          const RpcMessage& message, Milliseconds timeout)>
      m_call_team_shard;
  std::function<bool()> m_is_ready;
  std::function<nlohmann::json()> m_status;
  std::function<std::string()> m_metrics;
  // Burn report; true: JSON, false: text.
  std::function<std::string(bool json)> m_burn_report;
  std::function<HttpResponse()> m_get_configuration;
  std::function<HttpResponse(const HttpRequest&)> m_put_configuration;
  // For metrics and the burn report.
  std::function<void(const RecordedOutcome&)> m_record_outcome;
};

class Gateway {
 public:
  Gateway(GatewayOptions options, GatewayPorts ports);

  // Thread-safe; blocks until the request has its answer.
  HttpResponse Handle(const HttpRequest& request);

 private:
  struct Caller {
    std::string m_team;
    bool m_is_operator = false;
  };
  class Admission;

  HttpResponse Route(const HttpRequest& request);
  HttpResponse RouteJobs(const HttpRequest& request);
  HttpResponse RouteOperators(const HttpRequest& request);
  HttpResponse SubmitJob(const HttpRequest& request);
  HttpResponse JobCall(const HttpRequest& request, const std::string& job,
                       const std::string& method);
  HttpResponse CallService(const HttpRequest& request,
                           const std::string& service);
  HttpResponse ForwardService(const HttpRequest& request,
                              const ServiceCall& call);

  // The team that the work is charged to. `queue` may name an open queue.
  Result<Caller> Authorize(const HttpRequest& request,
                           const std::string& queue) const;
  RpcResult CallShard(std::int64_t shard, const std::string& method,
                      const RpcMessage& message, Milliseconds timeout) const;
  void Record(const std::string& team, const std::string& kind,
              const Error& error) const;
  Milliseconds TimeoutOf(const HttpRequest& request,
                         const std::string& header) const;

  const GatewayOptions m_options;
  const GatewayPorts m_ports;
  RefusalCache m_refusals;
  std::mutex m_mutex;
  int m_in_flight = 0;                          // Guarded by m_mutex.
  std::map<std::string, int> m_team_in_flight;  // Guarded by m_mutex.
};

}  // namespace mustardslip
