// Key verification with OpenSSL's SHA-256 and constant-time comparison.
#include "admission/key_verifier.h"

#include <fmt/core.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

#include "common/random_id.h"

namespace mustardslip {
namespace {

// Longer keys are rejected before they are hashed.
constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kKeyIdDigits = 12;
// Used in place of the record of an unknown id; see VerifyKey.
constexpr std::string_view kDummySalt = "00000000000000000000000000000000";
constexpr std::string_view kDummyHash =
    "0000000000000000000000000000000000000000000000000000000000000000";

std::string HashHex(std::string_view salt_hex, std::string_view secret) {
  const std::string input = std::string(salt_hex) + std::string(secret);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  Invariant(EVP_Digest(input.data(), input.size(), digest.data(), &size,
                       EVP_sha256(), nullptr) == 1,
            "SHA-256 failed");
  std::string text;
  text.reserve(std::size_t{2} * size);
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (unsigned i = 0; i < size; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 15U];
  }
  return text;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

Result<Principal> VerifyKey(std::string_view presented,
                            const Configuration& configuration) {
  if (presented.empty()) {
    return Fail(ErrorCode::kUnauthenticated, "missing_key");
  }
  const std::size_t dot = presented.find('.');
  if (presented.size() > kMaxKeyLength || dot == std::string_view::npos) {
    return Fail(ErrorCode::kUnauthenticated, "invalid_key");
  }
  const KeyRecord* record = configuration.FindKey(presented.substr(0, dot));
  const std::string_view salt =
      record != nullptr ? std::string_view(record->m_salt_hex) : kDummySalt;
  const std::string_view expected =
      record != nullptr ? std::string_view(record->m_hash_hex) : kDummyHash;
  const std::string actual = HashHex(salt, presented.substr(dot + 1));
  const bool matches = EqualInConstantTime(actual, expected);
  if (!matches || record == nullptr) {
    return Fail(ErrorCode::kUnauthenticated, "invalid_key");
  }
  return Principal{record->m_team, record->m_operator, record->m_id};
}

KeyRecord MakeKeyRecord(const std::string& id, const std::string& secret,
                        const std::string& team, bool is_operator) {
  const std::string salt = RandomHexId();
  return {id, team, is_operator, salt, HashHex(salt, secret)};
}

NewKey MakeKey(const std::string& team, bool is_operator) {
  const std::string id = "k" + RandomHexId().substr(0, kKeyIdDigits);
  const std::string secret = RandomHexId();
  return {fmt::format("{}.{}", id, secret),
          MakeKeyRecord(id, secret, team, is_operator)};
}

}  // namespace mustardslip
