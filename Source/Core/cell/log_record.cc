// Binary encoding of log records; fields are written in a fixed order.
#include "cell/log_record.h"

#include <array>
#include <cmath>

#include "cell/byte_codec.h"

namespace mustardslip {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr double kFractionScale = 1e6;
// Flags of JobProgress. Versions without the second one read any flag as the
// first, which it implies.
constexpr std::uint64_t kStartedBit = 1;
constexpr std::uint64_t kConfirmedBit = 2;

void Write(ByteWriter& out, const TaskRef& task) {
  out.Text(task.m_job);
  out.Unsigned(task.m_occurrence);
  out.Unsigned(task.m_step);
  out.Unsigned(task.m_index);
}

TaskRef ReadTask(ByteReader& in) {
  TaskRef task;
  task.m_job = in.Text();
  task.m_occurrence = static_cast<std::uint32_t>(in.Unsigned());
  task.m_step = static_cast<std::uint32_t>(in.Unsigned());
  task.m_index = static_cast<std::uint32_t>(in.Unsigned());
  return task;
}

void Write(ByteWriter& out, const VmIncarnation& vm) {
  out.Text(vm.m_id);
  out.Signed(vm.m_born);
}

VmIncarnation ReadVm(ByteReader& in) {
  VmIncarnation vm;
  vm.m_id = in.Text();
  vm.m_born = in.Signed();
  return vm;
}

void Write(ByteWriter& out, const StepSpec& step) {
  out.Unsigned(step.m_count);
  out.Signed(step.m_resources.m_cpu_millis);
  out.Signed(step.m_resources.m_memory_mb);
  out.Signed(step.m_resources.m_accelerators);
  out.Signed(step.m_estimate_ms);
  out.Unsigned(step.m_dependencies.size());
  for (const std::uint32_t before : step.m_dependencies) {
    out.Unsigned(before);
  }
  out.Bool(step.m_checkpoint);
  out.Bool(step.m_gang);
  out.Bool(step.m_same_rack);
  out.Text(step.m_required_label);
  out.Text(step.m_rack_affinity);
  out.Unsigned(step.m_max_per_vm);
  out.Bool(step.m_speculative);
  out.Bool(step.m_long_lived);
  out.Bool(step.m_uses_idle_cpu);
  out.Text(step.m_image);
  out.Signed(step.m_target_latency_ms);
  out.Bool(step.m_max_unavailable.has_value());
  out.Unsigned(step.m_max_unavailable.value_or(0));
}

StepSpec ReadStep(ByteReader& in) {
  StepSpec step;
  step.m_count = static_cast<std::uint32_t>(in.Unsigned());
  step.m_resources.m_cpu_millis = in.Signed();
  step.m_resources.m_memory_mb = in.Signed();
  step.m_resources.m_accelerators = in.Signed();
  step.m_estimate_ms = in.Signed();
  const std::uint64_t after = in.Unsigned();
  for (std::uint64_t i = 0; i < after && in.Ok(); ++i) {
    step.m_dependencies.push_back(static_cast<std::uint32_t>(in.Unsigned()));
  }
  step.m_checkpoint = in.Bool();
  step.m_gang = in.Bool();
  step.m_same_rack = in.Bool();
  step.m_required_label = in.Text();
  step.m_rack_affinity = in.Text();
  step.m_max_per_vm = static_cast<std::uint32_t>(in.Unsigned());
  step.m_speculative = in.Bool();
  step.m_long_lived = in.Bool();
  step.m_uses_idle_cpu = in.Bool();
  step.m_image = in.Text();
  step.m_target_latency_ms = in.Signed();
  const bool limited = in.Bool();
  const auto unavailable = static_cast<std::uint32_t>(in.Unsigned());
  if (limited) {
    step.m_max_unavailable = unavailable;
  }
  return step;
}

// Rounds, so that a value that was read is written the same again.
void WriteFraction(ByteWriter& out, double value) {
  out.Signed(std::llround(value * kFractionScale));
}

void Write(ByteWriter& out, const QueueRules& queue) {
  out.Text(queue.m_name);
  out.Text(queue.m_service);
  out.Signed(queue.m_priority);
  out.Signed(queue.m_max_attempts);
  WriteFraction(out, queue.m_stretch);
  out.Signed(queue.m_target_latency_ms);
  out.Bool(queue.m_needs_advice);
  out.Signed(queue.m_advice_base_ms);
  WriteFraction(out, queue.m_advice_per_vm_ms);
  out.Signed(queue.m_advice_validity_ms);
}

QueueRules ReadQueue(ByteReader& in) {
  QueueRules queue;
  queue.m_name = in.Text();
  queue.m_service = in.Text();
  queue.m_priority = in.Signed();
  queue.m_max_attempts = in.Signed();
  queue.m_stretch = static_cast<double>(in.Signed()) / kFractionScale;
  queue.m_target_latency_ms = in.Signed();
  queue.m_needs_advice = in.Bool();
  queue.m_advice_base_ms = in.Signed();
  queue.m_advice_per_vm_ms = static_cast<double>(in.Signed()) / kFractionScale;
  queue.m_advice_validity_ms = in.Signed();
  return queue;
}

// Writes the body of a record, which follows its index in the variant.
struct RecordWriter {
  ByteWriter& m_out;

