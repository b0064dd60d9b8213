// Settings and callbacks of MemberSession.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "membership/ownership_core.h"

namespace mustardslip {

struct MemberOptions {
  Endpoint m_rpc_address;
  std::string m_zone;
  int m_team_shards = 32;
  Milliseconds m_lease{3000};
  Milliseconds m_renew{1000};
  // Wait before a failed store call is repeated.
  Milliseconds m_poll{500};
  // Safety margin of LeaseValidUntil(): clock error and the time that a message
  // already sent may take.
  Milliseconds m_margin{500};
  // A pending watch is renewed after this time.
  Milliseconds m_watch_limit{2000};
  // Shortest time between two reads of the records.
  Milliseconds m_refresh_gap{250};
  // The records are read at least this often, in case a watch misses a change.
  Milliseconds m_resync{5000};
  // HasStoreContact() ends when no call was answered for this long.
  Milliseconds m_contact_limit{2500};
  // Stop() gives up handing over after this time; the lease then ends by
  // itself.
  Milliseconds m_stop_limit{10000};
  OwnershipTimes m_times;
};

// The groups and the acquired and lost callbacks run on the session's thread
// and must return soon. The release callback runs on a pool thread, several at
// once for different shards.
struct MemberCallbacks {
  // The VM groups of the last known configuration. A group that is missing here
  // is handed over and then owned by nobody.
  std::function<std::vector<std::string>()> m_groups;
  // This daemon owns the shard under this epoch from now on.
  std::function<void(const ShardId&, Epoch)> m_on_acquired;
  // The shard belongs to another owner, or the lease was lost: stop at once.
  // May come while the shard's release callback runs; the shard may then be
  // acquired again, under a higher epoch, before that callback has returned.
  std::function<void(const ShardId&)> m_on_lost;
  // Planned hand-over: returns when the shard's work has stopped here.
  std::function<void(const ShardId&)> m_on_release;
};

}  // namespace mustardslip
