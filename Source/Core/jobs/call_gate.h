// Prevents callbacks of calls in flight from using a destroyed object.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace mustardslip {

// Thread-safe. Each callback shares ownership of the gate, calls Enter() before
// it uses the object and Leave() afterwards. Close() blocks until all callbacks
// that entered have left, so a callback must not call it.
class CallGate {
 public:
  // Returns false after Close(); the callback must then not use the object.
  bool Enter() {
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
      return false;
    }
    m_active_callbacks++;
    return true;
  }

  void Leave() {
    const std::lock_guard lock(m_mutex);
    m_active_callbacks--;
    if (m_active_callbacks == 0) {
      m_empty.notify_all();
    }
  }

  void Close() {
    std::unique_lock lock(m_mutex);
    m_closed = true;
    m_empty.wait(lock, [this] { return m_active_callbacks == 0; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_empty;
  bool m_closed = false;               // Guarded by m_mutex.
  std::size_t m_active_callbacks = 0;  // Guarded by m_mutex.
};

}  // namespace mustardslip
