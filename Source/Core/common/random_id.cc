// Identifiers by OpenSSL's generator and xxHash.
#include "common/random_id.h"

#include <fmt/core.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>

#include "common/result.h"

namespace mustardslip {

std::string RandomHexId() {
  std::array<unsigned char, 16> bytes{};
  Invariant(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1,
            "the system's random generator failed");
  std::string text;
  for (const unsigned char byte : bytes) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

std::string HashHex128(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::uint64_t Hash64(std::string_view data) {
  return XXH3_64bits(data.data(), data.size());
}

}  // namespace mustardslip
