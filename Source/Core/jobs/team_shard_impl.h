// TeamShard: takeover, periodic steps and closing. Included by team_shard.h
// only.
#pragma once

#include <algorithm>
#include <type_traits>

namespace mustardslip {

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
TeamShard<Store, Groups, ClockType>::TeamShard(std::int64_t shard, Epoch epoch,
                                               Store& store, Groups& groups,
                                               TeamOwnerOptions options,
                                               LimitProvider limits,
                                               const ClockType& clock)
    : m_shard(shard),
      m_epoch(epoch),
      m_options(options),
      m_clock(clock),
      m_limits(limits),
      m_groups(groups),
      m_ledger(shard, epoch, store, options.m_ledger),
      m_records(shard, epoch, store),
      m_jobs(shard, epoch, options.m_jobs, limits),
      m_requests(shard, epoch, options.m_requests) {}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
template <typename Change>
auto TeamShard<Store, Groups, ClockType>::Update(Change change) {
  Deferred deferred;
  const auto run = [&deferred] {
    for (const std::function<void()>& action : deferred) {
      action();
    }
  };
  std::unique_lock lock(m_mutex);
  if constexpr (std::is_void_v<decltype(change(deferred))>) {
    change(deferred);
    ProcessActions(deferred);
    lock.unlock();
    run();
  } else {
    auto result = change(deferred);
    ProcessActions(deferred);
    lock.unlock();
    run();
    return result;
  }
}

// ---------------------------------------------------------------------------
// Takeover, in the order given in docs/design.md 5.1.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::RecoverStep() {
  if (!m_ledger_recovered) {
    const Result<void> sealed =
        m_ledger.Recover(m_clock.UnixMillis() / kMillisPerSecond);
    if (!sealed) {
      Log(LogLevel::kWarning, LogCategory::kJobs, "ledger_recovery_failed",
          {{"shard", m_shard}, {"reason", sealed.error().Reason()}});
      if (sealed.error().Code() == ErrorCode::kStaleEpoch) {
        Close(true);
      }
      return false;
    }
    m_ledger_recovered = true;
  }
  const auto summaries = m_groups.Summaries();
  Update([&](Deferred& deferred) {
    m_jobs.UpdateGroups(summaries);
    SendFences(deferred);
  });
  Result<std::vector<JobRecord>> records = m_records.Recover();
  if (!records) {
    Log(LogLevel::kWarning, LogCategory::kJobs, "job_recovery_failed",
        {{"shard", m_shard}, {"reason", records.error().Reason()}});
    if (records.error().Code() == ErrorCode::kStaleEpoch) {
      Close(true);
    }
    return false;
  }
  Update([&](Deferred&) {
    if (m_state != State::kRecovering) {
      return;
    }
    for (JobRecord& record : *records) {
      m_jobs.Load(std::move(record.m_job), [this](const std::string& mark) {
        return m_ledger.Find(mark);
      });
    }
    m_state = State::kReady;
    for (const EarlyFence& fence : std::exchange(m_early_fences, {})) {
      m_jobs.FenceAnswered(fence.m_group, fence.m_reply, fence.m_sequence,
                           Now());
    }
  });
  Log(LogLevel::kInfo, LogCategory::kJobs, "team_shard_ready",
      {{"shard", m_shard}, {"epoch", m_epoch}, {"jobs", records->size()}});
  return true;
}

