// Case 8: a service is cancelled while its worker is cut off for a few seconds,
// and the leading daemon is killed before the worker is back.
#include "../6/bed.h"

namespace {

constexpr std::size_t kWorkers = 10;
constexpr std::int64_t kCutAtMs = 12'000;
constexpr std::int64_t kCutMs = 4'000;
constexpr std::int64_t kCancelAtMs = 12'300;
constexpr std::int64_t kKillAtMs = 15'000;
constexpr std::int64_t kDownMs = 1'000;
constexpr std::int64_t kTrafficEndMs = 20'000;
constexpr std::int64_t kEndMs = 50'000;
// Jobs a second beside it, with a `spec` of this size.
constexpr std::int64_t kGapMs = 20;
constexpr std::size_t kSpecBytes = 3'900;

int Play(bed::Bed& bed) {
  const std::string service = bed::JobId(1);
  const std::string task = service + ".0.0.0";
  std::int64_t accepted_ms = 0;
  std::int64_t cancelled_ms = 0;
  std::int64_t gone_ms = 0;
  std::int64_t calm_ms = 0;
  int sound_done = 0;

  const auto runs = [&] {
    return std::any_of(bed.Workers().begin(), bed.Workers().end(),
                       [&](const auto& worker) { return worker->Has(task); });
  };
  bed::Worker::Events events;
  events.m_on_start = [&](const std::string& worker, const auto& run) {
    if (run.first == task) {
      bed.Rec().Line(worker + ": starts " + run.first + " run " +
                     std::to_string(run.second));
    }
  };
  events.m_on_end = [&](const std::string& worker, const auto& run,
                        const std::string& how) {
    sound_done += how == "done" ? 1 : 0;
    if (run.first == task) {
      bed.Rec().Line(worker + ": " + run.first + " run " +
                     std::to_string(run.second) + " ended " + how);
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

  const bed::Json job = {{"spec", bed::Json{{"work_ms", 0}}.dump()},
                         {"steps",
                          {{{"count", 1},
                            {"cpu", 2'000},
                            {"mem_mb", 1'024},
                            {"estimate_ms", 1'000},
                            {"long_lived", true}}}}};
  bed.Loop().After(5'000, [&] {
    bed.CallUntilAnswered("POST", service, job.dump(),
                          [&](int status, const std::string&) {
                            accepted_ms = status / 100 == 2 ? bed.NowMs() : 0;
                          });
  });
  // Sound jobs beside it.
  std::function<void(unsigned)> submit_sound = [&](unsigned number) {
    const bed::Json sound = {
        {"spec",
         bed::Json{{"work_ms", 100}, {"text", std::string(kSpecBytes, 'x')}}
             .dump()},
        {"steps",
         {{{"count", 1},
           {"cpu", 500},
           {"mem_mb", 256},
           {"estimate_ms", 100}}}}};
    bed.CallUntilAnswered("POST", bed::JobId(number), sound.dump(),
                          [](int, const std::string&) {});
    if (bed.NowMs() < kTrafficEndMs) {
      bed.Loop().After(kGapMs, [&, number] { submit_sound(number + 1); });
    }
  };
  bed.Loop().After(6'000, [&] { submit_sound(100); });
  if (bed.Trouble()) {
    bed.Loop().After(kCutAtMs, [&] {
      for (auto& worker : bed.Workers()) {
        if (worker->Has(task)) {
          worker->Cut(kCutMs, true);
        }
      }
    });
    bed.Loop().After(kKillAtMs, [&] {
      if (bed::Daemon* leader = bed.FindLeader()) {
        leader->Kill(kDownMs);
      }
    });
  }
  bed.Loop().After(kCancelAtMs, [&] {
    bed.CallUntilAnswered("DELETE", service, "",
                          [&](int status, const std::string&) {
                            cancelled_ms = status / 100 == 2 ? bed.NowMs() : 0;
                          });
  });
  std::function<void()> watch = [&] {
    if (cancelled_ms != 0 && gone_ms == 0 && !runs()) {
      gone_ms = bed.NowMs();
    }
    if (bed.NowMs() >= kEndMs) {
      bed.Loop().Stop();
      return;
    }
    bed.Loop().After(20, [&] { watch(); });
  };
  watch();
  bed.Loop().Run();

  // RULES: a task of a cancelled job has to be gone after any stretch of
  // cancel_ms + stop_ms with no disruption near.
  const std::int64_t calm_from_ms =
      bed.Trouble()
          ? std::max(kCutAtMs + kCutMs, kKillAtMs + kDownMs) + bed::kContactMs
          : cancelled_ms;
  calm_ms =
      std::max(calm_from_ms, cancelled_ms) + bed::kCancelMs + bed::kStopMs;
  bed.Rec().Line(
      "accepted at " + std::to_string(accepted_ms) + " ms, cancelled at " +
      std::to_string(cancelled_ms) + " ms, has to be gone at " +
      std::to_string(calm_ms) + " ms, was gone at " + std::to_string(gone_ms) +
      " ms (0: never), sound tasks done: " + std::to_string(sound_done));
  if (accepted_ms == 0 || cancelled_ms == 0 || sound_done == 0) {
    return 2;
  }
  return gone_ms == 0 || gone_ms > calm_ms ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return bed::Main(argc, argv, Play); }
