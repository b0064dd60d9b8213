// GroupTracker: fence calls and unknown resources per group.
#include "jobs/group_tracker.h"

namespace mustardslip {
namespace {

// Larger than any limit, and small enough to be added up without overflow.
constexpr std::int64_t kUnboundedAmount = 1'000'000'000'000;
constexpr Resources kUnboundedResources{kUnboundedAmount, kUnboundedAmount,
                                        kUnboundedAmount};

}  // namespace

bool GroupTracker::Update(const std::vector<GroupSummary>& summaries) {
  bool changed = false;
  for (const auto& [name, summary] : NewestSummaries(summaries)) {
    State& state = m_states[name];
    if (summary.m_epoch < state.m_epoch) {
      continue;
    }
    ObserveEpoch(name, summary.m_epoch);
    GroupSummary& known = m_summaries[name];
    changed = changed || known.m_group.empty() ||
              (!state.m_complete && known.m_total != summary.m_total);
    known = summary;
  }
  return changed;
}

bool GroupTracker::ObserveEpoch(const std::string& group, Epoch epoch) {
  State& state = m_states[group];
  if (epoch < state.m_epoch) {
    return false;
  }
  if (epoch > state.m_epoch) {
    // The new owner may have lost attempts that its predecessor had queued.
    state.m_epoch = epoch;
    RequestFence(group);
  }
  return true;
}

Epoch GroupTracker::EpochOf(const std::string& group) const {
  const auto found = m_states.find(group);
  return found == m_states.end() ? 0 : found->second.m_epoch;
}

std::vector<std::string> GroupTracker::TakeDueFences(TimePoint now) {
  std::vector<std::string> due;
  for (auto& [name, state] : m_states) {
    if (!state.m_fence_due || state.m_call_in_flight ||
        state.m_next_call > now) {
      continue;
    }
    state.m_fence_due = false;
    state.m_call_in_flight = true;
    due.push_back(name);
  }
  return due;
}

void GroupTracker::RequestFence(const std::string& group) {
  m_states[group].m_fence_due = true;
}

bool GroupTracker::FenceAnswered(const std::string& group,
                                 const FenceTeamReply& reply, TimePoint now) {
  State& state = m_states[group];
  state.m_call_in_flight = false;
  state.m_next_call = now + m_refresh;
  state.m_fenced = true;
  const bool all_known = reply.m_unknown_vms.empty();
  state.m_complete = state.m_complete || all_known;
  state.m_unknown = state.m_complete ? Resources{} : reply.m_unknown_room;
  state.m_fence_due = state.m_fence_due || !all_known;
  return all_known;
}

void GroupTracker::FenceFailed(const std::string& group, TimePoint now) {
  State& state = m_states[group];
  state.m_call_in_flight = false;
  state.m_fence_due = true;
  state.m_next_call = now + m_refresh;
}

Resources GroupTracker::UnknownResources(const std::string& group) const {
  const auto found = m_states.find(group);
  if (found == m_states.end() || found->second.m_complete) {
    return {};
  }
  if (found->second.m_fenced) {
    return found->second.m_unknown;
  }
  const auto summary = m_summaries.find(group);
  const bool has_size =
      summary != m_summaries.end() && summary->second.m_total != Resources{};
  return has_size ? summary->second.m_total : kUnboundedResources;
}

bool GroupTracker::AllComplete() const {
  for (const auto& [name, state] : m_states) {
    if (!state.m_complete) {
      return false;
    }
  }
  return !m_states.empty();
}

}  // namespace mustardslip
