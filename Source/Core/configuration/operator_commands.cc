// Each command talks HTTP to a daemon or reads files, and prints the outcome.
#include "configuration/operator_commands.h"

#include <fmt/core.h>

#include <array>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "admission/key_verifier.h"
#include "common/random_id.h"
#include "configuration/configuration_api.h"
#include "configuration/dry_run_text.h"
#include "configuration/json_object_reader.h"
#include "report/burn_report.h"
#include "store/store_client.h"
#include "transport/http_client.h"

namespace mustardslip {
namespace {

using nlohmann::json;

// A change is a handful of store calls; a slow store needs seconds.
constexpr Milliseconds kCallTimeout{15'000};
// A daemon explains a submission with this header instead of accepting it.
constexpr const char* kDryRunHeader = "Mustardslip-Dry-Run";

class CommandRunner {
 public:
  CommandRunner(const CommandOptions& options, std::ostream& out,
                std::ostream& err)
      : m_options(options), m_out(out), m_err(err) {}

  int ValidateFolder();
  int DiffFolder();
  int ApplyFolder();
  int BootstrapStore();
  int GetFiles();
  int ShowStatus();
  int ExplainJob();
  int DryRunJob();
  int ReportBurn();
  int IssueKey();

 private:
  const std::string& Argument(std::size_t index) const {
    return m_options.m_arguments.at(index);
  }

  int Failed(const std::string& message) {
    m_err << message << "\n";
    return kCommandFailed;
  }

  int Failed(const Error& error) {
    return Failed(fmt::format("{}: {}", error.Reason(), error.Message()));
  }

  // The files of a folder if they are valid; else prints why.
  Result<ConfigurationFiles> ReadValid(const std::string& folder);
  Result<HttpResponse> Call(const std::string& method,
                            const std::string& target,
                            const std::string& body = "",
                            HttpFields headers = {});
  // The response if its status is 200; else an error with what the server said.
  Result<HttpResponse> CallOk(const std::string& target);
  Result<ConfigurationBody> FetchConfiguration();
  int PrintJson(const std::string& target);
  int PrintApplied(const HttpResponse& response);

  const CommandOptions& m_options;
  std::ostream& m_out;
  std::ostream& m_err;
};

Result<HttpResponse> CommandRunner::Call(const std::string& method,
                                         const std::string& target,
                                         const std::string& body,
                                         HttpFields headers) {
  const auto endpoint = ParseEndpoint(m_options.m_server);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  headers["Authorization"] = "Bearer " + m_options.m_key;
  headers["Content-Type"] = "application/json";
  HttpClient client(*endpoint);
  return client.Send({.m_method = method,
                      .m_target = target,
                      .m_headers = std::move(headers),
                      .m_body = body,
                      .m_timeout = kCallTimeout,
                      .m_connection = Connection::kFresh});
}

Result<HttpResponse> CommandRunner::CallOk(const std::string& target) {
  auto response = Call("GET", target);
  if (response && response->m_status != 200) {
    return Fail(ErrorCode::kUnavailable,
                fmt::format("status {}", response->m_status), response->m_body);
  }
  return response;
}

Result<ConfigurationBody> CommandRunner::FetchConfiguration() {
  auto response = CallOk("/v1/config");
  if (!response) {
    return tl::unexpected(response.error());
  }
  return DecodeConfigurationBody(response->m_body);
}

Result<ConfigurationFiles> CommandRunner::ReadValid(const std::string& folder) {
  auto files = ReadFolder(folder);
  if (!files) {
    return files;
  }
  std::string text;
  for (const Problem& problem : Validate(*files)) {
    text += "\n" + ToString(problem);
  }
  if (!text.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_configuration", text);
  }
  return files;
}

int CommandRunner::ValidateFolder() {
  const auto files = ReadValid(Argument(1));
  if (!files) {
    return Failed(files.error());
  }
  const auto parsed = ParseConfiguration(*files, 0);
  m_out << fmt::format("valid: {} VMs in {} zones, {} teams, {} keys\n",
                       parsed->Vms().size(), parsed->Zones().size(),
                       parsed->Teams().size(), parsed->Keys().size());
  return kCommandOk;
}

int CommandRunner::DiffFolder() {
  const auto files = ReadValid(Argument(1));
  if (!files) {
    return Failed(files.error());
  }
  const auto server = FetchConfiguration();
  if (!server) {
    return Failed(server.error());
  }
  const auto theirs =
      server->m_revision == 0
          ? Checked<Configuration>(Configuration{})
          : ParseConfiguration(server->m_files, server->m_revision);
  if (!theirs) {
    return Failed(
        "the server's files are not valid here; use the same "
        "version of mustardslip");
  }
  m_out << fmt::format("server revision {}\n", server->m_revision);
  for (const std::string& line :
       Diff(*theirs, *ParseConfiguration(*files, 0))) {
    m_out << line << "\n";
  }
  return kCommandOk;
}

int CommandRunner::PrintApplied(const HttpResponse& response) {
  const json body = json::parse(response.m_body, nullptr, false);
  if (!body.is_object()) {
    return Failed(
        fmt::format("status {}: {}", response.m_status, response.m_body));
  }
  const bool is_applied = response.m_status == 200;
  std::ostream& stream = is_applied ? m_out : m_err;
  if (is_applied) {
    stream << "applied: revision " << body.value("revision", 0) << "\n";
  } else if (response.m_status == 409) {
    stream << fmt::format(
        "conflict: the server is at revision {}; changed since your base:\n",
        body.value("revision", 0));
  } else {
    stream << fmt::format("refused: {} {}\n", body.value("reason", "unknown"),
                          body.value("message", ""));
  }
  for (const char* list : {"changes", "problems"}) {
    for (const json& line : body.value(list, json::array())) {
      stream << "  " << line.get<std::string>() << "\n";
    }
  }
  return is_applied ? kCommandOk : kCommandFailed;
}

int CommandRunner::ApplyFolder() {
  if (m_options.m_base_revision < 0) {
    m_err << "apply needs --base_revision, the revision that `mustardslip get` "
             "printed\n";
    return kCommandUsage;
  }
  const auto files = ReadValid(Argument(1));
  if (!files) {
    return Failed(files.error());
  }
  const auto response = Call(
      "PUT",
      fmt::format("/v1/config?base_revision={}", m_options.m_base_revision),
      EncodeConfigurationBody({m_options.m_base_revision, *files}));
  if (!response) {
    const Error& error = response.error();
    return Failed(fmt::format("{}: {}", error.Reason(),
                              error.HadNoEffect()
                                  ? "nothing was changed"
                                  : "the change may have been accepted; check "
                                    "with `mustardslip diff`"));
  }
  return PrintApplied(*response);
}

// The first configuration cannot be sent to a daemon, which has no keys to
// check the operator against. Without a revision no daemon honours keys, so
// that no hold has to be respected; the compare-and-swap rules out a second
// bootstrap.
int CommandRunner::BootstrapStore() {
  const auto files = ReadValid(Argument(1));
  if (!files) {
    return Failed(files.error());
  }
  const auto endpoint = ParseEndpoint(m_options.m_store);
  if (!endpoint) {
    m_err << "bootstrap needs --store=host:port\n";
    return kCommandUsage;
  }
  StoreClient store(*endpoint, kCallTimeout);
  const auto applied = ConfigurationStore<StoreClient>(store).Apply(0, *files);
  if (!applied && applied.error().Code() == ErrorCode::kConflict) {
    return Failed("the store has a configuration already; use apply");
  }
  if (!applied) {
    return Failed(applied.error());
  }
  m_out << "applied: revision 1\n";
  return kCommandOk;
}

int CommandRunner::GetFiles() {
  const auto server = FetchConfiguration();
  if (!server) {
    return Failed(server.error());
  }
  if (m_options.m_arguments.size() > 1) {
    if (auto written = WriteFolder(Argument(1), server->m_files); !written) {
      return Failed(written.error());
    }
  } else {
    m_out << server->m_files.m_inventory << server->m_files.m_rules;
  }
  m_out << fmt::format("revision {}\n", server->m_revision);
  return kCommandOk;
}

int CommandRunner::PrintJson(const std::string& target) {
  const auto response = CallOk(target);
  if (!response) {
    return Failed(response.error());
  }
  const json body = json::parse(response->m_body, nullptr, false);
  m_out << (body.is_discarded() ? response->m_body : body.dump(2)) << "\n";
  return kCommandOk;
}

int CommandRunner::ShowStatus() { return PrintJson("/v1/status"); }

int CommandRunner::ExplainJob() {
  return PrintJson(
      fmt::format("/v1/jobs/{}/explain", EncodePercent(Argument(1))));
}

// Sends the job with the header that makes it a dry run, under an id that no
// job has: nothing is accepted, whatever answers.
int CommandRunner::DryRunJob() {
  const std::string& queue = Argument(1);
  const std::size_t slash = queue.find('/');
  std::ifstream file(Argument(2));
  const std::string job((std::istreambuf_iterator<char>(file)),
                        std::istreambuf_iterator<char>());
  if (slash == std::string::npos || slash == 0 || !file) {
    m_err << "dry-run needs HOST/PATH of a queue and a file with the job\n";
    return kCommandUsage;
  }
  std::string target = queue.substr(slash);
  if (target.back() != '/') {
    target += '/';
  }
  constexpr std::size_t kJobIdDigits = 16;
  const auto response =
      Call("POST", target + RandomHexId().substr(0, kJobIdDigits), job,
           {{"Host", queue.substr(0, slash)}, {kDryRunHeader, "true"}});
  if (!response) {
    return Failed(response.error());
  }
  const json result = json::parse(response->m_body, nullptr, false);
  if (response->m_status != 200 || !result.is_object() ||
      !result.contains("decision")) {
    return Failed(
        fmt::format("status {}: {}", response->m_status, response->m_body));
  }
  m_out << (m_options.m_json ? result.dump(2) + "\n" : DryRunText(result));
  return kCommandOk;
}

int CommandRunner::ReportBurn() {
  if (m_options.m_json) {
    return PrintJson("/v1/report/burn");
  }
  const auto response = CallOk("/v1/report/burn");
  if (!response) {
    return Failed(response.error());
  }
  try {
    m_out << ToText(BurnLinesFromJson(json::parse(response->m_body)));
  } catch (const json::exception& error) {
    return Failed(fmt::format("the report is malformed: {}", error.what()));
  }
  return kCommandOk;
}

int CommandRunner::IssueKey() {
  if (!IsName(Argument(2))) {
    m_err << "a team's name has 1 to 64 letters, digits, dots, underscores or "
             "hyphens\n";
    return kCommandUsage;
  }
  const NewKey key = MakeKey(Argument(2), m_options.m_operator);
  nlohmann::ordered_json record = {{"id", key.m_record.m_id},
                                   {"team", key.m_record.m_team}};
  if (key.m_record.m_operator) {
    record["operator"] = true;
  }
  record["salt"] = key.m_record.m_salt_hex;
  record["hash"] = key.m_record.m_hash_hex;
  m_out << "key (shown only once):      " << key.m_presented << "\n"
        << "record for inventory.json:  " << record.dump() << "\n";
  return kCommandOk;
}

struct Command {
  const char* m_name;
  // The second word, or null.
  const char* m_word;
  std::size_t m_least_arguments;
  std::size_t m_most_arguments;
  const char* m_usage;
  bool m_needs_server;
  int (CommandRunner::*m_run)();
};

constexpr std::array<Command, 10> kCommands = {{
    {"validate", nullptr, 2, 2, "validate DIR", false,
     &CommandRunner::ValidateFolder},
    {"diff", nullptr, 2, 2, "diff DIR --server=HOST:PORT", true,
     &CommandRunner::DiffFolder},
    {"apply", nullptr, 2, 2, "apply DIR --server=HOST:PORT --base_revision=N",
     true, &CommandRunner::ApplyFolder},
    {"bootstrap", nullptr, 2, 2, "bootstrap DIR --store=HOST:PORT", false,
     &CommandRunner::BootstrapStore},
    {"get", nullptr, 1, 2, "get [DIR] --server=HOST:PORT", true,
     &CommandRunner::GetFiles},
    {"status", nullptr, 1, 1, "status --server=HOST:PORT", true,
     &CommandRunner::ShowStatus},
    {"explain", nullptr, 2, 2, "explain JOB --server=HOST:PORT", true,
     &CommandRunner::ExplainJob},
    {"dry-run", nullptr, 3, 3,
     "dry-run HOST/PATH FILE [--json] --server=HOST:PORT", true,
     &CommandRunner::DryRunJob},
    {"report", "burn", 2, 2, "report burn [--json] --server=HOST:PORT", true,
     &CommandRunner::ReportBurn},
    {"key", "new", 3, 3, "key new TEAM [--operator]", false,
     &CommandRunner::IssueKey},
}};

bool Matches(const Command& command, const std::vector<std::string>& words) {
  const bool has_name = !words.empty() && words[0] == command.m_name;
  const bool has_word = command.m_word == nullptr ||
                        (words.size() > 1 && words[1] == command.m_word);
  return has_name && has_word && words.size() >= command.m_least_arguments &&
         words.size() <= command.m_most_arguments;
}

}  // namespace

std::string CommandHelp() {
  std::string text = "commands:\n";
  for (const Command& command : kCommands) {
    text += fmt::format("  mustardslip {}\n", command.m_usage);
  }
  return text +
         "The operator key is read from MUSTARDSLIP_KEY or --key_file.\n";
}

int RunCommand(const CommandOptions& options, std::ostream& out,
               std::ostream& err) {
  CommandRunner runner(options, out, err);
  for (const Command& command : kCommands) {
    if (!Matches(command, options.m_arguments)) {
      continue;
    }
    if (command.m_needs_server && !ParseEndpoint(options.m_server)) {
      err << "give a daemon's address by --server=host:port\n";
      return kCommandUsage;
    }
    return (runner.*command.m_run)();
  }
  err << CommandHelp();
  return kCommandUsage;
}

}  // namespace mustardslip
