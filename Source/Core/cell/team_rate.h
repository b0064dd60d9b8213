// Jobs a second per team against the team's weight: what a team sends beyond
// its rate is served when nothing else waits.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace mustardslip {

class TeamRate {
 public:
  // Counts one job; false if the team is beyond `jobs_per_s`.
  bool Take(const std::string& team, std::int64_t jobs_per_s,
            std::int64_t now_ms) {
    constexpr double kMsPerSecond = 1'000;
    const double most =
        static_cast<double>(std::max<std::int64_t>(1, jobs_per_s)) * kBurstS;
    const auto [found, created] = m_buckets.try_emplace(team);
    Bucket& bucket = found->second;
    if (created) {
      bucket.m_tokens = most;
    } else {
      const auto elapsed =
          static_cast<double>(now_ms - bucket.m_filled_ms) / kMsPerSecond;
      bucket.m_tokens = std::min(
          most, bucket.m_tokens + elapsed * static_cast<double>(jobs_per_s));
    }
    bucket.m_filled_ms = now_ms;
    if (bucket.m_tokens < 1) {
      return false;
    }
    bucket.m_tokens -= 1;
    return true;
  }

 private:
  // A team may send this many seconds' worth at once.
  static constexpr double kBurstS = 3;

  struct Bucket {
    double m_tokens = 0;
    std::int64_t m_filled_ms = 0;
  };

  std::map<std::string, Bucket> m_buckets;
};

}  // namespace mustardslip
