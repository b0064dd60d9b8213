// Reads both files into a Configuration and writes them in canonical form.
#include "configuration/configuration_files.h"

#include <arpa/inet.h>
#include <fmt/core.h>

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "configuration/json_object_reader.h"

namespace mustardslip {
namespace {

using nlohmann::json;

// Sizes above these are taken for typing errors: the largest planned VM has 64
// processors and 256 GB.
constexpr NumberRange kVmProcessors{1, 4'096};
constexpr NumberRange kVmMemoryMb{1, 67'108'864};
constexpr NumberRange kVmAccelerators{0, 1'024};
// A limit may span a fleet of 7,000 such VMs.
constexpr NumberRange kLimitProcessors{0, 28'672'000};
constexpr NumberRange kLimitMemoryMb{0, 1e12};
constexpr NumberRange kLimitAccelerators{0, 7'168'000};
constexpr NumberRange kShare{0.001, 1'000};
constexpr std::size_t kSaltDigits = 32;
constexpr std::size_t kHashDigits = 64;
constexpr double kMillis = 1'000.0;

std::string At(const char* list, std::size_t index) {
  return fmt::format("{}[{}]", list, index);
}

// Collects both files' records and the problems found in each.
class FilesParser {
 public:
  FilesParser() : m_inventory(kInventoryFile), m_rules(kRulesFile) {}

  Checked<Configuration> Parse(const ConfigurationFiles& files,
                               ConfigurationRevision revision) {
    ReadInventory(ParseJsonObject(files.m_inventory, &m_inventory));
    ReadRules(ParseJsonObject(files.m_rules, &m_rules));
    std::vector<Problem> problems = m_inventory.Problems();
    problems.insert(problems.end(), m_rules.Problems().begin(),
                    m_rules.Problems().end());
    if (!problems.empty()) {
      return tl::unexpected(std::move(problems));
    }
    return m_builder.SetRevision(revision).Build();
  }

 private:
  // A file that could not be parsed has its problem already.
  static bool IsUnread(const json& file, const ProblemList& problems) {
    return file.empty() && !problems.Problems().empty();
  }

  void ReadInventory(const json& file) {
    if (IsUnread(file, m_inventory)) {
      return;
    }
    JsonObjectReader reader(file, "", &m_inventory);
    ReadTeamNames(reader.Array("teams"));
    ReadVms(reader.Array("vms"));
    ReadKeys(reader.Array("keys"));
    reader.Finish();
  }

  void ReadRules(const json& file) {
    if (IsUnread(file, m_rules)) {
      return;
    }
    JsonObjectReader reader(file, "", &m_rules);
    ReadTeamRules(reader.Array("teams"));
    ReadOpenQueues(reader.Array("open_queues"));
    reader.Finish();
  }

  static void AddUnique(std::set<std::string>& seen, const std::string& id,
                        const std::string& place, ProblemList& problems) {
    if (!id.empty() && !seen.insert(id).second) {
      problems.Add(place, fmt::format("\"{}\" occurs twice", id),
                   "remove or rename one of the two");
    }
  }

  void CheckTeam(const std::string& team, const std::string& place,
                 ProblemList& problems) {
    if (!team.empty() && !m_teams.contains(team)) {
      problems.Add(place, fmt::format("\"{}\" is not a known team", team),
                   "add the team to \"teams\" in inventory.json or correct the "
                   "name");
    }
  }

  void ReadTeamNames(const json& names) {
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!names[i].is_string() || !IsName(names[i].get<std::string>())) {
        m_inventory.Add(At("teams", i), "is not a valid name",
                        "use 1 to 64 letters, digits, dots, underscores or "
                        "hyphens");
        continue;
      }
      AddUnique(m_teams, names[i].get<std::string>(), At("teams", i),
                m_inventory);
    }
  }

  void ReadVms(const json& vms) {
    std::set<std::string> ids;
    for (std::size_t i = 0; i < vms.size(); ++i) {
      JsonObjectReader reader(vms[i], At("vms", i), &m_inventory);
      VmRecord vm;
      vm.m_id = reader.Name("id");
      vm.m_address = ReadAddress(reader);
      vm.m_zone = reader.Name("zone");
      vm.m_rack = reader.Name("rack");
      vm.m_total = {reader.Integer("processors", kVmProcessors) * 1'000,
                    reader.Integer("memory_mb", kVmMemoryMb),
                    reader.Integer("accelerators", kVmAccelerators)};
      reader.Finish();
      AddUnique(ids, vm.m_id, reader.Place("id"), m_inventory);
      m_builder.AddVm(std::move(vm));
    }
  }

  Endpoint ReadAddress(JsonObjectReader& reader) {
    const std::string text = reader.Text("address");
    const Result<Endpoint> parsed = ParseEndpoint(text);
    in_addr ignored{};
    if (parsed && inet_pton(AF_INET, parsed->m_host.c_str(), &ignored) == 1) {
      return *parsed;
    }
    if (!text.empty()) {
      m_inventory.Add(reader.Place("address"),
                      fmt::format("\"{}\" is not an address", text),
                      "write IPv4 address and port, such as 10.0.0.1:7000");
    }
    return {};
  }

  void ReadKeys(const json& keys) {
    std::set<std::string> ids;
    for (std::size_t i = 0; i < keys.size(); ++i) {
      JsonObjectReader reader(keys[i], At("keys", i), &m_inventory);
      KeyRecord key;
      key.m_id = reader.Name("id");
      key.m_team = reader.Name("team");
      key.m_operator = reader.OptionalBool("operator");
      key.m_salt_hex = reader.Hex("salt", kSaltDigits);
      key.m_hash_hex = reader.Hex("hash", kHashDigits);
      reader.Finish();
      CheckKeyId(key.m_id, reader.Place("id"));
      AddUnique(ids, key.m_id, reader.Place("id"), m_inventory);
      CheckTeam(key.m_team, reader.Place("team"), m_inventory);
      m_builder.AddKey(std::move(key));
    }
  }

  // A presented key is "<id>.<secret>", so an id with a dot never matches.
  void CheckKeyId(const std::string& id, const std::string& place) {
    if (id.find('.') != std::string::npos) {
      m_inventory.Add(place, "has a dot, which separates id and secret",
                      "use a hyphen");
    }
  }

  void ReadTeamRules(const json& rules) {
    std::set<std::string> ruled;
    for (std::size_t i = 0; i < rules.size(); ++i) {
      JsonObjectReader reader(rules[i], At("teams", i), &m_rules);
      TeamRecord team;
      team.m_name = reader.Name("team");
      team.m_share = reader.Number("share", kShare);
      team.m_limit = ReadLimit(reader.Object("limit"), reader.Place("limit"));
      reader.Finish();
      AddUnique(ruled, team.m_name, reader.Place("team"), m_rules);
      CheckTeam(team.m_name, reader.Place("team"), m_rules);
      m_builder.AddTeam(std::move(team));
    }
    for (const std::string& team : m_teams) {
      if (!ruled.contains(team)) {
        m_rules.Add("teams", fmt::format("team \"{}\" has no rule", team),
                    "add its share and limit, or remove the team from "
                    "inventory.json");
      }
    }
  }

  Resources ReadLimit(const json& limit, const std::string& place) {
    JsonObjectReader reader(limit, place, &m_rules);
    const double processors = reader.Number("processors", kLimitProcessors);
    const Resources parsed{std::llround(processors * kMillis),
                           reader.Integer("memory_mb", kLimitMemoryMb),
                           reader.Integer("accelerators", kLimitAccelerators)};
    reader.Finish();
    return parsed;
  }

  void ReadOpenQueues(const json& queues) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < queues.size(); ++i) {
      JsonObjectReader reader(queues[i], At("open_queues", i), &m_rules);
      OpenQueue queue{reader.Name("name"), reader.Name("team")};
      reader.Finish();
      AddUnique(names, queue.m_name, reader.Place("name"), m_rules);
      CheckTeam(queue.m_team, reader.Place("team"), m_rules);
      m_builder.AddOpenQueue(std::move(queue));
    }
  }

