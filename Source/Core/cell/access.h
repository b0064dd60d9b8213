// Access check of a caller's request: finds the queue by host and path, and the
// team by key.
#pragma once

#include <string>
#include <string_view>

#include "cell/configuration_view.h"
#include "common/result.h"

namespace mustardslip {

// A request that passed the access check.
struct Admission {
  QueueRules m_queue;
  // Empty for a request without a known key to a public queue.
  std::string m_team;
  // The path without the queue's prefix.
  std::string m_path_suffix;

  bool operator==(const Admission&) const = default;
};

// `key` is empty if the request has none. Errors: kNotFound with reason
// "no_such_queue", kUnauthenticated with reason "unknown_key".
inline Result<Admission> CheckAccess(const ConfigurationView& configuration,
                                     std::string_view host,
                                     std::string_view path,
                                     const std::string& key) {
  const QueueEntry* queue = configuration.FindQueue(host, path);
  if (queue == nullptr) {
    return Fail(ErrorCode::kNotFound, "no_such_queue");
  }
  const std::string* team = configuration.FindTeam(key);
  if (team == nullptr && !queue->m_public) {
    return Fail(ErrorCode::kUnauthenticated, "unknown_key");
  }
  return Admission{queue->m_rules, team == nullptr ? "" : *team,
                   std::string(path.substr(queue->m_path_prefix.size()))};
}

}  // namespace mustardslip
