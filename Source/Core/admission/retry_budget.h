// A budget that bounds retries to a fraction of the first attempts.
#pragma once

#include "common/token_bucket.h"

namespace mustardslip {

struct RetryBudgetOptions {
  // Retries earned by each first attempt.
  double m_ratio = 0.2;
  // Retries earned per second without any traffic, so that rare requests can
  // be retried too.
  double m_per_second = 10.0;
  // The largest number of saved retries.
  double m_burst = 100.0;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : m_ratio(options.m_ratio),
        m_tokens(options.m_per_second, options.m_burst) {}

  void OnFirstAttempt() { m_tokens.Add(m_ratio); }
  // True if one more retry is within the budget.
  bool TryRetry(TimePoint now) { return m_tokens.Take(now); }

 private:
  double m_ratio;
  TokenBucket m_tokens;
};

}  // namespace mustardslip
