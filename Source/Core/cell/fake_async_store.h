// In-memory AsyncStore for tests, with the faults of the platform's store:
// refused calls, lost answers, delayed writes, expired leases and discarded
// history. Several clients can share one state.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/async_store.h"
#include "cell/manual_loop.h"

namespace mustardslip {

// Store contents shared by all clients.
class FakeStoreState {
 public:
  struct Value {
    std::string m_value;
    Revision m_revision = 0;
    LeaseId m_lease = 0;
  };

  CommitAnswer Commit(const StoreTransaction& transaction) {
    CommitAnswer answer;
    for (const auto& [key, revision] : transaction.m_expected) {
      const auto found = m_values.find(key);
      const Revision present =
          found == m_values.end() ? 0 : found->second.m_revision;
      if (present != revision) {
        answer.m_current = Current(transaction);
        return answer;
      }
    }
    answer.m_committed = true;
    answer.m_revision = ++m_revision;
    for (const StorePut& put : transaction.m_puts) {
      m_values[put.m_key] = {put.m_value, m_revision, put.m_lease};
      m_events.push_back({{put.m_key, put.m_value, m_revision}, false});
    }
    for (const std::string& key : transaction.m_removals) {
      Remove(key);
    }
    return answer;
  }

  // Unconditional write, as by an operator or another program.
  void Put(const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.m_puts = {{key, value, 0}};
    Commit(transaction);
  }

  void EndLease(LeaseId lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : m_values) {
      if (value.m_lease == lease) {
        keys.push_back(key);
      }
    }
    ++m_revision;
    for (const std::string& key : keys) {
      Remove(key);
    }
  }

  // Discards history: watches from an older revision fail with history_gone.
  void DropHistory() {
    m_events.clear();
    m_oldest_revision = m_revision;
  }

  std::map<std::string, Value> m_values;
  std::vector<StoreEvent> m_events;
  // Time to live in ms by lease.
  std::map<LeaseId, std::int64_t> m_leases;
  LeaseId m_last_lease = 0;
  Revision m_revision = 1;
  Revision m_oldest_revision = 0;

 private:
  void Remove(const std::string& key) {
    m_values.erase(key);
    m_events.push_back({{key, "", m_revision}, true});
  }

  std::vector<StoreItem> Current(const StoreTransaction& transaction) const {
    std::vector<StoreItem> items;
    for (const auto& [key, revision] : transaction.m_expected) {
      const auto found = m_values.find(key);
      if (found != m_values.end()) {
        items.push_back({key, found->second.m_value, found->second.m_revision});
      }
    }
    return items;
  }
};

class FakeAsyncStore {
 public:
  enum class Fault {
    kNone,
    kRefuse,      // The call has no effect and fails at once.
    kSilent,      // The call has no effect and no answer.
    kLoseAnswer,  // Writes take effect, but no answer comes.
    kLate,        // Writes take effect after m_late_ms; no answer comes.
  };

  FakeAsyncStore(FakeStoreState& state, ManualLoop& loop)
      : m_state(state), m_loop(loop) {}

  void List(const std::string& prefix, const std::string& after,
            StoreCallback<ItemPage> done) {
    Answer<ItemPage>(kReadTimeoutMs, std::move(done), [this, prefix, after] {
      ItemPage page;
      for (auto item = m_state.m_values.upper_bound(std::max(prefix, after));
           item != m_state.m_values.end() && item->first.starts_with(prefix);
           ++item) {
        if (page.m_items.size() == m_page_size) {
          page.m_more = true;
          break;
        }
        page.m_items.push_back(
            {item->first, item->second.m_value, item->second.m_revision});
      }
      if (after.empty() && m_state.m_values.count(prefix) != 0) {
        const auto& own = m_state.m_values.at(prefix);
        page.m_items.insert(page.m_items.begin(),
                            {prefix, own.m_value, own.m_revision});
      }
      page.m_store_revision = m_state.m_revision;
      return Result<ItemPage>(page);
    });
  }

  void Watch(const std::string& prefix, Revision after, std::int64_t wait_ms,
             StoreCallback<WatchAnswer> done) {
    if (Failing()) {
      Answer<WatchAnswer>(wait_ms, std::move(done),
                          [] { return Result<WatchAnswer>(WatchAnswer{}); });
      return;
    }
    Poll(prefix, after, m_loop.Now().m_steady_ms + wait_ms, std::move(done));
  }

  void Commit(const StoreTransaction& transaction, std::int64_t timeout_ms,
              StoreCallback<CommitAnswer> done) {
    ++m_commits;
    const std::int64_t latency_ms = m_latency_ms + TransmitMs(transaction);
    if (m_fault == Fault::kLoseAnswer) {
      m_state.Commit(transaction);
    } else if (m_fault == Fault::kLate) {
      m_loop.After(m_late_ms,
                   [this, transaction] { m_state.Commit(transaction); });
    }
    Answer<CommitAnswer>(
        timeout_ms, std::move(done),
        [this, transaction] {
          return Result<CommitAnswer>(m_state.Commit(transaction));
        },
        latency_ms);
  }

