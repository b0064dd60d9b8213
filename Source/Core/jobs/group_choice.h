// Chooses VM groups for attempts and service requests from the gossiped
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

// The resources of all tasks of the job together.
Resources TotalOf(const JobSpec& spec);

using GroupSummaries = std::map<std::string, GroupSummary>;

// Keeps the summary with the highest epoch of each group.
GroupSummaries NewestSummaries(const std::vector<GroupSummary>& summaries);

// Placement requirements of one task or of all tasks of a gang.
struct PlaceNeed {
  Resources m_task;
  // Of the single task or of the whole gang.
  Resources m_total;
  std::vector<std::string> m_zones;
  // The number of tasks of the same service per group; they are spread over the
  // groups.
  std::map<std::string, int> m_siblings;
};

// Resources sent to each group that its summary may not include yet.
using SentResources = std::map<std::string, Resources>;

// Prefers groups with enough free resources; among these the one with the
// fewest siblings, then the largest free share. If none has enough, chooses by
// fewest siblings, then the shortest queue; the group's owner queues the
// attempt. Returns nothing if no group is ready and large enough.
std::optional<std::string> ChooseForPlace(const PlaceNeed& need,
                                          const GroupSummaries& groups,
                                          const SentResources& sent);

// Returns the reason why the job can never run, or nothing if it can run or
// this is uncertain: a group that is not ready may have larger VMs.
std::optional<std::string> NeverFits(const JobSpec& spec,
                                     const GroupSummaries& groups,
                                     const std::optional<Resources>& limit);

// Requirements of a service request.
struct ServeNeed {
  std::string m_team;
  std::string m_service;
  // Groups that refused a request of the service recently.
  std::set<std::string> m_excluded;
  // Requests of this service that this owner has in flight per group.
  std::map<std::string, int> m_in_flight;
};

// Returns the ready group with the most free slots, counted as its slots minus
// this owner's requests in flight: all requests of a team pass through its one
// owner, so this is more current than the gossiped free slots, which break
// ties. Returns nothing if no ready group has a free slot.
std::optional<std::string> ChooseForServe(const ServeNeed& need,
                                          const GroupSummaries& groups);

}  // namespace mustardslip
