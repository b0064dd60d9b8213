// Formats the answer to a dry run for a person.
#include "configuration/dry_run_text.h"

#include <fmt/core.h>

#include <string_view>

namespace mustardslip {
namespace {

using nlohmann::json;

const json& At(const json& object, std::string_view name) {
  static const json nothing;
  const auto found = object.is_object() ? object.find(name) : object.end();
  return object.is_object() && found != object.end() ? *found : nothing;
}

std::string Text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// "name: value" for the fields that are there.
void AddLine(std::string& text, std::string_view title, const json& object,
             std::initializer_list<std::string_view> names) {
  std::string line;
  for (const std::string_view name : names) {
    const json& value = At(object, name);
    if (!value.is_null() && !value.is_structured()) {
      line += fmt::format(" {}={}", name, Text(value));
    }
  }
  if (!line.empty()) {
    text += fmt::format("{:<9}{}\n", title, line);
  }
}

void AddStep(std::string& text, const json& step) {
  AddLine(text, "step", step, {"step", "tasks", "gang", "fit_now"});
  std::string vms;
  for (const auto& [verdict, count] : At(step, "vms").items()) {
    if (count.is_number() && count != 0) {
      vms += fmt::format(" {}={}", verdict, count.dump());
    }
  }
  if (!vms.empty()) {
    text += fmt::format("  {:<7}{}\n", "VMs", vms);
  }
  for (const json& choice : At(step, "first_choices")) {
    AddLine(text, "  first", choice, {"vm", "tasks", "speed", "contention"});
  }
}

}  // namespace

std::string DryRunText(const json& result) {
  std::string text;
  AddLine(text, "decision", result,
          {"decision", "reason", "retry_after_ms", "recommended_share"});
  AddLine(text, "queue", At(result, "queue"), {"name", "service", "priority"});
  const json& team = At(result, "team");
  AddLine(text, "team", team, {"name", "weight", "over_rate"});
  for (const char* amount : {"cap", "used"}) {
    AddLine(text, fmt::format("  {}", amount), At(team, amount),
            {"cpu_millis", "memory_mb", "accelerators"});
  }
  AddLine(text, "ahead", At(result, "ahead"),
          {"steps", "cpu_millis", "min_wait_ms"});
  for (const json& step : At(result, "steps")) {
    AddStep(text, step);
  }
  AddLine(text, "view", At(result, "view"),
          {"configuration", "store_writable", "oldest_report_ms"});
  return text;
}

}  // namespace mustardslip
