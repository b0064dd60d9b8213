// What a simulated task does, read from its payload, and how a simulated
// service task answers. Shared by the fake worker and the worker stand-in.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet/worker_api.h"

namespace mustardslip {

// Request bodies above this size are echoed without being read as JSON.
inline constexpr std::size_t kMaxScriptBytes = 65'536;

inline nlohmann::json ParseScript(const std::string& text) {
  if (text.size() > kMaxScriptBytes || !text.starts_with('{')) {
    return nlohmann::json::object();
  }
  auto json = nlohmann::json::parse(text, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

// A field of a script; `fallback` if it is absent or has another type.
template <typename T>
T ScriptField(const nlohmann::json& script, const char* name, T fallback) {
  try {
    return script.value(name, fallback);
  } catch (const nlohmann::json::exception&) {
    return fallback;
  }
}

// `<id>:0;<id>:1;...` cut to `bytes`: a test sees crossed and damaged answers.
inline std::string PatternBytes(const std::string& id, std::size_t bytes) {
  std::string pattern;
  pattern.reserve(bytes);
  for (std::int64_t i = 0; pattern.size() < bytes; ++i) {
    pattern += id + ":" + std::to_string(i) + ";";
  }
  pattern.resize(bytes);
  return pattern;
}

inline std::size_t AnswerBytes(const nlohmann::json& script) {
  constexpr std::int64_t kMaxAnswerBytes = 4'000'000;
  return static_cast<std::size_t>(
      std::clamp(ScriptField<std::int64_t>(script, "answer_bytes", 0),
                 std::int64_t{0}, kMaxAnswerBytes));
}

// The payload of a task as JSON: {"run_ms":200,"exit_code":0,"answer":"text",
// "answer_bytes":N,"ignore_stop":false,"usage_percent":100}. All fields are
// optional; any other payload is a task that ends at once with success.
struct TaskScript {
  // Empty: runs until it is stopped (a service without run_ms).
  std::optional<std::int64_t> m_run_ms;
  int m_exit_code = 0;
  std::string m_answer;
  bool m_ignore_stop = false;
  // Share of the declared resources that usage reports show.
  std::int64_t m_usage_percent = 100;
};

inline TaskScript ReadTaskScript(const TaskStart& start) {
  const nlohmann::json json = ParseScript(start.m_payload);
  TaskScript script;
  const bool endless = start.m_slots > 0 && !json.contains("run_ms");
  if (!endless) {
    script.m_run_ms =
        std::max<std::int64_t>(0, ScriptField<std::int64_t>(json, "run_ms", 0));
  }
  script.m_exit_code = ScriptField(json, "exit_code", 0);
  script.m_answer = ScriptField(json, "answer", std::string());
  if (const std::size_t bytes = AnswerBytes(json); bytes > 0) {
    script.m_answer = PatternBytes(start.m_attempt, bytes);
  }
  script.m_ignore_stop = ScriptField(json, "ignore_stop", false);
  script.m_usage_percent =
      ScriptField<std::int64_t>(json, "usage_percent", 100);
  return script;
}

// A request body as JSON: {"work_ms":N,"answer_bytes":N,"status":200}, all
// optional; any other body is answered at once.
struct RequestScript {
  std::int64_t m_work_ms = 0;
  ServiceAnswer m_answer;
};

// The answer is a line of JSON with vm, attempt and request_id followed by the
// body, or PatternBytes(request id, N) with answer_bytes.
inline RequestScript ReadRequestScript(const std::string& vm,
                                       const AttemptId& attempt,
                                       const std::string& request_id,
                                       const std::string& body) {
  const nlohmann::json json = ParseScript(body);
  RequestScript script;
  script.m_work_ms = ScriptField<std::int64_t>(json, "work_ms", 0);
  script.m_answer.m_status = ScriptField(json, "status", 200);
  if (const std::size_t bytes = AnswerBytes(json); bytes > 0) {
    script.m_answer.m_body = PatternBytes(request_id, bytes);
    return script;
  }
  const nlohmann::json line = {
      {"vm", vm}, {"attempt", attempt}, {"request_id", request_id}};
  script.m_answer.m_body = line.dump() + "\n" + body;
  return script;
}

}  // namespace mustardslip
