// One line of JSON followed by byte strings, for messages that carry values of
// any bytes. The field `blobs` of the JSON holds the sizes of the byte strings.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "common/result.h"

namespace mustardslip {

struct JsonPacket {
  nlohmann::json m_json = nlohmann::json::object();
  std::vector<std::string> m_blobs;

  bool operator==(const JsonPacket&) const = default;
};

inline std::string EncodeJsonPacket(JsonPacket packet) {
  nlohmann::json sizes = nlohmann::json::array();
  for (const std::string& blob : packet.m_blobs) {
    sizes.push_back(blob.size());
  }
  packet.m_json["blobs"] = std::move(sizes);
  std::string bytes = packet.m_json.dump();
  bytes += '\n';
  for (const std::string& blob : packet.m_blobs) {
    bytes += blob;
  }
  return bytes;
}

// Errors: kInvalidArgument with reason "malformed_packet", also for a packet
// that was cut short.
inline Result<JsonPacket> DecodeJsonPacket(const std::string& bytes) {
  const auto malformed = [](const char* what) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_packet", what);
  };
  const std::size_t line_end = bytes.find('\n');
  if (line_end == std::string::npos) {
    return malformed("no end of the JSON line");
  }
  JsonPacket packet;
  packet.m_json =
      nlohmann::json::parse(bytes.begin(), bytes.begin() + line_end, nullptr,
                            /*allow_exceptions=*/false);
  if (!packet.m_json.is_object() || !packet.m_json.contains("blobs") ||
      !packet.m_json["blobs"].is_array()) {
    return malformed("no JSON object with blobs");
  }
  std::size_t position = line_end + 1;
  for (const nlohmann::json& size : packet.m_json["blobs"]) {
    if (!size.is_number_unsigned() ||
        size.get<std::size_t>() > bytes.size() - position) {
      return malformed("a blob is cut short");
    }
    packet.m_blobs.push_back(bytes.substr(position, size.get<std::size_t>()));
    position += size.get<std::size_t>();
  }
  if (position != bytes.size()) {
    return malformed("bytes after the last blob");
  }
  packet.m_json.erase("blobs");
  return packet;
}

// Runs a decoder that reads JSON with exceptions. Errors: kUnknownOutcome with
// reason "malformed_answer", since the peer may have acted before it answered.
template <typename Decoder>
auto DecodeAnswer(Decoder decoder) -> Result<decltype(decoder())> {
  try {
    return decoder();
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kUnknownOutcome, "malformed_answer", error.what());
  }
}

}  // namespace mustardslip
