// HTTP in front of the worker models.
#include "stand_in_workers.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "fleet/worker_wire.h"
#include "transport/http_error.h"

namespace mustardslip {
namespace {

HttpResponse VoidResponse(const Result<void>& result) {
  return result ? JsonResponse(nlohmann::json::object())
                : ErrorResponse(result.error());
}

HttpResponse BytesResponse(std::string bytes) {
  return {
      200, {{"content-type", "application/octet-stream"}}, std::move(bytes)};
}

HttpResponse InvalidRequest(const char* reason) {
  return ErrorResponse(Error(ErrorCode::kInvalidArgument, reason));
}

// The parts of /<vm>/v1/<rest>.
struct VmPath {
  std::string m_vm;
  std::string m_rest;
};

VmPath SplitPath(const std::string& path) {
  constexpr std::string_view kVersion = "/v1/";
  const std::size_t version = path.find(kVersion, 1);
  if (version == std::string::npos) {
    return {};
  }
  return {path.substr(1, version - 1), path.substr(version + kVersion.size())};
}

// The parts of tasks/<attempt>/<action>.
struct TaskAction {
  AttemptId m_attempt;
  std::string m_action;
};

TaskAction SplitTaskAction(const std::string& rest) {
  constexpr std::string_view kTasks = "tasks/";
  const std::size_t slash = rest.rfind('/');
  if (!rest.starts_with(kTasks) || slash < kTasks.size()) {
    return {};
  }
  return {rest.substr(kTasks.size(), slash - kTasks.size()),
          rest.substr(slash + 1)};
}

}  // namespace

// One VM: its state, its faults and the calls that wait for it.
class StandInWorkers::Vm {
 public:
  Vm(std::string id, const Resources& size, Milliseconds usage_delay,
     const StandInClock& clock, WorkerJournal& journal)
      : m_id(std::move(id)),
        m_clock(clock),
        m_model(size, clock.UnixMillis(), usage_delay,
                [this, &journal](std::int64_t unix_ms, std::string_view event,
                                 nlohmann::json fields) {
                  journal.Append(unix_ms, m_id, event, std::move(fields));
                }) {}

  HttpResponse Handle(const std::string& rest, const HttpRequest& request) {
    const bool is_write = request.m_method != "GET";
    return m_faults.Run(is_write, [&] { return Apply(rest, request); });
  }

  void SetFaults(const FaultSetting& setting, bool fail_all) {
    m_faults.Set(setting);
    const std::lock_guard lock(m_mutex);
    m_model.SetFailAll(fail_all);
  }

  void Reboot() {
    const std::lock_guard lock(m_mutex);
    m_model.Reboot(m_clock.UnixMillis());
    m_changed.notify_all();
  }

  std::int64_t FaultStrikes() const { return m_faults.Strikes(); }

  // Writes the ends that are due into the journal.
  void EndDueTasks() {
    const std::lock_guard lock(m_mutex);
    m_model.EndDueTasks(m_clock.UnixMillis());
    m_changed.notify_all();
  }

  void Stop() {
    m_faults.Stop();
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
  }

 private:
  HttpResponse Apply(const std::string& rest, const HttpRequest& request) {
    if (request.m_method == "GET" && rest == "events") {
      return Events(QueryNumber(request, "since"),
                    QueryNumber(request, "wait_ms"));
    }
    if (request.m_method != "POST") {
      return UnknownPath(request);
    }
    if (rest == "tasks") {
      return Start(request);
    }
    const TaskAction task = SplitTaskAction(rest);
    if (task.m_action == "requests") {
      return Request(task.m_attempt, request);
    }
    if (!task.m_action.empty()) {
      return Control(task, request);
    }
    return VmCall(rest, request);
  }

  HttpResponse Start(const HttpRequest& request) {
    const auto start = DecodeTaskStart(request.m_body);
    if (!start) {
      return InvalidRequest("malformed_start");
    }
    const std::lock_guard lock(m_mutex);
    const auto result = m_model.Start(m_clock.UnixMillis(), *start);
    m_changed.notify_all();
    return VoidResponse(result);
  }

  // Calls that concern no single task.
  HttpResponse VmCall(const std::string& rest, const HttpRequest& request) {
    const std::lock_guard lock(m_mutex);
    const std::int64_t now_ms = m_clock.UnixMillis();
    if (rest == "fence") {
      const auto reply = m_model.Fence(now_ms, QueryNumber(request, "epoch"));
      return reply ? BytesResponse(EncodeFenceReply(*reply))
                   : ErrorResponse(reply.error());
    }
    if (rest == "ack") {
      m_model.Acknowledge(now_ms, QueryNumber(request, "up_to"));
      return JsonResponse(nlohmann::json::object());
    }
    return rest == "renew" ? Renew(now_ms, request) : UnknownPath(request);
  }

