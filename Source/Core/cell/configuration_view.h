// In-memory configuration of a cell: queues with their routes, teams with their
// keys and limits. Built by the platform's decoder.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cell/cell_types.h"
#include "cell/workflow.h"

namespace mustardslip {

// A queue and its route: host and path prefix.
struct QueueEntry {
  QueueRules m_rules;
  std::string m_host;
  std::string m_path_prefix;
  // Callers need no key.
  bool m_public = false;

  bool operator==(const QueueEntry&) const = default;
};

struct TeamEntry {
  std::string m_name;
  std::vector<std::string> m_keys;
  TeamLimits m_limits;

  bool operator==(const TeamEntry&) const = default;
};

// An immutable version of the configuration.
class ConfigurationView {
 public:
  class Builder;

  std::int64_t Version() const { return m_rules.m_version; }
  const CellRules& Rules() const { return m_rules; }
  std::size_t MaxBodyBytes() const { return m_max_body_bytes; }

  // The queue of the host with the longest matching path prefix, or null.
  const QueueEntry* FindQueue(std::string_view host,
                              std::string_view path) const;
  // The team that owns the key, or null.
  const std::string* FindTeam(const std::string& key) const;

 private:
  CellRules m_rules;
  // By host, sorted by descending length of the path prefix.
  std::unordered_map<std::string, std::vector<QueueEntry>> m_queues;
  std::unordered_map<std::string, std::string> m_team_of_key;
  std::size_t m_max_body_bytes = 1U << 20U;
};

class ConfigurationView::Builder {
 public:
  Builder& Version(std::int64_t version);
  Builder& MaxBodyBytes(std::size_t bytes);
  Builder& Add(QueueEntry queue);
  Builder& Add(const TeamEntry& team);
  Builder& AddCapacityEnforcingService(std::string service);
  std::shared_ptr<const ConfigurationView> Build();

 private:
  ConfigurationView m_view;
};

}  // namespace mustardslip
