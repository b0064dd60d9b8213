// An in-memory key-value store with planned faults, for tests of other slices.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <utility>

#include "common/clock.h"
#include "common/fault_plan.h"
#include "store/key_value_store.h"
#include "store/store_call.h"
#include "store/store_model.h"

namespace mustardslip {

// What Watch() does while nothing has changed.
enum class FakeWatch {
  kReturns,  // Returns "unchanged" at once, for tests with one thread.
  kWaits,    // Waits for a change, or until the clock has passed the limit.
};

// Thread-safe. Several objects may share one store, each with its own faults,
// as daemons do whose connections fail separately:
//   FakeStore first(clock);
//   FakeStore second(first.Data());
class FakeStore {
 public:
  // The shared state. Time comes from the manual clock, which has to outlive
  // it.
  struct SharedData {
    SharedData(const ManualClock& clock, FakeWatch watch)
        : m_clock(clock), m_watch(watch) {}

    const ManualClock& m_clock;
    const FakeWatch m_watch;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreModel m_model;  // Guarded by m_mutex.
  };

  explicit FakeStore(const ManualClock& clock,
                     FakeWatch watch = FakeWatch::kReturns)
      : FakeStore(std::make_shared<SharedData>(clock, watch)) {}

  explicit FakeStore(std::shared_ptr<SharedData> data)
      : m_data(std::move(data)) {}

  std::shared_ptr<SharedData> Data() const { return m_data; }

  // The table of faults by kind of call. kLeaseLapsed ends all leases.
  FaultPlan<StoreCall>& Faults() { return m_faults; }

  // Calls so far, those with planned faults included.
  std::uint64_t Calls(StoreCall call) const {
    return m_calls[static_cast<std::size_t>(call)];
  }

  // Ends one lease, or all if `lease` is empty, and deletes their keys.
  void ExpireLease(const StoreLeaseId& lease = "") {
    const std::lock_guard lock(m_data->m_mutex);
    if (lease.empty()) {
      m_data->m_model.EndAllLeases();
    } else {
      static_cast<void>(m_data->m_model.RevokeLease(NowMs(), lease));
    }
    m_data->m_changed.notify_all();
  }

  Result<StoreRead> Get(const std::string& key) {
    return Run(StoreCall::kGet, [key](StoreModel& model, std::int64_t now_ms) {
      return Result<StoreRead>(model.Get(now_ms, key));
    });
  }

  Result<StoreList> List(const std::string& prefix) {
    return Run(StoreCall::kList,
               [prefix](StoreModel& model, std::int64_t now_ms) {
                 return Result<StoreList>(model.List(now_ms, prefix));
               });
  }

  Result<StoreRevision> Put(const std::string& key, const std::string& value,
                            StoreRevision expected, const StoreLeaseId& lease) {
    return Run(StoreCall::kPut, [=](StoreModel& model, std::int64_t now_ms) {
      return model.Put(now_ms, key, value, expected, lease);
    });
  }

  Result<StoreRevision> Delete(const std::string& key, StoreRevision expected) {
    return Run(StoreCall::kDelete, [=](StoreModel& model, std::int64_t now_ms) {
      return model.Delete(now_ms, key, expected);
    });
  }

  Result<StoreWatch> Watch(const std::string& prefix, StoreRevision since,
                           Milliseconds limit) {
    ++m_calls[static_cast<std::size_t>(StoreCall::kWatch)];
    return m_faults.Run(StoreCall::kWatch, [this, prefix, since, limit] {
      return Result<StoreWatch>(Wait(prefix, since, limit));
    });
  }

  Result<StoreLeaseId> GrantLease(Milliseconds ttl) {
    return Run(StoreCall::kGrantLease,
               [ttl](StoreModel& model, std::int64_t now_ms) {
                 return Result<StoreLeaseId>(model.GrantLease(now_ms, ttl));
               });
  }

  Result<void> RenewLease(const StoreLeaseId& lease) {
    return Run(StoreCall::kRenewLease,
               [lease](StoreModel& model, std::int64_t now_ms) {
                 return model.RenewLease(now_ms, lease);
               });
  }

  Result<void> RevokeLease(const StoreLeaseId& lease) {
    return Run(StoreCall::kRevokeLease,
               [lease](StoreModel& model, std::int64_t now_ms) {
                 return model.RevokeLease(now_ms, lease);
               });
  }

 private:
  std::int64_t NowMs() const { return m_data->m_clock.UnixMillis(); }

  template <typename Action>
  auto Run(StoreCall call, Action action)
      -> std::invoke_result_t<Action, StoreModel&, std::int64_t> {
    ++m_calls[static_cast<std::size_t>(call)];
    return m_faults.Run(call, [this, action] {
      const std::lock_guard lock(m_data->m_mutex);
      auto result = action(m_data->m_model, NowMs());
      m_data->m_changed.notify_all();
      return result;
    });
  }

  StoreWatch Wait(const std::string& prefix, StoreRevision since,
                  Milliseconds limit) {
    // The clock does not notify, so the wait looks at it at this interval.
    constexpr Milliseconds kPollInterval{1};
    const std::int64_t end_ms = NowMs() + limit.count();
    std::unique_lock lock(m_data->m_mutex);
    while (m_data->m_watch == FakeWatch::kWaits && NowMs() < end_ms &&
           !m_data->m_model.ChangedSince(NowMs(), prefix, since)) {
      m_data->m_changed.wait_for(lock, kPollInterval);
    }
    const bool changed = m_data->m_model.ChangedSince(NowMs(), prefix, since);
    return {changed, m_data->m_model.Revision()};
  }

  const std::shared_ptr<SharedData> m_data;
  FaultPlan<StoreCall> m_faults{[this] { ExpireLease(); }};
  std::array<std::atomic<std::uint64_t>, kStoreCallKinds> m_calls{};
};

static_assert(KeyValueStore<FakeStore>);

}  // namespace mustardslip
