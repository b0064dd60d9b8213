// The record in the store that names the owner of a cell.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cell/async_store.h"

namespace mustardslip {

struct OwnerRecord {
  // Identifies one run of one daemon process.
  std::string m_instance;
  // "host:port" at which other daemons reach the owner.
  std::string m_address;
  // CPU available to the owner, in thousandths of a core.
  std::int64_t m_cpu_millis = 0;
  // Store revision of the record; also the owner's fence at the VMs.
  Revision m_revision = 0;

  bool operator==(const OwnerRecord&) const = default;
};

inline std::string EncodeOwner(const OwnerRecord& owner) {
  return nlohmann::json{{"instance", owner.m_instance},
                        {"address", owner.m_address},
                        {"power_millis", owner.m_cpu_millis}}
      .dump();
}

// Returns nullopt if the value is not a valid owner record.
inline std::optional<OwnerRecord> DecodeOwner(const StoreItem& item) {
  const auto json = nlohmann::json::parse(item.m_value, nullptr, false);
  if (!json.is_object() || !json.contains("instance") ||
      !json.contains("address") || !json["instance"].is_string() ||
      !json["address"].is_string()) {
    return std::nullopt;
  }
  std::int64_t power_millis = 0;
  if (json.contains("power_millis") &&
      json["power_millis"].is_number_integer()) {
    power_millis = json["power_millis"];
  }
  return OwnerRecord{json["instance"], json["address"], power_millis,
                     item.m_revision};
}

}  // namespace mustardslip
