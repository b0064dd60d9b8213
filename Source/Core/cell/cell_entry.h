// Forwards callers' requests to the owner of the cell, over a link or to the
// owner in this process. Used by CellNode in each daemon.
//
// All requests are idempotent by the job's id, so a request whose link was lost
// is resent to the next owner until its deadline.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "cell/cell_request.h"
#include "cell/deadline_queue.h"
#include "cell/timer_loop.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

template <TimerLoop Loop>
class CellEntry {
 public:
  using AnswerDone = std::function<void(CellAnswer)>;
  using LocalOwner = std::function<void(CellRequest, AnswerDone)>;
  using SendToOwner = std::function<void(const LinkMessage&)>;

  explicit CellEntry(Loop& loop)
      : m_loop(loop),
        m_deadlines(loop, [this](std::uint64_t number) { OnDue(number); }) {}

  CellEntry(const CellEntry&) = delete;
  CellEntry& operator=(const CellEntry&) = delete;

  // Sends requests to the owner in this process.
  void SetLocalOwner(LocalOwner owner) {
    m_local = std::move(owner);
    m_send = nullptr;
    m_isolated = false;
    SendAll();
  }

  // Sends requests over a link on which the owner has sent kWelcome.
  void SetOwnerLink(SendToOwner send) {
    m_send = std::move(send);
    m_local = nullptr;
    m_isolated = false;
    SendAll();
  }

  // The owner is lost: open requests wait for the next one.
  void ClearOwner() {
    m_local = nullptr;
    m_send = nullptr;
    ++m_epoch;
    for (auto& [number, open] : m_open) {
      open.m_sent = false;
    }
  }

  // While this daemon has no owner and does not expect one soon, requests end
  // at once instead of waiting, and their callers are told to retry at another
  // daemon. Ends when an owner is set.
  void SetIsolated() {
    if (Connected() || m_isolated) {
      return;
    }
    m_isolated = true;
    for (const std::uint64_t number : OpenNumbers()) {
      Expire(number);
    }
  }

  bool Connected() const { return m_local != nullptr || m_send != nullptr; }

  // Calls `done` once, at most `wait_ms` from now. An unanswered request ends
  // as kUnknown: this or an earlier attempt may have been executed. Without an
  // owner it ends after kWaitForOwnerPercent of the time, less than half, so
  // that the caller can retry before its own deadline; on an isolated daemon it
  // ends at once.
  void Handle(CellRequest request, std::int64_t wait_ms, AnswerDone done) {
    const std::uint64_t number = ++m_last_number;
    OpenRequest& open = m_open[number];
    open.m_request = std::move(request);
    open.m_done = std::move(done);
    const std::int64_t now_ms = m_loop.Now().m_steady_ms;
    open.m_owner_wait_ends_ms = now_ms + wait_ms * kWaitForOwnerPercent / 100;
    open.m_ends_ms = now_ms + std::max<std::int64_t>(1, wait_ms);
    m_deadlines.Add(open.m_owner_wait_ends_ms, number);
    m_deadlines.Add(open.m_ends_ms, number);
    if (m_isolated) {
      Expire(number);
      return;
    }
    Send(number);
  }

  void OnAnswer(std::uint64_t number, CellAnswer answer) {
    const auto found = m_open.find(number);
    if (found == m_open.end()) {
      return;
    }
    const OpenRequest open = std::move(found->second);
    m_open.erase(found);
    m_deadlines.Remove(open.m_owner_wait_ends_ms, number);
    m_deadlines.Remove(open.m_ends_ms, number);
    open.m_done(std::move(answer));
  }

 private:
  struct OpenRequest {
    CellRequest m_request;
    AnswerDone m_done;
    bool m_sent = false;
    // When the request ends if there is no owner, and when it ends in any case;
    // times of the steady clock.
    std::int64_t m_owner_wait_ends_ms = 0;
    std::int64_t m_ends_ms = 0;
  };

  void OnDue(std::uint64_t number) {
    const auto found = m_open.find(number);
    if (found != m_open.end() &&
        (!Connected() || m_loop.Now().m_steady_ms >= found->second.m_ends_ms)) {
      Expire(number);
    }
  }

  std::vector<std::uint64_t> OpenNumbers() const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, open] : m_open) {
      numbers.push_back(number);
    }
    return numbers;
  }

  void SendAll() {
    for (const std::uint64_t number : OpenNumbers()) {
      Send(number);
    }
  }

  void Send(std::uint64_t number) {
    const auto found = m_open.find(number);
    if (found == m_open.end() || found->second.m_sent) {
      return;
    }
    if (m_local) {
      found->second.m_sent = true;
      m_local(found->second.m_request,
              m_guard.Wrap([this, number, epoch = m_epoch](CellAnswer answer) {
                if (epoch == m_epoch) {
                  OnAnswer(number, std::move(answer));
                }
              }));
    } else if (m_send) {
      found->second.m_sent = true;
      LinkMessage message;
      message.m_kind = LinkMessageKind::kRequest;
      message.m_number = number;
      message.m_request = found->second.m_request;
      m_send(message);
    }
  }

  void Expire(std::uint64_t number) {
    if (m_open.count(number) == 0) {
      return;
    }
    CellAnswer answer;
    answer.m_outcome = CellOutcome::kUnknown;
    answer.m_reason = Connected() ? "no_answer_in_time" : "no_owner";
    answer.m_retry_after_ms = kRetryAfterMs;
    answer.m_retry_elsewhere = m_isolated;
    Log(LogLevel::kInfo, LogCategory::kCell, "request_given_up",
        {{"job", m_open.at(number).m_request.m_job},
         {"reason", answer.m_reason},
         {"sent_to_owner", m_open.at(number).m_sent}});
    OnAnswer(number, std::move(answer));
  }

  static constexpr std::int64_t kRetryAfterMs = 1'000;
  static constexpr std::int64_t kWaitForOwnerPercent = 45;

  Loop& m_loop;
  CallbackGuard m_guard;
  LocalOwner m_local;
  SendToOwner m_send;
  // Incremented when an owner is lost, so that its late answers are dropped.
  std::uint64_t m_epoch = 0;
  bool m_isolated = false;
  std::map<std::uint64_t, OpenRequest> m_open;
  // Both deadlines of each open request.
  DeadlineQueue<Loop> m_deadlines;
  std::uint64_t m_last_number = 0;
};

}  // namespace mustardslip