// ---------------------------------------------------------------------------
// Periodic steps.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::TickOnce() {
  std::optional<std::vector<GroupSummary>> summaries;
  if (m_clock.Now() >= m_next_summaries) {
    summaries = m_groups.Summaries();
    m_next_summaries = m_clock.Now() + m_options.m_summary_interval;
  }
  Update([&](Deferred& deferred) {
    const Moment moment = Now();
    if (summaries) {
      m_jobs.UpdateGroups(*summaries);
      m_requests.UpdateGroups(m_jobs.Groups().Summaries());
    }
    m_requests.Tick(moment);
    if (m_state == State::kReady) {
      m_jobs.Tick(moment);
    }
    if (m_state != State::kClosed) {
      SendFences(deferred);
    }
    for (auto& [id, waiting] : m_waits.TakeExpired(moment.m_now)) {
      const JobResponder responder = std::move(waiting);
      const Job* job = m_jobs.Find(id);
      deferred.push_back(
          [responder, status = job ? StatusOf(*job) : JobStatus{}] {
            responder(status);
          });
    }
    for (auto& [id, waiting] : m_submissions.TakeExpired(moment.m_now)) {
      const JobResponder responder = std::move(waiting);
      JobStatus status;
      status.m_job = id;
      status.m_outcome = Outcome::kOutcomeUnknown;
      status.m_reason = "store_timeout";
      deferred.push_back([responder, status] { responder(status); });
    }
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::LedgerStepOnce() {
  if (!m_ledger.HasWork()) {
    return false;
  }
  const LedgerStep step = m_ledger.Step();
  Update([&](Deferred& deferred) {
    const Moment moment = Now();
    for (const std::string& id : step.m_committed) {
      m_requests.RecordCommitted(id, moment);
      m_jobs.MarkCommitted(id);
    }
    const Error error(ErrorCode::kUnavailable, "store_unavailable");
    for (const std::string& id : step.m_failed) {
      m_requests.RecordFailed(id, error, moment);
      m_jobs.MarkFailed(id, error, moment);
    }
    if (step.m_superseded) {
      CloseLocked(true, deferred);
    }
  });
  return true;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::ExpireOnce() {
  // A segment may be deleted only after its start marks are in the job records.
  if (Ready() && !m_records.HasWork()) {
    m_ledger.Expire(m_clock.UnixMillis() / kMillisPerSecond);
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::RecordStepOnce() {
  if (!m_records.HasWork()) {
    return false;
  }
  const RecordStep step = m_records.Step();
  const std::size_t prefix = JobPrefix(m_shard).size();
  Update([&](Deferred& deferred) {
    for (const std::string& key : step.m_created) {
      const std::string id = key.substr(prefix);
      m_jobs.Recorded(id);
      const Job* job = m_jobs.Find(id);
      for (JobResponder& responder : m_submissions.Take(id)) {
        deferred.push_back([responder = std::move(responder),
                            status = StatusOf(*job)] { responder(status); });
      }
    }
    for (const auto& [key, error] : step.m_failed) {
      const std::string id = key.substr(prefix);
      JobStatus status;
      status.m_job = id;
      status.m_outcome = Outcome::kNotRun;
      status.m_reason = error.Reason();
      status.m_retry_after_ms = m_options.m_requests.m_retry_after.count();
      m_jobs.Drop(id);
      for (JobResponder& responder : m_submissions.Take(id)) {
        deferred.push_back(
            [responder = std::move(responder), status] { responder(status); });
      }
    }
    if (step.m_superseded) {
      CloseLocked(true, deferred);
    }
  });
  return !step.m_store_down && !step.m_superseded;
}

// ---------------------------------------------------------------------------
// State and shutdown.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::Close(bool superseded) {
  Update([&](Deferred& deferred) { CloseLocked(superseded, deferred); });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::CloseLocked(bool superseded,
                                                      Deferred& deferred) {
  m_state = State::kClosed;
  m_superseded = m_superseded || superseded;
  for (WaitList* list : {&m_waits, &m_submissions}) {
    // A submission may already be in the store; a retry with the same key finds
    // it at the successor.
    for (JobResponder& responder : list->TakeAll()) {
      deferred.push_back([responder = std::move(responder)] {
        responder(Fail(ErrorCode::kNotOwner, "owner_moved"));
      });
    }
  }
  if (superseded) {
    m_requests.Abandon(Now());
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::Abandon() {
  Update([&](Deferred&) { m_requests.Abandon(Now()); });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::Ready() const {
  const std::lock_guard lock(m_mutex);
  return m_state == State::kReady;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::Superseded() const {
  const std::lock_guard lock(m_mutex);
  return m_superseded;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::IsIdle() const {
  const std::lock_guard lock(m_mutex);
  return m_requests.Open() == 0 && m_calls_in_flight == 0 &&
         !m_ledger.HasWork() && !m_records.HasWork();
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
std::size_t TeamShard<Store, Groups, ClockType>::InFlight() const {
  const std::lock_guard lock(m_mutex);
  return m_requests.Open() + m_submissions.Size() + m_waits.Size();
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<void> TeamShard<Store, Groups, ClockType>::CheckReady() const {
  switch (m_state) {
    case State::kReady:
      return {};
    case State::kRecovering:
      return Fail(ErrorCode::kUnavailable, "recovering");
    default:
      return Fail(ErrorCode::kNotOwner, "owner_moved");
  }
}

}  // namespace mustardslip

#include "jobs/team_shard_calls.h"
