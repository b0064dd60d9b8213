// The process's metrics: typed access to a prometheus-cpp registry.
//
// All metrics are listed here, so that names and labels stay stable and the
// number of label values is bounded.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "common/clock.h"

namespace mustardslip {

// Thread-safe. References stay valid as long as this object.
class Metrics {
 public:
  Metrics();

  // Requests at the gateway by outcome (done, failed, cancelled, not_run,
  // outcome_unknown).
  prometheus::Counter& Requests(const std::string& outcome);
  // Requests answered "not run", by reason.
  prometheus::Counter& NotRun(const std::string& reason);
  // Keys that were refused, by reason.
  prometheus::Counter& KeysRefused(const std::string& reason);
  // Decisions of a VM group's placement core, by result.
  prometheus::Counter& Placements(const std::string& result);
  // Calls to the store, by method and result (ok, conflict, error).
  prometheus::Counter& StoreCalls(const std::string& method,
                                  const std::string& result);
  // Takeovers of shards, by kind (team, group).
  prometheus::Counter& Takeovers(const std::string& kind);
  // Answers with a stale epoch that this process got.
  prometheus::Counter& StaleEpochs();

  // Time from acceptance to start of a task in seconds, by priority.
  prometheus::Histogram& QueueingDelay(const std::string& priority);
  // Time of one placement decision in seconds.
  prometheus::Histogram& DecisionTime();
  // Time of a store call in seconds, by method.
  prometheus::Histogram& StoreLatency(const std::string& method);

  prometheus::Gauge& ConfigurationRevision();
  // Age of the proof that the configuration is current, in seconds.
  prometheus::Gauge& ConfigurationProofAge();
  // 1 while keys are honoured without contact to the store.
  prometheus::Gauge& OutageMode();
  // 1 if the store has answered with an older configuration than before.
  prometheus::Gauge& StoreReverted();
  prometheus::Gauge& OwnedShards(const std::string& kind);
  // Requests or tasks that wait, by team.
  prometheus::Gauge& QueueLength(const std::string& team);
  // Tasks that run, by VM group.
  prometheus::Gauge& RunningTasks(const std::string& group);
  prometheus::Gauge& QuarantinedWorkers(const std::string& group);

  // The text for GET /metrics (content type "text/plain; version=0.0.4").
  std::string Exposition() const;

 private:
  // The value itself, or "other" once a label has too many values: label values
  // such as team names come from outside.
  std::string Bounded(const std::string& metric, const std::string& value);

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Counter>& m_not_run;
  prometheus::Family<prometheus::Counter>& m_keys_refused;
  prometheus::Family<prometheus::Counter>& m_placements;
  prometheus::Family<prometheus::Counter>& m_store_calls;
  prometheus::Family<prometheus::Counter>& m_takeovers;
  prometheus::Family<prometheus::Counter>& m_stale_epochs;
  prometheus::Family<prometheus::Histogram>& m_queueing_delay;
  prometheus::Family<prometheus::Histogram>& m_decision_time;
  prometheus::Family<prometheus::Histogram>& m_store_latency;
  prometheus::Family<prometheus::Gauge>& m_configuration_revision;
  prometheus::Family<prometheus::Gauge>& m_configuration_proof_age;
  prometheus::Family<prometheus::Gauge>& m_outage_mode;
  prometheus::Family<prometheus::Gauge>& m_store_reverted;
  prometheus::Family<prometheus::Gauge>& m_owned_shards;
  prometheus::Family<prometheus::Gauge>& m_queue_length;
  prometheus::Family<prometheus::Gauge>& m_running_tasks;
  prometheus::Family<prometheus::Gauge>& m_quarantined_workers;

  std::mutex m_mutex;
  std::map<std::string, std::set<std::string>> m_values;  // Guarded by m_mutex.
};

}  // namespace mustardslip
