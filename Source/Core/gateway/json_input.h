// Parsing of JSON that comes from outside, with bounds.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/result.h"

namespace mustardslip {

// Deeper nesting makes parsing expensive and has no use here.
inline constexpr int kMaxJsonDepth = 16;

// Parses an object. Errors: kInvalidArgument with reason "malformed_json",
// "json_too_deep" or "not_an_object".
Result<nlohmann::json> ParseJsonObject(std::string_view text);

}  // namespace mustardslip
