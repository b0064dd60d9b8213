// The text that `mustardslip dry-run` prints.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace mustardslip {

// `result`: the JSON object that a daemon sent. Fields that are missing, as in
// the answer of a daemon without an owner, or of another type are left out.
std::string DryRunText(const nlohmann::json& result);

}  // namespace mustardslip
