// Callers of WaitJob that wait for a job to end, each with a time limit. Used
// by TeamShard.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/result.h"
#include "jobs/messages.h"

namespace mustardslip {

using JobResponder = std::function<void(Result<JobStatus>)>;

// Not thread-safe.
class WaitList {
 public:
  void Add(const std::string& job, TimePoint deadline, JobResponder responder);
  bool Contains(const std::string& job) const {
    return m_waiters.contains(job);
  }
  // Removes and returns the callers that wait for the job.
  std::vector<JobResponder> Take(const std::string& job);
  // Removes and returns callers whose time limit has passed, with their job.
  std::vector<std::pair<std::string, JobResponder>> TakeExpired(TimePoint now);
  std::vector<JobResponder> TakeAll();
  bool IsEmpty() const { return m_waiters.empty(); }
  std::size_t Size() const { return m_waiters.size(); }

 private:
  struct Waiter {
    TimePoint m_deadline;
    JobResponder m_responder;
  };

  std::multimap<std::string, Waiter> m_waiters;
};

}  // namespace mustardslip
