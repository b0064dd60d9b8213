// How fast a run goes, measured from the share of its work that its VM reports.
#pragma once

#include <cstdint>
#include <optional>

namespace mustardslip {

// Times are on the VM's clock, in milliseconds; shares are in percent.
class RunProgress {
 public:
  // The VM reported this share of the work as done. A report that was overtaken
  // by a newer one is ignored.
  void OnReport(double percent, std::int64_t vm_ms);

  bool Reported() const { return m_reported; }
  bool WorkDone() const { return m_percent >= kWholePercent; }
  double Percent() const { return m_percent; }

  // Percent per millisecond in the newest measurement; nullopt before the
  // first.
  std::optional<double> Rate() const { return m_rate; }
  // The highest rate so far.
  std::optional<double> BestRate() const { return m_best_rate; }
  // For how long the share had not changed at the newest report; 0 if the work
  // is done.
  std::int64_t StillForMs() const;
  // When the work is done at the present rate; nullopt if that is unknown.
  std::optional<std::int64_t> ExpectedEndVmMs() const;

  static constexpr double kWholePercent = 100;

 private:
  bool m_reported = false;
  double m_percent = 0;
  std::int64_t m_vm_ms = 0;
  // The first report with the present share.
  std::int64_t m_moved_vm_ms = 0;
  // Where the measurement of the next rate begins.
  double m_anchor_percent = 0;
  std::int64_t m_anchor_vm_ms = 0;
  std::optional<double> m_rate;
  std::optional<double> m_best_rate;
};

}  // namespace mustardslip
