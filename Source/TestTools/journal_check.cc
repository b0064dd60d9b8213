// Checks the journal of the worker stand-in against the invariants that concern
// tasks: no VM above its size (P1), no task in two places (P2), no team above
// its limit (P4), gangs start whole.
//
// Prints one JSON line. Exit codes: 0 if all hold, 1 if not, 2 for wrong usage.
#include <absl/flags/flag.h>
#include <fmt/core.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/resources.h"
#include "common/settings.h"
#include "journal_reader.h"

ABSL_FLAG(std::string, journal, "", "host:port of the worker stand-in");
ABSL_FLAG(std::int64_t, vm_cpu_millis, 0, "processors of each VM; 0: no check");
ABSL_FLAG(std::int64_t, vm_memory_mb, 0, "memory of each VM; 0: no check");
ABSL_FLAG(std::vector<std::string>, limits, {},
          "upper limits as team=cpu_millis");

namespace mustardslip {
namespace {

using Json = nlohmann::json;

struct RunningAttempt {
  std::string m_vm;
  std::string m_task;
  std::string m_team;
  Resources m_resources;
};

// The task of an attempt: the id without the attempt number.
std::string TaskOf(const std::string& attempt) {
  return attempt.substr(0, attempt.rfind('.'));
}

class Checker {
 public:
  void Apply(const Json& entry) {
    const std::string event = entry.value("event", "");
    const std::string attempt = entry.value("attempt", "");
    if (event == "started") {
      Start(entry, attempt);
    } else if (event == "released") {
      m_held.erase(attempt);
      CheckPlaces(attempt);
    } else if (event == "ended") {
      End(attempt);
    }
  }

  std::vector<std::string> m_problems;
  std::int64_t m_starts = 0;

 private:
  void Start(const Json& entry, const std::string& attempt) {
    ++m_starts;
    RunningAttempt running{
        entry.value("vm", ""), TaskOf(attempt), entry.value("team", ""),
        entry.value("resources", Json::object()).get<Resources>()};
    if (m_running.contains(attempt)) {
      m_problems.push_back("attempt started twice: " + attempt);
      return;
    }
    m_vm_use[running.m_vm] = m_vm_use[running.m_vm] + running.m_resources;
    m_team_use[running.m_team] =
        m_team_use[running.m_team] + running.m_resources;
    m_running.emplace(attempt, running);
    if (entry.value("hold", false)) {
      m_held.insert(attempt);
    } else {
      CheckPlaces(attempt);
    }
    CheckSizes(running);
  }

  // A held attempt does not run yet.
  void CheckPlaces(const std::string& attempt) {
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
      return;
    }
    std::set<std::string>& places = m_task_runs[found->second.m_task];
    places.insert(attempt);
    if (places.size() > 1) {
      m_problems.push_back("task in two places: " + found->second.m_task);
    }
  }

  void CheckSizes(const RunningAttempt& started) {
    const Resources& use = m_vm_use[started.m_vm];
    const std::int64_t cpu = absl::GetFlag(FLAGS_vm_cpu_millis);
    const std::int64_t memory = absl::GetFlag(FLAGS_vm_memory_mb);
    if ((cpu > 0 && use.m_cpu_millis > cpu) ||
        (memory > 0 && use.m_memory_mb > memory)) {
      m_problems.push_back("VM above its size: " + started.m_vm);
    }
    for (const std::string& limit : absl::GetFlag(FLAGS_limits)) {
      const std::size_t equals = limit.find('=');
      if (limit.substr(0, equals) == started.m_team &&
          m_team_use[started.m_team].m_cpu_millis >
              std::stoll(limit.substr(equals + 1))) {
        m_problems.push_back("team above its limit: " + started.m_team);
      }
    }
  }

  void End(const std::string& attempt) {
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
      return;
    }
    const RunningAttempt& ended = found->second;
    m_vm_use[ended.m_vm] = m_vm_use[ended.m_vm] - ended.m_resources;
    m_team_use[ended.m_team] = m_team_use[ended.m_team] - ended.m_resources;
    m_task_runs[ended.m_task].erase(attempt);
    m_held.erase(attempt);
    m_running.erase(found);
  }

  std::map<std::string, RunningAttempt> m_running;
  std::set<std::string> m_held;
  std::map<std::string, std::set<std::string>> m_task_runs;
  std::map<std::string, Resources> m_vm_use;
  std::map<std::string, Resources> m_team_use;
};

int Check() {
  const auto journal = ReadJournal(absl::GetFlag(FLAGS_journal));
  if (!journal) {
    fmt::print(stderr, "the journal cannot be read: {}\n",
               journal.error().Reason());
    return 1;
  }
  Checker checker;
  for (const Json& entry : *journal) {
    checker.Apply(entry);
  }
  Json line = {{"entries", journal->size()},
               {"starts", checker.m_starts},
               {"problems", checker.m_problems.size()}};
  if (!checker.m_problems.empty()) {
    checker.m_problems.resize(
        std::min<std::size_t>(checker.m_problems.size(), 5));
    line["first_problems"] = checker.m_problems;
  }
  fmt::print("{}\n", line.dump());
  return checker.m_problems.empty() ? 0 : 1;
}

}  // namespace
}  // namespace mustardslip

int main(int argc, char** argv) {
  const mustardslip::SettingsTable table(
      {"journal", "vm_cpu_millis", "vm_memory_mb", "limits"});
  const auto parsed = table.Parse(argc, argv);
  if (!parsed || absl::GetFlag(FLAGS_journal).empty()) {
    fmt::print(stderr, "{}\n",
               parsed ? "--journal is missing" : parsed.error().Message());
    return mustardslip::kUsageExitCode;
  }
  return mustardslip::Check();
}
