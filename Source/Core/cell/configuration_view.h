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

// Limits of one request and one connection of a caller.
struct CallerLimits {
  std::size_t m_header_bytes = 16'384;
  std::size_t m_body_bytes = 1U << 20U;
  std::int64_t m_header_timeout_ms = 10'000;
  std::int64_t m_idle_timeout_ms = 60'000;

  bool operator==(const CallerLimits&) const = default;
};

// An immutable version of the configuration.
class ConfigurationView {
 public:
  class Builder;

  std::int64_t Version() const { return m_rules.m_version; }
  const CellRules& Rules() const { return m_rules; }
  std::size_t MaxBodyBytes() const { return m_caller_limits.m_body_bytes; }
  const CallerLimits& Limits() const { return m_caller_limits; }

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
  CallerLimits m_caller_limits;
};

class ConfigurationView::Builder {
 public:
  Builder& Version(std::int64_t version);
  Builder& Limits(const CallerLimits& limits);
  Builder& Add(QueueEntry queue);
  Builder& Add(const TeamEntry& team);
  Builder& AddCapacityEnforcingService(std::string service);
  std::shared_ptr<const ConfigurationView> Build();

 private:
  ConfigurationView m_view;
};

}  // namespace mustardslip
