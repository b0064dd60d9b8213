// Builds the metric families and writes the text exposition.
#include "report/metrics.h"

#include <prometheus/text_serializer.h>

namespace mustardslip {
namespace {

// Room for 120 teams, 19 groups and all reasons.
constexpr std::size_t kMaxLabelValues = 256;

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& GaugeFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& HistogramFamily(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

// Upper bounds in seconds; 3.3 s is the bound for urgent starts.
const prometheus::Histogram::BucketBoundaries kDelayBuckets = {
    0.005, 0.02, 0.1, 0.5, 1.0, 2.0, 3.3, 5.0, 10.0, 60.0, 600.0};
const prometheus::Histogram::BucketBoundaries kDecisionBuckets = {
    0.00001, 0.00005, 0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1};
const prometheus::Histogram::BucketBoundaries kCallBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 2.5};

}  // namespace

Metrics::Metrics()
    : m_requests(CounterFamily(m_registry, "mustardslip_requests_total",
                               "Requests by outcome")),
      m_not_run(CounterFamily(m_registry, "mustardslip_not_run_total",
                              "Requests rejected as not run, by reason")),
      m_keys_refused(CounterFamily(m_registry, "mustardslip_keys_refused_total",
                                   "Keys refused, by reason")),
      m_placements(CounterFamily(m_registry, "mustardslip_placements_total",
                                 "Placement decisions by result")),
      m_store_calls(CounterFamily(m_registry, "mustardslip_store_calls_total",
                                  "Store calls by method and result")),
      m_takeovers(CounterFamily(m_registry, "mustardslip_takeovers_total",
                                "Shard takeovers by kind")),
      m_stale_epochs(CounterFamily(m_registry, "mustardslip_stale_epochs_total",
                                   "Answers with a stale epoch")),
      m_queueing_delay(HistogramFamily(m_registry,
                                       "mustardslip_queueing_delay_seconds",
                                       "Acceptance to start, by priority")),
      m_decision_time(HistogramFamily(m_registry,
                                      "mustardslip_decision_seconds",
                                      "Time of one placement decision")),
      m_store_latency(HistogramFamily(m_registry,
                                      "mustardslip_store_call_seconds",
                                      "Time of a store call, by method")),
      m_configuration_revision(
          GaugeFamily(m_registry, "mustardslip_configuration_revision",
                      "Revision of the configuration in force")),
      m_configuration_proof_age(
          GaugeFamily(m_registry, "mustardslip_configuration_proof_age_seconds",
                      "Age of the proof that the configuration is current")),
      m_outage_mode(GaugeFamily(m_registry, "mustardslip_outage_mode",
                                "1 while keys are honoured without the store")),
      m_store_reverted(
          GaugeFamily(m_registry, "mustardslip_store_reverted",
                      "1 if the store returned an older configuration")),
      m_owned_shards(GaugeFamily(m_registry, "mustardslip_owned_shards",
                                 "Shards owned, by kind")),
      m_queue_length(GaugeFamily(m_registry, "mustardslip_queue_length",
                                 "Waiting tasks and requests, by team")),
      m_running_tasks(GaugeFamily(m_registry, "mustardslip_running_tasks",
                                  "Running tasks, by VM group")),
      m_quarantined_workers(
          GaugeFamily(m_registry, "mustardslip_quarantined_workers",
                      "Workers in quarantine, by VM group")) {}

std::string Metrics::Bounded(const std::string& metric,
                             const std::string& value) {
  const std::lock_guard lock(m_mutex);
  std::set<std::string>& values = m_values[metric];
  if (values.contains(value)) {
    return value;
  }
  if (values.size() >= kMaxLabelValues) {
    return "other";
  }
  values.insert(value);
  return value;
}

prometheus::Counter& Metrics::Requests(const std::string& outcome) {
  return m_requests.Add({{"outcome", Bounded("requests", outcome)}});
}

prometheus::Counter& Metrics::NotRun(const std::string& reason) {
  return m_not_run.Add({{"reason", Bounded("not_run", reason)}});
}

prometheus::Counter& Metrics::KeysRefused(const std::string& reason) {
  return m_keys_refused.Add({{"reason", Bounded("keys_refused", reason)}});
}

prometheus::Counter& Metrics::Placements(const std::string& result) {
  return m_placements.Add({{"result", Bounded("placements", result)}});
}

prometheus::Counter& Metrics::StoreCalls(const std::string& method,
                                         const std::string& result) {
  return m_store_calls.Add({{"method", Bounded("store_method", method)},
                            {"result", Bounded("store_result", result)}});
}

prometheus::Counter& Metrics::Takeovers(const std::string& kind) {
  return m_takeovers.Add({{"kind", Bounded("takeovers", kind)}});
}

prometheus::Counter& Metrics::StaleEpochs() { return m_stale_epochs.Add({}); }

prometheus::Histogram& Metrics::QueueingDelay(const std::string& priority) {
  return m_queueing_delay.Add({{"priority", Bounded("priority", priority)}},
                              kDelayBuckets);
}

prometheus::Histogram& Metrics::DecisionTime() {
  return m_decision_time.Add({}, kDecisionBuckets);
}

prometheus::Histogram& Metrics::StoreLatency(const std::string& method) {
  return m_store_latency.Add({{"method", Bounded("store_method", method)}},
                             kCallBuckets);
}

prometheus::Gauge& Metrics::ConfigurationRevision() {
  return m_configuration_revision.Add({});
}

prometheus::Gauge& Metrics::ConfigurationProofAge() {
  return m_configuration_proof_age.Add({});
}

prometheus::Gauge& Metrics::OutageMode() { return m_outage_mode.Add({}); }

prometheus::Gauge& Metrics::StoreReverted() { return m_store_reverted.Add({}); }

prometheus::Gauge& Metrics::OwnedShards(const std::string& kind) {
  return m_owned_shards.Add({{"kind", Bounded("owned_shards", kind)}});
}

prometheus::Gauge& Metrics::QueueLength(const std::string& team) {
  return m_queue_length.Add({{"team", Bounded("team", team)}});
}

prometheus::Gauge& Metrics::RunningTasks(const std::string& group) {
  return m_running_tasks.Add({{"group", Bounded("group", group)}});
}

prometheus::Gauge& Metrics::QuarantinedWorkers(const std::string& group) {
  return m_quarantined_workers.Add({{"group", Bounded("group", group)}});
}

std::string Metrics::Exposition() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace mustardslip
