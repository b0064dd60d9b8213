// Scheduler: what is kept from pass to pass.
#include "cell/scheduler.h"

#include <algorithm>

#include "cell/scheduling_pass.h"

namespace mustardslip {
namespace {

// Share of recommended VMs assumed before the first answers for a queue.
constexpr double kInitialGoodShare = 0.5;
// Weight of the newest answer in the moving average.
constexpr double kGoodShareWeight = 0.1;
constexpr double kMinGoodShare = 0.05;

}  // namespace

ScheduleResult Scheduler::Decide(CellState& state, const ReadySteps& ready,
                                 const CellRules& rules, const CellTime& now,
                                 const FreeAdviceCalls& free_advice_calls,
                                 std::int64_t max_start_bytes,
                                 const VmSpeeds* speeds, PassKind kind) {
  return SchedulingPass(*this, state, rules, now, free_advice_calls,
                        max_start_bytes, speeds, kind)
      .Run(ready);
}

void Scheduler::OnAdvice(const std::string& queue, std::size_t asked,
                         std::size_t good) {
  if (asked == 0) {
    return;
  }
  double& share =
      m_good_share.try_emplace(queue, kInitialGoodShare).first->second;
  const double seen = static_cast<double>(good) / static_cast<double>(asked);
  share += (seen - share) * kGoodShareWeight;
}

double Scheduler::GoodShare(const std::string& queue) const {
  const auto found = m_good_share.find(queue);
  const double share =
      found == m_good_share.end() ? kInitialGoodShare : found->second;
  return std::max(share, kMinGoodShare);
}

}  // namespace mustardslip
