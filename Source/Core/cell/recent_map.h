// A map of limited size that drops the key which was not used for the longest
// time.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace mustardslip {

// References to values stay valid until their key is dropped or erased.
template <typename Key, typename Value>
class RecentMap {
 public:
  // `capacity` must be positive.
  explicit RecentMap(std::size_t capacity) : m_capacity(capacity) {}

  std::size_t Size() const { return m_entries.size(); }

  // Null if the key is unknown; does not count as a use.
  const Value* Find(const Key& key) const {
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &found->second->second;
  }

  // Creates the value if the key is unknown.
  Value& Use(const Key& key) {
    if (const auto found = m_index.find(key); found != m_index.end()) {
      m_entries.splice(m_entries.begin(), m_entries, found->second);
      return found->second->second;
    }
    if (m_entries.size() >= m_capacity) {
      m_index.erase(m_entries.back().first);
      m_entries.pop_back();
    }
    m_entries.emplace_front(key, Value());
    m_index.emplace(key, m_entries.begin());
    return m_entries.front().second;
  }

  // Visits all entries, and erases those for which `visit(key, value)` is
  // false.
  template <typename Visitor>
  void VisitAndKeepIf(Visitor visit) {
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
      if (visit(std::as_const(entry->first), entry->second)) {
        ++entry;
      } else {
        m_index.erase(entry->first);
        entry = m_entries.erase(entry);
      }
    }
  }

 private:
  std::size_t m_capacity;
  // The most recently used first.
  std::list<std::pair<Key, Value>> m_entries;
  std::map<Key, typename std::list<std::pair<Key, Value>>::iterator> m_index;
};

}  // namespace mustardslip
