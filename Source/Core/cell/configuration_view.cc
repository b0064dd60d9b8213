// Look-ups in a version of the configuration.
#include "cell/configuration_view.h"

#include <algorithm>

namespace mustardslip {

const QueueEntry* ConfigurationView::FindQueue(std::string_view host,
                                               std::string_view path) const {
  const auto queues = m_queues.find(std::string(host));
  if (queues == m_queues.end()) {
    return nullptr;
  }
  for (const QueueEntry& queue : queues->second) {
    if (path.starts_with(queue.m_path_prefix)) {
      return &queue;
    }
  }
  return nullptr;
}

const std::string* ConfigurationView::FindTeam(const std::string& key) const {
  const auto team = m_team_of_key.find(key);
  return team == m_team_of_key.end() ? nullptr : &team->second;
}

ConfigurationView::Builder& ConfigurationView::Builder::Version(
    std::int64_t version) {
  m_view.m_rules.m_version = version;
  return *this;
}

ConfigurationView::Builder& ConfigurationView::Builder::Limits(
    const CallerLimits& limits) {
  m_view.m_caller_limits = limits;
  return *this;
}

ConfigurationView::Builder& ConfigurationView::Builder::Add(QueueEntry queue) {
  m_view.m_rules.m_queues.push_back(queue.m_rules);
  m_view.m_queues[queue.m_host].push_back(std::move(queue));
  return *this;
}

ConfigurationView::Builder& ConfigurationView::Builder::Add(
    const TeamEntry& team) {
  for (const std::string& key : team.m_keys) {
    m_view.m_team_of_key[key] = team.m_name;
  }
  m_view.m_rules.m_teams[team.m_name] = team.m_limits;
  return *this;
}

ConfigurationView::Builder&
ConfigurationView::Builder::AddCapacityEnforcingService(std::string service) {
  m_view.m_rules.m_capacity_enforcing_services.push_back(std::move(service));
  return *this;
}

std::shared_ptr<const ConfigurationView> ConfigurationView::Builder::Build() {
  for (auto& [host, queues] : m_view.m_queues) {
    std::stable_sort(queues.begin(), queues.end(),
                     [](const QueueEntry& a, const QueueEntry& b) {
                       return a.m_path_prefix.size() > b.m_path_prefix.size();
                     });
  }
  return std::make_shared<const ConfigurationView>(std::move(m_view));
}

}  // namespace mustardslip
