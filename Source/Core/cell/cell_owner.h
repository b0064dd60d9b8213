// Runs a CellCore while this daemon owns the cell: loads the log, passes events
// to the core, writes its batches to the log and executes its effects. CellNode
// creates one for each period of ownership.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/advice_queue.h"
#include "cell/cell_core.h"
#include "cell/cell_platform.h"
#include "cell/cell_request.h"
#include "cell/decision_log.h"
#include "cell/link_budget.h"
#include "cell/link_share.h"
#include "cell/owner_log.h"
#include "cell/ownership.h"
#include "cell/prefix_feed.h"
#include "cell/submission_queue.h"
#include "cell/vm_poller.h"
#include "cell/work_meter.h"
#include "cell/zone_feed.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

// Decodes an entry of the platform's VM list; nullopt if it names no usable VM.
using VmDecoder =
    std::function<std::optional<VmDescription>(const StoreItem& item)>;

struct CellOwnerOptions {
  CellBounds m_bounds;
  CellFeatures m_features;
  // Key prefix of the platform's VM list in the store.
  std::string m_vm_prefix;
  VmDecoder m_decode_vm;
  ZoneFeedOptions m_zones;
  // Maximum number of VMs with a long-polling call; each call uses a file
  // descriptor.
  std::size_t m_max_long_polls = 2'000;
  // Rate of this daemon's link; 0 for one that is never full.
  std::int64_t m_link_bytes_per_ms = 0;
  // How long what was sent still waits for the link, in milliseconds; empty if
  // it never does.
  std::function<std::int64_t()> m_link_backlog_ms;
};

template <AsyncStore Store, TimerLoop Loop, VmControl Vms,
          AdviceService AdvicePort>
class CellOwner {
 public:
  using AnswerDone = std::function<void(CellAnswer)>;
  // Forwards a call to the advice service to another daemon.
  using ForwardAdviceCall = std::function<void(
      std::uint64_t daemon, std::uint64_t number, const AdviceRequest&)>;

  struct Handlers {
    std::function<void()> m_on_ready;
    std::function<void()> m_on_superseded;
    // The store accepts no writes from this daemon. Repeated every
    // kStuckReportIntervalMs while this lasts.
    std::function<void()> m_on_store_stuck;
    // Passes true if no other daemon has owned the cell up to now.
    std::function<void(std::function<void(bool)>)> m_verify;
    ForwardAdviceCall m_forward_advice_call;
  };

  CellOwner(Store& store, Loop& loop, Vms& vms, AdvicePort& advice,
            CellOwnerOptions options, const OwnerRecord& owner,
            Handlers handlers)
      : m_loop(loop),
        m_vms(vms),
        m_advice(advice),
        m_options(std::move(options)),
        m_owner(owner),
        m_handlers(std::move(handlers)),
        m_link(m_options.m_link_bytes_per_ms),
        m_link_budget(m_options.m_link_bytes_per_ms),
        m_submissions(m_link.MaxBatchBytes()),
        m_core(m_options.m_bounds, m_options.m_features),
        m_log(store, loop, m_link),
        m_holder(vms, loop, m_core, owner.m_revision,
                 {[this] { SchedulePump(); }, [this] { Superseded(); }},
                 m_options.m_max_long_polls),
        m_vm_feed(store, loop, m_options.m_vm_prefix, kVmWatchMs, VmHandlers()),
        m_advice_queue(m_options.m_features.m_short_advice_lane) {
    m_advice_queue.AddDaemon(kThisDaemon);
    if (m_options.m_zones.Enabled()) {
      m_zone_feed.emplace(store, loop, m_core, m_options.m_zones,
                          [this] { SchedulePump(); });
    }
    m_log.OnSuperseded([this] { Superseded(); });
  }

  ~CellOwner() { LogAbandonedStarts(m_open_starts, m_owner.m_revision); }

  CellOwner(const CellOwner&) = delete;
  CellOwner& operator=(const CellOwner&) = delete;

  void Start() {
    m_started_ms = m_loop.Now().m_steady_ms;
    // The store confirmed the ownership just before this call.
    m_last_renewal_ms = m_started_ms;
    m_log.Load(m_owner.m_revision,
               [this](auto loaded) { OnLoaded(std::move(loaded)); });
    if (m_zone_feed) {
      m_zone_feed->Start();
    }
  }

  bool Ready() const { return m_ready; }

  void OnRules(const CellRules& rules) {
    m_core.OnRules(rules, m_loop.Now());
    SchedulePump();
  }