  void GrantLease(std::int64_t ttl_ms, StoreCallback<LeaseId> done) {
    Answer<LeaseId>(kReadTimeoutMs, std::move(done), [this, ttl_ms] {
      m_state.m_leases[++m_state.m_last_lease] = ttl_ms;
      return Result<LeaseId>(m_state.m_last_lease);
    });
  }

  void RenewLease(LeaseId lease, StoreCallback<bool> done) {
    ++m_renewals;
    Answer<bool>(kReadTimeoutMs, std::move(done), [this, lease] {
      return m_state.m_leases.count(lease) != 0
                 ? Result<bool>(true)
                 : Result<bool>(Fail(ErrorCode::kNotFound, "not_found"));
    });
  }

  void EndLease(LeaseId lease, StoreCallback<bool> done) {
    Answer<bool>(kReadTimeoutMs, std::move(done), [this, lease] {
      m_state.EndLease(lease);
      return Result<bool>(true);
    });
  }

  Fault m_fault = Fault::kNone;
  std::int64_t m_late_ms = 3'000;
  std::size_t m_page_size = 3;
  std::size_t m_commits = 0;
  // Number of lease renewals sent, also of failed ones.
  std::size_t m_renewals = 0;
  // Time to an answer. A call with a shorter time limit fails, but still takes
  // effect.
  std::int64_t m_latency_ms = 4;
  // Rate of the link on which writes are sent; 0 for one that is never full.
  std::int64_t m_link_bytes_per_ms = 0;

 private:
  static constexpr std::int64_t kReadTimeoutMs = 500;
  static constexpr std::int64_t kPollMs = 10;
  // Values are sent as base64.
  static constexpr std::size_t kTextFactor = 4;
  static constexpr std::size_t kTextDivisor = 3;

  bool Failing() const { return m_fault != Fault::kNone; }

  // Time until the transaction has left over the link, behind what was sent
  // before; 0 on an unlimited link.
  std::int64_t TransmitMs(const StoreTransaction& transaction) {
    if (m_link_bytes_per_ms == 0) {
      return 0;
    }
    std::size_t bytes = 0;
    for (const StorePut& put : transaction.m_puts) {
      bytes += put.m_value.size() * kTextFactor / kTextDivisor;
    }
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    m_link_free_ms = std::max(m_link_free_ms, now_ms) +
                     static_cast<std::int64_t>(bytes) / m_link_bytes_per_ms;
    return m_link_free_ms - now_ms;
  }

  template <typename T, typename Act>
  void Answer(std::int64_t timeout_ms, StoreCallback<T> done, Act act) {
    Answer<T>(timeout_ms, std::move(done), std::move(act), m_latency_ms);
  }

  template <typename T, typename Act>
  void Answer(std::int64_t timeout_ms, StoreCallback<T> done, Act act,
              std::int64_t latency_ms) {
    if (m_fault == Fault::kRefuse) {
      m_loop.After(latency_ms, [done = std::move(done)] {
        done(Fail(ErrorCode::kUnavailable, "refused"));
      });
    } else if (Failing()) {
      m_loop.After(timeout_ms, [done = std::move(done)] {
        done(Fail(ErrorCode::kUnknownOutcome, "no_answer"));
      });
    } else {
      auto result = std::make_shared<Result<T>>(act());
      if (latency_ms > timeout_ms) {
        *result = Fail(ErrorCode::kUnknownOutcome, "no_answer");
      }
      m_loop.After(std::min(latency_ms, timeout_ms),
                   [done = std::move(done), result] { done(*result); });
    }
  }

  void Poll(const std::string& prefix, Revision after, std::int64_t until_ms,
            StoreCallback<WatchAnswer> done) {
    if (after < m_state.m_oldest_revision) {
      done(Fail(ErrorCode::kConflict, "history_gone"));
      return;
    }
    WatchAnswer answer;
    for (const StoreEvent& event : m_state.m_events) {
      if (event.m_item.m_revision > after &&
          event.m_item.m_key.starts_with(prefix)) {
        answer.m_events.push_back(event);
      }
    }
    answer.m_store_revision = m_state.m_revision;
    if (!answer.m_events.empty() || m_loop.Now().m_steady_ms >= until_ms) {
      done(answer);
      return;
    }
    m_loop.After(kPollMs, [this, prefix, after, until_ms,
                           done = std::move(done)]() mutable {
      Poll(prefix, after, until_ms, std::move(done));
    });
  }

  FakeStoreState& m_state;
  ManualLoop& m_loop;
  // When the link has sent all that was given to it.
  std::int64_t m_link_free_ms = 0;
};

static_assert(AsyncStore<FakeAsyncStore>);

}  // namespace mustardslip
