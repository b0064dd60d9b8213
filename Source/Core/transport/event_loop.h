// A libevent loop on a thread of its own, with tasks posted from other threads.
#pragma once

#include <event2/event.h>
#include <event2/thread.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "common/result.h"

namespace mustardslip {

class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop() {
    static std::once_flag once;
    std::call_once(once, [] { evthread_use_pthreads(); });
    m_base.reset(event_base_new());
    Invariant(m_base != nullptr, "libevent gave no event base");
    m_wake.reset(
        event_new(m_base.get(), -1, EV_PERSIST, &EventLoop::OnWake, this));
    Invariant(m_wake != nullptr, "libevent gave no event");
    // A pending event keeps the loop alive while nothing else is registered.
    event_add(m_wake.get(), nullptr);
  }

  ~EventLoop() { Stop(); }

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start() {
    m_thread = std::thread(
        [this] { event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
  }

  // Runs what was posted, then ends the thread. Idempotent.
  void Stop() {
    if (!m_thread.joinable()) {
      return;
    }
    Post([this] { event_base_loopbreak(m_base.get()); });
    m_thread.join();
  }

  // Runs `task` on the loop's thread, in the order of posting.
  void Post(Task task) {
    bool first = false;
    {
      const std::lock_guard lock(m_mutex);
      first = m_tasks.empty();
      m_tasks.push_back(std::move(task));
    }
    if (first) {
      event_active(m_wake.get(), EV_TIMEOUT, 0);
    }
  }

  event_base* Base() const { return m_base.get(); }

 private:
  static void OnWake(evutil_socket_t, short, void* context) {  // NOLINT
    static_cast<EventLoop*>(context)->RunTasks();
  }

  void RunTasks() {
    std::vector<Task> tasks;
    {
      const std::lock_guard lock(m_mutex);
      tasks.swap(m_tasks);
    }
    for (Task& task : tasks) {
      task();
    }
  }

  struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  struct FreeEvent {
    void operator()(event* item) const { event_free(item); }
  };

  std::unique_ptr<event_base, FreeBase> m_base;
  std::unique_ptr<event, FreeEvent> m_wake;
  std::mutex m_mutex;
  std::vector<Task> m_tasks;  // Guarded by m_mutex.
  std::thread m_thread;
};

}  // namespace mustardslip
