// Keeps the newest summary of each VM group.
#include "server/gossip.h"

namespace mustardslip {

void GossipView::Receive(const GossipMessage& message, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  for (const GroupSummary& summary : message.m_groups) {
    Entry& entry = m_groups[summary.m_group];
    // A superseded owner may still talk about its group.
    if (summary.m_epoch >= entry.m_summary.m_epoch) {
      entry = {summary, now};
    }
  }
}

std::vector<GroupSummary> GossipView::Summaries(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  std::vector<GroupSummary> summaries;
  for (const auto& [group, entry] : m_groups) {
    if (now - entry.m_received <= kSummaryLifetime) {
      summaries.push_back(entry.m_summary);
    }
  }
  return summaries;
}

}  // namespace mustardslip
