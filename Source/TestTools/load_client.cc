// A load client: sends service requests over many connections to several
// daemons, retries at once, and compares what it was told with the journal of
// the worker stand-in.
//
// Prints one JSON line. Exit codes: 0 without contradictions, 1 with them, or
// if
// --expect_done is set and a request was not done, 2 for wrong usage.
#include <absl/flags/flag.h>
#include <fmt/core.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "common/random_id.h"
#include "common/settings.h"
#include "journal_reader.h"
#include "load_record.h"
#include "transport/http_client.h"

ABSL_FLAG(std::vector<std::string>, targets, {}, "host:port of the daemons");
ABSL_FLAG(std::string, journal, "",
          "host:port of the worker stand-in; empty: no comparison");
ABSL_FLAG(std::string, key, "", "the caller's key");
ABSL_FLAG(std::string, service, "finder", "name of the service");
ABSL_FLAG(int, connections, 8, "connections at once");
ABSL_FLAG(int, requests, 1'000, "requests in all");
ABSL_FLAG(int, tries, 5, "most tries for a request");
ABSL_FLAG(int, retry_pause_ms, 0, "pause before a retry, in milliseconds");
ABSL_FLAG(int, timeout_ms, 10'000, "timeout of a try, in milliseconds");
ABSL_FLAG(int, work_ms, 0, "work of each request, in milliseconds");
ABSL_FLAG(int, body_bytes, 0, "size of filler in each request, in bytes");
ABSL_FLAG(bool, non_idempotent, false, "mark requests as non-idempotent");
ABSL_FLAG(bool, expect_done, false, "fail if a request was not done");

namespace mustardslip {
namespace {

using Json = nlohmann::json;

struct Call {
  std::string m_id;
  std::string m_body;
};

Call MakeCall(int number) {
  Call call;
  call.m_id = RandomHexId();
  Json body = {{"marker", fmt::format("{}-{}", call.m_id, number)}};
  if (absl::GetFlag(FLAGS_work_ms) > 0) {
    body["work_ms"] = absl::GetFlag(FLAGS_work_ms);
  }
  if (absl::GetFlag(FLAGS_body_bytes) > 0) {
    body["filler"] = std::string(
        static_cast<std::size_t>(absl::GetFlag(FLAGS_body_bytes)), 'f');
  }
  call.m_body = body.dump();
  return call;
}

HttpCall MakeHttpCall(const Call& call) {
  HttpCall http;
  http.m_method = "POST";
  http.m_target = "/v1/services/" + absl::GetFlag(FLAGS_service) + "/requests";
  http.m_headers = {
      {"Authorization", "Bearer " + absl::GetFlag(FLAGS_key)},
      {"X-Request-Id", call.m_id},
      {"X-Timeout-Ms", std::to_string(absl::GetFlag(FLAGS_timeout_ms))}};
  if (absl::GetFlag(FLAGS_non_idempotent)) {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    http.m_headers["Idempotency-Key"] =
        fmt::format("{}.{}", seconds, call.m_id);
    http.m_headers["X-Non-Idempotent"] = "true";
  }
  http.m_body = call.m_body;
  // The daemon answers within the timeout; the client waits a little longer.
  http.m_timeout = Milliseconds(absl::GetFlag(FLAGS_timeout_ms) + 5'000);
  return http;
}

Told Classify(const Result<HttpResponse>& response, const Call& call,
              RequestRecord& record, LoadRecord& records) {
  if (!response) {
    records.CountReason(response.error().Reason());
    return response.error().HadNoEffect() ? Told::kNotRun : Told::kNoAnswer;
  }
  const auto outcome = response->m_headers.find("x-outcome");
  if (outcome != response->m_headers.end()) {
    // The stand-in echoes the request id and the whole body.
    if (response->m_body.find(call.m_id) == std::string::npos ||
        !response->m_body.ends_with(call.m_body)) {
      record.m_wrong_answer = true;
    }
    return Told::kDone;
  }
  const Json json = Json::parse(response->m_body, nullptr, false);
  const std::string text = json.is_object() ? json.value("outcome", "") : "";
  records.CountReason(json.is_object() ? json.value("reason", "?") : "?");
  if (text == "outcome_unknown") {
    return Told::kUnknown;
  }
  if (text == "not_run") {
    return response->m_status >= 500 || response->m_status == 429
               ? Told::kNotRun
               : Told::kRejected;
  }
  return Told::kUnknown;
}

class Worker {
 public:
  Worker(LoadRecord& records, std::atomic<int>& next, std::size_t first_target)
      : m_records(records), m_next(next), m_target(first_target) {
    for (const std::string& text : absl::GetFlag(FLAGS_targets)) {
      m_clients.push_back(std::make_unique<HttpClient>(*ParseEndpoint(text)));
    }
  }

  void Run() {
    while (true) {
      const int number = m_next++;
      if (number >= absl::GetFlag(FLAGS_requests)) {
        return;
      }
      const Call call = MakeCall(number);
      m_records.Add(call.m_id, Send(call));
    }
  }

 private:
  RequestRecord Send(const Call& call) {
    RequestRecord record;
    const HttpCall http = MakeHttpCall(call);
    const auto begin = std::chrono::steady_clock::now();
    const int tries = absl::GetFlag(FLAGS_tries);
    for (int attempt = 0; attempt < tries; ++attempt) {
      // A balancer sends each try to any daemon.
      HttpClient& client = *m_clients[m_target++ % m_clients.size()];
      const Told told = Classify(client.Send(http), call, record, m_records);
      record.m_told.push_back(told);
      if (told == Told::kDone || told == Told::kRejected) {
        break;
      }
      std::this_thread::sleep_for(
          Milliseconds(absl::GetFlag(FLAGS_retry_pause_ms)));
    }
    record.m_latency_us = std::chrono::duration_cast<std::chrono::microseconds>(
                              std::chrono::steady_clock::now() - begin)
                              .count();
    return record;
  }

  LoadRecord& m_records;
  std::atomic<int>& m_next;
  std::size_t m_target;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
};

std::vector<std::string> CompareWithJournal(const LoadRecord& records) {
  if (absl::GetFlag(FLAGS_journal).empty()) {
    return {};
  }
  const auto journal = ReadJournal(absl::GetFlag(FLAGS_journal));
  if (!journal) {
    return {"the journal cannot be read"};
  }
  return records.Compare(CountRuns(*journal),
                         !absl::GetFlag(FLAGS_non_idempotent));
}

int RunLoad() {
  LoadRecord records;
  std::atomic<int> next = 0;
  const auto begin = std::chrono::steady_clock::now();
  {
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_connections)));
    for (int i = 0; i < absl::GetFlag(FLAGS_connections); ++i) {
      threads.emplace_back([&records, &next, i] {
        Worker(records, next, static_cast<std::size_t>(i)).Run();
      });
    }
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  const LoadSummary summary = records.Summary();
  std::vector<std::string> contradictions = CompareWithJournal(records);
  const int requests = absl::GetFlag(FLAGS_requests);
  const auto done = summary.m_last_answers.find("done");
  const std::int64_t done_count =
      done == summary.m_last_answers.end() ? 0 : done->second;
  Json line = {{"requests", requests},
               {"tries", summary.m_tries},
               {"seconds", seconds},
               {"done_per_second", static_cast<double>(done_count) / seconds},
               {"last_answers", summary.m_last_answers},
               {"reasons", summary.m_reasons},
               {"p50_us", summary.m_p50_us},
               {"p99_us", summary.m_p99_us},
               {"max_us", summary.m_max_us},
               {"contradictions", contradictions.size()}};
  if (!contradictions.empty()) {
    contradictions.resize(std::min<std::size_t>(contradictions.size(), 5));
    line["first_contradictions"] = contradictions;
  }
  fmt::print("{}\n", line.dump());
  const bool missed = absl::GetFlag(FLAGS_expect_done) && done_count < requests;
  return contradictions.empty() && !missed ? 0 : 1;
}

}  // namespace
}  // namespace mustardslip

int main(int argc, char** argv) {
  const mustardslip::SettingsTable table(
      {"targets", "journal", "key", "service", "connections", "requests",
       "tries", "retry_pause_ms", "timeout_ms", "work_ms", "body_bytes",
       "non_idempotent", "expect_done"});
  const auto parsed = table.Parse(argc, argv);
  if (!parsed || absl::GetFlag(FLAGS_targets).empty()) {
    fmt::print(stderr, "{}\n",
               parsed ? "--targets is missing" : parsed.error().Message());
    return mustardslip::kUsageExitCode;
  }
  return mustardslip::RunLoad();
}
