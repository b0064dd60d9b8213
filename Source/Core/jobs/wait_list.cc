// WaitList: waiting callers by job.
#include "jobs/wait_list.h"

namespace mustardslip {

void WaitList::Add(const std::string& job, TimePoint deadline,
                   JobResponder responder) {
  m_waiters.emplace(job, Waiter{deadline, std::move(responder)});
}

std::vector<JobResponder> WaitList::Take(const std::string& job) {
  std::vector<JobResponder> responders;
  const auto [first, last] = m_waiters.equal_range(job);
  for (auto waiter = first; waiter != last; ++waiter) {
    responders.push_back(std::move(waiter->second.m_responder));
  }
  m_waiters.erase(first, last);
  return responders;
}

std::vector<std::pair<std::string, JobResponder>> WaitList::TakeExpired(
    TimePoint now) {
  std::vector<std::pair<std::string, JobResponder>> expired;
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    if (waiter->second.m_deadline > now) {
      ++waiter;
      continue;
    }
    expired.emplace_back(waiter->first, std::move(waiter->second.m_responder));
    waiter = m_waiters.erase(waiter);
  }
  return expired;
}

std::vector<JobResponder> WaitList::TakeAll() {
  std::vector<JobResponder> responders;
  for (auto& [job, waiter] : m_waiters) {
    responders.push_back(std::move(waiter.m_responder));
  }
  m_waiters.clear();
  return responders;
}

}  // namespace mustardslip
