// Typed settings: flag over environment variable over default.
//
// A program defines each setting with ABSL_FLAG and lists it in a
// SettingsTable. The environment variable of flag `team_shards` is
// MUSTARDSLIP_TEAM_SHARDS.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"

namespace mustardslip {

// The exit code for a wrong command line or environment.
inline constexpr int kUsageExitCode = 2;

class SettingsTable {
 public:
  explicit SettingsTable(std::vector<std::string> flag_names)
      : m_flag_names(std::move(flag_names)) {}

  // Applies the environment, then the command line (`--name=value`,
  // `--name value`, `--[no]name` for booleans). Returns the positional
  // arguments. Unknown flags, malformed values and unknown MUSTARDSLIP_
  // variables give kInvalidArgument with the name in the message. `--help`
  // gives reason "help_requested" with the help text as the message.
  Result<std::vector<std::string>> Parse(int argc, char** argv) const;

  // One line per setting: name, environment variable, default, help.
  std::string Help() const;

 private:
  bool Contains(std::string_view name) const;
  Result<void> ApplyEnvironment() const;

  std::vector<std::string> m_flag_names;
};

}  // namespace mustardslip
