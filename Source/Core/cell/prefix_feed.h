// Reports all keys with a prefix and their changes: lists them, then watches.
// Used for the owner record and the platform's VM list.
//
// Lists again after discarded history, an error or an unanswered call, so that
// no change is missed. The handlers get changes in revision order, and after
// each list the set of all existing keys.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "cell/async_store.h"
#include "cell/timer_loop.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

template <AsyncStore Store, TimerLoop Loop>
class PrefixFeed {
 public:
  struct Handlers {
    // A key was created or changed.
    std::function<void(const StoreItem&)> m_on_item;
    // A key was deleted.
    std::function<void(const std::string& key)> m_on_deleted;
    // A complete list was read: keys that are not in it do not exist.
    std::function<void(const std::set<std::string>& keys)> m_on_listed;
  };

  // `watch_wait_ms`: how long one watch call waits for changes, and how long it
  // takes to detect a connection that does not answer.
  PrefixFeed(Store& store, Loop& loop, std::string prefix,
             std::int64_t watch_wait_ms, Handlers handlers)
      : m_store(store),
        m_loop(loop),
        m_prefix(std::move(prefix)),
        m_watch_wait_ms(watch_wait_ms),
        m_handlers(std::move(handlers)) {}

  PrefixFeed(const PrefixFeed&) = delete;
  PrefixFeed& operator=(const PrefixFeed&) = delete;

  void Start() { List(); }

  // True if the last call failed: reported state may be out of date.
  bool Failing() const { return m_failing; }

 private:
  static constexpr std::int64_t kMinRetryMs = 50;
  static constexpr std::int64_t kMaxRetryMs = 400;

  void List() {
    m_listed.clear();
    m_list_revision = 0;
    ListPage("");
  }

  void ListPage(const std::string& after) {
    m_store.List(m_prefix, after, m_guard.Wrap([this](auto page) {
      if (!page) {
        OnFailure(page.error());
        return;
      }
      OnPage(*page);
    }));
  }

  void OnPage(const ItemPage& page) {
    // Pages may have different revisions: the watch starts at the oldest one.
    if (m_list_revision == 0) {
      m_list_revision = page.m_store_revision;
    }
    for (const StoreItem& item : page.m_items) {
      m_listed.insert(item.m_key);
      m_handlers.m_on_item(item);
    }
    if (page.m_more && !page.m_items.empty()) {
      ListPage(page.m_items.back().m_key);
      return;
    }
    m_retry_ms = kMinRetryMs;
    m_revision = m_list_revision;
    if (m_handlers.m_on_listed) {
      m_handlers.m_on_listed(m_listed);
    }
    OnAnswered();
    Watch();
  }

  void Watch() {
    m_store.Watch(m_prefix, m_revision, m_watch_wait_ms,
                  m_guard.Wrap([this](auto answer) {
                    if (!answer) {
                      // The watch may have missed events, or its history was
                      // discarded.
                      OnFailure(answer.error());
                      return;
                    }
                    OnEvents(*answer);
                    OnAnswered();
                    Watch();
                  }));
  }

  void OnEvents(const WatchAnswer& answer) {
    m_retry_ms = kMinRetryMs;
    for (const StoreEvent& event : answer.m_events) {
      if (!event.m_deleted) {
        m_handlers.m_on_item(event.m_item);
      } else if (m_handlers.m_on_deleted) {
        m_handlers.m_on_deleted(event.m_item.m_key);
      }
    }
    m_revision = std::max(m_revision, answer.m_store_revision);
  }

  void OnFailure(const Error& error) {
    if (!m_failing) {
      m_failing = true;
      Log(LogLevel::kWarning, LogCategory::kStore, "store_lost",
          {{"prefix", m_prefix}, {"reason", error.Reason()}});
    }
    RetryLater([this] { List(); });
  }

  void OnAnswered() {
    if (m_failing) {
      m_failing = false;
      Log(LogLevel::kInfo, LogCategory::kStore, "store_regained",
          {{"prefix", m_prefix}, {"revision", m_revision}});
    }
  }

  void RetryLater(std::function<void()> task) {
    const std::int64_t wait_ms = m_retry_ms;
    m_retry_ms = std::min(m_retry_ms * 2, kMaxRetryMs);
    m_loop.After(wait_ms, m_guard.Wrap(std::move(task)));
  }

  Store& m_store;
  Loop& m_loop;
  const std::string m_prefix;
  const std::int64_t m_watch_wait_ms;
  const Handlers m_handlers;
  CallbackGuard m_guard;
  std::set<std::string> m_listed;
  Revision m_list_revision = 0;
  Revision m_revision = 0;
  std::int64_t m_retry_ms = kMinRetryMs;
  bool m_failing = false;
};

}  // namespace mustardslip
