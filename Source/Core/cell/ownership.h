// Leader election for the cell: the owner is the daemon named in one leased
// record in the store. CellNode runs one Ownership per daemon.
//
// A daemon takes the record when it is absent, or when the process named in it
// is known to be dead (its address refuses connections, or another process
// answers there). Safety does not depend on that detection: the record's
// revision fences the log, and each VM rejects calls with an older fence.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/async_store.h"
#include "cell/owner_log.h"
#include "cell/owner_record.h"
#include "cell/prefix_feed.h"
#include "cell/timer_loop.h"
#include "common/callback_guard.h"
#include "common/logger.h"

namespace mustardslip {

struct OwnershipOptions {
  std::string m_instance;
  std::string m_address;
  // Lease of the record: how long it outlives the owner's last renewal.
  std::int64_t m_lease_ms = 2'000;
  // CPU available to this daemon, in thousandths of a core. Daemons with less
  // than earlier owners wait before they take a free record, since loading the
  // log and serving the cell uses all the CPU of a small one.
  std::int64_t m_cpu_millis = 0;
  // Added to the candidacy delay, so that daemons don't all write at once.
  std::int64_t m_candidacy_jitter_ms = 0;
};

template <AsyncStore Store, TimerLoop Loop>
class Ownership {
 public:
  struct Handlers {
    // This daemon has acquired the cell.
    std::function<void(const OwnerRecord&)> m_on_acquired;
    // This daemon has lost or given up the cell.
    std::function<void()> m_on_lost;
    // Another daemon owns the cell, or none does (nullopt).
    std::function<void(const std::optional<OwnerRecord>&)> m_on_owner_changed;
  };

  Ownership(Store& store, Loop& loop, OwnershipOptions options,
            Handlers handlers)
      : m_store(store),
        m_loop(loop),
        m_options(std::move(options)),
        m_handlers(std::move(handlers)),
        m_feed(store, loop, std::string(kOwnerKey), kWatchMs, FeedHandlers()) {}

  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  void Start() { m_feed.Start(); }

  bool Owns() const { return m_owned.has_value(); }

  // Reports that the process named in the record of this revision is dead.
  void OnOwnerDead(Revision revision) {
    if (m_record && m_record->m_revision == revision && !m_owned) {
      m_replaceable_revision = revision;
      BecomeCandidate(CandidacyDelayMs());
    }
  }

  // The owner of this revision asks for a successor. Only daemons that reach
  // the store try to take over, once and within kYieldValidMs: if the store is
  // down for all daemons, the owner stays.
  void OnTakeoverRequested(Revision revision) {
    if (!m_record || m_record->m_revision != revision || m_owned ||
        m_feed.Failing()) {
      return;
    }
    m_replaceable_revision = revision;
    m_yielded_revision = revision;
    BecomeCandidate(CandidacyDelayMs());
    Later(kYieldValidMs, [this, revision] {
      if (m_replaceable_revision == revision && !m_owned) {
        m_replaceable_revision = 0;
      }
    });
  }

  // Reads the record and passes true to `done` if it is still this daemon's: no
  // other daemon has then owned the cell up to the time of this call. Calls
  // made while a read is in progress share the next read.
  void Verify(std::function<void(bool)> done) {
    m_verifications.push_back(std::move(done));
    if (!m_verifying) {
      ReadRecord();
    }
  }

  // Called when a log write or a VM shows that another daemon owns the cell.
  void OnSuperseded() { LoseOwnership("superseded"); }

  // Gives up the cell so that another daemon can take it at once, and stops
  // being a candidate for good.
  void Resign() {
    m_resigned = true;
    if (m_owned) {
      LoseOwnership("resigned");
    }
    if (m_lease != 0) {
      m_store.EndLease(m_lease, [](Result<bool>) {});
      m_lease = 0;
    }
  }

  // Steady-clock time at which the last confirmed renewal was sent.
  std::int64_t LastConfirmedRenewalMs() const { return m_confirmed_ms; }

 private:
  static constexpr std::int64_t kWatchMs = 3'000;
  static constexpr std::int64_t kRetryMs = 100;
  // Renewals sent per lease period.
  static constexpr std::int64_t kRenewalsPerLease = 4;
  static constexpr int kMaxPendingRenewals = 4;
  static constexpr std::int64_t kCommitTimeoutMs = 600;
  static constexpr std::int64_t kYieldValidMs = 900;
  static constexpr std::int64_t kMillisPerCore = 1'000;
  // A process that was killed is back within about a second: a daemon that
  // knows of an owner with more CPU waits for that, since it takes several
  // seconds to load the log and may have to hand the cell over again.
  static constexpr std::int64_t kMsPerMissingCore = 2'500;
  // The same before the first record was read, and the CPU assumed of an owner.
  static constexpr std::int64_t kMsPerMissingCoreUnknown = 500;
  static constexpr std::int64_t kDefaultCpuMillis = 500;

