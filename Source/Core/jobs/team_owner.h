// The owner of a team shard: queue, limits, job records and ledger of the
// teams in one hash bucket. Runs the TeamShard steps on three threads.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "jobs/team_shard.h"

namespace mustardslip {

// Thread-safe. Callbacks run on any thread and must not block. A call
// that fails with kNotOwner or kUnavailable had no effect; the caller retries
// at the current owner of the shard.
template <KeyValueStore Store, GroupChannel Groups,
          Clock ClockType = SystemClock>
class TeamOwner {
 public:
  // `limits` returns a team's upper limit, or nullopt if the configuration has
  // no such team. It is called often, under a lock, and must not block.
  TeamOwner(std::int64_t shard, Epoch epoch, Store& store, Groups& groups,
            TeamOwnerOptions options, LimitProvider limits,
            const ClockType& clock = ClockType())
      : m_options(options),
        m_clock(clock),
        m_shard(shard, epoch, store, groups, options, std::move(limits),
                m_clock) {}
  ~TeamOwner() { Stop(false); }

  TeamOwner(const TeamOwner&) = delete;
  TeamOwner& operator=(const TeamOwner&) = delete;

  // Starts the takeover; Ready() returns true once it is complete.
  void Start();
  // Blocks. If `graceful`, waits up to the drain timeout for requests in flight
  // and pending writes; queued work is left to the successor. Otherwise the
  // owner was superseded, and stops immediately.
  void Stop(bool graceful);
  bool Ready() const { return m_shard.Ready(); }
  // True once a successor's epoch was seen; the caller must then call
  // Stop(false).
  bool Superseded() const { return m_shard.Superseded(); }
  // The number of unanswered requests, submissions and waits.
  std::size_t InFlight() const { return m_shard.InFlight(); }

  void SubmitJob(SubmitJobRequest request, JobResponder done) {
    m_shard.SubmitJob(std::move(request), std::move(done));
    Wake();
  }
  Result<JobStatus> LookupJob(const JobRequest& request) {
    return m_shard.LookupJob(request);
  }
  void WaitJob(const JobRequest& request, JobResponder done) {
    m_shard.WaitJob(request, std::move(done));
  }
  Result<JobStatus> CancelJob(const JobRequest& request) {
    Result<JobStatus> status = m_shard.CancelJob(request);
    Wake();
    return status;
  }
  // Returns a JSON text that explains why the job waits or can never run.
  Result<std::string> ExplainJob(const JobRequest& request) {
    return m_shard.ExplainJob(request);
  }
  void ServiceRequest(ServiceCall call, std::string body,
                      ServiceResponder done) {
    const bool needs_record = !call.m_idempotent;
    m_shard.ServiceRequest(std::move(call), std::move(body), std::move(done));
    if (needs_record) {
      Wake();
    }
  }
  // Idempotent. A successful result acknowledges the events.
  Result<void> OnTaskEvents(const TaskEventsRequest& events) {
    Result<void> result = m_shard.OnTaskEvents(events);
    Wake();
    return result;
  }

 private:
  // Wakes the ledger and record threads if they wait for work.
  void Wake();
  // Sleeps for `time`, or until the next Wake() if `until_wake`. Returns false
  // if the owner is stopping.
  bool Sleep(Milliseconds time, bool until_wake);
  void RunMain();
  void RunLedger();
  void RunRecords();
  void Drain();

  const TeamOwnerOptions m_options;
  const ClockType m_clock;
  TeamShard<Store, Groups, ClockType> m_shard;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_wake_count = 0;  // Guarded by m_mutex.
  bool m_stopping = false;         // Guarded by m_mutex.
  std::thread m_main;
  std::thread m_ledger;
  std::thread m_records;
};

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::Start() {
  m_main = std::thread([this] { RunMain(); });
  m_ledger = std::thread([this] { RunLedger(); });
  m_records = std::thread([this] { RunRecords(); });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::Stop(bool graceful) {
  m_shard.Close(!graceful);
  if (graceful && m_main.joinable()) {
    Drain();
  }
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  for (std::thread* thread : {&m_main, &m_ledger, &m_records}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  m_shard.Abandon();
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::Drain() {
  const TimePoint ends =
      std::chrono::steady_clock::now() + m_options.m_drain_timeout;
  while (!m_shard.IsIdle() && std::chrono::steady_clock::now() < ends) {
    Sleep(m_options.m_tick_interval, false);
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::Wake() {
  {
    const std::lock_guard lock(m_mutex);
    m_wake_count++;
  }
  m_changed.notify_all();
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamOwner<Store, Groups, ClockType>::Sleep(Milliseconds time,
                                                bool until_wake) {
  std::unique_lock lock(m_mutex);
  const std::uint64_t wakes = m_wake_count;
  m_changed.wait_for(lock, time, [&] {
    return m_stopping || (until_wake && m_wake_count != wakes);
  });
  return !m_stopping;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::RunMain() {
  while (!m_shard.RecoverStep()) {
    if (m_shard.Superseded() || !Sleep(m_options.m_store_retry_delay, false)) {
      return;
    }
  }
  do {
    m_shard.TickOnce();
  } while (Sleep(m_options.m_tick_interval, false));
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::RunLedger() {
  TimePoint next_expiry =
      std::chrono::steady_clock::now() + m_options.m_expire_interval;
  while (true) {
    const bool wrote = m_shard.LedgerStepOnce();
    // After an idle step Wake() ends the sleep early, so that the first request
    // after an idle period is not delayed.
    if (!Sleep(kLedgerWriteInterval, !wrote)) {
      return;
    }
    if (std::chrono::steady_clock::now() >= next_expiry) {
      m_shard.ExpireOnce();
      next_expiry += m_options.m_expire_interval;
    }
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamOwner<Store, Groups, ClockType>::RunRecords() {
  while (true) {
    const bool wrote = m_shard.RecordStepOnce();
    const bool keeps_going = wrote ? Sleep(m_options.m_record_interval, false)
                                   : Sleep(m_options.m_store_retry_delay, true);
    if (!keeps_going) {
      return;
    }
  }
}

}  // namespace mustardslip
