// Stand-in of a worker (PROTOCOL.md, "Running tasks" and "Service discovery").
// Tasks that work together and pacing are left out.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

// What a run does: it ends as `m_how` after `m_work_ms`.
struct Work {
  std::int64_t m_work_ms = 1'000;
  std::string m_how = "done";
};

// What runs on all workers, to see whether a task runs twice.
class Observer {
 public:
  explicit Observer(Record& record) : m_record(record) {}

  void OnStart(const std::string& worker, const std::string& task, int run) {
    const std::lock_guard lock(m_mutex);
    for (const auto& [other, number] : m_running[task]) {
      m_record.Violation("TWICE: task " + task + " run " + std::to_string(run) +
                         " starts on " + worker + " while run " +
                         std::to_string(number) + " is at work on " + other);
    }
    if (m_done.count(task) != 0) {
      m_record.Violation("TWICE: task " + task + " run " + std::to_string(run) +
                         " starts on " + worker +
                         " after a run ended done and was taken note of");
    }
    m_running[task].insert({worker, run});
    ++m_starts[task];
  }

  void OnEnd(const std::string& worker, const std::string& task, int run,
             const std::string& how) {
    const std::lock_guard lock(m_mutex);
    m_running[task].erase({worker, run});
    if (how == "failed") {
      ++m_failed[task];
    }
  }

  // last_seen reached an end `done` whose lease had not lapsed.
  void OnDoneNoted(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    m_done.insert(task);
  }

  int Starts(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    return m_starts[task];
  }

  int Failures(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    return m_failed[task];
  }

 private:
  Record& m_record;
  std::mutex m_mutex;
  std::map<std::string, std::set<std::pair<std::string, int>>> m_running;
  std::set<std::string> m_done;
  std::map<std::string, int> m_starts;
  std::map<std::string, int> m_failed;
};

struct WorkerOptions {
  std::string m_id;
  std::string m_zone = "zone-a";
  std::string m_service = "cartfinder";
  std::int64_t m_cpu = 64'000;
  std::int64_t m_mem_mb = 128'000;
  std::vector<std::string> m_labels = {"a", "r1-1"};
  std::int64_t m_heartbeat_ms = 1'500;
  std::int64_t m_max_hold_ms = 10'000;
  std::int64_t m_stop_ms = 400;
};

class Worker {
 public:
  using Plan = std::function<Work(const std::string& task, int run)>;

