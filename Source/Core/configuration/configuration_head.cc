// JSON form of the head, and splitting into chunks that fit a store value.
#include "configuration/configuration_head.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

namespace mustardslip {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChunkReference, m_name, m_key, m_hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RetiredChunk, m_key, m_since)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RosterMember, m_id, m_address, m_joined,
                                   m_beat)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeRecord, m_revision, m_change_id,
                                   m_lines)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationHead, m_revision, m_chunks,
                                   m_retired, m_roster, m_joins, m_changes)

namespace {

// A record has at most about 400 bytes, so that a chunk stays below 1 MB.
constexpr std::size_t kRecordsPerChunk = 2'000;

// Appends each list of `list_name` in the chunk to the list of the whole.
void Append(json& whole, const json& chunk, const char* list_name) {
  json& list = whole[list_name];
  for (const json& record : chunk.at(list_name)) {
    list.push_back(record);
  }
}

void AddParts(std::map<std::string, std::string>& chunks,
              const std::string& prefix, const char* list_name,
              const json& records) {
  for (std::size_t first = 0; first < records.size();
       first += kRecordsPerChunk) {
    json part = json::array();
    const std::size_t end = std::min(first + kRecordsPerChunk, records.size());
    for (std::size_t i = first; i < end; ++i) {
      part.push_back(records[i]);
    }
    chunks[fmt::format("{}/{}", prefix, first / kRecordsPerChunk)] =
        json{{list_name, std::move(part)}}.dump();
  }
}

}  // namespace

const RosterMember* ConfigurationHead::FindMember(const std::string& id) const {
  const auto found = std::find_if(
      m_roster.begin(), m_roster.end(),
      [&id](const RosterMember& member) { return member.m_id == id; });
  return found == m_roster.end() ? nullptr : &*found;
}

std::string EncodeHead(const ConfigurationHead& head) {
  return json(head).dump();
}

Result<ConfigurationHead> DecodeHead(const std::string& text) {
  try {
    return json::parse(text).get<ConfigurationHead>();
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInternal, "head_malformed", error.what());
  }
}

std::map<std::string, std::string> SplitIntoChunks(
    const Configuration& configuration) {
  const ConfigurationFiles files = ToFiles(configuration);
  const json inventory = json::parse(files.m_inventory);
  std::map<std::string, json> zones;
  for (const json& vm : inventory.at("vms")) {
    zones[vm.at("zone").get<std::string>()].push_back(vm);
  }
  std::map<std::string, std::string> chunks;
  for (const auto& [zone, vms] : zones) {
    AddParts(chunks, "vms/" + zone, "vms", vms);
  }
  AddParts(chunks, "teams", "teams", inventory.at("teams"));
  AddParts(chunks, "keys", "keys", inventory.at("keys"));
  chunks["rules/0"] = json::parse(files.m_rules).dump();
  return chunks;
}

Result<Configuration> JoinChunks(
    const std::map<std::string, std::string>& chunks,
    ConfigurationRevision revision) {
  json inventory = {{"vms", json::array()},
                    {"teams", json::array()},
                    {"keys", json::array()}};
  ConfigurationFiles files;
  try {
    for (const auto& [name, text] : chunks) {
      if (name.starts_with("rules/")) {
        files.m_rules = text;
        continue;
      }
      const std::string list_name = name.substr(0, name.find('/'));
      Append(inventory, json::parse(text), list_name.c_str());
    }
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInternal, "chunk_malformed", error.what());
  }
  files.m_inventory = inventory.dump();
  auto parsed = ParseConfiguration(files, revision);
  if (!parsed) {
    return Fail(ErrorCode::kInternal, "chunk_malformed",
                ToString(parsed.error().front()));
  }
  return std::move(*parsed);
}

}  // namespace mustardslip
