// Random identifiers and 128-bit hashes in hexadecimal.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardslip {

// 128 random bits from the system's generator, as 32 hexadecimal digits.
std::string RandomHexId();

// A stable 128-bit hash (XXH3), as 32 hexadecimal digits.
std::string HashHex128(std::string_view data);

// A stable 64-bit hash (XXH3).
std::uint64_t Hash64(std::string_view data);

}  // namespace mustardslip
