// Jobs a second per team against the team's weight: what a team sends beyond
// its rate is served when nothing else waits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "common/token_bucket.h"

namespace mustardslip {

class TeamRate {
 public:
  // Counts one job; false if the team is beyond `jobs_per_s`.
  bool Take(const std::string& team, std::int64_t jobs_per_s,
            std::int64_t now_ms) {
    const auto rate = static_cast<double>(jobs_per_s);
    const double most = std::max(1.0, rate) * kBurstS;
    TokenBucket& bucket = m_buckets.try_emplace(team, rate, most).first->second;
    bucket.SetRate(rate, most);
    return bucket.Take(TimePoint(Milliseconds(now_ms)));
  }

 private:
  // A team may send this many seconds' worth at once.
  static constexpr double kBurstS = 3;

  std::map<std::string, TokenBucket> m_buckets;
};

}  // namespace mustardslip
