// Windowed maxima of usage ratios and a moving average of run time ratios.
#include "placement/usage_estimator.h"

#include <algorithm>
#include <cmath>

namespace mustardslip {
namespace {

// Reports in one window; sizes are not corrected before the first is complete.
constexpr std::int64_t kWindowReports = 64;
// Margin above the observed peak, because usage is reported with a delay.
constexpr double kHeadroom = 1.1;
// Weight of the latest run time in the moving average.
constexpr double kRunTimeWeight = 0.05;
// Ratios are clamped to this range: values outside are taken as measurement
// errors.
constexpr double kMinRunTimeRatio = 0.01;
constexpr double kMaxRunTimeRatio = 100;

double Ratio(std::int64_t used, std::int64_t declared) {
  return declared > 0
             ? static_cast<double>(used) / static_cast<double>(declared)
             : 0.0;
}

std::int64_t Scale(std::int64_t declared, double ratio) {
  const double factor = std::min(ratio * kHeadroom, 1.0);
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(declared) * factor));
}

}  // namespace

void UsageEstimator::Peak::Add(double ratio, bool new_window) {
  if (new_window) {
    m_previous = m_current;
    m_current = 0;
  }
  m_current = std::max(m_current, ratio);
}

double UsageEstimator::Peak::Value() const {
  return std::max(m_current, m_previous);
}

std::uint64_t UsageEstimator::Key(std::uint32_t team, JobKind kind) {
  return std::uint64_t{team} << 8 | static_cast<std::uint64_t>(kind);
}

void UsageEstimator::ReportUsage(std::uint32_t team, JobKind kind,
                                 const Resources& declared,
                                 const Resources& used) {
  Estimate& estimate = m_estimates[Key(team, kind)];
  const bool new_window = estimate.m_reports % kWindowReports == 0;
  estimate.m_cpu.Add(Ratio(used.m_cpu_millis, declared.m_cpu_millis),
                     new_window);
  estimate.m_memory.Add(Ratio(used.m_memory_mb, declared.m_memory_mb),
                        new_window);
  ++estimate.m_reports;
}

void UsageEstimator::ReportRunTime(std::uint32_t team, JobKind kind,
                                   std::int64_t declared_ms,
                                   std::int64_t actual_ms) {
  if (declared_ms <= 0) {
    return;
  }
  Estimate& estimate = m_estimates[Key(team, kind)];
  const double ratio = std::clamp(Ratio(actual_ms, declared_ms),
                                  kMinRunTimeRatio, kMaxRunTimeRatio);
  ++estimate.m_run_times;
  // Arithmetic mean of the first values, then an exponential moving average.
  const double weight =
      std::max(kRunTimeWeight, 1.0 / static_cast<double>(estimate.m_run_times));
  estimate.m_run_time_ratio += weight * (ratio - estimate.m_run_time_ratio);
}

Resources UsageEstimator::CorrectedSize(std::uint32_t team, JobKind kind,
                                        const Resources& declared) const {
  const auto found = m_estimates.find(Key(team, kind));
  if (found == m_estimates.end() || found->second.m_reports < kWindowReports) {
    return declared;
  }
  const Estimate& estimate = found->second;
  return {Scale(declared.m_cpu_millis, estimate.m_cpu.Value()),
          Scale(declared.m_memory_mb, estimate.m_memory.Value()),
          declared.m_accelerators};
}

std::int64_t UsageEstimator::CorrectedRunTime(std::uint32_t team, JobKind kind,
                                              std::int64_t declared_ms) const {
  const auto found = m_estimates.find(Key(team, kind));
  if (found == m_estimates.end()) {
    return declared_ms;
  }
  return static_cast<std::int64_t>(static_cast<double>(declared_ms) *
                                   found->second.m_run_time_ratio);
}

}  // namespace mustardslip
