// Measures rates over windows long enough that rounded reports matter little.
#include "cell/run_progress.h"

#include <algorithm>

namespace mustardslip {
namespace {

// Reported shares are rounded to 1 %, so a window must cover either several
// percent or a long time.
constexpr std::int64_t kShortWindowMs = 300;
constexpr double kMinWindowPercent = 4;
constexpr std::int64_t kLongWindowMs = 900;
// The mean rate is then known to about 5 %.
constexpr double kMinMeanPercent = 20;

}  // namespace

void RunProgress::OnReport(double percent, std::int64_t vm_ms) {
  if (!m_reported) {
    m_reported = true;
    m_first_percent = percent;
    m_first_vm_ms = vm_ms;
    m_window_start_percent = percent;
    m_window_start_vm_ms = vm_ms;
    m_last_change_vm_ms = vm_ms;
  } else if (vm_ms <= m_vm_ms) {
    return;
  }
  if (percent != m_percent) {
    m_last_change_vm_ms = vm_ms;
  }
  m_percent = percent;
  m_vm_ms = vm_ms;
  const std::int64_t window_ms = vm_ms - m_window_start_vm_ms;
  const double window_percent = percent - m_window_start_percent;
  const bool precise =
      window_ms >= kShortWindowMs && window_percent >= kMinWindowPercent;
  if (!precise && window_ms < kLongWindowMs) {
    return;
  }
  const double rate =
      std::max(0.0, window_percent / static_cast<double>(window_ms));
  m_rate = rate;
  m_best_rate = std::max(m_best_rate.value_or(0), rate);
  m_window_start_percent = percent;
  m_window_start_vm_ms = vm_ms;
}

std::optional<double> RunProgress::MeanRate() const {
  const double percent = m_percent - m_first_percent;
  if (percent < kMinMeanPercent || WorkDone() || m_vm_ms <= m_first_vm_ms) {
    return std::nullopt;
  }
  return percent / static_cast<double>(m_vm_ms - m_first_vm_ms);
}

std::int64_t RunProgress::UnchangedForMs() const {
  return WorkDone() ? 0 : m_vm_ms - m_last_change_vm_ms;
}

std::optional<std::int64_t> RunProgress::ExpectedEndVmMs() const {
  if (!m_rate || *m_rate <= 0 || WorkDone()) {
    return std::nullopt;
  }
  return m_vm_ms +
         static_cast<std::int64_t>((kWholePercent - m_percent) / *m_rate);
}

}  // namespace mustardslip
