// A bounded cache of recent refusals. A gateway uses it to answer an identical
// retry without a call to the team shard owner.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/clock.h"

namespace mustardslip {

// The answer to a request that was not run.
struct Refusal {
  std::string m_reason;
  std::int64_t m_retry_after_ms = 0;

  bool operator==(const Refusal&) const = default;
};

// Not thread-safe. An entry lives until its Retry-After ends, at most
// `max_age`; when the cache is full the oldest entry is evicted.
class RefusalCache {
 public:
  RefusalCache(std::size_t capacity, Milliseconds max_age)
      : m_capacity(capacity), m_max_age(max_age) {}

  // `request` is the idempotency key or, without one, the hash of the body.
  // Refusals without Retry-After are not cached.
  void Put(const std::string& team, const std::string& request, Refusal refusal,
           TimePoint now);
  // The cached refusal with its remaining Retry-After.
  std::optional<Refusal> Find(const std::string& team,
                              const std::string& request, TimePoint now);
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    Refusal m_refusal;
    TimePoint m_expires_at;
    std::uint64_t m_sequence = 0;
  };
  struct Slot {
    std::string m_id;
    std::uint64_t m_sequence = 0;
  };

  void EvictOldest();

  const std::size_t m_capacity;
  const Milliseconds m_max_age;
  std::unordered_map<std::string, Entry> m_entries;
  // Insertion order; a slot whose sequence differs from its entry is obsolete.
  std::deque<Slot> m_order;
  std::uint64_t m_sequence = 0;
};

}  // namespace mustardslip
