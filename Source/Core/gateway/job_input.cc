// Validation of submissions, field by field.
#include "gateway/job_input.h"

#include <fmt/core.h>

#include <array>
#include <cmath>
#include <set>

#include "gateway/json_input.h"

namespace mustardslip {
namespace {

using Json = nlohmann::json;

Result<void> Refuse(std::string reason, std::string message) {
  return Fail(ErrorCode::kInvalidArgument, std::move(reason),
              std::move(message));
}

Result<void> CheckFields(const Json& object, const std::set<std::string>& known,
                         const std::string& place) {
  for (const auto& item : object.items()) {
    if (!known.contains(item.key())) {
      return Refuse("unknown_field",
                    fmt::format("{}{}: remove the field", place, item.key()));
    }
  }
  return {};
}

// Reads fields one after another and keeps the first error.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string place)
      : m_object(object), m_place(std::move(place)) {}

  void Integer(const char* name, std::int64_t low, std::int64_t high,
               std::int64_t& value) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    if (!field->is_number_integer() ||
        (field->is_number_unsigned() &&
         field->get<std::uint64_t>() > static_cast<std::uint64_t>(high))) {
      Wrong(name, fmt::format("a whole number from {} to {}", low, high));
      return;
    }
    value = field->get<std::int64_t>();
    if (value < low || value > high) {
      Wrong(name, fmt::format("a whole number from {} to {}", low, high));
    }
  }

  void Integer(const char* name, int low, int high, int& value) {
    std::int64_t wide = value;
    Integer(name, std::int64_t{low}, std::int64_t{high}, wide);
    value = static_cast<int>(wide);
  }

  void Boolean(const char* name, bool& value) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    if (!field->is_boolean()) {
      Wrong(name, "true or false");
      return;
    }
    value = field->get<bool>();
  }

  void Text(const char* name, std::size_t max_bytes, std::string& value) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    if (!field->is_string() ||
        field->get_ref<const std::string&>().size() > max_bytes) {
      Wrong(name, fmt::format("a text of at most {} bytes", max_bytes));
      return;
    }
    value = field->get<std::string>();
  }

  // A number of processors, kept in thousandths.
  void Processors(const char* name, std::int64_t& millis) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    const double value = field->is_number() ? field->get<double>() : -1.0;
    if (!(value >= 0.0) || value > static_cast<double>(kMaxProcessors)) {
      Wrong(name, fmt::format("a number from 0 to {}", kMaxProcessors));
      return;
    }
    millis = std::llround(value * 1000.0);
  }

  void Texts(const char* name, std::vector<std::string>& values) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    constexpr std::size_t kMaxEntries = 256;
    if (!field->is_array() || field->size() > kMaxEntries) {
      Wrong(name, "a list of names");
      return;
    }
    for (const Json& entry : *field) {
      if (!entry.is_string()) {
        Wrong(name, "a list of names");
        return;
      }
      values.push_back(entry.get<std::string>());
    }
  }

  // One of the names of an enumeration.
  template <typename Enum>
  void Choice(const char* name, const std::set<std::string>& names,
              Enum& value) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return;
    }
    if (!field->is_string() || !names.contains(field->get<std::string>())) {
      Wrong(name, fmt::format("one of {}", Json(names).dump()));
      return;
    }
    value = field->get<Enum>();
  }

  const Json* Object(const char* name) {
    const Json* field = Find(name);
    if (field != nullptr && !field->is_object()) {
      Wrong(name, "an object");
      return nullptr;
    }
    return field;
  }

  void Keep(const Result<void>& result) {
    if (m_result && !result) {
      m_result = result;
    }
  }

  void Wrong(const char* name, const std::string& expected) {
    Keep(Refuse("invalid_field",
                fmt::format("{}{}: give {}", m_place, name, expected)));
  }

  const Result<void>& Status() const { return m_result; }

 private:
  const Json* Find(const char* name) const {
    const auto field = m_object.find(name);
    return field == m_object.end() ? nullptr : &*field;
  }

  const Json& m_object;
  const std::string m_place;
  Result<void> m_result;
};

Result<Resources> ParseResources(const Json& object) {
  if (auto fields = CheckFields(
          object, {"processors", "memory_mb", "accelerators"}, "resources.");
      !fields) {
    return tl::unexpected(fields.error());
  }
  Resources resources;
  FieldReader reader(object, "resources.");
  reader.Processors("processors", resources.m_cpu_millis);
  reader.Integer("memory_mb", 0, kMaxMemoryMb, resources.m_memory_mb);
  reader.Integer("accelerators", 0, kMaxAccelerators, resources.m_accelerators);
  if (!reader.Status()) {
    return tl::unexpected(reader.Status().error());
  }
  return resources;
}

Result<PlacementLimits> ParsePlacement(const Json& object) {
  if (auto fields = CheckFields(object, {"zones", "racks"}, "placement.");
      !fields) {
    return tl::unexpected(fields.error());
  }
  PlacementLimits limits;
  FieldReader reader(object, "placement.");
  reader.Texts("zones", limits.m_zones);
  reader.Texts("racks", limits.m_racks);
  if (!reader.Status()) {
    return tl::unexpected(reader.Status().error());
  }
  return limits;
}

