// All workers but one of eight are full. The one with room is lost for good
// just before ten jobs come, which are sent there and never begin. The queue's
// count of waiting jobs is read from 9 s after that on.
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
constexpr int kJobs = 10;
constexpr std::int64_t kWorkerCpu = 64'000;
constexpr std::int64_t kLostWorkerCpu = 62'000;
constexpr std::int64_t kJobCpu = 6'000;
constexpr std::int64_t kTaskMs = 100'000;
// visible_ms (3,000) and 2 s more, and 4 s for the leases.
constexpr std::int64_t kWaitMs = 9'000;
constexpr int kReadings = 15;

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
    options.m_cpu = i == 0 ? kLostWorkerCpu : kWorkerCpu;
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
  SleepMs(3'000);
  // Fills all workers but the smaller one.
  if (client
          .Send(daemons[0]->Port(), "POST", "/jobs/d000000000000001",
                review::JobBody(kWorkers - 1, kWorkerCpu, kTaskMs))
          .m_status != 200) {
    return review::kCouldNotRun;
  }
  SleepMs(4'000);
  if (trouble) {
    workers[0]->GoDark();
  }
  std::vector<std::string> accepted;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "d0000000000000" + std::to_string(10 + i);
    if (client
            .Send(daemons[0]->Port(), "POST", "/jobs/" + job,
                  review::JobBody(1, kJobCpu, kTaskMs))
            .m_status == 200) {
      accepted.push_back(job);
    }
  }
  SleepMs(kWaitMs);
  for (int i = 0; i < kReadings; ++i) {
    int waiting = 0;
    for (const std::string& job : accepted) {
      waiting += observer.Starts(job + ".0.0.0") == 0 ? 1 : 0;
    }
    const auto answer =
        client.Send(daemons[static_cast<std::size_t>(i % kDaemons)]->Port(),
                    "GET", "/jobs/");
    const auto body = review::Json::parse(answer.m_body, nullptr, false);
    if (answer.m_status == 200 && body.is_object() &&
        2 * body.value("pending", 0) < waiting) {
      record.Violation("MIXED: pending is " +
                       std::to_string(body.value("pending", 0)) + ", and " +
                       std::to_string(waiting) +
                       " jobs accepted over 5 s before have not begun");
    }
    SleepMs(1'000);
  }
  return record.Violations() > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 3 ? Run(argv[1], argv[2]) : review::kCouldNotRun;
}
