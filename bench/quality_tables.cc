// Which replays are run, and how their results are printed.
#include "quality_tables.h"

#include <fmt/core.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "cost_tables.h"
#include "first_come_first_served.h"
#include "placement/placement_core.h"
#include "replay.h"

namespace mustardslip::bench {
namespace {

// Holds about ten seconds of the arrivals of a 400-worker fleet, so that
// repeated submissions meet full queues.
constexpr std::int64_t kShortQueue = 500;
constexpr int kCancellations = 20'000;

struct Row {
  std::string m_label;
  nlohmann::json m_metrics;
};

template <typename Policy>
Row RunReplay(const std::string& label, const FleetProfile& profile,
              const ReplayOptions& options) {
  Replay<Policy> replay(profile, options);
  return {label, replay.Run().ToJson()};
}

// Both policies on the same stream.
void RunBoth(std::vector<Row>& rows, const std::string& label,
             const FleetProfile& profile, const ReplayOptions& options) {
  rows.push_back(
      RunReplay<PlacementCore>(label + ", in use", profile, options));
  rows.push_back(
      RunReplay<FirstComeFirstServed>(label + ", baseline", profile, options));
}

std::string Wait(const nlohmann::json& metrics, const char* work) {
  const nlohmann::json& wait = metrics["wait_ms"][work];
  return fmt::format("{:.1f} / {:.1f}", wait["p50"].get<double>() / 1'000,
                     wait["p99"].get<double>() / 1'000);
}

std::string Distance(const nlohmann::json& metrics, const char* name) {
  return fmt::format("{:.2f} / {:.2f}", metrics[name]["mean"].get<double>(),
                     metrics[name]["largest"].get<double>());
}

std::int64_t Refused(const nlohmann::json& metrics, const char* reason) {
  return metrics["refusals"].value(reason, std::int64_t{0});
}

nlohmann::json Print(const std::string& title, const std::vector<Row>& rows) {
  fmt::print("\n### {}\n\n", title);
  fmt::print(
      "| run | wait p50/p99 s: service | urgent | batch | gang | packed % | "
      "distance from share, mean/largest: % of fleet | % of share | "
      "preemptions (lost % of fleet) | goodput % of fleet |\n");
  fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Row& row : rows) {
    const nlohmann::json& m = row.m_metrics;
    fmt::print(
        "| {} | {} | {} | {} | {} | {:.1f} | {} | {} | {} ({:.2f}) | "
        "{:.1f} |\n",
        row.m_label, Wait(m, "service"), Wait(m, "urgent"), Wait(m, "batch"),
        Wait(m, "gang"), m["packing_percent_mean"].get<double>(),
        Distance(m, "share_distance_percent_of_fleet"),
        Distance(m, "share_distance_percent_of_share"),
        m["preemptions"].get<std::int64_t>(),
        m["lost_cpu_percent"].get<double>(),
        m["goodput_percent"].get<double>());
  }
  fmt::print(
      "\n| run | decisions/s on one core | us per decision p50/p99 | longest "
      "call us | starts | most running | failures | most quarantined | "
      "refused: queue_full, deadline_passed, never_fits | short of memory |\n");
  fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  nlohmann::json json;
  for (const Row& row : rows) {
    const nlohmann::json& m = row.m_metrics;
    fmt::print(
        "| {} | {:.0f} | {:.2f} / {:.2f} | {:.0f} | {} | {} | {} | {} | "
        "{}, {}, {} | {} |\n",
        row.m_label, m["decisions_per_second"].get<double>(),
        m["decision_us"]["p50"].get<double>(),
        m["decision_us"]["p99"].get<double>(),
        m["longest_call_us"].get<double>(), m["starts"].get<std::int64_t>(),
        m["most_running"].get<std::int64_t>(),
        m["failures"].get<std::int64_t>(),
        m["most_quarantined"].get<std::int64_t>(), Refused(m, "queue_full"),
        Refused(m, "deadline_passed"), Refused(m, "never_fits"),
        m["short_of_memory"].get<std::int64_t>());
    json[row.m_label] = m;
  }
  std::fflush(stdout);
  return json;
}

nlohmann::json PrintProfiles(const std::vector<FleetProfile>& profiles) {
  std::vector<Row> rows;
  for (const FleetProfile& profile : profiles) {
    RunBoth(rows, profile.m_name, profile, ReplayOptions{});
  }
  return Print("Full fleet, declarations right", rows);
}

nlohmann::json PrintDeclarations() {
  std::vector<Row> rows;
  for (const bool by_team : {false, true}) {
    for (const double error : {2.0, 10.0}) {
      ReplayOptions options;
      options.m_workload.m_declaration_error = error;
      options.m_workload.m_error_by_team = by_team;
      RunBoth(rows,
              fmt::format("ghana, {} off by up to {}",
                          by_team ? "each team and kind" : "each job", error),
              GhanaProfile(), options);
    }
  }
  return Print("Declared sizes and run times wrong", rows);
}

nlohmann::json PrintRetries() {
  std::vector<Row> rows;
  for (const int retries : {1, 5, 20}) {
    ReplayOptions options;
    options.m_retries = retries;
    options.m_max_queued_per_team = kShortQueue;
    RunBoth(rows, fmt::format("ghana, {}x submissions", retries),
            GhanaProfile(), options);
  }
  return Print("Repeated submissions", rows);
}

nlohmann::json PrintFailures() {
  std::vector<Row> rows;
  for (const double failing : {0.0, 0.01, 0.05}) {
    ReplayOptions options;
    options.m_failing_workers = failing;
    RunBoth(rows, fmt::format("ghana, {:.0f}% of workers fail", 100 * failing),
            GhanaProfile(), options);
  }
  return Print("Workers that fail everything", rows);
}

nlohmann::json PrintCancellations() {
  ReplayOptions options;
  options.m_cancellations = kCancellations;
  std::vector<Row> rows;
  RunBoth(rows, "two-year, cancellation wave", TwoYearProfile(), options);
  nlohmann::json json = Print("Cancellation wave", rows);
  fmt::print("\n| run | cancelled | ms for all |\n| --- | --- | --- |\n");
  for (const Row& row : rows) {
    fmt::print("| {} | {} | {:.1f} |\n", row.m_label,
               row.m_metrics["cancelled"].get<std::int64_t>(),
               row.m_metrics["cancel_ms"].get<double>());
  }
  return json;
}

// Fills an empty fleet task by task until the first one has to wait.
template <typename Policy>
nlohmann::json FillOnce(const FleetProfile& profile) {
  Policy policy{PlacementOptions{}};
  for (const VmDescription& vm : MakeVms(profile)) {
    policy.SetVm(vm, VmCondition::kReady);
  }
  Workload workload(profile, WorkloadOptions{});
  while (policy.QueueLength() == 0) {
    const StreamJob job = workload.Next();
    for (const StreamTask& task : job.m_tasks) {
      AttemptSpec spec = task.m_spec;
      spec.m_deadline_unix_ms = 0;
      policy.Enqueue({spec}, false, TimePoint{});
      policy.Decide(TimePoint{});
      if (policy.QueueLength() > 0) {
        break;
      }
    }
  }
  const Resources used = policy.ChargedResources();
  const Resources total = policy.TotalCapacity();
  return {{"bottleneck_percent", 100 * used.DominantFraction(total)},
          {"cpu_millis", used.m_cpu_millis},
          {"memory_mb", used.m_memory_mb}};
}

nlohmann::json PrintPacking() {
  fmt::print("\n### Packing when the first task has to wait\n\n");
  fmt::print(
      "Share of the bottleneck resource in use; the volume bound is "
      "100.\n\n| fleet | in use % | baseline % |\n"
      "| --- | --- | --- |\n");
  nlohmann::json json;
  for (const FleetProfile& profile :
       {GhanaProfile(), RwandaProfile(), TwoYearProfile()}) {
    const nlohmann::json in_use = FillOnce<PlacementCore>(profile);
    const nlohmann::json baseline = FillOnce<FirstComeFirstServed>(profile);
    fmt::print("| {} | {:.2f} | {:.2f} |\n", profile.m_name,
               in_use["bottleneck_percent"].get<double>(),
               baseline["bottleneck_percent"].get<double>());
    json[profile.m_name] = {{"in_use", in_use}, {"baseline", baseline}};
  }
  std::fflush(stdout);
  return json;
}

}  // namespace

nlohmann::json RunTables(const std::string& only) {
  const std::vector<std::pair<std::string, std::function<nlohmann::json()>>>
      tables = {{"packing", PrintPacking},
                {"ghana", [] { return PrintProfiles({GhanaProfile()}); }},
                {"rwanda", [] { return PrintProfiles({RwandaProfile()}); }},
                {"two-year", [] { return PrintProfiles({TwoYearProfile()}); }},
                {"cost", PrintCostTable},
                {"state", PrintStateTable},
                {"declarations", PrintDeclarations},
                {"retries", PrintRetries},
                {"failures", PrintFailures},
                {"cancellations", PrintCancellations}};
  nlohmann::json results;
  for (const auto& [name, print] : tables) {
    if (only.empty() || only == name) {
      results[name] = print();
    }
  }
  return results;
}

}  // namespace mustardslip::bench
