// The encoding of worker calls and answers, for the client and the stand-in.
//
// Messages with opaque fields (labels, payload, answer) are JSON packets
// (transport/json_packet.h), so that these fields may hold any bytes.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "fleet/worker_api.h"

namespace mustardslip {

// Header of an answer to POST tasks/<attempt>/requests: the status that the
// task answered with. Answers without it come from the worker, not from the
// task.
inline constexpr const char* kServiceStatusHeader = "x-service-status";

std::string_view ToString(TaskEndReason reason);
std::string_view ToString(WorkerTaskState state);

std::string EncodeTaskStart(const TaskStart& start);
std::string EncodeFenceReply(const FenceReply& reply);
std::string EncodeWorkerEvents(const WorkerEvents& events);

// Errors of all: kUnknownOutcome with reason "malformed_answer".
Result<TaskStart> DecodeTaskStart(const std::string& bytes);
Result<FenceReply> DecodeFenceReply(const std::string& bytes);
Result<WorkerEvents> DecodeWorkerEvents(const std::string& bytes);

}  // namespace mustardslip
