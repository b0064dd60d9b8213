// Verifies the keys that callers present against the configuration.
//
// A key is "<key id>.<secret>" with a random secret of 128 bits. The record
// holds SHA-256(salt || secret). A slow hash is not needed: it protects
// guessable passwords, while 2^128 secrets cannot be guessed. The salt hides
// equal secrets. Keys and secrets are never logged.
#pragma once

#include <string>
#include <string_view>

#include "common/result.h"
#include "configuration/configuration.h"

namespace mustardslip {

// The identity that a valid key authenticates.
struct Principal {
  std::string m_team;
  bool m_is_operator = false;
  std::string m_key_id;

  bool operator==(const Principal&) const = default;
};

// Errors: kUnauthenticated, with reason "missing_key" for an empty text and
// "invalid_key" otherwise. An unknown id takes the same hash and comparison as
// a wrong secret, so that timing does not reveal which ids exist.
Result<Principal> VerifyKey(std::string_view presented,
                            const Configuration& configuration);

struct NewKey {
  // The text that the caller sends. It cannot be recovered from the record.
  std::string m_presented;
  KeyRecord m_record;
};

// Makes a key with a random id, salt and secret.
NewKey MakeKey(const std::string& team, bool is_operator);

// Makes the record of a given id and secret with a random salt (for demo data).
KeyRecord MakeKeyRecord(const std::string& id, const std::string& secret,
                        const std::string& team, bool is_operator);

}  // namespace mustardslip
