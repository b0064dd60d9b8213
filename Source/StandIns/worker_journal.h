// The journal of the worker stand-in: what ran where, when and how often.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mustardslip {

// Entries of all VMs of one process, numbered from 1 without gaps. Thread-safe.
class WorkerJournal {
 public:
  // An answer holds at most this many entries.
  static constexpr std::size_t kMaxEntriesPerRead = 20'000;

  void Append(std::int64_t unix_ms, const std::string& vm,
              std::string_view event, nlohmann::json fields) {
    fields["unix_ms"] = unix_ms;
    fields["vm"] = vm;
    fields["event"] = event;
    const std::lock_guard lock(m_mutex);
    fields["seq"] = m_entries.size() + 1;
    m_entries.push_back(fields.dump());
  }

  // JSON: entries after `since`, and last, the highest number there is.
  std::string Read(std::size_t since) const {
    const std::lock_guard lock(m_mutex);
    std::string json =
        "{\"last\":" + std::to_string(m_entries.size()) + ",\"entries\":[";
    for (std::size_t i = since;
         i < m_entries.size() && i < since + kMaxEntriesPerRead; ++i) {
      json += (i == since ? "" : ",") + m_entries[i];
    }
    return json + "]}";
  }

 private:
  mutable std::mutex m_mutex;
  // One JSON text per entry; the entry with number N is at N-1. Guarded by
  // m_mutex.
  std::deque<std::string> m_entries;
};

}  // namespace mustardslip
