// Decides whether a caller may use a queue: route, key and the parts of the
// path.
#pragma once

#include <string>
#include <string_view>

#include "cell/configuration_view.h"
#include "common/result.h"

namespace mustardslip {

// A call that may go on.
struct Admission {
  QueueRules m_queue;
  // Empty for a call without a key on a queue open to all.
  std::string m_team;
  // What follows the queue's prefix in the path.
  std::string m_rest;

  bool operator==(const Admission&) const = default;
};

// `key` is empty if the call carries none. Errors: kNotFound with reason
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