  ProblemList m_inventory;
  ProblemList m_rules;
  std::set<std::string> m_teams;
  ConfigurationBuilder m_builder;
};

using OrderedJson = nlohmann::ordered_json;

// A list with one record a line, so that version control shows single records.
std::string ListText(const std::vector<OrderedJson>& records) {
  std::string text = "[";
  for (std::size_t i = 0; i < records.size(); ++i) {
    text += i == 0 ? "\n    " : ",\n    ";
    text += records[i].dump();
  }
  return text + (records.empty() ? "]" : "\n  ]");
}

OrderedJson VmJson(const VmRecord& vm) {
  return {{"id", vm.m_id},
          {"address", ToString(vm.m_address)},
          {"zone", vm.m_zone},
          {"rack", vm.m_rack},
          {"processors", vm.m_total.m_cpu_millis / 1'000},
          {"memory_mb", vm.m_total.m_memory_mb},
          {"accelerators", vm.m_total.m_accelerators}};
}

OrderedJson KeyJson(const KeyRecord& key) {
  OrderedJson record = {{"id", key.m_id}, {"team", key.m_team}};
  if (key.m_operator) {
    record["operator"] = true;
  }
  record["salt"] = key.m_salt_hex;
  record["hash"] = key.m_hash_hex;
  return record;
}

OrderedJson RuleJson(const TeamRecord& team) {
  const OrderedJson limit = {
      {"processors", static_cast<double>(team.m_limit.m_cpu_millis) / kMillis},
      {"memory_mb", team.m_limit.m_memory_mb},
      {"accelerators", team.m_limit.m_accelerators}};
  return {{"team", team.m_name}, {"share", team.m_share}, {"limit", limit}};
}

template <typename Record, typename Convert>
std::string RecordsText(const std::vector<Record>& records, Convert convert) {
  std::vector<OrderedJson> converted;
  converted.reserve(records.size());
  for (const Record& record : records) {
    converted.push_back(convert(record));
  }
  return ListText(converted);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return Fail(ErrorCode::kNotFound, "file_unreadable",
                fmt::format("{} cannot be read; check the folder and its "
                            "permissions",
                            path));
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

std::string ToString(const Problem& problem) {
  return fmt::format("{}: {}{}{}; {}", problem.m_file, problem.m_place,
                     problem.m_place.empty() ? "" : " ", problem.m_message,
                     problem.m_remedy);
}

Checked<Configuration> ParseConfiguration(const ConfigurationFiles& files,
                                          ConfigurationRevision revision) {
  return FilesParser().Parse(files, revision);
}

std::vector<Problem> Validate(const ConfigurationFiles& files) {
  auto parsed = ParseConfiguration(files, 0);
  return parsed ? std::vector<Problem>{} : std::move(parsed.error());
}

ConfigurationFiles ToFiles(const Configuration& configuration) {
  const auto team_name = [](const TeamRecord& team) {
    return OrderedJson(team.m_name);
  };
  const auto queue = [](const OpenQueue& open) {
    return OrderedJson{{"name", open.m_name}, {"team", open.m_team}};
  };
  return {
      fmt::format("{{\n  \"vms\": {},\n  \"teams\": {},\n  \"keys\": {}\n}}\n",
                  RecordsText(configuration.Vms(), VmJson),
                  RecordsText(configuration.Teams(), team_name),
                  RecordsText(configuration.Keys(), KeyJson)),
      fmt::format("{{\n  \"teams\": {},\n  \"open_queues\": {}\n}}\n",
                  RecordsText(configuration.Teams(), RuleJson),
                  RecordsText(configuration.OpenQueues(), queue))};
}

Result<ConfigurationFiles> ReadFolder(const std::string& folder) {
  auto inventory = ReadFile(folder + "/" + kInventoryFile);
  if (!inventory) {
    return tl::unexpected(inventory.error());
  }
  auto rules = ReadFile(folder + "/" + kRulesFile);
  if (!rules) {
    return tl::unexpected(rules.error());
  }
  return ConfigurationFiles{std::move(*inventory), std::move(*rules)};
}

Result<void> WriteFolder(const std::string& folder,
                         const ConfigurationFiles& files) {
  std::ofstream inventory(folder + "/" + kInventoryFile, std::ios::binary);
  inventory << files.m_inventory << std::flush;
  std::ofstream rules(folder + "/" + kRulesFile, std::ios::binary);
  rules << files.m_rules << std::flush;
  if (!inventory || !rules) {
    return Fail(ErrorCode::kUnavailable, "folder_not_writable",
                fmt::format("the files in {} cannot be written; create the "
                            "folder or check its permissions",
                            folder));
  }
  return {};
}

}  // namespace mustardslip
