// Limits retries to a fraction of the first attempts.
#pragma once

#include "common/token_bucket.h"

namespace mustardslip {

struct RetryBudgetOptions {
  // Retries earned by each first attempt.
  double m_ratio = 0.2;
  // Retries earned per second regardless of traffic, so that infrequent
  // requests can be retried too.
  double m_per_second = 10.0;
  // Maximum number of accumulated retries.
  double m_burst = 100.0;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : m_ratio(options.m_ratio),
        m_tokens(options.m_per_second, options.m_burst) {}

  void OnFirstAttempt() { m_tokens.Add(m_ratio); }
  // Takes one retry from the budget; false if none is left.
  bool TryRetry(TimePoint now) { return m_tokens.Take(now); }

 private:
  double m_ratio;
  TokenBucket m_tokens;
};

}  // namespace mustardslip
