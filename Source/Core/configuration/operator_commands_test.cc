// Runs the operators' commands against a server with a real watcher.
#include "configuration/operator_commands.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "admission/key_verifier.h"
#include "configuration/configuration_api.h"
#include "configuration/configuration_watcher.h"
#include "configuration/test_configuration.h"
#include "configuration/test_store.h"
#include "report/burn_report.h"
#include "transport/free_port.h"
#include "transport/http_server.h"

namespace mustardslip {
namespace {

using testing::HasSubstr;

class OperatorCommandsTest : public testing::Test {
 protected:
  OperatorCommandsTest()
      : m_folder(testing::TempDir() + "operator_commands_" + RandomHexId()),
        m_watcher(m_store, {"127.0.0.1:1"}, m_clock),
        m_port(FreeLoopbackPort()),
        m_server(
            {.m_port = m_port, .m_max_body_bytes = 8'000'000},
            [this](const HttpRequest& request) { return Serve(request); }) {
    std::filesystem::create_directory(m_folder);
    EXPECT_TRUE(WriteFolder(m_folder, TestFiles()));
    EXPECT_TRUE(m_watcher.Step());
    EXPECT_TRUE(m_watcher.Step());
  }
  ~OperatorCommandsTest() override { std::filesystem::remove_all(m_folder); }

  HttpResponse Serve(const HttpRequest& request) {
    if (request.Header("authorization") != "Bearer secret") {
      return {401, {}, "unauthenticated"};
    }
    if (request.m_path == "/v1/config") {
      return request.m_method == "PUT"
                 ? HandlePutConfiguration(m_watcher, request)
                 : HandleGetConfiguration(m_watcher);
    }
    if (request.m_path == "/v1/report/burn") {
      BurnReport report;
      report.RecordOutcome("lookup", BurnKind::kUrgentStart, true,
                           m_clock.Now());
      return {200, {}, ToJson(report.Lines(m_clock.Now())).dump()};
    }
    if (request.m_path.starts_with("/queue/")) {
      EXPECT_EQ(request.Header("mustardslip-dry-run"), "true");
      EXPECT_EQ(request.Header("host"), "jobs.example");
      return m_dry_run;
    }
    return {200, {}, "{\"path\":\"" + request.m_path + "\"}"};
  }

  int Run(std::vector<std::string> arguments,
          ConfigurationRevision base_revision = -1,
          const std::string& key = "secret") {
    m_out.str("");
    m_err.str("");
    return RunCommand({.m_arguments = std::move(arguments),
                       .m_server = "127.0.0.1:" + std::to_string(m_port),
                       .m_key = key,
                       .m_base_revision = base_revision},
                      m_out, m_err);
  }

