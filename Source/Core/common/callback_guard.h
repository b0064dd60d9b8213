// Drops callbacks that come after their receiver is gone.
#pragma once

#include <memory>
#include <utility>

namespace mustardslip {

// A member of the receiver. What it wrapped does nothing once it is destroyed.
class CallbackGuard {
 public:
  CallbackGuard() : m_alive(std::make_shared<bool>(true)) {}
  ~CallbackGuard() { *m_alive = false; }

  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // Drops what was wrapped so far.
  void DropAll() {
    *m_alive = false;
    m_alive = std::make_shared<bool>(true);
  }

  template <typename Handler>
  auto Wrap(Handler handler) const {
    return [alive = m_alive,
            handler = std::move(handler)](auto&&... arguments) mutable {
      if (*alive) {
        handler(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> m_alive;
};

}  // namespace mustardslip
