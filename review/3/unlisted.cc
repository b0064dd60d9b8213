// One worker of eight does not reach the store for 5 s, so that its entry is
// removed, while the daemons reach it. Its only run fails just before the
// worker is listed again. The job may fail twice, so the second run has to
// decide.
#include <memory>
#include <string>
#include <vector>

#include "../common/bed.h"
#include "../common/worker.h"

namespace {

using review::Client;
using review::SleepMs;
using review::Worker;
using review::WorkerOptions;

constexpr int kWorkers = 8;
constexpr int kDaemons = 3;
constexpr int kRounds = 3;
constexpr int kMaxAttempts = 2;
constexpr std::int64_t kCutAfterMs = 500;
constexpr std::int64_t kCutMs = 5'000;
// The first run fails in the last part of the cut.
constexpr std::int64_t kFailsAfterMs = kCutAfterMs + 4'750;
constexpr std::int64_t kSecondRunMs = 6'000;
constexpr std::int64_t kSettleMs = 2'500;

int Run(const std::string& program, const std::string& record_path) {
  const bool trouble = review::Trouble();
  const review::Folder folder;
  review::Record record(record_path);
  review::Store store;
  review::Queue queue;
  queue.m_max_attempts = kMaxAttempts;
  store.Put("op/config", review::Configuration(1, {queue}));
  review::Observer observer(record);
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.m_id = "i-" + std::to_string(i);
    // The first worker is a little smaller, so that jobs are placed there.
    options.m_cpu = i == 0 ? 62'000 : 64'000;
    workers.push_back(std::make_unique<Worker>(
        options, store, record, observer, [](const std::string&, int run) {
          return run == 1 ? review::Work{kFailsAfterMs, "failed"}
                          : review::Work{kSecondRunMs, "done"};
        }));
  }
  const auto daemons =
      review::StartDaemons(kDaemons, program, folder.Path(), store, record);
  if (!review::AwaitReady(daemons, 15'000)) {
    return review::kCouldNotRun;
  }
  Client client(record);
  SleepMs(3'000);
  for (int round = 0; round < kRounds; ++round) {
    const std::string job = "b00000000000000" + std::to_string(1 + round);
    const std::string path = "/jobs/" + job;
    const std::uint16_t port =
        daemons[static_cast<std::size_t>(round % kDaemons)]->Port();
    if (client.Send(port, "POST", path, review::JobBody(1, 4'000, 5'000))
            .m_status != 200) {
      return review::kCouldNotRun;
    }
    // The answer may come before the start.
    for (int i = 0; i < 100 && workers[0]->RunCount() == 0; ++i) {
      SleepMs(10);
    }
    if (workers[0]->RunCount() != 1) {
      return review::kCouldNotRun;
    }
    SleepMs(kCutAfterMs);
    workers[0]->CutFromStore(trouble);
    SleepMs(kCutMs);
    workers[0]->CutFromStore(false);
    SleepMs(kSettleMs);
    const std::string task = job + ".0.0.0";
    for (int i = 0; i < 6; ++i) {
      const auto answer = client.Send(port, "GET", path);
      const auto body = review::Json::parse(answer.m_body, nullptr, false);
      const bool failed =
          body.is_object() && body.value("state", "") == "failed";
      if (failed && observer.Failures(task) < kMaxAttempts) {
        record.Violation("LOST: job " + job + " is shown as failed, and " +
                         std::to_string(observer.Failures(task)) + " of " +
                         std::to_string(kMaxAttempts) +
                         " runs of its task have failed");
        break;
      }
      SleepMs(1'000);
    }
  }
  return record.Violations() > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 3 ? Run(argv[1], argv[2]) : review::kCouldNotRun;
}