  HttpResponse Renew(std::int64_t now_ms, const HttpRequest& request) {
    const auto json = nlohmann::json::parse(request.m_body, nullptr, false);
    try {
      const auto unknown =
          m_model.Renew(now_ms, json.at("epoch").get<Epoch>(),
                        json.at("attempts").get<std::vector<AttemptId>>(),
                        Milliseconds(json.at("lease_ms").get<std::int64_t>()));
      return unknown ? JsonResponse({{"unknown", *unknown}})
                     : ErrorResponse(unknown.error());
    } catch (const nlohmann::json::exception&) {
      return InvalidRequest("malformed_renew");
    }
  }

  HttpResponse Control(const TaskAction& task, const HttpRequest& request) {
    const std::lock_guard lock(m_mutex);
    const std::int64_t now_ms = m_clock.UnixMillis();
    const Epoch epoch = QueryNumber(request, "epoch");
    m_changed.notify_all();
    if (task.m_action == "release") {
      return VoidResponse(m_model.Release(now_ms, epoch, task.m_attempt));
    }
    if (task.m_action == "stop") {
      return VoidResponse(m_model.Stop(now_ms, epoch, task.m_attempt));
    }
    if (task.m_action == "checkpoint") {
      return VoidResponse(m_model.Checkpoint(now_ms, epoch, task.m_attempt));
    }
    if (task.m_action == "throttle") {
      const auto percent = static_cast<int>(QueryNumber(request, "percent"));
      return VoidResponse(
          m_model.Throttle(now_ms, epoch, task.m_attempt, percent));
    }
    return UnknownPath(request);
  }

  HttpResponse Request(const AttemptId& attempt, const HttpRequest& request) {
    const std::string request_id = request.Query("request_id");
    RequestScript script =
        ReadRequestScript(m_id, attempt, request_id, request.m_body);
    std::unique_lock lock(m_mutex);
    const std::int64_t begin_ms = m_clock.UnixMillis();
    const auto ticket = m_model.BeginRequest(begin_ms, attempt, request_id);
    if (!ticket) {
      return ErrorResponse(ticket.error());
    }
    // The task may end during the work, by a call or by its own time.
    const std::int64_t end_ms = begin_ms + script.m_work_ms;
    const auto interrupted = [&] {
      return m_stopped || !m_model.RequestIsOpen(*ticket);
    };
    while (!interrupted() && m_clock.UnixMillis() < end_ms) {
      m_clock.WaitUntil(lock, m_changed, std::min(end_ms, m_model.NextEnd()),
                        interrupted);
      m_model.EndDueTasks(m_clock.UnixMillis());
    }
    const auto ended = m_model.EndRequest(m_clock.UnixMillis(), *ticket);
    if (!ended) {
      return ErrorResponse(ended.error());
    }
    return {200,
            {{kServiceStatusHeader, std::to_string(script.m_answer.m_status)},
             {"content-type", "application/octet-stream"}},
            std::move(script.m_answer.m_body)};
  }

  HttpResponse Events(std::int64_t since, std::int64_t wait_ms) {
    std::unique_lock lock(m_mutex);
    const std::int64_t end_ms = m_clock.UnixMillis() + wait_ms;
    const auto done = [&] {
      return m_stopped || m_model.HasEnds(m_clock.UnixMillis(), since);
    };
    while (!done() && m_clock.UnixMillis() < end_ms) {
      // A start or a release may bring an end that is due earlier.
      const std::int64_t next_ms = std::min(end_ms, m_model.NextEnd());
      m_clock.WaitUntil(lock, m_changed, next_ms, [&] {
        return done() || std::min(end_ms, m_model.NextEnd()) != next_ms;
      });
    }
    return BytesResponse(
        EncodeWorkerEvents(m_model.Events(m_clock.UnixMillis(), since)));
  }

