// Test bed of the cases 6 to 9: starts the daemons of the deploy file on
// loopback addresses, with stand-ins of the platform's store, of the workers
// and of the clients. All stand-ins run on one reactor.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/logger.h"
#include "store.h"
#include "transport/event_http.h"
#include "transport/free_port.h"

namespace bed {

using mustardslip::EventHttpClient;
using mustardslip::HttpCall;
using mustardslip::Milliseconds;
using mustardslip::Result;

// Bounds of the site tapfind-accra, in milliseconds.
constexpr std::int64_t kContactMs = 3'000;
constexpr std::int64_t kCancelMs = 3'000;
constexpr std::int64_t kStopMs = 900;
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kGraceMs = 6'000;
constexpr std::int64_t kLostMs = 200;
constexpr std::int64_t kFinishMs = 14'000;

// The host, the prefixes and the key of the queues. The second is less urgent.
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/queue/";
constexpr const char* kBatchPrefix = "/batch/";
constexpr const char* kKey = "key-of-the-team";

// Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  Record(Reactor& reactor, const std::string& path)
      : m_reactor(reactor),
        m_file(std::fopen(path.c_str(), "w")),
        m_start_ms(reactor.Now().m_steady_ms) {
    if (m_file == nullptr) {
      std::fprintf(stderr, "cannot write %s\n", path.c_str());
      std::exit(2);
    }
  }
  ~Record() { std::fclose(m_file); }

  std::int64_t NowMs() const {
    return m_reactor.Now().m_steady_ms - m_start_ms;
  }

  void Line(const std::string& text) {
    std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000.0,
                 text.c_str());
    std::fflush(m_file);
  }

 private:
  Reactor& m_reactor;
  std::FILE* m_file;
  const std::int64_t m_start_ms;
};

