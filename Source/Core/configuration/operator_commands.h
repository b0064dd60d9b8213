// The commands of the operators' program `mustardslip`.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace mustardslip {

// Exit codes.
inline constexpr int kCommandOk = 0;
inline constexpr int kCommandFailed = 1;
inline constexpr int kCommandUsage = 2;

struct CommandOptions {
  // The command and its arguments.
  std::vector<std::string> m_arguments;
  // host:port of any daemon.
  std::string m_server;
  // host:port of the platform's store, for `bootstrap` only.
  std::string m_store;
  // The operator key. Never printed.
  std::string m_key;
  // The revision that the files are based on; below 0: not given.
  ConfigurationRevision m_base_revision = -1;
  bool m_json = false;
  // For `key new`.
  bool m_operator = false;
};

// One line for each command.
std::string CommandHelp();

// Runs one command. Results go to `out`, refusals and errors to `err`.
int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err);

}  // namespace mustardslip