  // Requires Ready().
  void Handle(CellRequest request, AnswerDone done) {
    const std::uint64_t token = ++m_last_token;
    m_pending_requests[token] = {std::move(done), request.m_method,
                                 request.m_job};
    const CellTime now = m_loop.Now();
    if (request.m_method != CellMethod::kSubmit) {
      if (auto waiting = m_submissions.Take(request.m_job)) {
        m_core.Submit(waiting->m_token, std::move(waiting->m_spec), now);
      }
    }
    switch (request.m_method) {
      case CellMethod::kSubmit:
        Submit(token, std::move(request.m_spec));
        break;
      case CellMethod::kCancel:
        m_core.Cancel(token, request.m_queue, request.m_job, now);
        break;
      case CellMethod::kLookup:
        m_core.Lookup(token, request.m_queue, request.m_job);
        break;
      case CellMethod::kCount:
        m_core.CountWaiting(token, request.m_queue);
        break;
      case CellMethod::kExplain:
        m_core.Explain(token, std::move(request.m_spec), now);
        break;
    }
    SchedulePump();
  }

  // Daemons to which calls to the advice service can be forwarded.
  void AddDaemon(std::uint64_t daemon) { m_advice_queue.AddDaemon(daemon); }
  void RemoveDaemon(std::uint64_t daemon) {
    FailAdviceCalls(m_advice_queue.RemoveDaemon(daemon));
  }
  void OnRemoteAdvice(std::uint64_t daemon, std::uint64_t number,
                      AdviceAnswer answer) {
    if (auto call = m_advice_queue.Finish(daemon, number)) {
      // What was asked is not taken from the answer, which may be malformed.
      answer.m_step = std::move(call->m_step);
      answer.m_asked = std::move(call->m_vms);
      LogAdvice(answer);
      m_core.OnAdvice(answer, m_loop.Now());
      SchedulePump();
    }
  }

  // The store confirmed a lease renewal sent at this steady-clock time.
  void OnLeaseRenewed(std::int64_t sent_ms) {
    m_last_renewal_ms = std::max(m_last_renewal_ms, sent_ms);
  }

  // True if no log write is in progress and no record waits for one, so that
  // the cell can be given up without leaving callers with an unknown outcome.
  bool Idle() const {
    return !m_log.Writing() && !m_core.HasOpenBatch() && m_submissions.Empty();
  }

  const OwnerRecord& Record() const { return m_owner; }
  const CellCore& Core() const { return m_core; }
  // The time that this owner has spent so far.
  const WorkMeter& Work() const { return m_work; }

 private:
  static constexpr std::uint64_t kThisDaemon = 0;
  static constexpr std::int64_t kTickMs = 40;
  static constexpr std::int64_t kVmWatchMs = 1'000;
  // Minimum time between two log writes: each write is billed, and a larger
  // batch costs no more.
  static constexpr std::int64_t kCommitIntervalMs = 30;
  // While a log write takes longer than this, advice is requested at this
  // interval.
  static constexpr std::int64_t kAdvicePrefetchMs = 40;
  // Pause after such a pass, as a multiple of the time that it took: on a small
  // processor the passes would delay the write that they wait for.
  static constexpr std::int64_t kPrefetchPause = 4;
  static constexpr std::int64_t kStuckReportIntervalMs = 1'000;
  static constexpr std::int64_t kRetryUnconfirmedMs = 1'000;
  // A log write pending for longer than this means that the store accepts none.
  static constexpr std::int64_t kStoreStalledMs = 700;
  static constexpr std::int64_t kRetryWhenOverloadedMs = 1'000;
  // Nothing is written or started while more than this waits for the link, for
  // at most the second time; checked at the third.
  static constexpr std::int64_t kMaxLinkBacklogMs = 60;
  static constexpr std::int64_t kMaxLinkWaitMs = 500;
  static constexpr std::int64_t kLinkCheckMs = 10;

  struct PendingRequest {
    AnswerDone m_done;
    CellMethod m_method = CellMethod::kLookup;
    std::string m_job;
  };

  // --- Recovery ---

  void OnLoaded(typename OwnerLog<Store, Loop>::Loaded loaded) {
    for (const LogRecord& record : loaded.m_records) {
      m_core.Replay(record);
    }
    m_core.OnRecovered(m_loop.Now());
    Log(LogLevel::kInfo, LogCategory::kLedger, "log_loaded",
        {{"segments", loaded.m_segments},
         {"records", loaded.m_records.size()},
         {"bytes", loaded.m_bytes},
         {"obsolete_bytes", loaded.m_obsolete_bytes},
         {"jobs", m_core.State().Jobs().size()},
         {"active_jobs", m_core.State().ActiveJobs().size()},
         {"configuration", m_core.RulesVersion()},
         {"took_ms", m_loop.Now().m_steady_ms - m_started_ms}});
    m_vm_feed.Start();
  }

