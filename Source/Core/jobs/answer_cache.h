// Cache of service responses for retries with the same key, bounded in bytes
// and age. Used by RequestBook.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "jobs/messages.h"

namespace mustardslip {

struct ServiceResponse {
  ServiceCallReply m_reply;
  std::string m_body;

  bool operator==(const ServiceResponse&) const = default;
};

struct CachedAnswer {
  // Hash of service and body; detects reuse of a key for another request.
  std::string m_content;
  ServiceResponse m_response;
};

// Not thread-safe. The oldest answer is evicted first.
class AnswerCache {
 public:
  AnswerCache(std::size_t max_bytes, Milliseconds max_age)
      : m_max_bytes(max_bytes), m_max_age(max_age) {}

  // Replaces an earlier answer. An answer larger than the cache is not kept.
  void Put(const std::string& id, CachedAnswer answer, TimePoint now);
  // Null if absent or expired. Valid until the next call of Put() or Find().
  const CachedAnswer* Find(const std::string& id, TimePoint now);
  std::size_t Bytes() const { return m_bytes; }

 private:
  struct Entry {
    CachedAnswer m_answer;
    std::size_t m_bytes = 0;
    std::uint64_t m_sequence = 0;
  };
  struct EvictionItem {
    std::string m_id;
    std::uint64_t m_sequence = 0;
    TimePoint m_expires;
  };

  void Erase(const std::string& id);
  void Evict(TimePoint now);

  const std::size_t m_max_bytes;
  const Milliseconds m_max_age;
  // The sum of the entries' bytes, at most m_max_bytes.
  std::size_t m_bytes = 0;
  std::uint64_t m_sequence = 0;
  std::unordered_map<std::string, Entry> m_entries;
  // In the order of insertion. An item whose sequence differs from its entry's
  // is obsolete.
  std::deque<EvictionItem> m_order;
};

}  // namespace mustardslip