  const std::string m_folder;
  TestStore m_store;
  ManualClock m_clock;
  ConfigurationWatcher<TestStore, ManualClock> m_watcher;
  const std::uint16_t m_port;
  HttpServer m_server;
  std::ostringstream m_out;
  std::ostringstream m_err;
  HttpResponse m_dry_run;
};

TEST_F(OperatorCommandsTest, ApplyDiffGetAndConflict) {
  EXPECT_EQ(Run({"validate", m_folder}), kCommandOk);
  EXPECT_EQ(Run({"apply", m_folder}), kCommandUsage);
  EXPECT_EQ(Run({"apply", m_folder}, 0), kCommandOk) << m_err.str();
  EXPECT_THAT(m_out.str(), HasSubstr("applied: revision 1"));
  EXPECT_TRUE(WriteFolder(m_folder, TestFiles(4)));
  EXPECT_EQ(Run({"diff", m_folder}), kCommandOk);
  EXPECT_THAT(m_out.str(), HasSubstr("+ vm vm-3"));
  EXPECT_EQ(Run({"apply", m_folder}, 0), kCommandFailed);
  EXPECT_THAT(m_err.str(), HasSubstr("the server is at revision 1"));
  EXPECT_THAT(m_err.str(), HasSubstr("+ vm vm-0"));
  EXPECT_EQ(Run({"apply", m_folder}, 1), kCommandOk);
  EXPECT_EQ(Run({"get", m_folder}), kCommandOk);
  EXPECT_THAT(m_out.str(), HasSubstr("revision 2"));
  EXPECT_EQ(ReadFolder(m_folder), TestFiles(4));
}

TEST_F(OperatorCommandsTest, InvalidFilesAndRefusedKeysFail) {
  EXPECT_EQ(Run({"status"}, -1, "wrong"), kCommandFailed);
  EXPECT_THAT(m_err.str(), HasSubstr("401"));
  EXPECT_EQ(m_err.str().find("wrong"), std::string::npos);
  EXPECT_TRUE(WriteFolder(m_folder, {"{", "{}"}));
  EXPECT_EQ(Run({"apply", m_folder}, 0), kCommandFailed);
  EXPECT_THAT(m_err.str(), HasSubstr("inventory.json: line 1"));
  EXPECT_EQ(Run({"validate", m_folder + "/none"}), kCommandFailed);
  EXPECT_EQ(Run({"paint"}), kCommandUsage);
  EXPECT_EQ(Run({"apply"}), kCommandUsage);
}

// The server must check files itself: not every caller uses this program.
TEST_F(OperatorCommandsTest, ServerAnswersWithProblemsAndStoreFailures) {
  HttpRequest request{"PUT", "/v1/config", {{"base_revision", "0"}}, {}, "{}"};
  EXPECT_EQ(HandlePutConfiguration(m_watcher, request).m_status, 400);
  request.m_body = EncodeConfigurationBody({0, {"{", "{}"}});
  const HttpResponse invalid = HandlePutConfiguration(m_watcher, request);
  EXPECT_EQ(invalid.m_status, 400);
  EXPECT_THAT(invalid.m_body, HasSubstr("inventory.json: line 1"));
  request.m_query["base_revision"] = "-1";
  EXPECT_EQ(HandlePutConfiguration(m_watcher, request).m_status, 400);
  request.m_query["base_revision"] = "0";
  request.m_body = EncodeConfigurationBody({0, TestFiles()});
  m_store.FailHeadPuts(TestStore::PutFault::kDelayed, 9);
  EXPECT_EQ(HandlePutConfiguration(m_watcher, request).m_status, 504);
  m_store.SetDown(true);
  EXPECT_EQ(HandlePutConfiguration(m_watcher, request).m_status, 503);
}

TEST_F(OperatorCommandsTest, ReportsAndExplains) {
  EXPECT_EQ(Run({"report", "burn"}), kCommandOk);
  EXPECT_THAT(m_out.str(), HasSubstr("urgent_start"));
  EXPECT_EQ(Run({"explain", "3-a/b"}), kCommandOk);
  EXPECT_THAT(m_out.str(), HasSubstr("/explain"));
  EXPECT_EQ(Run({"key", "new", "lookup"}), kCommandOk);
  EXPECT_THAT(m_out.str(), HasSubstr("record for inventory.json"));
}

// Fails if the command sends a job without saying that it is a dry run, or
// takes the answer of a server that does not know dry runs for an explanation.
TEST_F(OperatorCommandsTest, DryRunTellsWhereAJobWouldGo) {
  const std::string file = m_folder + "/job.json";
  std::ofstream(file) << R"({"steps":[{"count":1}]})";
  m_dry_run = {200, {}, R"({"decision":"waits","reason":"room",
    "queue":{"name":"queue","priority":1},"team":{"name":"a","cap":null},
    "steps":[{"step":0,"tasks":1,"vms":{"full":2,"fits":0},
              "first_choices":[]}],"view":{"configuration":3}})"};
  EXPECT_EQ(Run({"dry-run", "jobs.example/queue", file}), kCommandOk)
      << m_err.str();
  EXPECT_THAT(m_out.str(), HasSubstr("decision=waits reason=room"));
  EXPECT_THAT(m_out.str(), HasSubstr("full=2"));
  EXPECT_EQ(m_out.str().find("fits"), std::string::npos);
  m_dry_run = {200, {}, ""};
  EXPECT_EQ(Run({"dry-run", "jobs.example/queue/", file}), kCommandFailed);
  m_dry_run = {401, {}, R"({"error":"unknown_key"})"};
  EXPECT_EQ(Run({"dry-run", "jobs.example/queue/", file}), kCommandFailed);
  EXPECT_THAT(m_err.str(), HasSubstr("401"));
  EXPECT_EQ(Run({"dry-run", "jobs.example", file}), kCommandUsage);
  EXPECT_EQ(Run({"dry-run", "jobs.example/queue", file + "-none"}),
            kCommandUsage);
}

}  // namespace
}  // namespace mustardslip
