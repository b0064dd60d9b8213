// Limits the rate of jobs per team. Jobs beyond the rate are not refused, but
// have a lower priority (see ReadySteps).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "common/token_bucket.h"

namespace mustardslip {

class TeamRateLimiter {
 public:
  // Counts one job. Returns false if the team exceeds `jobs_per_s`.
  bool Take(const std::string& team, std::int64_t jobs_per_s,
            std::int64_t now_ms) {
    return BucketOf(team, jobs_per_s).Take(TimePoint(Milliseconds(now_ms)));
  }

  // What Take would say of one job more, which is not counted.
  bool WouldExceed(const std::string& team, std::int64_t jobs_per_s,
                   std::int64_t now_ms) {
    TokenBucket bucket = BucketOf(team, jobs_per_s);
    return !bucket.Take(TimePoint(Milliseconds(now_ms)));
  }

 private:
  // A team may submit the jobs of this many seconds in one burst.
  static constexpr double kBurstS = 3;

  TokenBucket& BucketOf(const std::string& team, std::int64_t jobs_per_s) {
    const auto rate = static_cast<double>(jobs_per_s);
    const double capacity = std::max(1.0, rate) * kBurstS;
    TokenBucket& bucket =
        m_buckets.try_emplace(team, rate, capacity).first->second;
    bucket.SetRate(rate, capacity);
    return bucket;
  }

  std::map<std::string, TokenBucket> m_buckets;
};

}  // namespace mustardslip