Result<void> CheckConsistency(const JobSpec& spec) {
  if (spec.m_resources == Resources{}) {
    return Refuse("invalid_field",
                  "resources: ask for some processors or memory");
  }
  if (spec.m_kind == JobKind::kService && spec.m_name.empty()) {
    return Refuse("invalid_field", "name: a service needs a name");
  }
  if (spec.m_kind == JobKind::kService && spec.m_slots == 0) {
    return Refuse("invalid_field", "slots: a service needs at least 1");
  }
  if (spec.m_kind != JobKind::kService && spec.m_slots != 0) {
    return Refuse("invalid_field", "slots: only a service has slots");
  }
  if (spec.m_kind == JobKind::kService && !spec.m_idempotent) {
    return Refuse("invalid_field",
                  "idempotent: a service is restarted, so it must be true");
  }
  if (spec.m_checkpointable && !spec.m_idempotent) {
    return Refuse(
        "invalid_field",
        "checkpointable: a job that may be restarted must be idempotent");
  }
  return {};
}

}  // namespace

Result<JobSpec> ParseJobSpec(std::string_view text) {
  const auto object = ParseJsonObject(text);
  if (!object) {
    return tl::unexpected(object.error());
  }
  static const std::set<std::string> known_fields = {
      "kind",      "name",           "queue",    "tasks",      "team",
      "resources", "run_time_ms",    "priority", "slots",      "idempotent",
      "placement", "checkpointable", "payload",  "deadline_ms"};
  if (auto fields = CheckFields(*object, known_fields, ""); !fields) {
    return tl::unexpected(fields.error());
  }
  JobSpec spec;
  FieldReader reader(*object, "");
  if (!object->contains("kind")) {
    reader.Wrong("kind", "one of service, batch, gang");
  }
  reader.Choice("kind", {"service", "batch", "gang"}, spec.m_kind);
  reader.Text("name", kMaxNameBytes, spec.m_name);
  reader.Text("queue", kMaxNameBytes, spec.m_queue);
  reader.Text("team", kMaxNameBytes, spec.m_team);
  reader.Integer("tasks", 1, kMaxTasksPerJob, spec.m_tasks);
  reader.Integer("slots", 0, kMaxSlotsPerTask, spec.m_slots);
  reader.Integer("run_time_ms", 0, kMaxRunTimeMs, spec.m_run_time_ms);
  reader.Integer("deadline_ms", 0, INT64_MAX, spec.m_deadline_unix_ms);
  reader.Choice("priority", {"urgent", "normal", "low"}, spec.m_priority);
  reader.Boolean("idempotent", spec.m_idempotent);
  reader.Boolean("checkpointable", spec.m_checkpointable);
  reader.Text("payload", kMaxPayloadBytes, spec.m_payload);
  if (const Json* resources = reader.Object("resources")) {
    const auto parsed = ParseResources(*resources);
    reader.Keep(parsed ? Result<void>{} : tl::unexpected(parsed.error()));
    spec.m_resources = parsed.value_or(Resources{});
  }
  if (const Json* placement = reader.Object("placement")) {
    const auto parsed = ParsePlacement(*placement);
    reader.Keep(parsed ? Result<void>{} : tl::unexpected(parsed.error()));
    spec.m_limits = parsed.value_or(PlacementLimits{});
  }
  reader.Keep(CheckConsistency(spec));
  if (!reader.Status()) {
    return tl::unexpected(reader.Status().error());
  }
  return spec;
}

Json ToCallerJson(const JobStatus& status) {
  Json json = {{"job", status.m_job},
               {"outcome", status.m_outcome},
               {"tasks", status.m_tasks},
               {"tasks_running", status.m_tasks_running},
               {"tasks_ended", status.m_tasks_ended},
               {"submitted_unix_ms", status.m_submitted_unix_ms},
               {"started_unix_ms", status.m_started_unix_ms},
               {"ended_unix_ms", status.m_ended_unix_ms},
               {"answers", status.m_answers}};
  if (!status.m_reason.empty()) {
    json["reason"] = status.m_reason;
  }
  return json;
}

int HttpStatusOf(Outcome outcome, std::string_view reason) {
  switch (outcome) {
    case Outcome::kQueued:
    case Outcome::kRunning:
      return 202;
    case Outcome::kDone:
    case Outcome::kFailed:
    case Outcome::kCancelled:
      return 200;
    case Outcome::kOutcomeUnknown:
      return 504;
    case Outcome::kNotRun:
      break;
  }
  static const std::set<std::string_view> caller_errors = {
      "never_fits", "limit_too_small", "no_such_service", "key_reused",
      "deadline_passed"};
  if (reason == "key_reused" || caller_errors.contains(reason)) {
    return 422;
  }
  static const std::set<std::string_view> too_many = {
      "queue_full", "over_limit", "retry_budget", "no_free_slot",
      "too_many_requests"};
  return too_many.contains(reason) ? 429 : 503;
}

}  // namespace mustardslip
