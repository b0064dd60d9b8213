// The client of the platform's VM list over HTTP.
//
// GET /v1/vms answers JSON: version, and vms with id and state (live or
// leaving). Errors are JSON with code, reason and message.
#pragma once

#include "common/clock.h"
#include "fleet/vm_list.h"
#include "transport/http_client.h"

namespace mustardslip {

// Blocking and thread-safe.
class VmListClient {
 public:
  VmListClient(Endpoint endpoint, Milliseconds call_timeout);

  Result<VmList> Read();

 private:
  const Milliseconds m_call_timeout;
  HttpClient m_http;
};

static_assert(VmListSource<VmListClient>);

}  // namespace mustardslip
