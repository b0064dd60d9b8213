// A worker of eight ends and starts again under its id while it is idle. A job
// is sent soon after that, before the worker has checked in with the store.
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
constexpr int kRounds = 10;
constexpr std::int64_t kDownMs = 200;
// At most one check-in interval (1,500 ms).
constexpr std::int64_t kCheckInAfterMs = 1'200;
constexpr std::int64_t kJobAfterMs = 200;
constexpr std::int64_t kTaskMs = 2'500;
constexpr std::int64_t kRoundMs = 5'500;
// Each round begins at another time after the last poll of the idle worker.
constexpr std::int64_t kShiftMs = 430;

std::string JobId(int number) {
  return "a0000000000000" + std::to_string(10 + number);
}

int Run(const std::string& program, const std::string& record_path) {
  const bool trouble = review::Trouble();
  const review::Folder folder;
  review::Record record(record_path);
  review::Store store;
  store.Put("op/config", review::Configuration(1, {review::Queue{}}));
  review::Observer observer(record);
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.m_id = "i-" + std::to_string(i);
    // The first worker is a little smaller, so that jobs are placed there.
    options.m_cpu = i == 0 ? 62'000 : 64'000;
    workers.push_back(std::make_unique<Worker>(
        options, store, record, observer, [](const std::string&, int) {
          return review::Work{kTaskMs, "done"};
        }));
  }
  const auto daemons =
      review::StartDaemons(kDaemons, program, folder.Path(), store, record);
  if (!review::AwaitReady(daemons, 15'000)) {
    return review::kCouldNotRun;
  }
  Client client(record);
  SleepMs(4'000);
  for (int round = 0; round < kRounds; ++round) {
    SleepMs(round * kShiftMs % 1'500);
    const std::int64_t begin_ms = review::SteadyMs();
    if (trouble) {
      workers[0]->Crash();
      SleepMs(kDownMs);
      workers[0]->StartAgain(kCheckInAfterMs);
    }
    SleepMs(kJobAfterMs);
    const std::string path = "/jobs/" + JobId(round);
    const auto answer =
        client.Send(daemons[static_cast<std::size_t>(round % kDaemons)]->Port(),
                    "POST", path, review::JobBody(1, 4'000, kTaskMs));
    if (answer.m_status != 200 && round == 0) {
      return review::kCouldNotRun;
    }
    SleepMs(begin_ms + kRoundMs - review::SteadyMs());
  }
  SleepMs(3'000);
  for (int round = 0; round < kRounds; ++round) {
    client.Send(daemons[0]->Port(), "GET", "/jobs/" + JobId(round));
  }
  return record.Violations() > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 3 ? Run(argv[1], argv[2]) : review::kCouldNotRun;
}