  typename PrefixFeed<Store, Loop>::Handlers VmHandlers() {
    typename PrefixFeed<Store, Loop>::Handlers handlers;
    handlers.m_on_item = [this](const StoreItem& item) { OnVmItem(item); };
    handlers.m_on_deleted = [this](const std::string& key) {
      OnVmRemoved(key);
    };
    handlers.m_on_listed = [this](const std::set<std::string>& keys) {
      OnVmsListed(keys);
    };
    return handlers;
  }

  void OnVmItem(const StoreItem& item) {
    const auto vm = m_options.m_decode_vm(item);
    if (!vm) {
      OnVmRemoved(item.m_key);
      return;
    }
    m_vm_of_key[item.m_key] = vm->m_incarnation.m_id;
    m_core.OnVmListed(*vm, m_loop.Now());
    SchedulePump();
  }

  void OnVmRemoved(const std::string& key) {
    const auto found = m_vm_of_key.find(key);
    if (found != m_vm_of_key.end()) {
      m_core.OnVmUnlisted(found->second, m_loop.Now());
      m_vm_of_key.erase(found);
    }
  }

  void OnVmsListed(const std::set<std::string>& keys) {
    std::vector<std::string> removed;
    for (const auto& [key, id] : m_vm_of_key) {
      if (keys.count(key) == 0) {
        removed.push_back(key);
      }
    }
    for (const std::string& key : removed) {
      OnVmRemoved(key);
    }
    if (m_zone_feed) {
      m_zone_feed->OnVmsListed();
    }
    if (!m_ready) {
      m_ready = true;
      Tick();
      m_handlers.m_on_ready();
    }
  }

  // --- Submissions ---

  void Submit(std::uint64_t token, WorkflowSpec spec) {
    // Without a store the core refuses new jobs.
    if (m_core.State().FindJob(spec.m_id) == nullptr &&
        m_core.StoreWritable()) {
      if (m_submissions.Full() ||
          m_link_budget.Exhausted(m_loop.Now().m_steady_ms)) {
        m_core.Refuse(token, "overloaded", kRetryWhenOverloadedMs);
        return;
      }
      m_link_budget.Spend(spec);
    }
    m_submissions.Push(token, std::move(spec));
  }

  // Accepts what the next log write has room for.
  void TakeSubmissions(const CellTime& now) {
    // Without a store the core refuses them, whatever waits for a write.
    while (auto next = m_submissions.Pop(
               m_core.StoreWritable() ? m_core.OpenBatchBytes() : 0)) {
      m_core.Submit(next->m_token, std::move(next->m_spec), now);
    }
  }

  // True if what is sent now would wait behind what was sent before. Not for
  // long: calls that the owner does not control use the link too.
  bool LinkIsBusy(const CellTime& now) const {
    return m_options.m_link_backlog_ms &&
           m_options.m_link_backlog_ms() > kMaxLinkBacklogMs &&
           now.m_steady_ms - m_last_commit_ms < kMaxLinkWaitMs;
  }

  // --- Time ---

  void Tick() {
    const CellTime now = m_loop.Now();
    m_core.OnTick(now);
    FailAdviceCalls(m_advice_queue.TakeTimedOut(now.m_steady_ms));
    const bool reached_store =
        now.m_steady_ms - std::max(m_log.LastAnswerMs(), m_last_renewal_ms) <
        kRenewWithoutStoreMs;
    m_holder.OnTick(reached_store);
    const bool stuck = m_log.Stuck();
    m_core.SetStoreWritable(!stuck && m_log.StalledMs() < kStoreStalledMs);
    if (stuck &&
        now.m_steady_ms - m_stuck_reported_ms >= kStuckReportIntervalMs) {
      m_stuck_reported_ms = now.m_steady_ms;
      m_handlers.m_on_store_stuck();
    }
    Pump();
    Later(kTickMs, [this] { Tick(); });
  }

  void SchedulePump() {
    if (m_pump_pending || !m_ready) {
      return;
    }
    m_pump_pending = true;
    Later(0, [this] {
      m_pump_pending = false;
      Pump();
    });
  }

