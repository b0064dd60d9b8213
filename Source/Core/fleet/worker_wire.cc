// Converts worker messages to JSON packets and back.
#include "fleet/worker_wire.h"

#include <array>
#include <utility>

#include "transport/json_packet.h"

namespace mustardslip {
namespace {

constexpr std::array<std::pair<TaskEndReason, std::string_view>, 5>
    kEndReasons = {{{TaskEndReason::kSucceeded, "succeeded"},
                    {TaskEndReason::kFailed, "failed"},
                    {TaskEndReason::kStopped, "stopped"},
                    {TaskEndReason::kCheckpointed, "checkpointed"},
                    {TaskEndReason::kLeaseExpired, "lease_expired"}}};

constexpr std::array<std::pair<WorkerTaskState, std::string_view>, 3>
    kTaskStates = {{{WorkerTaskState::kHeld, "held"},
                    {WorkerTaskState::kRunning, "running"},
                    {WorkerTaskState::kEnded, "ended"}}};

template <typename Names, typename Value>
std::string_view NameOf(const Names& names, Value value) {
  for (const auto& [entry, name] : names) {
    if (entry == value) {
      return name;
    }
  }
  return "";
}

// Throws the JSON library's exception for an unknown name, like at().
template <typename Names>
auto ValueOf(const Names& names, const nlohmann::json& json) {
  const auto text = json.get<std::string>();
  for (const auto& [entry, name] : names) {
    if (name == text) {
      return entry;
    }
  }
  throw nlohmann::json::other_error::create(501, "unknown name " + text, &json);
}

// Decodes a packet with a decoder that may throw JSON exceptions.
template <typename Decoder>
auto DecodePacket(const std::string& bytes, Decoder decoder)
    -> Result<decltype(decoder(std::declval<const JsonPacket&>()))> {
  const auto packet = DecodeJsonPacket(bytes);
  if (!packet) {
    return Fail(ErrorCode::kUnknownOutcome, "malformed_answer",
                packet.error().Message());
  }
  return DecodeAnswer([&] { return decoder(*packet); });
}

std::string Blob(const JsonPacket& packet, std::size_t index) {
  return index < packet.m_blobs.size() ? packet.m_blobs[index] : std::string();
}

}  // namespace

std::string_view ToString(TaskEndReason reason) {
  return NameOf(kEndReasons, reason);
}

std::string_view ToString(WorkerTaskState state) {
  return NameOf(kTaskStates, state);
}

std::string EncodeTaskStart(const TaskStart& start) {
  return EncodeJsonPacket({{{"attempt", start.m_attempt},
                            {"epoch", start.m_epoch},
                            {"not_after_unix_ms", start.m_not_after_unix_ms},
                            {"lease_ms", start.m_lease.count()},
                            {"resources", start.m_resources},
                            {"slots", start.m_slots},
                            {"hold", start.m_hold}},
                           {start.m_labels, start.m_payload}});
}

Result<TaskStart> DecodeTaskStart(const std::string& bytes) {
  return DecodePacket(bytes, [](const JsonPacket& packet) {
    const nlohmann::json& json = packet.m_json;
    TaskStart start;
    start.m_attempt = json.at("attempt").get<AttemptId>();
    start.m_epoch = json.at("epoch").get<Epoch>();
    start.m_not_after_unix_ms =
        json.at("not_after_unix_ms").get<std::int64_t>();
    start.m_lease = Milliseconds(json.at("lease_ms").get<std::int64_t>());
    start.m_resources = json.at("resources").get<Resources>();
    start.m_slots = json.at("slots").get<int>();
    start.m_hold = json.at("hold").get<bool>();
    start.m_labels = Blob(packet, 0);
    start.m_payload = Blob(packet, 1);
    return start;
  });
}

std::string EncodeFenceReply(const FenceReply& reply) {
  JsonPacket packet;
  packet.m_json["boot_id"] = reply.m_boot_id;
  nlohmann::json tasks = nlohmann::json::array();
  for (const WorkerTask& task : reply.m_tasks) {
    tasks.push_back({{"attempt", task.m_attempt},
                     {"state", ToString(task.m_state)},
                     {"resources", task.m_resources},
                     {"slots", task.m_slots}});
    packet.m_blobs.push_back(task.m_labels);
  }
  packet.m_json["tasks"] = std::move(tasks);
  return EncodeJsonPacket(std::move(packet));
}

Result<FenceReply> DecodeFenceReply(const std::string& bytes) {
  return DecodePacket(bytes, [](const JsonPacket& packet) {
    FenceReply reply;
    reply.m_boot_id = packet.m_json.at("boot_id").get<std::string>();
    std::size_t index = 0;
    for (const nlohmann::json& json : packet.m_json.at("tasks")) {
      reply.m_tasks.push_back({json.at("attempt").get<AttemptId>(),
                               ValueOf(kTaskStates, json.at("state")),
                               json.at("resources").get<Resources>(),
                               json.at("slots").get<int>(),
                               Blob(packet, index++)});
    }
    return reply;
  });
}

std::string EncodeWorkerEvents(const WorkerEvents& events) {
  JsonPacket packet;
  packet.m_json["boot_id"] = events.m_boot_id;
  nlohmann::json ends = nlohmann::json::array();
  for (const TaskEnd& end : events.m_ends) {
    ends.push_back({{"sequence", end.m_sequence},
                    {"attempt", end.m_attempt},
                    {"reason", ToString(end.m_reason)},
                    {"exit_code", end.m_exit_code}});
    packet.m_blobs.push_back(end.m_answer);
    packet.m_blobs.push_back(end.m_labels);
  }
  nlohmann::json usage = nlohmann::json::array();
  for (const TaskUsage& entry : events.m_usage) {
    usage.push_back({{"attempt", entry.m_attempt}, {"used", entry.m_used}});
  }
  packet.m_json["ends"] = std::move(ends);
  packet.m_json["usage"] = std::move(usage);
  return EncodeJsonPacket(std::move(packet));
}

Result<WorkerEvents> DecodeWorkerEvents(const std::string& bytes) {
  return DecodePacket(bytes, [](const JsonPacket& packet) {
    WorkerEvents events;
    events.m_boot_id = packet.m_json.at("boot_id").get<std::string>();
    std::size_t index = 0;
    for (const nlohmann::json& json : packet.m_json.at("ends")) {
      TaskEnd end;
      end.m_sequence = json.at("sequence").get<std::int64_t>();
      end.m_attempt = json.at("attempt").get<AttemptId>();
      end.m_reason = ValueOf(kEndReasons, json.at("reason"));
      end.m_exit_code = json.at("exit_code").get<int>();
      end.m_answer = Blob(packet, index++);
      end.m_labels = Blob(packet, index++);
      events.m_ends.push_back(std::move(end));
    }
    for (const nlohmann::json& json : packet.m_json.at("usage")) {
      events.m_usage.push_back({json.at("attempt").get<AttemptId>(),
                                json.at("used").get<Resources>()});
    }
    return events;
  });
}

}  // namespace mustardslip
