// A team shard owner's view of the VM groups: summaries, epochs, fence calls,
// and resources whose use is unknown after a takeover. Used by JobBook.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "jobs/group_choice.h"

namespace mustardslip {

// A group is complete once it answered a fence call of this owner without
// reporting VMs whose tasks are unknown. Until then its unknown resources count
// as used by each team. Invariant: a complete group never becomes incomplete,
// since from then on this owner knows all attempts that it sent there.
class GroupTracker {
 public:
  explicit GroupTracker(Milliseconds refresh) : m_refresh(refresh) {}

  // Returns true if a group is new or the size of an incomplete one changed.
  bool Update(const std::vector<GroupSummary>& summaries);
  // Requests a fence call if the epoch is new. Returns false if it is lower
  // than one already seen.
  bool ObserveEpoch(const std::string& group, Epoch epoch);
  Epoch EpochOf(const std::string& group) const;

  // Returns the groups that need a fence call now and marks the calls as in
  // flight.
  std::vector<std::string> TakeDueFences(TimePoint now);
  void RequestFence(const std::string& group);
  // Returns true if the reply leaves no VM of the group unknown.
  bool FenceAnswered(const std::string& group, const FenceTeamReply& reply,
                     TimePoint now);
  void FenceFailed(const std::string& group, TimePoint now);

  // Resources that count as used; larger than any limit while the group's size
  // is not known either.
  Resources UnknownResources(const std::string& group) const;
  // False if there is no group, since the configuration is not known yet.
  bool AllComplete() const;
  const GroupSummaries& Summaries() const { return m_summaries; }

 private:
  struct State {
    Epoch m_epoch = 0;
    bool m_fenced = false;
    bool m_complete = false;
    bool m_fence_due = true;
    bool m_call_in_flight = false;
    TimePoint m_next_call{};
    Resources m_unknown;
  };

  const Milliseconds m_refresh;
  GroupSummaries m_summaries;
  std::map<std::string, State> m_states;
};

}  // namespace mustardslip
