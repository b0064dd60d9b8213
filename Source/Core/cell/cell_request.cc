// Encoding of link messages: the header is CBOR, and a submitted job is encoded
// as a log record.
#include "cell/cell_request.h"

#include "cell/log_record.h"

namespace mustardslip {
namespace {

using nlohmann::json;

json StepToJson(const StepRef& step) {
  return json::array({step.m_job, step.m_occurrence, step.m_step});
}

StepRef StepFromJson(const json& value) {
  return {value.at(0), value.at(1), value.at(2)};
}

json AnswerToJson(const CellAnswer& answer) {
  json value = {{"o", answer.m_outcome}, {"p", answer.m_phase}};
  if (answer.m_count != 0) {
    value["c"] = answer.m_count;
  }
  if (!answer.m_reason.empty()) {
    value["r"] = answer.m_reason;
    value["a"] = answer.m_retry_after_ms;
  }
  if (!answer.m_explanation.empty()) {
    value["x"] = answer.m_explanation;
  }
  return value;
}

CellAnswer AnswerFromJson(const json& value) {
  CellAnswer answer;
  answer.m_outcome = value.at("o");
  answer.m_phase = value.at("p");
  answer.m_count = value.value("c", std::uint64_t{0});
  answer.m_reason = value.value("r", "");
  answer.m_retry_after_ms = value.value("a", std::int64_t{0});
  answer.m_explanation = value.value("x", "");
  return answer;
}

json AdviceToJson(const AdviceAnswer& advice) {
  json rows = json::array();
  for (const AdviceAnswer::Row& row : advice.m_good) {
    rows.push_back({row.m_vm, row.m_ticket});
  }
  return {{"s", StepToJson(advice.m_step)},
          {"v", advice.m_asked},
          {"k", advice.m_ok},
          {"g", rows},
          {"d", advice.m_validity_ms}};
}

AdviceAnswer AdviceFromJson(const json& value) {
  AdviceAnswer advice;
  advice.m_step = StepFromJson(value.at("s"));
  advice.m_asked = value.at("v").get<std::vector<std::string>>();
  advice.m_ok = value.at("k");
  for (const json& row : value.at("g")) {
    advice.m_good.push_back({row.at(0), row.at(1)});
  }
  advice.m_validity_ms = value.at("d");
  return advice;
}

json OwnerToJson(const OwnerRecord& owner) {
  return json::array({owner.m_instance, owner.m_address, owner.m_cpu_millis,
                      owner.m_revision});
}

OwnerRecord OwnerFromJson(const json& value) {
  return {value.at(0), value.at(1), value.at(2), value.at(3)};
}

void EncodeRequest(const CellRequest& request, RpcMessage& message) {
  message.m_header["m"] = request.m_method;
  message.m_header["q"] = request.m_queue;
  message.m_header["j"] = request.m_job;
  if (CarriesJob(request.m_method)) {
    message.m_payload = EncodeRecords({JobAccepted{request.m_spec, 0}});
  }
}

Result<CellRequest> DecodeRequest(const RpcMessage& message) {
  CellRequest request;
  request.m_method = message.m_header.at("m");
  if (request.m_method > CellMethod::kExplain) {
    return Fail(ErrorCode::kInvalidArgument, "unknown_method");
  }
  request.m_queue = message.m_header.at("q");
  request.m_job = message.m_header.at("j");
  if (CarriesJob(request.m_method)) {
    auto records = DecodeRecords(message.m_payload);
    if (!records) {
      return tl::unexpected(records.error());
    }
    const auto* job = records->empty()
                          ? nullptr
                          : std::get_if<JobAccepted>(&records->front());
    if (job == nullptr) {
      return Fail(ErrorCode::kInvalidArgument, "malformed_message");
    }
    if (auto valid = ValidateWorkflow(job->m_spec); !valid) {
      return tl::unexpected(valid.error());
    }
    request.m_spec = job->m_spec;
  }
  return request;
}

Result<LinkMessage> DecodeChecked(const RpcMessage& message) {
  const json& header = message.m_header;
  LinkMessage decoded;
  decoded.m_kind = header.at("t");
  decoded.m_number = header.value("n", std::uint64_t{0});
  switch (decoded.m_kind) {
    case LinkMessageKind::kHello:
    case LinkMessageKind::kWelcome:
    case LinkMessageKind::kNotOwner:
    case LinkMessageKind::kPing:
    case LinkMessageKind::kTakeoverRequest:
      decoded.m_instance = header.value("i", "");
      decoded.m_cpu_millis = header.value("p", std::int64_t{0});
      decoded.m_link_address = header.value("l", "");
      decoded.m_store_away = header.value("w", false);
      decoded.m_daemons = header.value("d", std::vector<std::string>{});
      break;
    case LinkMessageKind::kRequest: {
      auto request = DecodeRequest(message);
      if (!request) {
        return tl::unexpected(request.error());
      }
      decoded.m_request = std::move(*request);
      break;
    }
    case LinkMessageKind::kAnswer:
      decoded.m_answer = AnswerFromJson(header.at("a"));
      if (decoded.m_answer.m_outcome > CellOutcome::kExplained ||
          decoded.m_answer.m_phase > JobPhase::kCancelled) {
        return Fail(ErrorCode::kInvalidArgument, "unknown_answer");
      }
      break;
    case LinkMessageKind::kAdviceRequest:
      decoded.m_advice_request.m_step = StepFromJson(header.at("s"));
      decoded.m_advice_request.m_vms =
          header.at("v").get<std::vector<std::string>>();
      decoded.m_advice_request.m_expected_ms = header.at("e");
      break;
    case LinkMessageKind::kAdviceAnswer:
      decoded.m_advice = AdviceFromJson(header.at("a"));
      break;
    case LinkMessageKind::kOwnerQuery:
      break;
    case LinkMessageKind::kOwnerHint:
      if (header.contains("o")) {
        decoded.m_owner = OwnerFromJson(header.at("o"));
      }
      break;
    default:
      return Fail(ErrorCode::kInvalidArgument, "unknown_message");
  }
  return decoded;
}

}  // namespace

TrafficPurpose PurposeOf(const RpcMessage& message) {
  const auto kind = message.m_header.find("t");
  if (kind == message.m_header.end() || !kind->is_number_integer()) {
    return TrafficPurpose::kOther;
  }
  switch (kind->get<LinkMessageKind>()) {
    case LinkMessageKind::kRequest:
    case LinkMessageKind::kAnswer:
      return TrafficPurpose::kPeerRequest;
    case LinkMessageKind::kAdviceRequest:
    case LinkMessageKind::kAdviceAnswer:
      return TrafficPurpose::kAdviceForward;
    default:
      return TrafficPurpose::kPeerControl;
  }
}

RpcMessage EncodeLinkMessage(const LinkMessage& message) {
  RpcMessage encoded;
  encoded.m_header["t"] = message.m_kind;
  if (message.m_number != 0) {
    encoded.m_header["n"] = message.m_number;
  }
  switch (message.m_kind) {
    case LinkMessageKind::kHello:
    case LinkMessageKind::kWelcome:
    case LinkMessageKind::kNotOwner:
    case LinkMessageKind::kPing:
    case LinkMessageKind::kTakeoverRequest:
      encoded.m_header["i"] = message.m_instance;
      if (message.m_cpu_millis != 0) {
        encoded.m_header["p"] = message.m_cpu_millis;
      }
      if (!message.m_link_address.empty()) {
        encoded.m_header["l"] = message.m_link_address;
      }
      if (message.m_store_away) {
        encoded.m_header["w"] = true;
      }
      if (!message.m_daemons.empty()) {
        encoded.m_header["d"] = message.m_daemons;
      }
      break;
    case LinkMessageKind::kRequest:
      EncodeRequest(message.m_request, encoded);
      break;
    case LinkMessageKind::kAnswer:
      encoded.m_header["a"] = AnswerToJson(message.m_answer);
      break;
    case LinkMessageKind::kAdviceRequest:
      encoded.m_header["s"] = StepToJson(message.m_advice_request.m_step);
      encoded.m_header["v"] = message.m_advice_request.m_vms;
      encoded.m_header["e"] = message.m_advice_request.m_expected_ms;
      break;
    case LinkMessageKind::kAdviceAnswer:
      encoded.m_header["a"] = AdviceToJson(message.m_advice);
      break;
    case LinkMessageKind::kOwnerQuery:
      break;
    case LinkMessageKind::kOwnerHint:
      if (message.m_owner) {
        encoded.m_header["o"] = OwnerToJson(*message.m_owner);
      }
      break;
  }
  return encoded;
}

Result<LinkMessage> DecodeLinkMessage(const RpcMessage& message) {
  try {
    return DecodeChecked(message);
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_message", error.what());
  }
}

}  // namespace mustardslip
