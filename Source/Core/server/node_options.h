// Settings of a daemon as typed values.
#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"
#include "transport/http_client.h"

namespace mustardslip {

struct NodeOptions {
  // Where callers and operators connect.
  Endpoint m_http_address;
  // Where other daemons connect; they reach it under the same address.
  Endpoint m_rpc_address;
  std::string m_zone;
  Endpoint m_store;
  Endpoint m_vm_list;
  // Must be the same in all daemons of a deployment.
  int m_team_shards = 32;
  Milliseconds m_member_lease{3'000};
  // After SIGTERM /readyz fails and requests are still accepted this long,
  // until the load balancer has noticed.
  Milliseconds m_drain_delay{2'000};
  Milliseconds m_store_timeout{1'000};
  Milliseconds m_worker_timeout{2'000};
  unsigned m_max_connections = 1'024;

  bool operator==(const NodeOptions&) const = default;
};

}  // namespace mustardslip