// A daemon process. Signals go only to the process that was started here.
class Daemon {
 public:
  Daemon(Reactor& reactor, Record& record, std::string program,
         std::string folder, std::string name, std::string zone,
         std::string store, std::string extra_settings = "")
      : m_reactor(reactor),
        m_record(record),
        m_program(std::move(program)),
        m_folder(std::move(folder)),
        m_name(std::move(name)) {
    const std::uint16_t first = FreePorts(8);
    m_front = {"127.0.0.1", first};
    m_ready = {"127.0.0.1", static_cast<std::uint16_t>(first + 1)};
    std::ofstream file(ConfPath());
    file << "node=" << m_name << "\nrole=daemon\nmachine_class=edge\n"
         << "serves=edge\nip=127.0.0.1\nzone=" << zone
         << "\nregion=gh-south\nlisten.front=" << ToString(m_front)
         << "\nlisten.ready=" << ToString(m_ready)
         << "\nport_range=" << first + 2 << "," << first + 7
         << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n"
         << "limits.memory_mb=260\nlimits.max_fds=4100\n"
         << "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
         << "entry=vip\nheartbeat_ms=1500\nbounds.drain_ms=2000\n"
         << "bounds.grace_s=6\nbounds.status_s=120\nbounds.max_hold_ms=10000\n"
         << "bounds.stop_ms=900\ncommands=rpc\nadvice=" << store
         << "\nplatform.address=" << store
         << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
         << "platform.reads_per_s=2000\nplatform.history_s=20\n"
         << "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n"
         << extra_settings;
    file.close();
    Start();
    Tick();
  }
  ~Daemon() {
    if (m_pid != 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const std::string& Name() const { return m_name; }
  const Endpoint& Front() const { return m_front; }
  const Endpoint& ReadyAddress() const { return m_ready; }
  bool Runs() const { return m_pid != 0; }
  int OwnEnds() const { return m_own_ends; }

  // SIGKILL; the platform starts the process again after `down_ms`.
  void Kill(std::int64_t down_ms) {
    m_restart_ms = down_ms;
    m_end_expected = true;
    Signal(SIGKILL, "SIGKILL");
  }
  // SIGTERM, and SIGKILL after the grace period; then a restart.
  void Terminate(std::int64_t down_ms) {
    m_restart_ms = down_ms;
    m_end_expected = true;
    m_kill_at_ms = m_reactor.Now().m_steady_ms + kGraceMs;
    Signal(SIGTERM, "SIGTERM");
  }
  void Freeze() { Signal(SIGSTOP, "SIGSTOP"); }
  void Resume() { Signal(SIGCONT, "SIGCONT"); }

 private:
  static std::uint16_t FreePorts(std::uint16_t count) {
    static std::uint16_t next = static_cast<std::uint16_t>(
        13'000 + (static_cast<unsigned>(getpid()) * 64U) % 15'000);
    for (;; next = static_cast<std::uint16_t>(next + count)) {
      bool free = next + count < 31'000;
      for (std::uint16_t k = 0; free && k < count; ++k) {
        free = mustardslip::BindLoopbackPort(
                   static_cast<std::uint16_t>(next + k)) != 0;
      }
      if (free) {
        next = static_cast<std::uint16_t>(next + count);
        return static_cast<std::uint16_t>(next - count);
      }
      if (next + count >= 31'000) {
        next = 13'000;
      }
    }
  }

  std::string ConfPath() const { return m_folder + "/" + m_name + ".conf"; }

  void Signal(int number, const char* text) {
    m_record.Line("platform: " + std::string(text) + " to " + m_name);
    if (m_pid != 0) {
      kill(m_pid, number);
    }
  }

  void Start() {
    const std::string log = m_folder + "/" + m_name + ".log";
    m_end_expected = false;
    m_kill_at_ms = 0;
    m_pid = fork();
    if (m_pid < 0) {
      std::fprintf(stderr, "fork failed\n");
      std::exit(2);
    }
    if (m_pid == 0) {
      // Ends with the test bed, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      setenv("MUSTARDSLIP_NODE_FILE", ConfPath().c_str(), 1);
      execl(m_program.c_str(), m_program.c_str(), nullptr);
      _exit(127);
    }
    m_record.Line("platform: started " + m_name);
  }

  void Tick() {
    int status = 0;
    if (m_pid != 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = 0;
      if (!m_end_expected) {
        ++m_own_ends;
        m_record.Line("platform: " + m_name + " ENDED BY ITSELF, status " +
                      std::to_string(status));
        m_restart_ms = 500;
      } else {
        m_record.Line("platform: " + m_name + " has ended");
      }
      m_reactor.After(m_restart_ms, [this] { Start(); });
    } else if (m_pid != 0 && m_kill_at_ms != 0 &&
               m_reactor.Now().m_steady_ms >= m_kill_at_ms) {
      m_kill_at_ms = 0;
      Signal(SIGKILL, "SIGKILL after the grace period");
    }
    m_reactor.After(5, [this] { Tick(); });
  }

  Reactor& m_reactor;
  Record& m_record;
  const std::string m_program;
  const std::string m_folder;
  const std::string m_name;
  Endpoint m_front;
  Endpoint m_ready;
  pid_t m_pid = 0;
  bool m_end_expected = false;
  std::int64_t m_kill_at_ms = 0;
  std::int64_t m_restart_ms = 500;
  int m_own_ends = 0;
};

// A worker as PROTOCOL.md describes it. A task's `spec` is JSON: "work_ms" (0:
// works until it is stopped), "crash" (the worker crashes when it starts it),
// "fail_ms" (its first run fails after that time).
class Worker {
 public:
  using RunId = std::pair<std::string, std::uint32_t>;  // Task and run.

  struct Events {
    std::function<void(const std::string& worker, const RunId&)> m_on_start;
    std::function<void(const std::string& worker, const RunId&,
                       const std::string& how)>
        m_on_end;
    // `last_seen` reached the end of this run.
    std::function<void(const RunId&, const std::string& how)> m_on_noted;
    // The task crashed the worker.
    std::function<void(const std::string& worker, const RunId&)> m_on_crash;
  };

  Worker(Reactor& reactor, Record& record, Store& store, Events events,
         std::string id, std::string rack, std::int64_t back_after_crash_ms)
      : m_reactor(reactor),
        m_record(record),
        m_store(store),
        m_events(std::move(events)),
        m_id(std::move(id)),
        m_rack(std::move(rack)),
        m_back_after_crash_ms(back_after_crash_ms),
        m_address{"127.0.0.1", mustardslip::FreeLoopbackPort()},
        m_server(reactor, m_address, {},
                 [this](const HttpRequest& request, auto respond) {
                   Handle(request, std::move(respond));
                 }) {
    Begin();
    Heartbeat();
    Tick();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& Id() const { return m_id; }
  bool Up() const { return !m_dark; }
  bool Has(const std::string& task) const {
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& run) {
      return run.first.first == task;
    });
  }
  std::size_t RunCount() const { return m_runs.size(); }

  // Cut off from all machines, silently: what arrives is lost, and so are
  // answers. It runs on, and still reaches the platform's store if `store`.
  void Cut(std::int64_t ms, bool store) {
    m_record.Line("network: " + m_id + " is cut off");
    m_cut = true;
    m_cut_from_store = !store;
    m_reactor.After(ms, [this] {
      m_record.Line("network: " + m_id + " is reachable again");
      m_cut = false;
      if (m_cut_from_store) {
        m_cut_from_store = false;
        CheckIn();
      }
    });
  }

  // Loses everything and sends nothing; a new boot is back later.
  void Crash() {
    m_record.Line(m_id + ": CRASHED");
    for (const auto& [name, run] : m_runs) {
      m_events.m_on_end(m_id, name, "crashed");
    }
    m_runs.clear();
    m_highest_ended.clear();
    m_ends.clear();
    m_holds.clear();
    m_dark = true;
    m_reactor.After(m_back_after_crash_ms, [this] {
      m_dark = false;
      Begin();
      m_record.Line(m_id + ": is back");
      CheckIn();
    });
  }

 private:
  struct Run {
    std::int64_t m_end_ms = 0;  // 0: until it is stopped.
    std::int64_t m_stop_ms = 0;
    std::int64_t m_start_ms = 0;
    bool m_fails = false;
  };
  struct End {
    std::uint64_t m_number = 0;
    RunId m_run;
    std::string m_how;
  };
  struct Hold {
    std::int64_t m_until_ms = 0;
    EventHttpServer::Respond m_respond;
  };

  std::int64_t Clock() const {
    return m_reactor.Now().m_steady_ms - m_clock_start_ms + 1'000;
  }

  void Begin() {
    m_born = std::max(m_born + 1, m_reactor.Now().m_unix_ms);
    m_clock_start_ms = m_reactor.Now().m_steady_ms;
    m_fence = 0;
    m_last_end = 0;
    m_lease_until_ms = 0;
  }

  void CheckIn() {
    m_last_check_in_ms = m_reactor.Now().m_steady_ms;
    m_listed = true;
    m_store.Put(
        "servers/" + m_id,
        {{"service", "svc"},
         {"address", ToString(m_address)},
         {"zone", "accra-a"},
         {"version", "1"},
         {"slots", 8},
         {"state", "ready"},
         {"cold_left_ms", 0},
         {"seq", ++m_seq},
         {"born", m_born},
         {"labels", {"a", m_rack}},
         {"capacity", {{"cpu", 64'000}, {"mem_mb", 131'072}, {"gpu", 0}}}});
  }

  // Writes the entry every heartbeat; it lapses after three of silence.
  void Heartbeat() {
    if (!m_dark && !m_cut_from_store) {
      CheckIn();
    }
    m_reactor.After(kHeartbeatMs, [this] { Heartbeat(); });
  }

  void Handle(const HttpRequest& request, EventHttpServer::Respond respond) {
    if (m_dark || m_cut) {
      return;
    }
    const Json body = Json::parse(request.m_body, nullptr, false);
    if (request.Header("mustardslip-expected-instance", m_id) != m_id) {
      Answer(421, Json::object(), respond);
      return;
    }
    if (body.is_discarded() || !body.is_object()) {
      Answer(400, Json::object(), respond);
      return;
    }
    const auto fence = body.value("fence", std::int64_t{0});
    if (fence < m_fence) {
      Refuse("fence", respond);
      return;
    }
    m_fence = fence;
    if (request.m_path == "/api/hold") {
      OnHold(body, std::move(respond));
    } else if (request.m_path == "/api/run-start") {
      OnStart(body, respond);
    } else if (request.m_path == "/api/run-stop") {
      OnStop(body, respond);
    } else {
      Answer(404, Json::object(), respond);
    }
  }

  void Answer(int status, Json body, const EventHttpServer::Respond& respond) {
    body["clock_ms"] = Clock();
    body["born"] = m_born;
    HttpResponse response;
    response.m_status = status;
    response.m_body = body.dump();
    respond(std::move(response));
  }
  void Refuse(const char* reason, const EventHttpServer::Respond& respond) {
    Answer(409, {{"reason", reason}}, respond);
  }

  void Extend(const Json& body) {
    const auto deadline = body.value("deadline_ms", std::int64_t{0});
    m_lease_until_ms =
        std::max(m_lease_until_ms, std::min(deadline, Clock() + kMaxHoldMs));
  }

  void OnStart(const Json& body, const EventHttpServer::Respond& respond) {
    const std::string task = body.at("task");
    const RunId name{task, body.at("run").get<std::uint32_t>()};
    if (body.at("deadline_ms").get<std::int64_t>() <= Clock()) {
      Refuse("late", respond);
      return;
    }
    Extend(body);
    const auto highest = m_highest_ended.find(task);
    if (highest != m_highest_ended.end() && name.second <= highest->second) {
      Refuse("old", respond);
      return;
    }
    if (m_runs.count(name) == 0) {
      const Json spec =
          Json::parse(body.at("spec").get<std::string>(), nullptr, false);
      Run& run = m_runs[name];
      const auto work = spec.value("work_ms", std::int64_t{500});
      run.m_start_ms = Clock();
      run.m_end_ms = work == 0 ? 0 : Clock() + work;
      const auto fail_ms = spec.value("fail_ms", std::int64_t{0});
      if (fail_ms != 0 && name.second == 1) {
        run.m_end_ms = Clock() + fail_ms;
        run.m_fails = true;
      }
      m_events.m_on_start(m_id, name);
      if (spec.value("crash", false)) {
        m_events.m_on_crash(m_id, name);
        Crash();
        return;
      }
    }
    Answer(200, Json::object(), respond);
  }

  void OnStop(const Json& body, const EventHttpServer::Respond& respond) {
    const std::string task = body.at("task");
    const RunId name{task, body.at("run").get<std::uint32_t>()};
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, name.second);
    const auto run = m_runs.find(name);
    if (run != m_runs.end() && run->second.m_stop_ms == 0) {
      run->second.m_stop_ms = Clock() + 100;
    }
    Answer(200, Json::object(), respond);
  }

