// Compares two configurations record by record.
#include <fmt/core.h>

#include <algorithm>
#include <map>

#include "configuration/configuration_files.h"

namespace mustardslip {
namespace {

std::string Describe(const Resources& amount) {
  return fmt::format("{:g} processors, {} MB, {} accelerators",
                     static_cast<double>(amount.m_cpu_millis) / 1'000.0,
                     amount.m_memory_mb, amount.m_accelerators);
}

std::string Describe(const VmRecord& vm) {
  return fmt::format("{} in {}/{}, {}", ToString(vm.m_address), vm.m_zone,
                     vm.m_rack, Describe(vm.m_total));
}

std::string Describe(const TeamRecord& team) {
  return fmt::format("share {:g}, limit {}", team.m_share,
                     Describe(team.m_limit));
}

std::string Describe(const KeyRecord& key) {
  return fmt::format("team {}{}", key.m_team,
                     key.m_operator ? ", operator" : "");
}

std::string Describe(const OpenQueue& queue) {
  return fmt::format("charged to {}", queue.m_team);
}

template <typename Record>
void Compare(const char* kind, std::string Record::*key,
             const std::vector<Record>& from, const std::vector<Record>& to,
             std::vector<std::string>& lines) {
  std::map<std::string, const Record*> old_records;
  for (const Record& record : from) {
    old_records[record.*key] = &record;
  }
  for (const Record& record : to) {
    const auto found = old_records.find(record.*key);
    if (found == old_records.end()) {
      lines.push_back(
          fmt::format("+ {} {}: {}", kind, record.*key, Describe(record)));
      continue;
    }
    const Record& old_record = *found->second;
    if (!(old_record == record)) {
      const std::string before = Describe(old_record);
      const std::string after = Describe(record);
      lines.push_back(
          fmt::format("~ {} {}: {} -> {}", kind, record.*key, before,
                      before == after ? "same, with a new secret" : after));
    }
    old_records.erase(found);
  }
  for (const auto& [id, record] : old_records) {
    lines.push_back(fmt::format("- {} {}: {}", kind, id, Describe(*record)));
  }
}

}  // namespace

std::vector<std::string> Diff(const Configuration& from,
                              const Configuration& to) {
  std::vector<std::string> lines;
  Compare("vm", &VmRecord::m_id, from.Vms(), to.Vms(), lines);
  Compare("team", &TeamRecord::m_name, from.Teams(), to.Teams(), lines);
  Compare("key", &KeyRecord::m_id, from.Keys(), to.Keys(), lines);
  Compare("open queue", &OpenQueue::m_name, from.OpenQueues(), to.OpenQueues(),
          lines);
  return lines;
}

}  // namespace mustardslip