  typename PrefixFeed<Store, Loop>::Handlers FeedHandlers() {
    typename PrefixFeed<Store, Loop>::Handlers handlers;
    handlers.m_on_item = [this](const StoreItem& item) {
      if (item.m_key == kOwnerKey) {
        OnRecord(item);
      }
    };
    handlers.m_on_deleted = [this](const std::string& key) {
      if (key == kOwnerKey) {
        OnAbsent();
      }
    };
    handlers.m_on_listed = [this](const std::set<std::string>& keys) {
      if (keys.count(std::string(kOwnerKey)) == 0) {
        OnAbsent();
      }
    };
    return handlers;
  }

  void OnRecord(const StoreItem& item) {
    // Stale list result, older than this daemon's own write.
    if (item.m_revision < m_newest_revision) {
      return;
    }
    m_newest_revision = item.m_revision;
    auto owner = DecodeOwner(item);
    if (!owner) {
      Log(LogLevel::kError, LogCategory::kMembership, "owner_record_unreadable",
          {{"revision", item.m_revision}});
      // No process owns it, so any daemon may replace this revision.
      m_record = OwnerRecord{"", "", 0, item.m_revision};
      m_replaceable_revision = item.m_revision;
      BecomeCandidate(CandidacyDelayMs());
      return;
    }
    m_record = owner;
    m_max_owner_cpu_millis =
        std::max(m_max_owner_cpu_millis.value_or(0), owner->m_cpu_millis);
    if (m_owned) {
      if (owner->m_revision != m_owned->m_revision) {
        LoseOwnership("another_owner");
      }
      return;
    }
    if (owner->m_instance == m_options.m_instance) {
      // This daemon's own write; its answer is pending or was lost.
      if (m_lease != 0 && !m_resigned) {
        Acquire(owner->m_revision);
      }
      return;
    }
    m_handlers.m_on_owner_changed(m_record);
    if (owner->m_address == m_options.m_address) {
      // An earlier process at this daemon's address.
      OnOwnerDead(owner->m_revision);
    }
  }

  void OnAbsent() {
    if (m_owned) {
      LoseOwnership("record_gone");
      return;
    }
    m_record.reset();
    m_handlers.m_on_owner_changed(std::nullopt);
    BecomeCandidate(CandidacyDelayMs());
  }

  std::int64_t CandidacyDelayMs() const {
    const std::int64_t missing_millis = std::max<std::int64_t>(
        0, m_max_owner_cpu_millis.value_or(kDefaultCpuMillis) -
               m_options.m_cpu_millis);
    const std::int64_t ms_per_core =
        m_max_owner_cpu_millis ? kMsPerMissingCore : kMsPerMissingCoreUnknown;
    return missing_millis * ms_per_core / kMillisPerCore +
           m_options.m_candidacy_jitter_ms;
  }

  void BecomeCandidate(std::int64_t delay_ms) {
    if (m_candidate || m_resigned) {
      return;
    }
    m_candidate = true;
    Later(delay_ms, [this] { RequestLease(); });
  }

  bool RecordReplaceable() const {
    return !m_record || m_record->m_revision == m_replaceable_revision;
  }

  void EndCandidacy() {
    m_candidate = false;
    if (m_lease != 0) {
      m_store.EndLease(m_lease, [](Result<bool>) {});
      m_lease = 0;
    }
  }

  void RequestLease() {
    if (m_owned || m_resigned || !RecordReplaceable()) {
      EndCandidacy();
      return;
    }
    m_store.GrantLease(m_options.m_lease_ms, m_guard.Wrap([this](auto lease) {
      if (!lease) {
        if (m_record && m_record->m_revision == m_yielded_revision) {
          EndCandidacy();  // The owner repeats its request if needed.
          return;
        }
        m_lease_request_failed = true;
        Later(kRetryMs, [this] { RequestLease(); });
        return;
      }
      m_lease = *lease;
      m_confirmed_ms = m_loop.Now().m_steady_ms;
      if (std::exchange(m_lease_request_failed, false)) {
        // The store may have recovered for all daemons at once.
        Later(CandidacyDelayMs(), [this] { WriteRecord(); });
        return;
      }
      WriteRecord();
    }));
  }

  void WriteRecord() {
    if (m_owned || !RecordReplaceable()) {
      EndCandidacy();
      return;
    }
    StoreTransaction transaction;
    transaction.m_expected = {
        {std::string(kOwnerKey), m_record ? m_record->m_revision : 0}};
    transaction.m_puts = {
        {std::string(kOwnerKey),
         EncodeOwner({m_options.m_instance, m_options.m_address,
                      m_options.m_cpu_millis, 0}),
         m_lease}};
    m_store.Commit(transaction, kCommitTimeoutMs,
                   m_guard.Wrap([this](auto answer) {
                     OnRecordWritten(std::move(answer));
                   }));
  }