  void Pump() {
    const CellTime now = m_loop.Now();
    TakeSubmissions(now);
    ExecuteEffects();
    const std::int64_t wait_ms =
        m_last_commit_ms + kCommitIntervalMs - now.m_steady_ms;
    if (m_log.Writing()) {
      // Uses the wait for a slow store to fetch advice for the next batch.
      if (m_log.StalledMs() >= kAdvicePrefetchMs &&
          now.m_steady_ms >= m_next_prefetch_ms) {
        PrefetchAdvice(now);
      }
      return;
    }
    if (wait_ms > 0) {
      CommitLater(wait_ms);
      return;
    }
    if (LinkIsBusy(now)) {
      CommitLater(kLinkCheckMs);
      return;
    }
    {
      const ScopedTimer timer(m_work.Spent(WorkKind::kSchedule));
      m_core.Schedule(now, m_advice_queue.FreeCalls(), m_link.MaxStartBytes());
    }
    ExecuteEffects();
    if (m_core.HasOpenBatch()) {
      Commit(now);
    }
  }

  void PrefetchAdvice(const CellTime& now) {
    {
      const ScopedTimer timer(m_work.Spent(WorkKind::kSchedule));
      m_core.RequestAdviceAhead(now, m_advice_queue.FreeCalls());
    }
    ExecuteEffects();
    const std::int64_t ended_ms = m_loop.Now().m_steady_ms;
    m_next_prefetch_ms =
        ended_ms + std::max(kAdvicePrefetchMs,
                            kPrefetchPause * (ended_ms - now.m_steady_ms));
  }

  void CommitLater(std::int64_t wait_ms) {
    if (m_commit_pending) {
      return;
    }
    m_commit_pending = true;
    Later(wait_ms, [this] {
      m_commit_pending = false;
      Pump();
    });
  }

  void Commit(const CellTime& now) {
    const ScopedTimer timer(m_work.Spent(WorkKind::kWrite));
    m_last_commit_ms = now.m_steady_ms;
    const std::vector<LogRecord>& batch = m_core.BeginBatch();
    std::shared_ptr<std::vector<LogRecord>> snapshot;
    if (m_log.SnapshotDue()) {
      // The state that will hold once this batch is durable.
      snapshot =
          std::make_shared<std::vector<LogRecord>>(m_core.State().Snapshot());
    }
    m_log.Append(EncodeRecords(batch), [this, snapshot] {
      if (snapshot) {
        m_log.WriteSnapshot(*snapshot);
      }
      LogDecisions(m_core.BatchInFlight());
      m_core.OnDurable(m_loop.Now(), m_log.LastRevision());
      // Executed at once because starts wait for durability.
      ExecuteEffects();
      SchedulePump();
    });
  }

  // --- Effects ---

  void ExecuteEffects() {
    for (Effect& effect : m_core.TakeEffects()) {
      std::visit([this](auto& one) { this->Execute(one); }, effect);
    }
  }

  void Execute(StartRun& start) {
    const OpenStart open{start.m_task, start.m_run, start.m_vm.m_id};
    const std::int64_t sent_ms = m_loop.Now().m_steady_ms;
    const Revision fence = FenceOf(start.m_vm);
    m_open_starts.insert(open);
    m_vms.Start(start, fence,
                m_guard.Wrap([this, open, fence, sent_ms](StartAnswer answer) {
                  m_open_starts.erase(open);
                  OnStartAnswer(std::move(answer), fence, sent_ms);
                }));
  }

  // The fence of calls to the VM, whatever incarnation they are meant for.
  Revision FenceOf(const VmIncarnation& vm) const {
    return std::max(m_owner.m_revision, m_core.RaisedFence(vm.m_id));
  }

  void OnStartAnswer(StartAnswer answer, Revision fence, std::int64_t sent_ms) {
    if (answer.m_outcome == StartOutcome::kSuperseded) {
      if (fence == FenceOf(answer.m_vm)) {
        Superseded();
        return;
      }
      // Refused because of this owner's own, higher fence.
      answer.m_outcome = StartOutcome::kRefused;
    }
    const CellTime now = m_loop.Now();
    LogStartAnswer(answer, fence, now.m_steady_ms - sent_ms);
    m_core.OnStartAnswer(answer, now);
    SchedulePump();
  }

  void Execute(StopRun& stop) {
    LogStop(stop);
    m_vms.Stop(
        stop, FenceOf(stop.m_vm),
        m_guard.Wrap([this, stop](const Result<std::int64_t>& vm_ms) {
          // A failed stop is repeated until the VM reports the run's
          // end.
          if (vm_ms) {
            m_core.OnStopAnswer({stop.m_task, stop.m_run, stop.m_vm, *vm_ms});
          }
        }));
  }

