// Metric names, labels and buckets of a cell.
#include "cell/cell_metrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <string_view>

namespace mustardslip {
namespace {

// What is shown of a pool.
constexpr const char* kUsableVms = "usable_vms";
constexpr const char* kRuns = "runs";
constexpr const char* kWaitingTasks = "waiting_tasks";

constexpr std::array<std::string_view, 5> kMethods = {
    "submit", "cancel", "lookup", "count", "explain"};
constexpr std::array<std::string_view, 7> kOutcomes = {
    "accepted", "phase", "count", "gone", "refused", "unknown", "explained"};

// In seconds, from one hop between zones to the usual timeout of a client.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3};
  return buckets;
}

std::string MethodName(CellMethod method) {
  return std::string(kMethods.at(static_cast<std::size_t>(method)));
}

}  // namespace

CellMetrics::CellMetrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("mustardslip_cell_requests_total")
                     .Help("Requests from callers, by method and outcome")
                     .Register(m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("mustardslip_cell_request_seconds")
                    .Help("Time to answer a request, by method")
                    .Register(m_registry)),
      m_ends(prometheus::BuildGauge()
                 .Name("mustardslip_cell_runs_ended")
                 .Help("Runs ended since this daemon took ownership, by kind")
                 .Register(m_registry)),
      m_values(prometheus::BuildGauge()
                   .Name("mustardslip_cell_state")
                   .Help("State of this daemon, by name")
                   .Register(m_registry)),
      m_pools(prometheus::BuildGauge()
                  .Name("mustardslip_cell_pool")
                  .Help("VMs and work of each pool, at the cell's owner")
                  .Register(m_registry)),
      m_traffic(prometheus::BuildGauge()
                    .Name("mustardslip_cell_traffic")
                    .Help("Messages and bytes of this daemon, by purpose")
                    .Register(m_registry)),
      m_client_limits(prometheus::BuildGauge()
                          .Name("mustardslip_client_limits_met")
                          .Help("Times that clients met a limit, by limit")
                          .Register(m_registry)) {}

void CellMetrics::OnAnswer(CellMethod method, CellOutcome outcome,
                           std::int64_t ms) {
  constexpr double kMsPerSecond = 1'000;
  const std::string name = MethodName(method);
  const std::string result(kOutcomes.at(static_cast<std::size_t>(outcome)));
  m_requests.Add({{"method", name}, {"outcome", result}}).Increment();
  m_latency.Add({{"method", name}}, LatencyBuckets())
      .Observe(static_cast<double>(ms) / kMsPerSecond);
}

void CellMetrics::Update(const CellCore* core, std::uint64_t store_calls,
                         std::uint64_t connections_opened,
                         std::int64_t configuration) {
  const auto set = [this](const char* name, double value) {
    m_values.Add({{"name", name}}).Set(value);
  };
  set("owns_cell", core == nullptr ? 0 : 1);
  set("store_calls", static_cast<double>(store_calls));
  set("connections_to_vms_opened", static_cast<double>(connections_opened));
  set("configuration_version", static_cast<double>(configuration));
  if (core == nullptr) {
    return;
  }
  const CellCounters& counters = core->Counters();
  set("jobs_accepted", static_cast<double>(counters.m_accepted));
  set("jobs_refused", static_cast<double>(counters.m_refused));
  set("jobs_refused_hopeless", static_cast<double>(counters.m_hopeless));
  set("starts", static_cast<double>(counters.m_starts));
  set("starts_not_begun", static_cast<double>(counters.m_not_begun));
  set("starts_unanswered", static_cast<double>(counters.m_starts_unanswered));
  set("runs_vanished", static_cast<double>(counters.m_vanished));
  set("unknown_runs_stopped",
      static_cast<double>(counters.m_unknown_runs_stopped));
  set("runs_carried_over", static_cast<double>(counters.m_carried_over));
  set("runs_preempted", static_cast<double>(counters.m_preemptions));
  set("jobs_moved", static_cast<double>(counters.m_jobs_moved));
  set("advice_calls", static_cast<double>(counters.m_asks));
  set("scheduling_passes", static_cast<double>(counters.m_passes));
  set("vms_examined", static_cast<double>(counters.m_vms_examined));
  set("vm_speeds_known", static_cast<double>(core->Speeds().Size()));
  set("vm_speed_changes", static_cast<double>(core->Speeds().Changes()));
  if (const ContentionModel* contention = core->Contention()) {
    set("harmful_pairs", static_cast<double>(contention->HarmfulPairs()));
    set("starts_apart", static_cast<double>(counters.m_starts_apart));
  }
  set("jobs_active", static_cast<double>(core->State().ActiveJobs().size()));
  set("steps_waiting", static_cast<double>(core->Ready().Size()));
  set("zones_evacuated", static_cast<double>(core->EvacuatedZones().size()));
  set("vms_evacuated", static_cast<double>(core->EvacuatedVms()));
  for (const auto& [end, count] : counters.m_ends) {
    m_ends.Add({{"how", std::string(ToString(end))}})
        .Set(static_cast<double>(count));
  }
}

void CellMetrics::UpdatePools(const std::map<std::string, PoolUse>& pools) {
  const auto gauge = [this](const std::string& service,
                            const char* what) -> prometheus::Gauge& {
    return m_pools.Add({{"service", service}, {"what", what}});
  };
  for (const auto& [service, use] : pools) {
    gauge(service, kUsableVms).Set(static_cast<double>(use.m_usable_vms));
    gauge(service, kRuns).Set(static_cast<double>(use.m_runs));
    gauge(service, kWaitingTasks).Set(static_cast<double>(use.m_waiting_tasks));
    m_known_pools.insert(service);
  }
  std::erase_if(m_known_pools, [&](const std::string& service) {
    if (pools.count(service) != 0) {
      return false;
    }
    for (const char* what : {kUsableVms, kRuns, kWaitingTasks}) {
      m_pools.Remove(&gauge(service, what));
    }
    return true;
  });
}

void CellMetrics::UpdateTraffic(const TrafficMeter& traffic) {
  for (std::size_t i = 0; i < kTrafficPurposes; ++i) {
    const auto purpose = static_cast<TrafficPurpose>(i);
    const TrafficCount& count = traffic.Of(purpose);
    const auto set = [&](const char* what, std::uint64_t value) {
      m_traffic
          .Add({{"purpose", std::string(ToString(purpose))}, {"what", what}})
          .Set(static_cast<double>(value));
    };
    set("sent_messages", count.m_sent_messages);
    set("sent_bytes", count.m_sent_bytes);
    set("received_bytes", count.m_received_bytes);
  }
}

void CellMetrics::UpdateClients(const ClientBudget& budget) {
  m_values.Add({{"name", "client_bytes"}})
      .Set(static_cast<double>(budget.Bytes()));
  m_values.Add({{"name", "client_connections"}})
      .Set(static_cast<double>(budget.Connections()));
  for (std::size_t i = 0; i < kClientLimits; ++i) {
    const auto limit = static_cast<ClientLimit>(i);
    m_client_limits.Add({{"limit", std::string(ToString(limit))}})
        .Set(static_cast<double>(budget.Count(limit)));
  }
}

std::string CellMetrics::Exposition() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace mustardslip