  void OnRecordWritten(Result<CommitAnswer> answer) {
    if (m_owned) {
      return;
    }
    if (!answer) {
      if (answer.error().Code() == ErrorCode::kNotFound) {
        m_lease = 0;
      }
      // Repeats the same write: its precondition shows whether the first one
      // took effect.
      Later(kRetryMs,
            [this] { m_lease == 0 ? RequestLease() : WriteRecord(); });
      return;
    }
    if (answer->m_committed) {
      Acquire(answer->m_revision);
      return;
    }
    m_candidate = false;
    for (const StoreItem& item : answer->m_current) {
      if (item.m_key == kOwnerKey && item.m_revision != 0) {
        OnRecord(item);
      }
    }
    if (!m_owned && m_lease != 0) {
      EndCandidacy();
    }
    if (answer->m_current.empty() && !m_owned) {
      OnAbsent();
    }
  }

  void Acquire(Revision revision) {
    m_candidate = false;
    m_newest_revision = std::max(m_newest_revision, revision);
    m_owned = OwnerRecord{m_options.m_instance, m_options.m_address,
                          m_options.m_cpu_millis, revision};
    m_record = m_owned;
    Log(LogLevel::kInfo, LogCategory::kMembership, "cell_acquired",
        {{"revision", revision}});
    m_handlers.m_on_acquired(*m_owned);
    Renew(m_lease);
  }

  // Sends at a fixed interval without waiting for answers, so that a lost
  // answer does not cost the lease.
  void Renew(LeaseId lease) {
    if (!m_owned || lease != m_lease) {
      return;
    }
    if (m_pending_renewals < kMaxPendingRenewals) {
      SendRenewal(lease);
    }
    Later(m_options.m_lease_ms / kRenewalsPerLease,
          [this, lease] { Renew(lease); });
  }

  void SendRenewal(LeaseId lease) {
    ++m_pending_renewals;
    const std::int64_t sent_ms = m_loop.Now().m_steady_ms;
    m_store.RenewLease(lease, m_guard.Wrap([this, lease, sent_ms](auto kept) {
      --m_pending_renewals;
      if (!m_owned || lease != m_lease) {
        return;
      }
      if (kept) {
        m_confirmed_ms = std::max(m_confirmed_ms, sent_ms);
      } else if (kept.error().Code() == ErrorCode::kNotFound) {
        m_lease = 0;
        LoseOwnership("lease_ended");
      }
    }));
  }

  void ReadRecord() {
    m_verifying = true;
    auto callers = std::make_shared<std::vector<std::function<void(bool)>>>();
    callers->swap(m_verifications);
    m_store.List(std::string(kOwnerKey), "",
                 m_guard.Wrap([this, callers](Result<ItemPage> page) {
                   m_verifying = false;
                   const bool own = page && IsOwn(*page);
                   if (!m_verifications.empty()) {
                     ReadRecord();
                   }
                   for (const auto& done : *callers) {
                     done(own);
                   }
                 }));
  }

  bool IsOwn(const ItemPage& page) const {
    return m_owned &&
           std::any_of(page.m_items.begin(), page.m_items.end(),
                       [&](const StoreItem& item) {
                         return item.m_key == kOwnerKey &&
                                item.m_revision == m_owned->m_revision;
                       });
  }

  void LoseOwnership(const char* reason) {
    if (!m_owned) {
      return;
    }
    Log(LogLevel::kWarning, LogCategory::kMembership, "cell_lost",
        {{"revision", m_owned->m_revision}, {"reason", reason}});
    const Revision own = m_owned->m_revision;
    m_owned.reset();
    m_handlers.m_on_lost();
    if (m_resigned) {
      return;
    }
    if (m_record && m_record->m_revision == own) {
      // This daemon's own record, which it will not use again.
      m_replaceable_revision = own;
      BecomeCandidate(kRetryMs);
    } else {
      m_handlers.m_on_owner_changed(m_record);
    }
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_loop.After(ms, m_guard.Wrap(std::move(task)));
  }

  Store& m_store;
  Loop& m_loop;
  const OwnershipOptions m_options;
  const Handlers m_handlers;
  CallbackGuard m_guard;
  std::optional<OwnerRecord> m_owned;
  // The record in the store, as last read.
  std::optional<OwnerRecord> m_record;
  Revision m_newest_revision = 0;
  // Revision of a record that may be replaced: its process is dead, it is
  // unreadable or its owner asked for a successor. 0 for none.
  Revision m_replaceable_revision = 0;
  // Revision of the record whose owner asked for a successor.
  Revision m_yielded_revision = 0;
  // Highest CPU of the owners seen so far.
  std::optional<std::int64_t> m_max_owner_cpu_millis;
  bool m_candidate = false;
  // The last lease request failed.
  bool m_lease_request_failed = false;
  bool m_resigned = false;
  LeaseId m_lease = 0;
  // Callers waiting for the next read of the record.
  std::vector<std::function<void(bool)>> m_verifications;
  bool m_verifying = false;
  int m_pending_renewals = 0;
  std::int64_t m_confirmed_ms = 0;
  PrefixFeed<Store, Loop> m_feed;
};

}  // namespace mustardslip
