// Case 6: one job comes that can never be done, a gang whose tasks ask for GPUs
// where no worker has any. Judged are the other jobs.
#include "bed.h"

namespace {

constexpr std::size_t kWorkers = 8;
constexpr std::int64_t kTrafficFromMs = 8'000;
constexpr std::int64_t kHopelessAtMs = 10'000;
constexpr std::int64_t kTrafficEndMs = 40'000;
constexpr std::int64_t kJudgedFromMs = kTrafficEndMs + bed::kFinishMs;
constexpr std::int64_t kJudgedMs = 3'000;
constexpr std::int64_t kGapMs = 100;

int Play(bed::Bed& bed) {
  // Accepted sound jobs and the tasks of theirs that are done.
  std::map<std::string, std::set<std::string>> accepted;
  std::map<std::string, std::set<std::string>> done;
  std::map<std::string, int> running;
  std::set<std::string> idle;
  bool judging = false;
  bool hopeless_accepted = false;
  const std::string hopeless = bed::JobId(1);

  const auto job_of = [](const std::string& task) {
    return task.substr(0, task.find('.'));
  };
  bed::Worker::Events events;
  events.m_on_start = [&](const std::string& worker, const auto& run) {
    bed.Rec().Line(worker + ": starts " + run.first + " run " +
                   std::to_string(run.second));
    ++running[job_of(run.first)];
    idle.erase(job_of(run.first));
  };
  events.m_on_end = [&](const std::string& worker, const auto& run,
                        const std::string& how) {
    bed.Rec().Line(worker + ": " + run.first + " run " +
                   std::to_string(run.second) + " ended " + how);
    --running[job_of(run.first)];
    if (how == "done") {
      done[job_of(run.first)].insert(run.first);
    }
  };
  events.m_on_noted = [](const auto&, const std::string&) {};
  events.m_on_crash = [](const std::string&, const auto&) {};
  bed.PutConfiguration(3);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    bed.AddWorker(events, 3'000);
  }
  for (int i = 0; i < 3; ++i) {
    bed.AddDaemon();
  }

  // The mean of counter-lookup on the site's sheet.
  const bed::Json sound = {{"spec", bed::Json{{"work_ms", 1'000}}.dump()},
                           {"steps",
                            {{{"count", 2},
                              {"cpu", 5'600},
                              {"mem_mb", 8'000},
                              {"estimate_ms", 1'000}}}}};
  // It asks for GPUs, of which the fleet has none.
  const bed::Json gang = {{"spec", bed::Json{{"work_ms", 4'000}}.dump()},
                          {"steps",
                           {{{"count", 4},
                             {"cpu", 18'000},
                             {"mem_mb", 33'000},
                             {"gpu", 1},
                             {"estimate_ms", 4'000},
                             {"gang", true}}}}};
  std::function<void(unsigned)> submit_sound = [&](unsigned number) {
    const std::string id = bed::JobId(number);
    bed.CallUntilAnswered("POST", id, sound.dump(),
                          [&, id](int status, const std::string&) {
                            if (status / 100 == 2) {
                              accepted[id];
                            }
                          });
    if (bed.NowMs() < kTrafficEndMs) {
      bed.Loop().After(kGapMs, [&, number] { submit_sound(number + 1); });
    }
  };
  bed.Loop().After(kTrafficFromMs, [&] { submit_sound(100); });
  if (bed.Trouble()) {
    bed.Loop().After(kHopelessAtMs, [&] {
      bed.CallUntilAnswered("POST", hopeless, gang.dump(),
                            [&](int status, const std::string&) {
                              hopeless_accepted = status / 100 == 2;
                            });
    });
  }
  const auto waits = [&](const std::string& id) {
    return running[id] == 0 && done[id].size() < 2;
  };
  bed.Loop().After(kJudgedFromMs, [&] {
    judging = true;
    for (const auto& [id, tasks] : accepted) {
      if (waits(id)) {
        idle.insert(id);
      }
    }
    std::size_t in_use = 0;
    for (const auto& worker : bed.Workers()) {
      in_use += worker->RunCount();
    }
    bed.Rec().Line(
        "runs on all workers: " + std::to_string(in_use) +
        ", jobs with nothing running: " + std::to_string(idle.size()));
  });
  bed.Loop().After(kJudgedFromMs + kJudgedMs, [&] {
    for (const std::string& id : std::set<std::string>(idle)) {
      if (!waits(id)) {
        idle.erase(id);
      }
    }
    if (idle.empty()) {
      bed.Loop().Stop();
      return;
    }
    bed.CallUntilAnswered("GET", *idle.begin(), "",
                          [&](int, const std::string&) { bed.Loop().Stop(); });
  });
  bed.Loop().Run();

  std::size_t complete = 0;
  for (const auto& [id, tasks] : done) {
    complete += tasks.size() == 2 ? 1 : 0;
  }
  bed.Rec().Line("accepted " + std::to_string(accepted.size()) +
                 " sound jobs, done " + std::to_string(complete) +
                 ", with nothing running for 3 s at the end: " +
                 std::to_string(idle.size()));
  if (!judging || complete == 0 || (bed.Trouble() && !hopeless_accepted)) {
    return 2;
  }
  return idle.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) { return bed::Main(argc, argv, Play); }
