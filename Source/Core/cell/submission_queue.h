// Submissions that wait until the owner's next log write has room for them.
// What would wait for too long is refused at once instead: it has not run, and
// its caller can return later.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "cell/log_record.h"
#include "cell/workflow.h"

namespace mustardslip {

class SubmissionQueue {
 public:
  struct Entry {
    std::uint64_t m_token = 0;
    WorkflowSpec m_spec;
  };

  // `batch_bytes`: records that one log write takes.
  explicit SubmissionQueue(std::int64_t batch_bytes)
      : m_batch_bytes(batch_bytes) {}

  bool Empty() const { return m_entries.empty(); }

  // True if a submission would wait for more than kMaxWritesWaited writes.
  bool Full() const {
    return m_bytes / kMaxWritesWaited >=
           std::max<std::int64_t>(1, m_batch_bytes);
  }

  void Push(std::uint64_t token, WorkflowSpec spec) {
    m_bytes += SizeOf(spec);
    m_entries.push_back({token, std::move(spec)});
  }

  // The first submission if a batch of `open_bytes` has room; removes it.
  std::optional<Entry> Pop(std::int64_t open_bytes) {
    if (m_entries.empty() || open_bytes >= m_batch_bytes) {
      return std::nullopt;
    }
    return Remove(m_entries.begin());
  }

  // A submission of the job, whose caller must not be told that there is no
  // such job; removes it.
  std::optional<Entry> Take(const std::string& job) {
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(),
        [&](const Entry& entry) { return entry.m_spec.m_id == job; });
    return found == m_entries.end() ? std::nullopt
                                    : std::optional(Remove(found));
  }

 private:
  static constexpr std::int64_t kMaxWritesWaited = 4;

  static std::int64_t SizeOf(const WorkflowSpec& spec) {
    return static_cast<std::int64_t>(EstimatedSize(spec));
  }

  Entry Remove(std::deque<Entry>::iterator entry) {
    Entry removed = std::move(*entry);
    m_entries.erase(entry);
    m_bytes -= SizeOf(removed.m_spec);
    return removed;
  }

  const std::int64_t m_batch_bytes;
  std::deque<Entry> m_entries;
  // Invariant: the sum of the sizes of m_entries.
  std::int64_t m_bytes = 0;
};

}  // namespace mustardslip