  void operator()(const JobAccepted& record) const {
    const WorkflowSpec& spec = record.m_spec;
    m_out.Text(spec.m_id);
    Write(m_out, spec.m_queue);
    m_out.Text(spec.m_team);
    m_out.Text(spec.m_payload);
    m_out.Unsigned(spec.m_steps.size());
    for (const StepSpec& step : spec.m_steps) {
      Write(m_out, step);
    }
    m_out.Signed(spec.m_schedule.m_first_unix_ms);
    m_out.Signed(spec.m_schedule.m_interval_ms);
    m_out.Unsigned(spec.m_schedule.m_repeats);
    m_out.Signed(record.m_accepted_unix_ms);
  }
  void operator()(const JobCancelled& record) const {
    m_out.Text(record.m_job);
    m_out.Signed(record.m_unix_ms);
  }
  void operator()(const RunPlanned& record) const {
    Write(m_out, record.m_task);
    m_out.Unsigned(record.m_run);
    Write(m_out, record.m_vm);
  }
  void operator()(const RunEnded& record) const {
    Write(m_out, record.m_task);
    m_out.Unsigned(record.m_run);
    m_out.Unsigned(static_cast<std::uint64_t>(record.m_end));
    m_out.Text(record.m_checkpoint);
    Write(m_out, record.m_vm);
    m_out.Unsigned(record.m_sequence);
    m_out.Signed(record.m_unix_ms);
  }
  void operator()(const TaskSnapshot& record) const {
    Write(m_out, record.m_task);
    m_out.Unsigned(record.m_last_run);
    m_out.Unsigned(record.m_failures);
    m_out.Bool(record.m_done);
    m_out.Text(record.m_checkpoint);
  }
  void operator()(const VmSnapshot& record) const {
    Write(m_out, record.m_vm);
    m_out.Unsigned(record.m_last_end);
  }
  void operator()(const JobProgress& record) const {
    m_out.Text(record.m_job);
    m_out.Signed(record.m_ended_unix_ms);
    m_out.Bool(record.m_failed);
    m_out.Unsigned((record.m_started ? kStartedBit : 0) |
                   (record.m_confirmed ? kConfirmedBit : 0));
  }
  void operator()(const JobEnded& record) const {
    m_out.Text(record.m_job);
    m_out.Text(record.m_queue);
    m_out.Unsigned(static_cast<std::uint64_t>(record.m_result));
    m_out.Signed(record.m_ended_unix_ms);
  }
  void operator()(const FailedRunSnapshot& record) const {
    Write(m_out, record.m_task);
    m_out.Unsigned(record.m_failures);
    m_out.Unsigned(record.m_run);
  }
  void operator()(const CrashSuspicion& record) const {
    Write(m_out, record.m_task);
    m_out.Unsigned(record.m_run);
    m_out.Bool(record.m_alone);
    m_out.Bool(record.m_confirmed);
  }
  void operator()(const RulesInForce& record) const {
    m_out.Signed(record.m_version);
    m_out.Unsigned(record.m_changed.size());
    for (const QueueRules& queue : record.m_changed) {
      Write(m_out, queue);
    }
  }
  void operator()(const VmUnreachable& record) const {
    Write(m_out, record.m_vm);
    m_out.Signed(record.m_runs_ended_by_unix_ms);
  }
  void operator()(const VmReachable& record) const {
    Write(m_out, record.m_vm);
  }
};

JobAccepted ReadJobAccepted(ByteReader& in) {
  JobAccepted record;
  WorkflowSpec& spec = record.m_spec;
  spec.m_id = in.Text();
  spec.m_queue = ReadQueue(in);
  spec.m_team = in.Text();
  spec.m_payload = in.Text();
  const std::uint64_t steps = in.Unsigned();
  for (std::uint64_t i = 0; i < steps && in.Ok(); ++i) {
    spec.m_steps.push_back(ReadStep(in));
  }
  spec.m_schedule.m_first_unix_ms = in.Signed();
  spec.m_schedule.m_interval_ms = in.Signed();
  spec.m_schedule.m_repeats = static_cast<std::uint32_t>(in.Unsigned());
  record.m_accepted_unix_ms = in.Signed();
  return record;
}

RunEnded ReadRunEnded(ByteReader& in) {
  RunEnded record;
  record.m_task = ReadTask(in);
  record.m_run = static_cast<std::uint32_t>(in.Unsigned());
  record.m_end = static_cast<RunEnd>(in.Unsigned());
  record.m_checkpoint = in.Text();
  record.m_vm = ReadVm(in);
  record.m_sequence = in.Unsigned();
  record.m_unix_ms = in.Signed();
  return record;
}

RunPlanned ReadRunPlanned(ByteReader& in) {
  RunPlanned record;
  record.m_task = ReadTask(in);
  record.m_run = static_cast<std::uint32_t>(in.Unsigned());
  record.m_vm = ReadVm(in);
  return record;
}

TaskSnapshot ReadTaskSnapshot(ByteReader& in) {
  TaskSnapshot record;
  record.m_task = ReadTask(in);
  record.m_last_run = static_cast<std::uint32_t>(in.Unsigned());
  record.m_failures = static_cast<std::uint32_t>(in.Unsigned());
  record.m_done = in.Bool();
  record.m_checkpoint = in.Text();
  return record;
}

RulesInForce ReadRulesInForce(ByteReader& in) {
  RulesInForce record;
  record.m_version = in.Signed();
  const std::uint64_t changed = in.Unsigned();
  for (std::uint64_t i = 0; i < changed && in.Ok(); ++i) {
    record.m_changed.push_back(ReadQueue(in));
  }
  return record;
}

Result<LogRecord> ReadRecord(ByteReader& in) {
  switch (in.Unsigned()) {
    case 0:
      return ReadJobAccepted(in);
    case 1: {
      JobCancelled record;
      record.m_job = in.Text();
      record.m_unix_ms = in.Signed();
      return record;
    }
    case 2:
      return ReadRunPlanned(in);
    case 3:
      return ReadRunEnded(in);
    case 4:
      return ReadTaskSnapshot(in);
    case 5: {
      VmSnapshot record;
      record.m_vm = ReadVm(in);
      record.m_last_end = in.Unsigned();
      return record;
    }
    case 6: {
      JobProgress record;
      record.m_job = in.Text();
      record.m_ended_unix_ms = in.Signed();
      record.m_failed = in.Bool();
      const std::uint64_t flags = in.Unsigned();
      record.m_started = flags != 0;
      record.m_confirmed = (flags & kConfirmedBit) != 0;
      return record;
    }
    case 7: {
      JobEnded record;
      record.m_job = in.Text();
      record.m_queue = in.Text();
      record.m_result = static_cast<JobResult>(in.Unsigned());
      record.m_ended_unix_ms = in.Signed();
      return record;
    }
    case 8: {
      FailedRunSnapshot record;
      record.m_task = ReadTask(in);
      record.m_failures = static_cast<std::uint32_t>(in.Unsigned());
      record.m_run = static_cast<std::uint32_t>(in.Unsigned());
      return record;
    }
    case 9: {
      CrashSuspicion record;
      record.m_task = ReadTask(in);
      record.m_run = static_cast<std::uint32_t>(in.Unsigned());
      record.m_alone = in.Bool();
      record.m_confirmed = in.Bool();
      return record;
    }
    case 10:
      return ReadRulesInForce(in);
    case 11: {
      VmUnreachable record;
      record.m_vm = ReadVm(in);
      record.m_runs_ended_by_unix_ms = in.Signed();
      return record;
    }
    case 12:
      return VmReachable{ReadVm(in)};
    default:
      return Fail(ErrorCode::kInvalidArgument, "unknown_log_record");
  }
}

}  // namespace

