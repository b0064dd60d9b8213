// Applies a configuration change and repeats it while peers hold changes for a
// moment.
#pragma once

#include <thread>

#include "server/node.h"

namespace mustardslip {

// A daemon that joins, or whose proof of freshness is a little late, makes the
// others hold changes for a moment; the operator need not see that. Stands in
// for the watcher in HandlePutConfiguration().
class Node::RetryingApply {
 public:
  explicit RetryingApply(Node& node) : m_node(node) {}

  Result<AppliedChange> Apply(ConfigurationRevision base,
                              const ConfigurationFiles& files) {
    const TimePoint deadline = m_node.m_clock.Now() + kRetryTime;
    while (true) {
      auto applied = m_node.m_watcher.Apply(base, files);
      const bool again = !applied &&
                         applied.error().Code() == ErrorCode::kUnavailable &&
                         m_node.m_session->HasStoreContact() &&
                         m_node.m_clock.Now() < deadline;
      if (!again || !m_node.SleepUnlessStopping(kRetryInterval)) {
        return applied;
      }
    }
  }

  ConfigurationRevision HighestRevision() const {
    return m_node.m_watcher.HighestRevision();
  }

 private:
  static constexpr Milliseconds kRetryTime{5'000};
  static constexpr Milliseconds kRetryInterval{100};

  Node& m_node;
};

}  // namespace mustardslip
