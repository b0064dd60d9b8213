// Prometheus metrics of one daemon of a cell.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cell/cell_core.h"
#include "cell/cell_request.h"
#include "transport/client_budget.h"
#include "transport/traffic_meter.h"

namespace mustardslip {

class CellMetrics {
 public:
  CellMetrics();

  // Records a caller's request that was answered after `ms` milliseconds.
  void OnAnswer(CellMethod method, CellOutcome outcome, std::int64_t ms);
  // Sets the gauges; `core` is null if this daemon does not own the cell.
  void Update(const CellCore* core, std::uint64_t store_calls,
              std::uint64_t connections_opened, std::int64_t configuration);

  // Sets the use of each pool, and removes the pools that are not in `pools`.
  void UpdatePools(const std::map<std::string, PoolUse>& pools);

  // Sets the totals of the daemon's messages and bytes by purpose.
  void UpdateTraffic(const TrafficMeter& traffic);

  // Sets what is held for clients, and how often they met each limit.
  void UpdateClients(const ClientBudget& budget);

  // The body of GET /metrics (content type "text/plain; version=0.0.4").
  std::string Exposition() const;

 private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Family<prometheus::Gauge>& m_ends;
  prometheus::Family<prometheus::Gauge>& m_values;
  prometheus::Family<prometheus::Gauge>& m_pools;
  // The pools that m_pools has, by service.
  std::set<std::string> m_known_pools;
  prometheus::Family<prometheus::Gauge>& m_traffic;
  prometheus::Family<prometheus::Gauge>& m_client_limits;
};

}  // namespace mustardslip
