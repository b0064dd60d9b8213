// Ids, status and store records of jobs.
#include "jobs/job.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/random_id.h"
#include "store/key_value_store.h"

namespace mustardslip {
namespace {

// Limits the size of a record, which must stay below the store's maximum value
// size. Answers beyond this total are left out.
constexpr std::size_t kMaxAnswerBytesInRecord = 256U << 10U;

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

std::string ToHex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

std::string FromHex(const std::string& text) {
  constexpr int kBase = 16;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    unsigned value = 0;
    std::from_chars(text.data() + i, text.data() + i + 2, value, kBase);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

nlohmann::json EncodeTask(const Task& task, bool with_answer) {
  nlohmann::json json = {{"ended", task.m_phase == TaskPhase::kEnded},
                         {"may_have_run", task.m_may_have_run}};
  if (task.m_phase == TaskPhase::kEnded) {
    json["outcome"] = task.m_outcome;
    json["reason"] = task.m_reason;
    // Hex, since answers are arbitrary bytes, which JSON strings cannot hold.
    json["answer"] = with_answer ? ToHex(task.m_answer) : "";
  }
  return json;
}

Task DecodeTask(const nlohmann::json& json) {
  Task task;
  task.m_may_have_run = json.at("may_have_run").get<bool>();
  task.m_phase = TaskPhase::kRecovered;
  if (json.at("ended").get<bool>()) {
    task.m_phase = TaskPhase::kEnded;
    task.m_outcome = json.at("outcome").get<Outcome>();
    task.m_reason = json.at("reason").get<std::string>();
    task.m_answer = FromHex(json.at("answer").get<std::string>());
  }
  return task;
}

int CountPhase(const Job& job, TaskPhase phase) {
  return static_cast<int>(
      std::count_if(job.m_tasks.begin(), job.m_tasks.end(),
                    [phase](const Task& t) { return t.m_phase == phase; }));
}

bool AnyOutcome(const Job& job, Outcome outcome) {
  return std::any_of(
      job.m_tasks.begin(), job.m_tasks.end(),
      [outcome](const Task& task) { return task.m_outcome == outcome; });
}

}  // namespace

std::string JobKey(std::int64_t shard, const std::string& job) {
  return JobPrefix(shard) + job;
}

std::string JobPrefix(std::int64_t shard) {
  return fmt::format("job/{}/", shard);
}

std::string KeyHash(const std::string& team, const std::string& key) {
  return HashHex128(team + "\n" + key);
}

std::string JobIdFor(std::int64_t shard, const std::string& team,
                     const std::string& key) {
  return fmt::format("{}-{}", shard,
                     key.empty() ? RandomHexId() : KeyHash(team, key));
}

std::string ContentHash(const JobSpec& spec) {
  const std::vector<std::uint8_t> bytes =
      nlohmann::json::to_cbor(nlohmann::json(spec));
  return HashHex128(std::string(bytes.begin(), bytes.end()));
}

std::string StartMark(const std::string& job, int task) {
  return HashHex128(fmt::format("start\n{}.{}", job, task));
}

AttemptId MakeAttemptId(const AttemptIdParts& name) {
  return fmt::format("{}.{}.{}", name.m_job, name.m_task, name.m_number);
}

std::optional<AttemptIdParts> ParseAttemptId(const AttemptId& attempt) {
  const std::size_t last = attempt.rfind('.');
  if (last == std::string::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = attempt.rfind('.', last - 1);
  if (middle == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view view = attempt;
  AttemptIdParts name{attempt.substr(0, middle)};
  if (!ParseNumber(view.substr(middle + 1, last - middle - 1), name.m_task) ||
      !ParseNumber(view.substr(last + 1), name.m_number)) {
    return std::nullopt;
  }
  return name;
}

Job MakeJob(std::string id, JobSpec spec, std::int64_t now_unix_ms) {
  Job job;
  job.m_id = std::move(id);
  job.m_content = ContentHash(spec);
  job.m_spec = std::move(spec);
  job.m_tasks.resize(static_cast<std::size_t>(std::max(job.m_spec.m_tasks, 1)));
  job.m_submitted_unix_ms = now_unix_ms;
  return job;
}

JobStatus StatusOf(const Job& job) {
  JobStatus status;
  status.m_job = job.m_id;
  status.m_outcome = job.m_outcome;
  status.m_reason = job.m_reason;
  status.m_tasks = static_cast<int>(job.m_tasks.size());
  status.m_tasks_running = CountPhase(job, TaskPhase::kRunning);
  status.m_tasks_ended = CountPhase(job, TaskPhase::kEnded);
  status.m_submitted_unix_ms = job.m_submitted_unix_ms;
  status.m_started_unix_ms = job.m_started_unix_ms;
  status.m_ended_unix_ms = job.m_ended_unix_ms;
  if (!job.HasEnded()) {
    status.m_outcome =
        job.m_started_unix_ms != 0 ? Outcome::kRunning : Outcome::kQueued;
    status.m_reason = job.m_cancelled ? "cancelling" : "";
    return status;
  }
  for (const Task& task : job.m_tasks) {
    status.m_answers.push_back(task.m_answer);
  }
  return status;
}

Outcome CombinedOutcome(const Job& job) {
  for (const Outcome outcome :
       {Outcome::kOutcomeUnknown, Outcome::kFailed, Outcome::kCancelled}) {
    if (AnyOutcome(job, outcome)) {
      return outcome;
    }
  }
  if (!AnyOutcome(job, Outcome::kNotRun)) {
    return Outcome::kDone;
  }
  return AnyOutcome(job, Outcome::kDone) ? Outcome::kFailed : Outcome::kNotRun;
}

bool MayRestart(const Job& job) {
  return job.m_spec.m_idempotent || job.m_spec.m_kind == JobKind::kService;
}

std::string EncodeJobRecord(const Job& job, Epoch epoch) {
  std::size_t answer_bytes = 0;
  nlohmann::json tasks = nlohmann::json::array();
  for (const Task& task : job.m_tasks) {
    answer_bytes += task.m_answer.size();
    tasks.push_back(EncodeTask(task, answer_bytes <= kMaxAnswerBytesInRecord));
  }
  nlohmann::json spec = job.m_spec;
  spec["m_payload"] = ToHex(job.m_spec.m_payload);
  const nlohmann::json json = {{"epoch", epoch},
                               {"job", job.m_id},
                               {"spec", std::move(spec)},
                               {"content", job.m_content},
                               {"tasks", std::move(tasks)},
                               {"cancelled", job.m_cancelled},
                               {"submitted", job.m_submitted_unix_ms},
                               {"started", job.m_started_unix_ms},
                               {"ended", job.m_ended_unix_ms},
                               {"outcome", job.m_outcome},
                               {"reason", job.m_reason}};
  return json.dump();
}

Result<JobRecord> DecodeJobRecord(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    JobRecord record;
    record.m_epoch = json.at("epoch").get<Epoch>();
    Job& job = record.m_job;
    job.m_id = json.at("job").get<std::string>();
    job.m_spec = json.at("spec").get<JobSpec>();
    job.m_spec.m_payload = FromHex(job.m_spec.m_payload);
    job.m_content = json.at("content").get<std::string>();
    for (const nlohmann::json& task : json.at("tasks")) {
      job.m_tasks.push_back(DecodeTask(task));
    }
    job.m_recorded = true;
    job.m_cancelled = json.at("cancelled").get<bool>();
    job.m_stopping = job.m_cancelled;
    job.m_submitted_unix_ms = json.at("submitted").get<std::int64_t>();
    job.m_started_unix_ms = json.at("started").get<std::int64_t>();
    job.m_ended_unix_ms = json.at("ended").get<std::int64_t>();
    job.m_outcome = json.at("outcome").get<Outcome>();
    job.m_reason = json.at("reason").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_job_record",
                error.what());
  }
}

}  // namespace mustardslip
