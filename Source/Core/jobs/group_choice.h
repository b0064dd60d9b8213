// Chooses VM groups for attempts and for service requests from the gossiped
// summaries, corrected by what this owner has sent since.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/messages.h"
#include "jobs/messages.h"

namespace mustardslip {

// What all tasks of the job need together.
Resources TotalOf(const JobSpec& spec);

using GroupSummaries = std::map<std::string, GroupSummary>;

// One summary per group; the one with the highest epoch is the freshest.
GroupSummaries NewestSummaries(const std::vector<GroupSummary>& summaries);

// Where one task, or all tasks of a gang, should be placed.
struct PlaceNeed {
  Resources m_task;
  // The task, or the whole gang.
  Resources m_total;
  std::vector<std::string> m_zones;
  // Tasks of the same service per group, which are spread.
  std::map<std::string, int> m_siblings;
};

// What was sent to a group and may not be in its summary yet.
using SentResources = std::map<std::string, Resources>;

// A group with free room, with the fewest siblings first, then the most free
// room. Without free room anywhere, the group with the shortest queue, whose
// owner queues the attempt. Nothing if no group is ready and large enough.
std::optional<std::string> ChooseForPlace(const PlaceNeed& need,
                                          const GroupSummaries& groups,
                                          const SentResources& sent);

// Why the job can never run, or nothing if it can or that is not certain. A
// group that is not ready may have larger VMs.
std::optional<std::string> NeverFits(const JobSpec& spec,
                                     const GroupSummaries& groups,
                                     const std::optional<Resources>& limit);

struct ServeNeed {
  std::string m_team;
  std::string m_service;
  // Groups that just refused.
  std::set<std::string> m_excluded;
  // Requests of this service that this owner has in flight per group.
  std::map<std::string, int> m_in_flight;
};

// The ready group with the most free slots. Since all requests of a team pass
// its one owner, the slots minus its own requests in flight are fresher than
// the gossiped free slots, which break ties.
std::optional<std::string> ChooseForServe(const ServeNeed& need,
                                          const GroupSummaries& groups);

}  // namespace mustardslip
