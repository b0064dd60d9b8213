// The operators' command line: settings in, one command, exit code out.
#include <absl/flags/flag.h>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>

#include "common/settings.h"
#include "configuration/operator_commands.h"

ABSL_FLAG(std::string, server, "", "a daemon's address, host:port");
ABSL_FLAG(std::string, store, "",
          "the platform's store, host:port, for `bootstrap`");
ABSL_FLAG(std::string, key, "",
          "operator key; use the environment or key_file, since other users "
          "can read command lines");
ABSL_FLAG(std::string, key_file, "", "file with the operator key");
ABSL_FLAG(std::int64_t, base_revision, -1,
          "revision that the files of `apply` are based on");
ABSL_FLAG(bool, json, false, "print reports as JSON");
ABSL_FLAG(bool, operator, false, "`key new` makes an operator key");

namespace mustardslip {
namespace {

// The key from the file if one is named, else from the setting. Empty if the
// file cannot be read.
std::string ReadKey() {
  const std::string path = absl::GetFlag(FLAGS_key_file);
  if (path.empty()) {
    return absl::GetFlag(FLAGS_key);
  }
  std::ifstream stream(path);
  std::string key;
  stream >> key;
  return key;
}

int Main(int argc, char** argv) {
  const SettingsTable settings({"server", "store", "key", "key_file",
                                "base_revision", "json", "operator"});
  auto arguments = settings.Parse(argc, argv);
  if (!arguments) {
    const bool is_help = arguments.error().Reason() == "help_requested";
    (is_help ? std::cout : std::cerr)
        << CommandHelp() << arguments.error().Message() << "\n";
    return is_help ? kCommandOk : kCommandUsage;
  }
  const std::string key = ReadKey();
  if (key.empty() && !absl::GetFlag(FLAGS_key_file).empty()) {
    std::cerr << "the key file cannot be read or is empty\n";
    return kCommandUsage;
  }
  return RunCommand({.m_arguments = std::move(*arguments),
                     .m_server = absl::GetFlag(FLAGS_server),
                     .m_store = absl::GetFlag(FLAGS_store),
                     .m_key = key,
                     .m_base_revision = absl::GetFlag(FLAGS_base_revision),
                     .m_json = absl::GetFlag(FLAGS_json),
                     .m_operator = absl::GetFlag(FLAGS_operator)},
                    std::cout, std::cerr);
}

}  // namespace
}  // namespace mustardslip

int main(int argc, char** argv) { return mustardslip::Main(argc, argv); }
