// Layers the environment and the command line over the flags' defaults.
#include "common/settings.h"

#include <absl/flags/reflection.h>
#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace mustardslip {
namespace {

constexpr std::string_view kEnvironmentPrefix = "MUSTARDSLIP_";

std::string EnvironmentName(std::string_view flag) {
  std::string name(kEnvironmentPrefix);
  for (const char character : flag) {
    name += static_cast<char>(std::toupper(character));
  }
  return name;
}

Result<void> SetFlag(std::string_view name, std::string_view value,
                     std::string_view source) {
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(std::string(name));
  Invariant(flag != nullptr, "setting is listed but not defined");
  std::string problem;
  if (!flag->ParseFrom(std::string(value), &problem)) {
    return Fail(
        ErrorCode::kInvalidArgument, "invalid_setting",
        fmt::format("{}: invalid value \"{}\": {}", source, value, problem));
  }
  return {};
}

}  // namespace

bool SettingsTable::Contains(std::string_view name) const {
  return std::find(m_flag_names.begin(), m_flag_names.end(), name) !=
         m_flag_names.end();
}

Result<void> SettingsTable::ApplyEnvironment() const {
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text = *entry;
    if (!text.starts_with(kEnvironmentPrefix)) {
      continue;
    }
    const std::string_view variable = text.substr(0, text.find('='));
    const auto match = std::find_if(m_flag_names.begin(), m_flag_names.end(),
                                    [&](const std::string& name) {
                                      return EnvironmentName(name) == variable;
                                    });
    if (match == m_flag_names.end()) {
      return Fail(ErrorCode::kInvalidArgument, "unknown_setting",
                  fmt::format("unknown environment variable {}", variable));
    }
    auto set = SetFlag(*match, text.substr(variable.size() + 1), variable);
    if (!set) {
      return set;
    }
  }
  return {};
}

Result<std::vector<std::string>> SettingsTable::Parse(int argc,
                                                      char** argv) const {
  if (auto environment = ApplyEnvironment(); !environment) {
    return tl::unexpected(environment.error());
  }
  std::vector<std::string> positional;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (!argument.starts_with("--")) {
      positional.emplace_back(argument);
      continue;
    }
    const std::string_view body = argument.substr(2);
    const std::size_t equals = body.find('=');
    std::string_view name = body.substr(0, equals);
    if (name == "help") {
      return Fail(ErrorCode::kInvalidArgument, "help_requested", Help());
    }
    std::string value;
    const bool negated = name.starts_with("no") && !Contains(name);
    if (negated) {
      name.remove_prefix(2);
    }
    if (!Contains(name)) {
      return Fail(ErrorCode::kInvalidArgument, "unknown_setting",
                  fmt::format("unknown flag {}; see --help", argument));
    }
    const bool is_bool =
        absl::FindCommandLineFlag(std::string(name))->IsOfType<bool>();
    if (negated && (!is_bool || equals != std::string_view::npos)) {
      return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
                  fmt::format("{}: cannot be negated", argument));
    }
    if (equals != std::string_view::npos) {
      value = body.substr(equals + 1);
    } else if (is_bool) {
      value = negated ? "false" : "true";
    } else if (i + 1 < argc) {
      value = argv[++i];
    } else {
      return Fail(ErrorCode::kInvalidArgument, "invalid_setting",
                  fmt::format("{}: missing value", argument));
    }
    if (auto set = SetFlag(name, value, fmt::format("--{}", name)); !set) {
      return tl::unexpected(set.error());
    }
  }
  return positional;
}

std::string SettingsTable::Help() const {
  std::string help;
  for (const std::string& name : m_flag_names) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    Invariant(flag != nullptr, "setting is listed but not defined");
    help +=
        fmt::format("  --{} ({}, default \"{}\")\n      {}\n", name,
                    EnvironmentName(name), flag->DefaultValue(), flag->Help());
  }
  return help;
}

}  // namespace mustardslip
