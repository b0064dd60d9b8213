// A libevent loop that runs on the calling thread, with one-shot timers.
//
// A daemon that does all its work on one thread needs no locks and few
// wake-ups; EventLoop (event_loop.h) is for programs with several threads.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "cell/cell_types.h"
#include "common/result.h"
#include "transport/socket_util.h"
#include "transport/traffic_meter.h"

namespace mustardslip {

class Reactor {
 public:
  Reactor() : m_base(event_base_new()) {
    Invariant(m_base != nullptr, "libevent gave no event base");
    m_start = std::chrono::steady_clock::now();
    m_start_unix_ms = WallMs();
  }

  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  event_base* Base() const { return m_base.get(); }

  // What the connections on this reactor sent and received.
  TrafficMeter& Traffic() { return m_traffic; }
  const TrafficMeter& Traffic() const { return m_traffic; }

  // The steady clock counts from the start of the process plus a constant, so
  // that 0 never is a valid time. Unix time is read once at the start and moves
  // with the steady clock: a step of the wall clock does not move schedules.
  CellTime Now() const {
    const std::int64_t steady = SteadyMs();
    return {steady + kEpochMs, m_start_unix_ms + steady};
  }

  // Runs `task` once, after `ms` milliseconds; a task that is still pending
  // when the reactor is destroyed is dropped.
  void After(std::int64_t ms, std::function<void()> task) {
    auto timer = std::make_unique<Timer>();
    timer->m_reactor = this;
    timer->m_task = std::move(task);
    const timeval delay = ToTimeval(Milliseconds(ms));
    Timer* raw = timer.get();
    m_timers.emplace(raw, std::move(timer));
    event_base_once(m_base.get(), -1, EV_TIMEOUT, &Reactor::OnTimer, raw,
                    &delay);
  }

  void Run() { event_base_dispatch(m_base.get()); }
  void Stop() { event_base_loopbreak(m_base.get()); }

 private:
  static constexpr std::int64_t kEpochMs = 1'000'000;

  struct Timer {
    Reactor* m_reactor = nullptr;
    std::function<void()> m_task;
  };
  struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
  };

  static void OnTimer(evutil_socket_t, short, void* context) {  // NOLINT
    auto* timer = static_cast<Timer*>(context);
    // Not in the map any more while the task runs.
    const auto owned = timer->m_reactor->m_timers.extract(timer);
    timer->m_task();
  }

  static std::int64_t WallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  std::int64_t SteadyMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - m_start)
        .count();
  }

  std::unique_ptr<event_base, FreeBase> m_base;
  std::chrono::steady_clock::time_point m_start;
  std::int64_t m_start_unix_ms = 0;
  TrafficMeter m_traffic;
  // Timers that are pending. Declared after m_base: what their tasks own may
  // need it while it is destroyed.
  std::unordered_map<Timer*, std::unique_ptr<Timer>> m_timers;
};

}  // namespace mustardslip
