// What would become of a job if it were submitted now, and why. Answers
// operators and callers without sending the job (docs/OPERATIONS.md, "Where
// would a job go").
//
// Tells of other teams' jobs only how much work is ahead.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cell/backlog_forecast.h"
#include "cell/cell_state.h"
#include "cell/cell_types.h"
#include "cell/ready_steps.h"

namespace mustardslip {

class VmSpeeds;
class ContentionModel;

enum class DryRunDecision : std::uint8_t {
  kKnown,    // The job was accepted earlier; submitting it changes nothing.
  kRefused,  // It would not be accepted.
  kStarts,   // It would be accepted, and its first tasks have room now.
  kWaits,    // It would be accepted and wait.
};

// Why tasks of a step can or cannot start on a VM. The first that holds counts.
enum class VmVerdict : std::uint8_t {
  kUnlisted,  // The VM list does not name the VM.
  kDraining,
  kEvacuated,  // Its zone is evacuated.
  kSilent,     // It does not answer, or has not answered this owner yet.
  kLabel,      // It lacks the required label.
  kTooSmall,   // A task does not fit even if nothing else runs there.
  kFull,       // A task fits, but not now.
  kFits,
};
inline constexpr std::size_t kVmVerdicts = 8;

std::string_view ToString(DryRunDecision decision);
std::string_view ToString(VmVerdict verdict);

// A VM on which a task would start.
struct VmChoice {
  std::string m_vm;
  std::int64_t m_tasks = 0;
  // Estimated, relative to the mean of the service; 1 if unknown.
  double m_speed = 1;
  // Cost beside the images that run there; 0 if none is known to hurt.
  double m_contention = 0;

  bool operator==(const VmChoice&) const = default;
};

struct StepDryRun {
  std::uint32_t m_step = 0;
  std::uint32_t m_tasks = 0;
  bool m_gang = false;
  // Tasks that fit now on all VMs together.
  std::int64_t m_fit_now = 0;
  // VMs by VmVerdict.
  std::array<std::size_t, kVmVerdicts> m_vms = {};
  // The first VMs in the order of placement, at most a few.
  std::vector<VmChoice> m_first_choices;

  bool operator==(const StepDryRun&) const = default;
};

struct DryRun {
  DryRunDecision m_decision = DryRunDecision::kWaits;
  // A stable code; empty if the tasks start.
  std::string m_reason;
  // Only if refused.
  std::int64_t m_retry_after_ms = 0;
  std::string m_queue;
  std::string m_service;
  std::int64_t m_priority = 0;
  std::string m_team;
  bool m_team_has_limits = false;
  std::int64_t m_team_weight = 0;
  // 0 in a dimension of the cap: no limit.
  Resources m_team_cap;
  Resources m_team_used;
  bool m_team_over_rate = false;
  bool m_needs_advice = false;
  // Of the VMs that the advice service judged for the queue lately.
  double m_recommended_share = 1;
  // Steps that go first, and what their waiting tasks need, in thousandths of a
  // core.
  std::size_t m_steps_ahead = 0;
  std::int64_t m_cpu_ahead_millis = 0;
  // The shortest wait.
  std::int64_t m_min_wait_ms = 0;
  // Steps without dependencies first.
  std::vector<StepDryRun> m_steps;
  // Of the owner that answers.
  std::int64_t m_configuration = 0;
  bool m_store_writable = true;
  // How long ago the VMs that it counts on answered last.
  std::int64_t m_oldest_report_ms = 0;

  bool operator==(const DryRun&) const = default;
};

// What the owner knows.
struct DryRunView {
  const CellState& m_state;
  const ReadySteps& m_ready;
  const CellRules& m_rules;
  const BacklogForecast& m_forecast;
  // Null if the deployment does not use them.
  const VmSpeeds* m_speeds = nullptr;
  const ContentionModel* m_contention = nullptr;
  bool m_store_writable = true;
  bool m_refuses_hopeless = false;
  bool m_team_over_rate = false;
  double m_recommended_share = 1;
};

DryRun Explain(const DryRunView& view, const WorkflowSpec& spec,
               const CellTime& now);

// As JSON, with stable names.
std::string Encode(const DryRun& result);

}  // namespace mustardslip
