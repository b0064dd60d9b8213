// Ranking of VM groups for placement and service requests.
#include "jobs/group_choice.h"

#include <algorithm>
#include <tuple>

namespace mustardslip {
namespace {

bool IsAllowed(const std::vector<std::string>& zones,
               const std::string& group) {
  return zones.empty() ||
         std::find(zones.begin(), zones.end(), group) != zones.end();
}

bool IsLargeEnough(const PlaceNeed& need, const GroupSummary& group) {
  return need.m_task.FitsIn(group.m_largest_vm) &&
         need.m_total.FitsIn(group.m_total);
}

Resources FreeResources(const GroupSummary& group, const SentResources& sent) {
  const auto found = sent.find(group.m_group);
  return found == sent.end() ? group.m_free : group.m_free - found->second;
}

int CountFor(const std::map<std::string, int>& counts,
             const std::string& group) {
  const auto found = counts.find(group);
  return found == counts.end() ? 0 : found->second;
}

const ServiceSlots* FindSlots(const GroupSummary& group,
                              const ServeNeed& need) {
  for (const ServiceSlots& slots : group.m_services) {
    if (slots.m_team == need.m_team && slots.m_service == need.m_service) {
      return &slots;
    }
  }
  return nullptr;
}

// Higher is better.
using PlaceRank = std::tuple<bool, int, std::int64_t, double>;

PlaceRank RankForPlace(const PlaceNeed& need, const GroupSummary& group,
                       const SentResources& sent) {
  const Resources free = FreeResources(group, sent);
  const bool fits_free = need.m_total.FitsIn(free);
  return {fits_free, -CountFor(need.m_siblings, group.m_group),
          fits_free ? 0 : -group.m_queued_tasks,
          free.DominantFraction(group.m_total)};
}

}  // namespace

Resources TotalOf(const JobSpec& spec) {
  return spec.m_resources * std::max(spec.m_tasks, 1);
}

GroupSummaries NewestSummaries(const std::vector<GroupSummary>& summaries) {
  GroupSummaries newest;
  for (const GroupSummary& summary : summaries) {
    const auto found = newest.find(summary.m_group);
    if (found == newest.end() || found->second.m_epoch < summary.m_epoch) {
      newest[summary.m_group] = summary;
    }
  }
  return newest;
}

std::optional<std::string> ChooseForPlace(const PlaceNeed& need,
                                          const GroupSummaries& groups,
                                          const SentResources& sent) {
  std::optional<std::string> best;
  PlaceRank best_rank;
  for (const auto& [name, group] : groups) {
    if (!group.m_ready || !IsAllowed(need.m_zones, name) ||
        !IsLargeEnough(need, group)) {
      continue;
    }
    const PlaceRank rank = RankForPlace(need, group, sent);
    if (!best || rank > best_rank) {
      best = name;
      best_rank = rank;
    }
  }
  return best;
}

std::optional<std::string> NeverFits(const JobSpec& spec,
                                     const GroupSummaries& groups,
                                     const std::optional<Resources>& limit) {
  const bool all_at_once = spec.m_kind != JobKind::kBatch;
  const Resources total = all_at_once ? TotalOf(spec) : spec.m_resources;
  if (limit && !total.FitsIn(*limit)) {
    return "limit_too_small";
  }
  const bool is_gang = spec.m_kind == JobKind::kGang;
  const PlaceNeed need{spec.m_resources,
                       is_gang ? total : spec.m_resources,
                       spec.m_limits.m_zones,
                       {}};
  for (const auto& [name, group] : groups) {
    if (!group.m_ready ||
        (IsAllowed(need.m_zones, name) && IsLargeEnough(need, group))) {
      return std::nullopt;
    }
  }
  return groups.empty() ? std::nullopt
                        : std::optional<std::string>("never_fits");
}

std::optional<std::string> ChooseForServe(const ServeNeed& need,
                                          const GroupSummaries& groups) {
  std::optional<std::string> best;
  std::pair<int, int> best_rank{0, 0};
  for (const auto& [name, group] : groups) {
    const ServiceSlots* slots = FindSlots(group, need);
    if (!group.m_ready || slots == nullptr || need.m_excluded.contains(name)) {
      continue;
    }
    const std::pair<int, int> rank{
        slots->m_total - CountFor(need.m_in_flight, name), slots->m_free};
    if (rank.first > 0 && (!best || rank > best_rank)) {
      best = name;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace mustardslip
