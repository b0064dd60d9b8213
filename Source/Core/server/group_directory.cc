// Completes the gossiped summaries with the groups that nobody reports.
#include "server/group_directory.h"

#include <set>

namespace mustardslip {

std::vector<GroupSummary> GroupDirectory::Summaries() const {
  std::vector<GroupSummary> summaries = m_gossip.Summaries(SystemClock().Now());
  std::set<std::string> reported;
  for (const GroupSummary& summary : summaries) {
    reported.insert(summary.m_group);
  }
  for (const std::string& zone : m_configuration()->Zones()) {
    if (!reported.contains(zone)) {
      GroupSummary summary;
      summary.m_group = zone;
      summaries.push_back(std::move(summary));
    }
  }
  return summaries;
}

}  // namespace mustardslip
