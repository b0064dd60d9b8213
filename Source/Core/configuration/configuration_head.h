// The stored form of the configuration: one head that names immutable chunks.
//
// The head also holds the roster of the processes that may honour keys or
// accept changes. One compare-and-swap therefore decides a change against the
// exact roster that it was checked for, and the removal of a member makes a
// delayed write of that member fail (see freshness_core.h).
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/configuration_files.h"
#include "store/key_value_store.h"

namespace mustardslip {

inline constexpr const char* kConfigurationHeadKey = "config/head";
inline constexpr const char* kConfigurationChunkPrefix = "config/chunk/";

// A part of the configuration under one store key.
struct ChunkReference {
  // "vms/<zone>/<part>", "teams/0", "keys/<part>" or "rules/0".
  std::string m_name;
  std::string m_key;
  // 128-bit hash of the value; detects truncated chunks.
  std::string m_hash;

  bool operator==(const ChunkReference&) const = default;
};

// A chunk that is no longer named; deleted some revisions later, so that
// readers of an earlier head still find it.
struct RetiredChunk {
  std::string m_key;
  ConfigurationRevision m_since = 0;

  bool operator==(const RetiredChunk&) const = default;
};

struct RosterMember {
  // Random, new for each process.
  std::string m_id;
  std::string m_address;
  // Order of joining; a member knows all that joined before it.
  std::int64_t m_joined = 0;
  // Sign of life, raised by the member itself.
  std::int64_t m_beat = 0;

  bool operator==(const RosterMember&) const = default;
};

// What one revision changed, for the operator who loses a race.
struct ChangeRecord {
  ConfigurationRevision m_revision = 0;
  std::string m_change_id;
  std::vector<std::string> m_lines;

  bool operator==(const ChangeRecord&) const = default;
};

struct ConfigurationHead {
  ConfigurationRevision m_revision = 0;
  std::vector<ChunkReference> m_chunks;
  std::vector<RetiredChunk> m_retired;
  std::vector<RosterMember> m_roster;
  std::int64_t m_joins = 0;
  // The last changes, oldest first.
  std::vector<ChangeRecord> m_changes;

  bool operator==(const ConfigurationHead&) const = default;

  // Null if the process is not on the roster.
  const RosterMember* FindMember(const std::string& id) const;
};

// A head with the version of its store key (kAbsent before the first change).
struct VersionedHead {
  ConfigurationHead m_head;
  StoreRevision m_version = kAbsent;

  bool operator==(const VersionedHead&) const = default;
};

std::string EncodeHead(const ConfigurationHead& head);
// Errors: kInternal with reason "head_malformed".
Result<ConfigurationHead> DecodeHead(const std::string& text);

// The texts of all chunks by name, in canonical form.
std::map<std::string, std::string> SplitIntoChunks(
    const Configuration& configuration);
// Puts the chunks (by name) together. Errors: kInternal "chunk_malformed".
Result<Configuration> JoinChunks(
    const std::map<std::string, std::string>& chunks,
    ConfigurationRevision revision);

}  // namespace mustardslip
