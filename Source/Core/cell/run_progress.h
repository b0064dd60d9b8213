// Progress rate of a run, measured from the share of its work that its VM
// reports. Used to predict ends and to detect slow or stalled VMs.
#pragma once

#include <cstdint>
#include <optional>

namespace mustardslip {

// Times are on the VM's clock, in milliseconds; shares are in percent.
class RunProgress {
 public:
  // Records a report of the completed share. Reports older than the newest one
  // are ignored.
  void OnReport(double percent, std::int64_t vm_ms);

  bool Reported() const { return m_reported; }
  bool WorkDone() const { return m_percent >= kWholePercent; }
  double Percent() const { return m_percent; }

  // Percent per millisecond in the newest measurement; nullopt before the
  // first.
  std::optional<double> Rate() const { return m_rate; }
  // Percent per millisecond since the first report; nullopt before a fifth of
  // the work was reported, as shares are rounded, and once all of it is done.
  std::optional<double> MeanRate() const;
  // The highest rate so far.
  std::optional<double> BestRate() const { return m_best_rate; }
  // How long the share had been unchanged at the newest report; 0 if the work
  // is done.
  std::int64_t UnchangedForMs() const;
  // Predicted end of the work at the current rate; nullopt if the rate is
  // unknown or zero, or the work is done.
  std::optional<std::int64_t> ExpectedEndVmMs() const;

  static constexpr double kWholePercent = 100;

  bool operator==(const RunProgress&) const = default;

 private:
  bool m_reported = false;
  double m_percent = 0;
  std::int64_t m_vm_ms = 0;
  // Time of the first report with the current share.
  std::int64_t m_last_change_vm_ms = 0;
  // The first report.
  double m_first_percent = 0;
  std::int64_t m_first_vm_ms = 0;
  // Start of the window over which the next rate is measured.
  double m_window_start_percent = 0;
  std::int64_t m_window_start_vm_ms = 0;
  std::optional<double> m_rate;
  std::optional<double> m_best_rate;
};

}  // namespace mustardslip