  const std::string m_id;
  const StandInClock& m_clock;
  FaultGate m_faults{m_clock};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  WorkerModel m_model;     // Guarded by m_mutex.
  bool m_stopped = false;  // Guarded by m_mutex.
};

StandInWorkers::StandInWorkers(StandInClock::Kind kind, Resources size,
                               Milliseconds usage_delay)
    : m_clock(kind), m_size(size), m_usage_delay(usage_delay) {}

StandInWorkers::~StandInWorkers() = default;

void StandInWorkers::AddVm(const std::string& vm, const Resources& size) {
  auto added =
      std::make_shared<Vm>(vm, size, m_usage_delay, m_clock, m_journal);
  const std::lock_guard lock(m_mutex);
  m_vms[vm] = std::move(added);
}

std::shared_ptr<StandInWorkers::Vm> StandInWorkers::Find(
    const std::string& vm) const {
  const std::shared_lock lock(m_mutex);
  const auto entry = m_vms.find(vm);
  return entry == m_vms.end() ? nullptr : entry->second;
}

bool StandInWorkers::ForEach(const std::string& vm,
                             const std::function<void(Vm&)>& action) const {
  if (vm != "all") {
    const std::shared_ptr<Vm> found = Find(vm);
    if (found != nullptr) {
      action(*found);
    }
    return found != nullptr;
  }
  const std::shared_lock lock(m_mutex);
  for (const auto& [id, entry] : m_vms) {
    action(*entry);
  }
  return true;
}

HttpResponse StandInWorkers::Handle(const HttpRequest& request) {
  if (request.m_path.starts_with("/control/")) {
    return Control(request);
  }
  const VmPath path = SplitPath(request.m_path);
  const std::shared_ptr<Vm> vm = Find(path.m_vm);
  return vm == nullptr ? UnknownPath(request)
                       : vm->Handle(path.m_rest, request);
}

HttpResponse StandInWorkers::Control(const HttpRequest& request) {
  const std::string& path = request.m_path;
  if (path == "/control/journal") {
    return ReadJournal(request);
  }
  if (path == "/control/faults") {
    return ChangeFaults(request);
  }
  if (path == "/control/vms") {
    return ChangeVms(request);
  }
  if (path == "/control/reboot") {
    return Reboot(request.Query("vm")) ? JsonResponse(nlohmann::json::object())
                                       : InvalidRequest("unknown_vm");
  }
  if (path == "/control/advance") {
    Advance(Milliseconds(QueryNumber(request, "ms")));
    return JsonResponse(nlohmann::json::object());
  }
  return UnknownPath(request);
}

HttpResponse StandInWorkers::ReadJournal(const HttpRequest& request) {
  // Tasks end without a call; their ends have to be in the journal.
  ForEach("all", [](Vm& vm) { vm.EndDueTasks(); });
  const std::int64_t since =
      std::max<std::int64_t>(0, QueryNumber(request, "since"));
  return {200, {}, m_journal.Read(static_cast<std::size_t>(since))};
}

HttpResponse StandInWorkers::ChangeVms(const HttpRequest& request) {
  if (const std::string vm = request.Query("add"); !vm.empty()) {
    AddVm(vm, {QueryNumber(request, "cpu_millis", m_size.m_cpu_millis),
               QueryNumber(request, "memory_mb", m_size.m_memory_mb),
               QueryNumber(request, "accelerators", m_size.m_accelerators)});
  }
  if (const std::string vm = request.Query("drop"); !vm.empty()) {
    // Ends what runs there, so that the journal shows it.
    Reboot(vm);
    const std::lock_guard lock(m_mutex);
    m_vms.erase(vm);
  }
  return JsonResponse(nlohmann::json::object());
}

HttpResponse StandInWorkers::ChangeFaults(const HttpRequest& request) {
  auto json = nlohmann::json::parse(request.m_body, nullptr, false);
  if (!json.is_object()) {
    return InvalidRequest("invalid_faults");
  }
  const bool fail_all = json.contains("mode") && json["mode"] == "fail_all";
  if (fail_all) {
    json["mode"] = "ok";
  }
  const auto setting = ParseFaultSetting(json);
  if (!setting) {
    return ErrorResponse(setting.error());
  }
  const std::string vm = ScriptField(json, "vm", std::string("all"));
  return SetFaults(vm, *setting, fail_all)
             ? JsonResponse(nlohmann::json::object())
             : InvalidRequest("unknown_vm");
}

bool StandInWorkers::SetFaults(const std::string& vm,
                               const FaultSetting& setting, bool fail_all) {
  return ForEach(vm, [&](Vm& entry) { entry.SetFaults(setting, fail_all); });
}

std::int64_t StandInWorkers::FaultStrikes() const {
  std::int64_t strikes = 0;
  ForEach("all", [&](Vm& vm) { strikes += vm.FaultStrikes(); });
  return strikes;
}

bool StandInWorkers::Reboot(const std::string& vm) {
  return ForEach(vm, [](Vm& entry) { entry.Reboot(); });
}

void StandInWorkers::Advance(Milliseconds step) {
  m_clock.Advance(step);
  ForEach("all", [](Vm& vm) { vm.EndDueTasks(); });
}

void StandInWorkers::Stop() {
  ForEach("all", [](Vm& vm) { vm.Stop(); });
}

}  // namespace mustardslip