  void OnHold(const Json& body, EventHttpServer::Respond respond) {
    Extend(body);
    const auto seen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(m_ends, [&](const End& end) {
      if (end.m_number > seen) {
        return false;
      }
      m_events.m_on_noted(end.m_run, end.m_how);
      return true;
    });
    m_holds.push_back(
        {Clock() + body.value("wait_ms", std::int64_t{0}), std::move(respond)});
    AnswerHolds();
  }

  void AnswerHolds() {
    if (m_dark || m_cut) {
      // The answers are lost.
      m_holds.clear();
      return;
    }
    std::erase_if(m_holds, [this](const Hold& hold) {
      if (m_ends.empty() && Clock() < hold.m_until_ms) {
        return false;
      }
      Answer(200, Lists(), hold.m_respond);
      return true;
    });
  }

  Json Lists() const {
    Json running = Json::array();
    for (const auto& [name, run] : m_runs) {
      std::int64_t percent = 100;
      if (run.m_end_ms != 0) {
        percent = std::min<std::int64_t>(
            99, 100 * (Clock() - run.m_start_ms) /
                    std::max<std::int64_t>(1, run.m_end_ms - run.m_start_ms));
      }
      running.push_back({name.first, name.second, "", percent, 0});
    }
    Json finished = Json::array();
    for (const End& end : m_ends) {
      if (finished.size() == 500) {
        break;
      }
      finished.push_back(
          {end.m_number, end.m_run.first, end.m_run.second, end.m_how, ""});
    }
    return {{"running", running}, {"finished", finished}};
  }

