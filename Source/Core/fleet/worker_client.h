// The client of one worker VM over HTTP.
//
// Paths under the prefix of the VM (`/<vm id>/v1`):
//   POST fence?epoch=              answer: packet of boot id and tasks
//   POST tasks                     body: packet of the start, labels, payload
//   POST renew                     JSON epoch, attempts, lease_ms; answer:
//                                  JSON unknown
//   POST tasks/<attempt>/release|stop|checkpoint?epoch=
//   POST tasks/<attempt>/throttle?epoch=&percent=
//   POST tasks/<attempt>/requests?request_id=   body and answer: any bytes;
//                                  X-Service-Status: status from the task
//   GET  events?wait_ms=           answer: packet of ends and usage
//   POST ack?up_to=
// Errors are JSON with code, reason and message (transport/http_error.h).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/worker_api.h"
#include "transport/http_client.h"

namespace mustardslip {

// Blocking and thread-safe.
class WorkerClient {
 public:
  // `prefix` is the path before `/v1`: `/<vm id>`, or empty for a process that
  // serves one VM only. `call_timeout` is the limit for each call other than
  // Request(); Events() may wait in addition.
  WorkerClient(Endpoint endpoint, std::string prefix,
               Milliseconds call_timeout);

  Result<FenceReply> Fence(Epoch epoch);
  Result<void> Start(const TaskStart& start);
  Result<std::vector<AttemptId>> Renew(Epoch epoch,
                                       const std::vector<AttemptId>& attempts,
                                       Milliseconds lease);
  Result<void> Release(Epoch epoch, const AttemptId& attempt);
  Result<void> Stop(Epoch epoch, const AttemptId& attempt);
  Result<void> Checkpoint(Epoch epoch, const AttemptId& attempt);
  Result<void> Throttle(Epoch epoch, const AttemptId& attempt, int percent);
  // Each call delivers the request at most once.
  Result<ServiceAnswer> Request(const AttemptId& attempt,
                                const std::string& request_id,
                                const std::string& body, Milliseconds timeout);
  Result<WorkerEvents> Events(Milliseconds wait);
  Result<void> Acknowledge(std::int64_t sequence);

 private:
  // Sends to `path` below `/v1`. Each answer other than 200 is an error.
  Result<HttpResponse> Send(const std::string& path, HttpCall call);
  Result<void> Control(Epoch epoch, const AttemptId& attempt,
                       const std::string& action);

  const std::string m_prefix;
  const Milliseconds m_call_timeout;
  HttpClient m_http;
};

static_assert(Worker<WorkerClient>);

}  // namespace mustardslip
