// What a team shard owner knows of the VM groups: summaries, epochs, and which
// room is unknown after a takeover.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "jobs/group_choice.h"

namespace mustardslip {

// A group is complete once it answered a fence call of this owner without VMs
// whose tasks are unknown. Until then its unknown room counts as used by each
// team. Invariant: a complete group never becomes incomplete, since from then
// on this owner knows all attempts that it sent there.
class GroupTracker {
 public:
  explicit GroupTracker(Milliseconds refresh) : m_refresh(refresh) {}

  // Returns true if a group is new or the room of an incomplete one changed.
  bool Update(const std::vector<GroupSummary>& summaries);
  // False if the epoch is lower than one already seen.
  bool ObserveEpoch(const std::string& group, Epoch epoch);
  Epoch EpochOf(const std::string& group) const;

  // Groups that need a fence call now; they are marked as being called.
  std::vector<std::string> TakeDueFences(TimePoint now);
  void RequestFence(const std::string& group);
  // True if the reply completes what is known of the group's VMs.
  bool FenceAnswered(const std::string& group, const FenceTeamReply& reply,
                     TimePoint now);
  void FenceFailed(const std::string& group, TimePoint now);

  // Room that counts as used; huge if the group's size is not known either.
  Resources UnknownResources(const std::string& group) const;
  // False without any group: then the configuration is not known yet.
  bool AllComplete() const;
  const GroupSummaries& Summaries() const { return m_summaries; }

 private:
  struct State {
    Epoch m_epoch = 0;
    bool m_fenced = false;
    bool m_complete = false;
    bool m_fence_due = true;
    bool m_call_in_flight = false;
    TimePoint m_next{};
    Resources m_unknown;
  };

  const Milliseconds m_refresh;
  GroupSummaries m_summaries;
  std::map<std::string, State> m_states;
};

}  // namespace mustardslip