  void Tick() {
    if (!m_dark) {
      const bool lapsed = Clock() > m_lease_until_ms;
      std::vector<std::pair<RunId, std::string>> ended;
      for (const auto& [name, run] : m_runs) {
        if (lapsed) {
          ended.emplace_back(name, "lapsed");
        } else if (run.m_stop_ms != 0 && Clock() >= run.m_stop_ms) {
          ended.emplace_back(name, "stopped");
        } else if (run.m_end_ms != 0 && Clock() >= run.m_end_ms) {
          ended.emplace_back(name, run.m_fails ? "failed" : "done");
        }
      }
      for (const auto& [name, how] : ended) {
        m_runs.erase(name);
        auto& highest = m_highest_ended[name.first];
        highest = std::max(highest, name.second);
        m_ends.push_back({++m_last_end, name, how});
        m_events.m_on_end(m_id, name, how);
      }
      AnswerHolds();
    }
    if (m_listed &&
        m_reactor.Now().m_steady_ms - m_last_check_in_ms > 3 * kHeartbeatMs) {
      m_listed = false;
      m_record.Line("store: the entry of " + m_id + " has lapsed");
      m_store.Remove("servers/" + m_id);
    }
    m_reactor.After(10, [this] { Tick(); });
  }

  Reactor& m_reactor;
  Record& m_record;
  Store& m_store;
  const Events m_events;
  const std::string m_id;
  const std::string m_rack;
  const std::int64_t m_back_after_crash_ms;
  bool m_dark = false;
  bool m_cut = false;
  bool m_cut_from_store = false;
  bool m_listed = false;
  std::int64_t m_seq = 0;
  std::int64_t m_last_check_in_ms = 0;
  std::int64_t m_born = 0;
  std::int64_t m_clock_start_ms = 0;
  std::int64_t m_fence = 0;
  std::uint64_t m_last_end = 0;
  std::int64_t m_lease_until_ms = 0;
  std::map<RunId, Run> m_runs;
  std::map<std::string, std::uint32_t> m_highest_ended;
  std::vector<End> m_ends;
  std::list<Hold> m_holds;
  const Endpoint m_address;
  EventHttpServer m_server;
};

