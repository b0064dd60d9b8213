// What a load client was told about each of its requests, and the comparison
// with the journal of the worker stand-in.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mustardslip {

// One answer of a daemon to one try.
enum class Told { kDone, kNotRun, kUnknown, kNoAnswer, kRejected };

struct RequestRecord {
  std::vector<Told> m_told;
  // The answer was not that of this request, or not whole.
  bool m_wrong_answer = false;
  std::int64_t m_latency_us = 0;
};

struct LoadSummary {
  std::map<std::string, std::int64_t> m_last_answers;
  std::int64_t m_tries = 0;
  std::int64_t m_p50_us = 0;
  std::int64_t m_p99_us = 0;
  std::int64_t m_max_us = 0;
  std::map<std::string, std::int64_t> m_reasons;
};

// Thread-safe.
class LoadRecord {
 public:
  void Add(const std::string& request_id, RequestRecord record);
  void CountReason(const std::string& reason);

  LoadSummary Summary() const;

  // Contradictions between what was told and the journal. `runs` counts starts
  // by request id.
  std::vector<std::string> Compare(
      const std::map<std::string, std::int64_t>& runs, bool idempotent) const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, RequestRecord> m_records;  // Guarded by m_mutex.
  std::map<std::string, std::int64_t> m_reasons;   // Guarded by m_mutex.
};

// Starts of service requests by request id.
std::map<std::string, std::int64_t> CountRuns(
    const std::vector<nlohmann::json>& journal);

}  // namespace mustardslip