  void Execute(AdviceRequest& ask) {
    const auto assignment =
        m_advice_queue.Assign(ask, m_loop.Now().m_steady_ms);
    if (!assignment) {
      FailAdviceCalls({ask});
      return;
    }
    if (assignment->m_daemon != kThisDaemon) {
      m_handlers.m_forward_advice_call(assignment->m_daemon,
                                       assignment->m_number, ask);
      return;
    }
    m_advice.Ask(ask, m_guard.Wrap([this, number = assignment->m_number](
                                       AdviceAnswer answer) {
      OnRemoteAdvice(kThisDaemon, number, std::move(answer));
    }));
  }

  void Execute(JobFailure& failure) {
    LogJobFailure(failure, m_owner.m_revision);
  }

  void Execute(const GangDelay& delay) { LogGangDelay(delay); }

  void Execute(const VmSpeedChange& change) { LogVmSpeed(change); }
  void Execute(const ContentionChange& change) { LogContention(change); }
  void Execute(const RunNotListed& run) { LogRunNotListed(run); }
  void Execute(const QueueMoved& move) {
    LogQueueMoved(move, m_owner.m_revision);
  }

  void Execute(ReplyToCaller& reply) {
    const auto found = m_pending_requests.find(reply.m_token);
    if (found == m_pending_requests.end()) {
      return;
    }
    const PendingRequest pending = std::move(found->second);
    m_pending_requests.erase(found);
    if (reply.m_answer.m_outcome == CellOutcome::kRefused) {
      Log(LogLevel::kInfo, LogCategory::kCell, "job_refused",
          {{"job", pending.m_job}, {"reason", reply.m_answer.m_reason}});
    }
    if (reply.m_answer.m_outcome == CellOutcome::kNotFound) {
      ReplyIfStillOwner(pending.m_done, reply.m_answer);
      return;
    }
    pending.m_done(std::move(reply.m_answer));
  }

  // A successor may have accepted the job in the meantime: an owner that was
  // suspended, or that asked for a successor, must not answer that the job does
  // not exist.
  void ReplyIfStillOwner(const AnswerDone& done, CellAnswer answer) {
    m_handlers.m_verify(m_guard.Wrap([done, answer](bool owns) mutable {
      if (!owns) {
        answer.m_outcome = CellOutcome::kUnknown;
        answer.m_reason = "ownership_unconfirmed";
        answer.m_retry_after_ms = kRetryUnconfirmedMs;
      }
      done(answer);
    }));
  }

  void FailAdviceCalls(const std::vector<AdviceRequest>& calls) {
    for (const AdviceRequest& call : calls) {
      AdviceAnswer failed;
      failed.m_step = call.m_step;
      failed.m_asked = call.m_vms;
      LogAdvice(failed);
      m_core.OnAdvice(failed, m_loop.Now());
    }
  }

  void Superseded() {
    if (m_superseded) {
      return;
    }
    m_superseded = true;
    Later(0, [this] { m_handlers.m_on_superseded(); });
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_loop.After(ms, m_guard.Wrap(std::move(task)));
  }

  Loop& m_loop;
  Vms& m_vms;
  AdvicePort& m_advice;
  const CellOwnerOptions m_options;
  const OwnerRecord m_owner;
  const Handlers m_handlers;
  CallbackGuard m_guard;
  WorkMeter m_work;
  const LinkShare m_link;
  LinkBudget m_link_budget;
  SubmissionQueue m_submissions;
  CellCore m_core;
  OwnerLog<Store, Loop> m_log;
  VmPoller<Vms, Loop> m_holder;
  PrefixFeed<Store, Loop> m_vm_feed;
  // Only where the deployment evacuates zones.
  std::optional<ZoneFeed<Store, Loop>> m_zone_feed;
  AdviceQueue m_advice_queue;
  std::map<std::string, std::string> m_vm_of_key;
  std::map<std::uint64_t, PendingRequest> m_pending_requests;
  std::set<OpenStart> m_open_starts;
  std::uint64_t m_last_token = 0;
  bool m_ready = false;
  bool m_superseded = false;
  bool m_pump_pending = false;
  bool m_commit_pending = false;
  std::int64_t m_started_ms = 0;
  std::int64_t m_last_commit_ms = 0;
  std::int64_t m_next_prefetch_ms = 0;
  std::int64_t m_last_renewal_ms = 0;
  std::int64_t m_stuck_reported_ms = 0;
};

}  // namespace mustardslip
