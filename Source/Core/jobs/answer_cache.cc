// AnswerCache: eviction by size and age.
#include "jobs/answer_cache.h"

#include <utility>

namespace mustardslip {
namespace {

// Approximate memory overhead of an entry besides its strings.
constexpr std::size_t kEntryBytes = 256;

}  // namespace

void AnswerCache::Put(const std::string& id, CachedAnswer answer,
                      TimePoint now) {
  Erase(id);
  const std::size_t bytes = kEntryBytes + 2 * id.size() +
                            answer.m_content.size() +
                            answer.m_response.m_body.size();
  if (bytes > m_max_bytes) {
    return;
  }
  m_sequence++;
  m_bytes += bytes;
  m_entries[id] = {std::move(answer), bytes, m_sequence};
  m_order.push_back({id, m_sequence, now + m_max_age});
  Evict(now);
}

const CachedAnswer* AnswerCache::Find(const std::string& id, TimePoint now) {
  Evict(now);
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.m_answer;
}

void AnswerCache::Erase(const std::string& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  m_bytes -= found->second.m_bytes;
  m_entries.erase(found);
}

void AnswerCache::Evict(TimePoint now) {
  while (!m_order.empty() &&
         (m_bytes > m_max_bytes || m_order.front().m_expires <= now)) {
    const EvictionItem item = std::move(m_order.front());
    m_order.pop_front();
    const auto found = m_entries.find(item.m_id);
    if (found != m_entries.end() &&
        found->second.m_sequence == item.m_sequence) {
      Erase(item.m_id);
    }
  }
}

}  // namespace mustardslip
