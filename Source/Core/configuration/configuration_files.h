// The operators' files: parsing with validation, canonical output and diff.
//
// The format of inventory.json and rules.json is in docs/configuration.md.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "configuration/configuration.h"

namespace mustardslip {

inline constexpr const char* kInventoryFile = "inventory.json";
inline constexpr const char* kRulesFile = "rules.json";
inline constexpr std::size_t kMaxConfigurationBytes = 4'000'000;

// The text of both files.
struct ConfigurationFiles {
  std::string m_inventory;
  std::string m_rules;

  bool operator==(const ConfigurationFiles&) const = default;
};

// One fault in the files, with what to do about it.
struct Problem {
  std::string m_file;
  // "line 3" for a syntax error, else a path such as "vms[4].zone".
  std::string m_place;
  std::string m_message;
  std::string m_remedy;

  bool operator==(const Problem&) const = default;
};

std::string ToString(const Problem& problem);

template <typename T>
using Checked = tl::expected<T, std::vector<Problem>>;

// Reads and validates both files. Returns all problems that were found, at most
// 100.
Checked<Configuration> ParseConfiguration(const ConfigurationFiles& files,
                                          ConfigurationRevision revision);

// The problems of the files; empty if they can be applied.
std::vector<Problem> Validate(const ConfigurationFiles& files);

// Canonical text: ordered records, one a line.
ConfigurationFiles ToFiles(const Configuration& configuration);

// One readable line for each record that differs. Empty if there is none; the
// revision is not compared. Salts and hashes are not shown.
std::vector<std::string> Diff(const Configuration& from,
                              const Configuration& to);

// Reads both files from a folder. Errors: kNotFound with the file's name.
Result<ConfigurationFiles> ReadFolder(const std::string& folder);
// Writes both files. Errors: kUnavailable.
Result<void> WriteFolder(const std::string& folder,
                         const ConfigurationFiles& files);

}  // namespace mustardslip
