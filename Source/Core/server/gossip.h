// What daemons tell each other twice a second: the configuration revision they
// have, whether they reach the store, and the free room of the VM groups they
// own. The freshness query of the configuration travels with it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "dispatch/messages.h"

namespace mustardslip {

struct GossipMessage {
  std::string m_incarnation;
  // The sender's name in the roster of the configuration.
  std::string m_watcher_id;
  std::int64_t m_configuration_revision = 0;
  bool m_has_store_contact = false;
  std::vector<GroupSummary> m_groups;

  bool operator==(const GossipMessage&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GossipMessage, m_incarnation, m_watcher_id,
                                   m_configuration_revision,
                                   m_has_store_contact, m_groups)

// The latest message of each peer. Thread-safe.
class GossipView {
 public:
  // A summary older than this is not used: its daemon may have lost the group.
  static constexpr Milliseconds kSummaryLifetime{3'000};

  void Receive(const GossipMessage& message, TimePoint now);

  // The summary with the highest epoch of each group.
  std::vector<GroupSummary> Summaries(TimePoint now) const;

 private:
  struct Entry {
    GroupSummary m_summary;
    TimePoint m_received;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Entry> m_groups;  // Guarded by m_mutex.
};

}  // namespace mustardslip
