// Metrics and the burn report of a daemon.
#include "server/node.h"

namespace mustardslip {

void Node::RecordOutcome(const RecordedOutcome& outcome) {
  m_metrics.Requests(nlohmann::json(outcome.m_outcome).get<std::string>())
      .Increment();
  if (outcome.m_outcome == Outcome::kNotRun) {
    m_metrics.NotRun(outcome.m_reason).Increment();
  }
  if (outcome.m_kind != "request") {
    return;
  }
  const std::lock_guard lock(m_burn_mutex);
  m_burn.RecordOutcome(outcome.m_team, BurnKind::kServiceRequest,
                       outcome.m_outcome == Outcome::kDone, m_clock.Now());
}

std::string Node::ExposeMetrics() {
  m_metrics.ConfigurationRevision().Set(
      static_cast<double>(m_watcher.Current()->Revision()));
  const FreshnessVerdict verdict = m_watcher.CurrentWithVerdict().m_verdict;
  m_metrics.OutageMode().Set(
      verdict.m_state == FreshnessState::kOutageMode ? 1 : 0);
  m_metrics.StoreReverted().Set(m_watcher.StoreReverted() ? 1 : 0);
  m_metrics.OwnedShards("team").Set(
      static_cast<double>(m_team_owners.All().size()));
  const auto groups = m_group_owners.All();
  m_metrics.OwnedShards("group").Set(static_cast<double>(groups.size()));
  return m_metrics.Exposition();
}

}  // namespace mustardslip
