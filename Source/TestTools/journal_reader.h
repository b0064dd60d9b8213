// Reads the whole journal of a worker stand-in, page by page.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/result.h"

namespace mustardslip {

// `address` is host:port. Errors as for HttpClient::Send(), and kInternal for
// an answer that is no journal.
Result<std::vector<nlohmann::json>> ReadJournal(const std::string& address);

}  // namespace mustardslip