// The whole deployment: store, workers and daemons.
class Bed {
 public:
  Bed(const std::string& program, const std::string& record_path)
      : m_program(program),
        m_record(m_reactor, record_path),
        m_store(m_reactor),
        m_http(m_reactor) {
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
      std::exit(2);
    }
    m_folder = folder;
    const char* trouble = std::getenv("TROUBLE");
    m_trouble = trouble == nullptr || std::string(trouble) != "0";
    m_record.Line(m_trouble ? "TROUBLE=1" : "TROUBLE=0");
  }
  ~Bed() {
    m_daemons.clear();
    m_workers.clear();
    if (std::getenv("KEEP") == nullptr) {
      for (const std::string& name : m_names) {
        unlink((m_folder + "/" + name + ".conf").c_str());
        unlink((m_folder + "/" + name + ".log").c_str());
      }
      rmdir(m_folder.c_str());
    }
  }

  Reactor& Loop() { return m_reactor; }
  Record& Rec() { return m_record; }
  bool Trouble() const { return m_trouble; }
  std::vector<std::unique_ptr<Daemon>>& Daemons() { return m_daemons; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return m_workers; }
  std::int64_t NowMs() const { return m_record.NowMs(); }

  void PutConfiguration(std::int64_t max_attempts) {
    Json batch = {{"name", "batch"},        {"host", kHost},
                  {"prefix", kBatchPrefix}, {"service", "svc"},
                  {"priority", 2},          {"max_attempts", max_attempts},
                  {"stretch_factor", 2.2},  {"target_latency_ms", 1'000}};
    const Json route = {{"name", "queue"},       {"host", kHost},
                        {"prefix", kPrefix},     {"service", "svc"},
                        {"priority", 0},         {"max_attempts", max_attempts},
                        {"stretch_factor", 2.0}, {"target_latency_ms", 1'000}};
    const Json tenant = {{"name", "team"},
                         {"api_keys", {kKey}},
                         {"weight", 100},
                         {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}};
    m_store.Put(
        "op/config",
        {{"version", 5},
         {"routes", {route, batch}},
         {"services", {{{"name", "svc"}, {"enforces_capacity", false}}}},
         {"tenants", {tenant}},
         {"limits", {{"body_bytes", 262'144}}}});
  }

  void AddWorker(Worker::Events events, std::int64_t back_after_crash_ms) {
    const std::size_t number = m_workers.size();
    m_workers.push_back(std::make_unique<Worker>(
        m_reactor, m_record, m_store, std::move(events),
        "w-" + std::to_string(number), "r1-" + std::to_string(number / 8),
        back_after_crash_ms));
  }
  void AddDaemon() {
    static const char* const kZones[] = {"accra-a", "tema-b", "kasoa-c"};
    const std::size_t number = m_daemons.size();
    m_names.push_back("edge-" + std::to_string(number));
    m_daemons.push_back(std::make_unique<Daemon>(
        m_reactor, m_record, m_program, m_folder, m_names.back(),
        kZones[number % 3], m_store.AddressText()));
  }

  // A call of a client; `done` gets the status, or 0 without an answer.
  void Call(Daemon& daemon, const std::string& method, const std::string& id,
            const std::string& body,
            std::function<void(int status, const std::string& body)> done,
            const std::string& prefix = kPrefix) {
    HttpCall call;
    call.m_method = method;
    call.m_target = prefix + id;
    call.m_headers["host"] = kHost;
    call.m_headers["Authorization"] = std::string("Bearer ") + kKey;
    call.m_headers["Mustardslip-Deadline-Ms"] = "3000";
    call.m_body = body;
    call.m_timeout = Milliseconds(3'500);
    m_http.Call(daemon.Front(), std::move(call),
                [done = std::move(done)](Result<HttpResponse> answer) {
                  done(answer ? answer->m_status : 0,
                       answer ? answer->m_body : "");
                });
  }

  // Sends the call to one daemon after the other until it has an answer that
  // isn't 429, 502, 503 or 504.
  void CallUntilAnswered(
      const std::string& method, const std::string& id, const std::string& body,
      std::function<void(int status, const std::string& body)> done,
      const std::string& prefix = kPrefix) {
    Daemon& daemon = *m_daemons[m_next_daemon++ % m_daemons.size()];
    Call(
        daemon, method, id, body,
        [this, method, id, body, done, prefix, name = daemon.Name()](
            int status, const std::string& text) {
          m_record.Line("client: " + method + " " + id + " at " + name +
                        " -> " + std::to_string(status) + " " + text);
          if (status == 0 || status == 429 || status >= 500) {
            m_reactor.After(300, [=, this] {
              CallUntilAnswered(method, id, body, done, prefix);
            });
          } else {
            done(status, text);
          }
        },
        prefix);
  }

  // Null if no daemon leads. The name is read from the leader's record in the
  // store; it only decides whom a fault hits.
  Daemon* FindLeader() {
    const std::string record = m_store.Value("mustardslip/owner");
    for (auto& daemon : m_daemons) {
      if (record.find("\"" + daemon->Name() + "-") != std::string::npos) {
        return daemon.get();
      }
    }
    return nullptr;
  }

 private:
  Reactor m_reactor;
  const std::string m_program;
  Record m_record;
  Store m_store;
  EventHttpClient m_http;
  std::string m_folder;
  bool m_trouble = true;
  std::vector<std::string> m_names;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::size_t m_next_daemon = 0;
};

inline std::string JobId(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", 0x5c0e7a21U, number);
  return text;
}

inline int Main(int argc, char** argv, const std::function<int(Bed&)>& play) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: PROGRAM DAEMON RECORD\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  // The stand-ins share the logger of the daemons' library; it stays silent.
  mustardslip::SetLogLevel(mustardslip::LogLevel::kError);
  Bed bed(argv[1], argv[2]);
  const int status = play(bed);
  bed.Rec().Line(status == 1   ? "RULE BROKEN"
                 : status == 0 ? "the rule held"
                               : "the case could not run");
  return status;
}

}  // namespace bed
