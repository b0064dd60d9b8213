// Insertion, look-up and eviction of refusals.
#include "admission/refusal_cache.h"

#include <algorithm>
#include <utility>

namespace mustardslip {
namespace {

std::string EntryId(const std::string& team, const std::string& request) {
  return team + "\n" + request;
}

}  // namespace

void RefusalCache::Put(const std::string& team, const std::string& request,
                       Refusal refusal, TimePoint now) {
  if (refusal.m_retry_after_ms <= 0 || m_capacity == 0) {
    return;
  }
  const Milliseconds age =
      std::min(m_max_age, Milliseconds(refusal.m_retry_after_ms));
  std::string id = EntryId(team, request);
  m_sequence++;
  m_entries[id] = {std::move(refusal), now + age, m_sequence};
  m_order.push_back({std::move(id), m_sequence});
  // Replaced and expired entries leave obsolete slots, so the number of slots
  // is bounded too.
  while (m_entries.size() > m_capacity || m_order.size() > 2 * m_capacity) {
    EvictOldest();
  }
}

std::optional<Refusal> RefusalCache::Find(const std::string& team,
                                          const std::string& request,
                                          TimePoint now) {
  const auto found = m_entries.find(EntryId(team, request));
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  if (found->second.m_expires_at <= now) {
    m_entries.erase(found);
    return std::nullopt;
  }
  Refusal refusal = found->second.m_refusal;
  refusal.m_retry_after_ms =
      std::chrono::ceil<Milliseconds>(found->second.m_expires_at - now).count();
  return refusal;
}

void RefusalCache::EvictOldest() {
  const Slot slot = std::move(m_order.front());
  m_order.pop_front();
  const auto found = m_entries.find(slot.m_id);
  if (found != m_entries.end() && found->second.m_sequence == slot.m_sequence) {
    m_entries.erase(found);
  }
}

}  // namespace mustardslip
