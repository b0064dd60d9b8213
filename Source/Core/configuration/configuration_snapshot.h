// The stored form of one configuration as passed between daemons.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "configuration/configuration_head.h"

namespace mustardslip {

// What a peer needs to hold the same configuration without the store.
struct ConfigurationSnapshot {
  StoreRevision m_version = kAbsent;
  std::string m_head;
  std::map<std::string, std::string> m_chunks;  // By chunk key.

  bool operator==(const ConfigurationSnapshot&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationSnapshot, m_version, m_head,
                                   m_chunks)

// The head of a snapshot whose chunks are all present and undamaged. Errors:
// kInternal with reason "head_malformed" or "chunk_damaged".
Result<VersionedHead> CheckSnapshot(const ConfigurationSnapshot& snapshot);

}  // namespace mustardslip