  Worker(WorkerOptions options, Store& store, Record& record,
         Observer& observer, Plan plan)
      : m_options(std::move(options)),
        m_store(store),
        m_record(record),
        m_observer(observer),
        m_plan(std::move(plan)) {
    BeginLife();
    m_server = std::make_unique<HttpServer>(
        [this](const Request& request) { return Handle(request); });
    m_next_check_in_ms = SteadyMs();
    m_ticking = std::thread([this] { Tick(); });
  }
  ~Worker() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
      m_changed.notify_all();
    }
    m_ticking.join();
    m_server->Stop();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& Id() const { return m_options.m_id; }

  // The process ends at once and all connections break.
  void Crash() {
    {
      const std::lock_guard lock(m_mutex);
      m_up = false;
      m_changed.notify_all();
    }
    m_server->Stop();
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, run] : m_runs) {
      m_observer.OnEnd(Id(), name.first, name.second, "crashed");
    }
    m_record.Line(Id() + " crashes");
  }

  // The machine is lost for good, without a word: connections stay open and
  // silent, and nothing runs any more.
  void GoDark() {
    const std::lock_guard lock(m_mutex);
    m_up = false;
    m_changed.notify_all();
    for (const auto& [name, run] : m_runs) {
      m_observer.OnEnd(Id(), name.first, name.second, "crashed");
    }
    m_runs.clear();
    m_record.Line(Id() + " is dark");
  }

  // Starts again after Crash under the same id at the same address, and checks
  // in for the first time after `check_in_after_ms`.
  void StartAgain(std::int64_t check_in_after_ms) {
    {
      const std::lock_guard lock(m_mutex);
      BeginLife();
      m_next_check_in_ms = SteadyMs() + check_in_after_ms;
    }
    m_server->Start();
    m_record.Line(Id() + " is up again, born " + std::to_string(m_born));
  }

  // While true, the worker does not reach the store.
  void CutFromStore(bool cut) {
    const std::lock_guard lock(m_mutex);
    m_cut_from_store = cut;
    m_record.Line(Id() + (cut ? " is cut off from the store"
                              : " reaches the store again"));
  }

  // While true, starts are rejected with 503: the worker is unhealthy.
  void SetUnhealthy(bool unhealthy) {
    const std::lock_guard lock(m_mutex);
    m_unhealthy = unhealthy;
    m_record.Line(Id() + (unhealthy ? " is unhealthy" : " is healthy"));
  }

  std::size_t RunCount() {
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
  }

 private:
  static constexpr std::int64_t kTickMs = 5;
  static constexpr std::int64_t kSilentCheckIns = 3;
  static constexpr std::size_t kMaxEnds = 500;

  using RunName = std::pair<std::string, int>;
  struct Run {
    std::int64_t m_started_ms = 0;
    Work m_work;
    std::int64_t m_stop_at_ms = 0;
  };
  struct End {
    std::uint64_t m_number = 0;
    RunName m_run;
    std::string m_how;
    bool m_lapsed_since = false;
  };

  // Requires m_mutex, but in the constructor.
  void BeginLife() {
    m_up = true;
    m_born = std::max(m_born + 1, UnixMs());
    m_clock_start_ms = SteadyMs();
    m_fence = 0;
    m_lease_until_ms = 0;
    m_last_end = 0;
    m_runs.clear();
    m_ends.clear();
    m_highest_ended.clear();
  }

  std::int64_t ClockMs() const { return SteadyMs() - m_clock_start_ms; }

  Json Entry() {
    return {{"service", m_options.m_service},
            {"address", "127.0.0.1:" + std::to_string(m_server->Port())},
            {"zone", m_options.m_zone},
            {"version", "1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"seq", ++m_seq},
            {"born", m_born},
            {"labels", m_options.m_labels},
            {"capacity",
             {{"cpu", m_options.m_cpu},
              {"mem_mb", m_options.m_mem_mb},
              {"gpu", 0}}}};
  }

  void CheckIn(std::int64_t now_ms) {
    const std::string key = "servers/" + Id();
    if (m_up && !m_cut_from_store && now_ms >= m_next_check_in_ms) {
      m_next_check_in_ms = now_ms + m_options.m_heartbeat_ms;
      m_last_check_in_ms = now_ms;
      if (!m_store.Has(key)) {
        m_record.Line("the store lists " + Id() + ", born " +
                      std::to_string(m_born));
      }
      m_store.Put(key, Entry());
    } else if (now_ms >= m_last_check_in_ms +
                             kSilentCheckIns * m_options.m_heartbeat_ms &&
               m_store.Has(key)) {
      m_record.Line("the store removes " + Id() + " after its silence");
      m_store.Remove(key);
    }
  }

  std::optional<Response> Handle(const Request& request) {
    std::unique_lock lock(m_mutex);
    const Json body = Json::parse(request.m_body, nullptr, false);
    const auto expected =
        request.m_headers.find("mustardslip-expected-instance");
    if (!m_up) {
      return std::nullopt;
    }
    if (body.is_discarded()) {
      return Response{400, ""};
    }
    if (expected != request.m_headers.end() && expected->second != Id()) {
      return Response{421, ""};
    }
    const std::int64_t fence = body.value("fence", std::int64_t{0});
    if (fence < m_fence) {
      return Refusal("fence");
    }
    m_fence = fence;
    if (request.m_path == "/api/hold") {
      return Hold(body, lock);
    }
    if (request.m_path == "/api/run-start") {
      return StartRun(body);
    }
    return request.m_path == "/api/run-stop" ? StopRun(body)
                                             : Response{404, ""};
  }

  Response Refusal(const std::string& reason) const {
    return {409, Json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump()};
  }

  void ExtendLease(const Json& body) {
    const std::int64_t until_ms = body.value("deadline_ms", std::int64_t{0});
    m_lease_until_ms =
        std::max(m_lease_until_ms,
                 std::min(until_ms, ClockMs() + m_options.m_max_hold_ms));
  }

  Response StartRun(const Json& body) {
    const RunName name = {body.at("task"), body.at("run").get<int>()};
    const std::string text =
        name.first + " run " + std::to_string(name.second) + " on " + Id();
    if (m_unhealthy) {
      m_record.Line("start " + text + " -> 503 (unhealthy)");
      return {503, ""};
    }
    if (body.at("deadline_ms").get<std::int64_t>() <= ClockMs()) {
      m_record.Line("start " + text + " -> 409 late");
      return Refusal("late");
    }
    ExtendLease(body);
    const auto ended = m_highest_ended.find(name.first);
    if (ended != m_highest_ended.end() && name.second <= ended->second) {
      m_record.Line("start " + text + " -> 409 old");
      return Refusal("old");
    }
    if (m_runs.count(name) == 0) {
      m_record.Line("start " + text + " -> 200");
      Run& run = m_runs[name];
      run.m_started_ms = ClockMs();
      run.m_work = m_plan(name.first, name.second);
      m_observer.OnStart(Id(), name.first, name.second);
    }
    return {200, Json{{"clock_ms", ClockMs()}}.dump()};
  }

  Response StopRun(const Json& body) {
    const RunName name = {body.at("task"), body.at("run").get<int>()};
    int& ended = m_highest_ended[name.first];
    ended = std::max(ended, name.second);
    const auto run = m_runs.find(name);
    if (run != m_runs.end() && run->second.m_stop_at_ms == 0) {
      run->second.m_stop_at_ms = ClockMs() + m_options.m_stop_ms;
      m_record.Line("stop " + name.first + " run " +
                    std::to_string(name.second) + " on " + Id());
    }
    return {200, Json{{"clock_ms", ClockMs()}}.dump()};
  }

  std::optional<Response> Hold(const Json& body,
                               std::unique_lock<std::mutex>& lock) {
    ExtendLease(body);
    const auto seen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(m_ends, [&](const End& end) {
      if (end.m_number > seen) {
        return false;
      }
      m_record.Line("last_seen reaches the end of " + end.m_run.first +
                    " run " + std::to_string(end.m_run.second) + " (" +
                    end.m_how + ") on " + Id());
      if (end.m_how == "done" && !end.m_lapsed_since) {
        m_observer.OnDoneNoted(end.m_run.first);
      }
      return true;
    });
    const std::int64_t life = m_born;
    const std::int64_t until_ms =
        ClockMs() + body.value("wait_ms", std::int64_t{0});
    while (m_up && life == m_born && m_ends.empty() && ClockMs() < until_ms) {
      m_changed.wait_for(lock, std::chrono::milliseconds(kTickMs));
    }
    if (!m_up || life != m_born) {
      return std::nullopt;
    }
    return Response{200, Lists().dump()};
  }

  Json Lists() const {
    Json running = Json::array();
    for (const auto& [name, run] : m_runs) {
      const std::int64_t percent = std::min<std::int64_t>(
          99, 100 * (ClockMs() - run.m_started_ms) /
                  std::max<std::int64_t>(1, run.m_work.m_work_ms));
      running.push_back({name.first, name.second, "", percent, 0});
    }
    Json finished = Json::array();
    for (const End& end : m_ends) {
      if (finished.size() < kMaxEnds) {
        finished.push_back(
            {end.m_number, end.m_run.first, end.m_run.second, end.m_how, ""});
      }
    }
    return {{"clock_ms", ClockMs()},
            {"born", m_born},
            {"running", running},
            {"finished", finished}};
  }

  void Tick() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      CheckIn(SteadyMs());
      if (m_up) {
        EndRuns();
      }
      lock.unlock();
      SleepMs(kTickMs);
      lock.lock();
    }
  }

  void EndRuns() {
    const bool lapsed = ClockMs() > m_lease_until_ms;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
      const Run& state = run->second;
      std::string how;
      if (lapsed) {
        how = "lapsed";
      } else if (state.m_stop_at_ms != 0 && ClockMs() >= state.m_stop_at_ms) {
        how = "stopped";
      } else if (ClockMs() >= state.m_started_ms + state.m_work.m_work_ms) {
        how = state.m_work.m_how;
      }
      if (how.empty()) {
        ++run;
        continue;
      }
      const RunName name = run->first;
      run = m_runs.erase(run);
      int& ended = m_highest_ended[name.first];
      ended = std::max(ended, name.second);
      m_ends.push_back({++m_last_end, name, how});
      m_record.Line("end " + name.first + " run " +
                    std::to_string(name.second) + " on " + Id() + ": " + how +
                    " (number " + std::to_string(m_last_end) + ")");
      m_observer.OnEnd(Id(), name.first, name.second, how);
      m_changed.notify_all();
    }
    for (End& end : m_ends) {
      end.m_lapsed_since = end.m_lapsed_since || lapsed;
    }
  }

  const WorkerOptions m_options;
  Store& m_store;
  Record& m_record;
  Observer& m_observer;
  const Plan m_plan;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_ticking;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  bool m_up = true;
  bool m_cut_from_store = false;
  bool m_unhealthy = false;
  std::int64_t m_born = 0;
  std::int64_t m_clock_start_ms = 0;
  std::int64_t m_seq = 0;
  std::int64_t m_next_check_in_ms = 0;
  std::int64_t m_last_check_in_ms = 0;
  std::int64_t m_fence = 0;
  std::int64_t m_lease_until_ms = 0;
  std::uint64_t m_last_end = 0;
  std::map<RunName, Run> m_runs;
  std::vector<End> m_ends;
  std::map<std::string, int> m_highest_ended;
};

}  // namespace review
