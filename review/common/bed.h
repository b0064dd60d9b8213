// The test bed of a script: the project's daemons as processes, with the
// command of deploy/system.toml, and clients that call them.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Returns the first of `count` consecutive free ports below the ephemeral
// range.
inline std::uint16_t FindFreePorts(std::uint16_t count) {
  constexpr std::uint16_t kFirst = 12'000;
  constexpr std::uint16_t kLast = 30'000;
  static std::uint16_t next =
      static_cast<std::uint16_t>(kFirst + getpid() * 40 % (kLast - kFirst));
  while (true) {
    const std::uint16_t first = next;
    next = next + 2 * count < kLast ? static_cast<std::uint16_t>(next + count)
                                    : kFirst;
    bool free = true;
    for (std::uint16_t i = 0; i < count; ++i) {
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address =
          LoopbackAddress(static_cast<std::uint16_t>(first + i));
      free = free && bind(probe, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0;
      close(probe);
    }
    if (free) {
      return first;
    }
  }
}

class Daemon {
 public:
  // Ports: jobs, readiness, metrics and links to other daemons.
  Daemon(std::string program, std::string folder, std::string name,
         std::uint16_t store_port, Record& record)
      : m_program(std::move(program)),
        m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_port(FindFreePorts(4)),
        m_record(record) {
    std::ofstream file(m_folder + "/" + m_name + ".conf");
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    file << "node=" << m_name << "\nrole=daemon\nmachine_class=edge\n"
         << "serves=edge\nip=127.0.0.1\nzone=zone-a\nregion=region-a\n"
         << "zones.zone-a=region-a\nlisten.front=" << at(m_port)
         << "\nlisten.ready=" << at(m_port + 1) << "\nport_range=" << m_port + 2
         << "," << m_port + 3 << "\nlimits.cpu_share=0.25\nlimits.cores=1\n"
         << "limits.memory_mb=260\nlimits.max_fds=4100\n"
         << "discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
         << "commands=rpc\nplatform.address=" << at(store_port)
         << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
         << "platform.reads_per_s=2000\nplatform.history_s=20\n"
         << "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n"
         << "bounds.contact_ms=3000\nbounds.ack_ms=4000\n"
         << "bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.apply_ms=2000\n"
         << "bounds.max_hold_ms=10000\nbounds.stop_ms=900\n"
         << "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
         << "bounds.status_s=120\nbounds.finish_s=14\n";
    file.close();
    Start();
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const std::string& Name() const { return m_name; }
  std::uint16_t Port() const { return m_port; }

  void Start() {
    const std::string log = m_folder + "/" + m_name + ".log";
    const std::string settings =
        "MUSTARDSLIP_NODE_FILE=" + m_folder + "/" + m_name + ".conf";
    char* arguments[] = {m_program.data(), nullptr};
    std::string variable = settings;
    char* environment[] = {variable.data(), nullptr};
    m_process = fork();
    if (m_process == 0) {
      // Ends with the script, whatever ends that.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execve(m_program.c_str(), arguments, environment);
      _exit(127);
    }
    m_record.Line(m_name + " is started");
  }

  void Kill() {
    if (m_process > 0) {
      kill(m_process, SIGKILL);
      waitpid(m_process, nullptr, 0);
      m_process = 0;
      m_record.Line(m_name + " is killed");
    }
  }

  void Signal(int number) const {
    if (m_process > 0) {
      kill(m_process, number);
      m_record.Line(m_name + " gets signal " + std::to_string(number));
    }
  }

  // True if the process has ended by itself.
  bool HasEnded() {
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
      m_process = 0;
      m_record.Line(m_name + " has ended by itself");
    }
    return m_process == 0;
  }

  bool Ready() const {
    return Call(static_cast<std::uint16_t>(m_port + 1), "GET", "/api/ready",
                {{"Host", "ready"}}, "", 1'000)
               .m_status == 200;
  }

 private:
  std::string m_program;
  const std::string m_folder;
  const std::string m_name;
  const std::uint16_t m_port;
  Record& m_record;
  pid_t m_process = 0;
};

inline std::vector<std::unique_ptr<Daemon>> StartDaemons(
    int count, const std::string& program, const std::string& folder,
    const Store& store, Record& record) {
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    daemons.push_back(std::make_unique<Daemon>(
        program, folder, "edge-" + std::to_string(i), store.Port(), record));
  }
  return daemons;
}

// The daemon that acts for all others: the one whose address it wrote to the
// store under a condition. Null if there is none.
inline Daemon* FindOwner(Store& store,
                         const std::vector<std::unique_ptr<Daemon>>& daemons) {
  const Json record =
      Json::parse(store.Value("mustardslip/owner"), nullptr, false);
  const std::string address =
      record.is_object() ? record.value("address", "") : "";
  for (const auto& daemon : daemons) {
    if (address == "127.0.0.1:" + std::to_string(daemon->Port() + 3)) {
      return daemon.get();
    }
  }
  return nullptr;
}

// A queue of the configuration.
struct Queue {
  std::string m_name = "r-1";
  std::string m_prefix = "/jobs/";
  int m_max_attempts = 3;
  int m_priority = 0;
};

inline Json Configuration(int version, const std::vector<Queue>& queues) {
  Json routes = Json::array();
  for (const Queue& queue : queues) {
    routes.push_back({{"name", queue.m_name},
                      {"host", "jobs.example"},
                      {"prefix", queue.m_prefix},
                      {"service", "cartfinder"},
                      {"priority", queue.m_priority},
                      {"max_attempts", queue.m_max_attempts},
                      {"stretch_factor", 2.0},
                      {"target_latency_ms", 1'000}});
  }
  const Json no_limit = {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}};
  return {
      {"version", version},
      {"routes", routes},
      {"services", {{{"name", "cartfinder"}, {"enforces_capacity", false}}}},
      {"limits", {{"body_bytes", 262'144}}},
      {"tenants",
       {{{"name", "team-a"},
         {"api_keys", {"key-a"}},
         {"weight", 100},
         {"cap", no_limit}}}}};
}

class Client {
 public:
  explicit Client(Record& record) : m_record(record) {}

  // Status 0: no answer.
  Response Send(std::uint16_t port, const std::string& method,
                const std::string& path, const std::string& body = "") {
    const Response response = Call(port, method, path,
                                   {{"Host", "jobs.example"},
                                    {"Authorization", "Bearer key-a"},
                                    {"Content-Type", "application/json"},
                                    {"Mustardslip-Deadline-Ms", "3000"}},
                                   body, 3'500);
    m_record.Line(method + " " + path + " at port " + std::to_string(port) +
                  " -> " + std::to_string(response.m_status) + " " +
                  response.m_body);
    return response;
  }

 private:
  Record& m_record;
};

// One step of `count` tasks with `cpu` thousandths of a core each.
inline std::string JobBody(int count, std::int64_t cpu,
                           std::int64_t estimate_ms) {
  return Json{{"spec", "review"},
              {"steps",
               {{{"count", count},
                 {"cpu", cpu},
                 {"mem_mb", 100},
                 {"estimate_ms", estimate_ms}}}}}
      .dump();
}

// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/review-XXXXXX";
    m_path = mkdtemp(name);
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(m_path);
    }
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Waits until all daemons are ready.
inline bool AwaitReady(const std::vector<std::unique_ptr<Daemon>>& daemons,
                       std::int64_t limit_ms) {
  const std::int64_t until_ms = SteadyMs() + limit_ms;
  for (const auto& daemon : daemons) {
    while (!daemon->Ready()) {
      if (SteadyMs() > until_ms) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

}  // namespace review
