// The pool's worker loop.
#include "common/thread_pool.h"

#include <utility>

namespace mustardslip {

ThreadPool::~ThreadPool() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void ThreadPool::Submit(std::function<void()> job) {
  {
    const std::lock_guard lock(m_mutex);
    m_jobs.push_back(std::move(job));
    if (m_jobs.size() > m_idle && m_threads.size() < m_max_threads) {
      m_threads.emplace_back([this] { Run(); });
    }
  }
  m_wake.notify_one();
}

std::size_t ThreadPool::Backlog() const {
  const std::lock_guard lock(m_mutex);
  return m_jobs.size();
}

void ThreadPool::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    ++m_idle;
    m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
    --m_idle;
    if (m_jobs.empty()) {
      return;
    }
    std::function<void()> job = std::move(m_jobs.front());
    m_jobs.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
}

}  // namespace mustardslip
