// The message that daemons exchange: a typed header and a raw payload.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "common/result.h"

namespace mustardslip {

// On the wire: four bytes with the header's length (big endian), the header in
// CBOR, then the payload as it is.
struct RpcMessage {
  nlohmann::json m_header = nlohmann::json::object();
  std::string m_payload;

  bool operator==(const RpcMessage&) const = default;
};

std::string EncodeMessage(const RpcMessage& message);
// Errors: kInvalidArgument for truncated or malformed bytes.
Result<RpcMessage> DecodeMessage(std::string_view bytes);

// An error as a message, and back.
RpcMessage EncodeError(const Error& error);
// The error that the message carries, or the message itself.
Result<RpcMessage> ErrorOrMessage(RpcMessage message);

// Builds a message from a struct that nlohmann_json can convert.
template <typename Header>
RpcMessage MakeMessage(const Header& header, std::string payload = "") {
  return {nlohmann::json(header), std::move(payload)};
}

// Reads the header as `Header`. Errors: kInvalidArgument if a field is missing
// or has the wrong type.
template <typename Header>
Result<Header> ReadHeader(const RpcMessage& message) {
  try {
    return message.m_header.get<Header>();
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_message", error.what());
  }
}

}  // namespace mustardslip
