// Planned faults of the fakes: which call fails and how.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "common/result.h"

namespace mustardslip {

enum class FakeFault {
  kNone,
  kDown,          // kUnavailable; no effect.
  kSlow,          // kTimeout; no effect.
  kError,         // kInternal; no effect, which the caller cannot know.
  kLoseAnswer,    // kUnknownOutcome; takes effect.
  kLate,          // kTimeout; takes effect at the next DeliverLate().
  kDeliverTwice,  // Takes effect twice; the caller gets the second answer.
  kLeaseLapsed,   // Leases end before the call takes effect.
};

// A table of faults by kind of call. Thread-safe.
template <typename Call>
class FaultPlan {
 public:
  // `lapse_leases` ends the leases for kLeaseLapsed.
  explicit FaultPlan(std::function<void()> lapse_leases = [] {})
      : m_lapse_leases(std::move(lapse_leases)) {}

  // The next `count` calls of this kind have the fault, after those already
  // planned.
  void Next(Call call, FakeFault fault, int count = 1) {
    const std::lock_guard lock(m_mutex);
    for (int i = 0; i < count; ++i) {
      m_planned[call].push_back(fault);
    }
  }

  // All calls of all kinds without a planned fault have this one.
  void Always(FakeFault fault) {
    const std::lock_guard lock(m_mutex);
    m_always = fault;
  }

  // Delivers the calls that were planned as late, in their order.
  void DeliverLate() {
    std::vector<std::function<void()>> late;
    {
      const std::lock_guard lock(m_mutex);
      late.swap(m_late);
    }
    for (const std::function<void()>& deliver : late) {
      deliver();
    }
  }

  // Runs `action`, which returns a Result, under the fault that is planned.
  // `action` is copied for late delivery, so it captures by value.
  template <typename Action>
  auto Run(Call call, Action action) -> decltype(action()) {
    switch (Take(call)) {
      case FakeFault::kNone:
        break;
      case FakeFault::kDown:
        return Fail(ErrorCode::kUnavailable, "planned_down");
      case FakeFault::kSlow:
        return Fail(ErrorCode::kTimeout, "planned_slow");
      case FakeFault::kError:
        return Fail(ErrorCode::kInternal, "planned_error");
      case FakeFault::kLoseAnswer:
        static_cast<void>(action());
        return Fail(ErrorCode::kUnknownOutcome, "planned_lost_answer");
      case FakeFault::kLate: {
        const std::lock_guard lock(m_mutex);
        m_late.push_back([action] { static_cast<void>(action()); });
        return Fail(ErrorCode::kTimeout, "planned_late");
      }
      case FakeFault::kDeliverTwice:
        static_cast<void>(action());
        break;
      case FakeFault::kLeaseLapsed:
        m_lapse_leases();
        break;
    }
    return action();
  }

 private:
  FakeFault Take(Call call) {
    const std::lock_guard lock(m_mutex);
    std::deque<FakeFault>& planned = m_planned[call];
    if (planned.empty()) {
      return m_always;
    }
    const FakeFault fault = planned.front();
    planned.pop_front();
    return fault;
  }

  const std::function<void()> m_lapse_leases;
  std::mutex m_mutex;
  std::map<Call, std::deque<FakeFault>> m_planned;  // Guarded by m_mutex.
  std::vector<std::function<void()>> m_late;        // Guarded by m_mutex.
  FakeFault m_always = FakeFault::kNone;            // Guarded by m_mutex.
};

}  // namespace mustardslip
