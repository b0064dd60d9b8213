// Summary and comparison of a load client's answers.
#include "load_record.h"

#include <algorithm>

namespace mustardslip {
namespace {

const char* Name(Told told) {
  switch (told) {
    case Told::kDone:
      return "done";
    case Told::kNotRun:
      return "not_run";
    case Told::kUnknown:
      return "outcome_unknown";
    case Told::kRejected:
      return "rejected";
    default:
      return "no_answer";
  }
}

}  // namespace

void LoadRecord::Add(const std::string& request_id, RequestRecord record) {
  const std::lock_guard lock(m_mutex);
  m_records[request_id] = std::move(record);
}

void LoadRecord::CountReason(const std::string& reason) {
  const std::lock_guard lock(m_mutex);
  ++m_reasons[reason];
}

LoadSummary LoadRecord::Summary() const {
  const std::lock_guard lock(m_mutex);
  LoadSummary summary;
  summary.m_reasons = m_reasons;
  std::vector<std::int64_t> latencies;
  for (const auto& [id, record] : m_records) {
    summary.m_tries += static_cast<std::int64_t>(record.m_told.size());
    ++summary.m_last_answers[Name(record.m_told.back())];
    if (record.m_told.back() == Told::kDone) {
      latencies.push_back(record.m_latency_us);
    }
  }
  if (!latencies.empty()) {
    std::sort(latencies.begin(), latencies.end());
    summary.m_p50_us = latencies[latencies.size() / 2];
    summary.m_p99_us = latencies[latencies.size() * 99 / 100];
    summary.m_max_us = latencies.back();
  }
  return summary;
}

std::vector<std::string> LoadRecord::Compare(
    const std::map<std::string, std::int64_t>& runs, bool idempotent) const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> contradictions;
  for (const auto& [id, record] : m_records) {
    const auto found = runs.find(id);
    const std::int64_t count = found == runs.end() ? 0 : found->second;
    const auto told = [&record = record](Told what) {
      return std::find(record.m_told.begin(), record.m_told.end(), what) !=
             record.m_told.end();
    };
    if (record.m_wrong_answer) {
      contradictions.push_back(id + ": wrong or damaged answer");
    }
    if (told(Told::kDone) && count == 0) {
      contradictions.push_back(id + ": told done, never ran");
    }
    if (!idempotent && count > 1) {
      contradictions.push_back(id + ": ran " + std::to_string(count) +
                               " times");
    }
    const bool maybe =
        told(Told::kDone) || told(Told::kUnknown) || told(Told::kNoAnswer);
    if (told(Told::kNotRun) && !maybe && count > 0) {
      contradictions.push_back(id + ": told not run only, but ran");
    }
    // With a key each answer is about the same work, so the last one must not
    // deny a run.
    if (!idempotent && record.m_told.back() == Told::kNotRun && count > 0) {
      contradictions.push_back(id + ": last told not run, but ran");
    }
  }
  return contradictions;
}

std::map<std::string, std::int64_t> CountRuns(
    const std::vector<nlohmann::json>& journal) {
  std::map<std::string, std::int64_t> runs;
  for (const nlohmann::json& entry : journal) {
    if (entry.value("event", "") == "request_started") {
      ++runs[entry.value("request_id", "")];
    }
  }
  return runs;
}

}  // namespace mustardslip
