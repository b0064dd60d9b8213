// Settings of TeamOwner and TeamShard.
#pragma once

#include "jobs/job_book.h"
#include "jobs/request_book.h"
#include "ledger/ledger_core.h"

namespace mustardslip {

struct TeamOwnerOptions {
  JobBookOptions m_jobs;
  RequestBookOptions m_requests;
  LedgerOptions m_ledger;
  std::size_t m_max_jobs_per_team = 50'000;
  // Interval of TickOnce(): the longest delay before a waiting task or an
  // expired deadline is handled.
  Milliseconds m_tick_interval{20};
  // Interval between reads of the group summaries, which are gossiped every
  // 500 ms.
  Milliseconds m_summary_interval{200};
  // Timeout of Place, StopAttempts and FenceTeam calls.
  Milliseconds m_group_timeout{2000};
  // A submission whose job record is not confirmed by the store within this
  // time is answered with an unknown outcome.
  Milliseconds m_submit_timeout{10'000};
  // Delay before a failed recovery or write of job records is retried.
  Milliseconds m_store_retry_delay{500};
  // Minimum interval between two writes of job records: at most 50 a second per
  // shard, so that a burst of ending jobs does not starve other store clients.
  Milliseconds m_record_interval{20};
  // Interval between deletions of expired ledger segments.
  Milliseconds m_expire_interval{60'000};
  // Longest wait of a graceful stop for requests in flight and pending writes.
  Milliseconds m_drain_timeout{10'000};
};

}  // namespace mustardslip
