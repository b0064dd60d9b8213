// A thread pool that starts threads on demand, up to a limit.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mustardslip {

// Runs jobs in the order of submission. The destructor finishes all jobs that
// were submitted.
class ThreadPool {
 public:
  explicit ThreadPool(std::size_t max_threads) : m_max_threads(max_threads) {}
  ~ThreadPool();

  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  void Submit(std::function<void()> job);

  // Jobs that wait for a thread.
  std::size_t Backlog() const;

 private:
  void Run();

  const std::size_t m_max_threads;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_jobs;  // Guarded by m_mutex.
  std::vector<std::thread> m_threads;        // Guarded by m_mutex.
  std::size_t m_idle = 0;                    // Guarded by m_mutex.
  bool m_stopping = false;                   // Guarded by m_mutex.
};

}  // namespace mustardslip