std::string_view ToString(RunEnd end) {
  constexpr std::array<std::string_view, 8> kNames = {
      "done",   "failed", "stopped", "lapsed",
      "broken", "alone",  "lost",    "not_begun"};
  return kNames.at(static_cast<std::size_t>(end));
}

std::size_t EstimatedSize(const WorkflowSpec& spec) {
  constexpr std::size_t kQueueBytes = 60;
  constexpr std::size_t kStepBytes = 30;
  return kEstimatedRecordBytes + kQueueBytes + spec.m_payload.size() +
         kStepBytes * spec.m_steps.size();
}

std::size_t EstimatedSize(const LogRecord& record) {
  if (const auto* accepted = std::get_if<JobAccepted>(&record)) {
    return EstimatedSize(accepted->m_spec);
  }
  const auto* rules = std::get_if<RulesInForce>(&record);
  return kEstimatedRecordBytes *
         (rules == nullptr ? 1 : 1 + rules->m_changed.size());
}

std::string EncodeRecords(const std::vector<LogRecord>& records) {
  ByteWriter out;
  out.Unsigned(kFormatVersion);
  for (const LogRecord& record : records) {
    out.Unsigned(record.index());
    std::visit(RecordWriter{out}, record);
  }
  return out.Take();
}

Result<std::vector<LogRecord>> DecodeRecords(std::string_view bytes) {
  ByteReader in(bytes);
  if (in.Unsigned() != kFormatVersion) {
    return Fail(ErrorCode::kInvalidArgument, "unknown_log_format");
  }
  std::vector<LogRecord> records;
  while (!in.AtEnd()) {
    auto record = ReadRecord(in);
    if (!record) {
      return tl::unexpected(record.error());
    }
    if (!in.Ok()) {
      break;
    }
    records.push_back(std::move(*record));
  }
  if (!in.Ok()) {
    return Fail(ErrorCode::kInvalidArgument, "truncated_log_record");
  }
  return records;
}

}  // namespace mustardslip
