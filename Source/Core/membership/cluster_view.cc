// JSON of the member and shard records.
#include "membership/cluster_view.h"

#include <nlohmann/json.hpp>

#include "common/logger.h"

namespace mustardslip {
namespace {

using Json = nlohmann::json;

Json ParseObject(const std::string& text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json();
}

std::string StringField(const Json& json, const char* name) {
  const auto field = json.find(name);
  return field != json.end() && field->is_string() ? field->get<std::string>()
                                                   : std::string();
}

Error Malformed(const StoreEntry& entry) {
  return {ErrorCode::kInvalidArgument, "malformed_record", entry.m_key};
}

void LogMalformed(const Error& error) {
  Log(LogLevel::kError, LogCategory::kMembership, "malformed_record",
      {{"key", error.Message()}});
}

}  // namespace

std::string EncodeShardRecord(const ShardRecord& record) {
  const Json json = {
      {"owner", record.m_owner},
      {"address", record.m_owner.empty() ? "" : ToString(record.m_address)},
      {"epoch", record.m_epoch}};
  return json.dump();
}

Result<ShardRecord> DecodeShardRecord(const StoreEntry& entry) {
  const Json json = ParseObject(entry.m_value);
  const auto epoch = json.find("epoch");
  if (!json.is_object() || epoch == json.end() || !epoch->is_number_integer()) {
    return tl::unexpected(Malformed(entry));
  }
  ShardRecord record;
  record.m_owner = StringField(json, "owner");
  record.m_epoch = epoch->get<Epoch>();
  record.m_version = entry.m_version;
  if (record.m_owner.empty()) {
    return record;
  }
  const Result<Endpoint> address = ParseEndpoint(StringField(json, "address"));
  if (!address) {
    return tl::unexpected(Malformed(entry));
  }
  record.m_address = *address;
  return record;
}

std::string MemberKey(const std::string& incarnation) {
  return std::string(kMemberPrefix) + incarnation;
}

std::string EncodeMember(const Member& member) {
  const Json json = {{"address", ToString(member.m_rpc_address)},
                     {"zone", member.m_zone},
                     {"leaving", member.m_leaving}};
  return json.dump();
}

Result<Member> DecodeMember(const StoreEntry& entry) {
  const Json json = ParseObject(entry.m_value);
  const Result<Endpoint> address = ParseEndpoint(StringField(json, "address"));
  if (!address) {
    return tl::unexpected(Malformed(entry));
  }
  Member member;
  member.m_incarnation = entry.m_key.substr(kMemberPrefix.size());
  member.m_rpc_address = *address;
  member.m_zone = StringField(json, "zone");
  const auto leaving = json.find("leaving");
  member.m_leaving = leaving != json.end() && *leaving == true;
  return member;
}

ClusterView BuildClusterView(const StoreList& shards,
                             const StoreList& members) {
  ClusterView view;
  view.m_revision = members.m_revision;
  for (const StoreEntry& entry : shards.m_entries) {
    const std::optional<ShardId> shard = ParseShardKey(entry.m_key);
    const Result<ShardRecord> record = DecodeShardRecord(entry);
    if (!shard || !record) {
      LogMalformed(Malformed(entry));
      continue;
    }
    view.m_shards.emplace(*shard, *record);
  }
  for (const StoreEntry& entry : members.m_entries) {
    Result<Member> member = DecodeMember(entry);
    if (!member) {
      // The record still proves a live lease, so its shards are not free.
      LogMalformed(member.error());
      Member unreadable;
      unreadable.m_incarnation = entry.m_key.substr(kMemberPrefix.size());
      unreadable.m_leaving = true;
      member = unreadable;
    }
    view.m_members.emplace(member->m_incarnation, *member);
  }
  return view;
}

}  // namespace mustardslip
