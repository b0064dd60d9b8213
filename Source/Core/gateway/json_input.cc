// A depth check before the parse: the parser itself has no bound.
#include "gateway/json_input.h"

namespace mustardslip {
namespace {

bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        in_string = false;
      }
      continue;
    }
    if (character == '"') {
      in_string = true;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (character == '}' || character == ']') {
      --depth;
    }
  }
  return false;
}

}  // namespace

Result<nlohmann::json> ParseJsonObject(std::string_view text) {
  if (IsTooDeep(text)) {
    return Fail(ErrorCode::kInvalidArgument, "json_too_deep");
  }
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_json");
  }
  if (!value.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "not_an_object");
  }
  return value;
}

}  // namespace mustardslip
