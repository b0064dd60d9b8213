// Encoding and decoding of messages.
#include "transport/message.h"

#include <array>
#include <cstdint>

namespace mustardslip {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr const char* kErrorField = "$error";
// The parser recurses once a level, so deep nesting would exhaust the stack.
constexpr int kMaxHeaderDepth = 16;

// Passes over a header and stops at the first value that is nested too deeply.
class DepthLimit : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter() { return ++m_depth <= kMaxHeaderDepth; }
  bool Leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

}  // namespace

std::string EncodeMessage(const RpcMessage& message) {
  const std::vector<std::uint8_t> header =
      nlohmann::json::to_cbor(message.m_header);
  std::string bytes;
  bytes.reserve(kLengthBytes + header.size() + message.m_payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>((header.size() >> shift) & 0xFFU);
  }
  bytes.append(header.begin(), header.end());
  bytes += message.m_payload;
  return bytes;
}

Result<RpcMessage> DecodeMessage(std::string_view bytes) {
  if (bytes.size() < kLengthBytes) {
    return Fail(ErrorCode::kInvalidArgument, "truncated_message");
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<std::uint8_t>(bytes[i]);
  }
  bytes.remove_prefix(kLengthBytes);
  if (bytes.size() < length) {
    return Fail(ErrorCode::kInvalidArgument, "truncated_message");
  }
  const std::string_view header = bytes.substr(0, length);
  DepthLimit depth_limit;
  if (!nlohmann::json::sax_parse(header.begin(), header.end(), &depth_limit,
                                 nlohmann::json::input_format_t::cbor)) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_message");
  }
  RpcMessage message;
  message.m_header =
      nlohmann::json::from_cbor(header.begin(), header.end(), true, false);
  if (!message.m_header.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_message");
  }
  message.m_payload = std::string(bytes.substr(length));
  return message;
}

RpcMessage EncodeError(const Error& error) {
  RpcMessage message;
  message.m_header[kErrorField] = {{"code", ToString(error.Code())},
                                   {"reason", error.Reason()},
                                   {"message", error.Message()}};
  return message;
}

Result<RpcMessage> ErrorOrMessage(RpcMessage message) {
  const auto field = message.m_header.find(kErrorField);
  if (field == message.m_header.end()) {
    return message;
  }
  return Fail(ErrorCodeFromString(field->value("code", "internal")),
              field->value("reason", ""), field->value("message", ""));
}

}  // namespace mustardslip
