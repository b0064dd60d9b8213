// Validation of submissions, and text form of task references.
#include "cell/workflow.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>

namespace mustardslip {
namespace {

tl::unexpected<Error> Malformed(std::string message) {
  return Fail(ErrorCode::kInvalidArgument, "malformed_job", std::move(message));
}

Result<void> ValidateStep(const StepSpec& step, std::size_t number) {
  if (step.m_count == 0 || step.m_count > kMaxTasksPerStep) {
    return Malformed(fmt::format("step {}: task count out of range", number));
  }
  if (step.m_resources.IsNegative() || step.m_estimate_ms < 0) {
    return Malformed(
        fmt::format("step {}: negative resource or estimate", number));
  }
  for (const std::uint32_t before : step.m_dependencies) {
    if (before >= number) {
      return Malformed(fmt::format(
          "step {} depends on step {}, which is not earlier", number, before));
    }
  }
  return {};
}

// Consumes a decimal number and the dot that follows it, if any.
std::optional<std::uint32_t> ConsumeNumber(std::string_view& text) {
  std::uint32_t value = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (!text.empty()) {
    if (text.front() != '.') {
      return std::nullopt;
    }
    text.remove_prefix(1);
  }
  return value;
}

}  // namespace

bool IsWorkflowId(std::string_view text) {
  return text.size() == kWorkflowIdDigits &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isxdigit(character) != 0;
         });
}

Result<void> ValidateWorkflow(const WorkflowSpec& spec) {
  if (!IsWorkflowId(spec.m_id)) {
    return Malformed("the id is not 16 hexadecimal digits");
  }
  if (spec.m_payload.size() > kMaxPayloadBytes) {
    return Malformed("the payload is too large");
  }
  if (spec.m_steps.empty() || spec.m_steps.size() > kMaxSteps) {
    return Malformed("the number of steps is out of range");
  }
  const Schedule& schedule = spec.m_schedule;
  if (schedule.m_repeats > kMaxOccurrences || schedule.m_interval_ms < 0) {
    return Malformed("the schedule's repeats or interval is out of range");
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
    if (auto step = ValidateStep(spec.m_steps[i], i); !step) {
      return step;
    }
    tasks += spec.m_steps[i].m_count;
  }
  if (tasks * std::max<std::uint64_t>(1, schedule.m_repeats) > kMaxTasks) {
    return Malformed("the number of tasks is out of range");
  }
  return {};
}

std::string ToString(const TaskRef& task) {
  return fmt::format("{}.{}.{}.{}", task.m_job, task.m_occurrence, task.m_step,
                     task.m_index);
}

std::optional<TaskRef> ParseTaskRef(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  TaskRef task;
  task.m_job = std::string(text.substr(0, dot));
  text.remove_prefix(dot + 1);
  const auto occurrence = ConsumeNumber(text);
  const auto step = occurrence ? ConsumeNumber(text) : std::nullopt;
  const auto index = step ? ConsumeNumber(text) : std::nullopt;
  if (!index || !text.empty()) {
    return std::nullopt;
  }
  task.m_occurrence = *occurrence;
  task.m_step = *step;
  task.m_index = *index;
  return task;
}

}  // namespace mustardslip
