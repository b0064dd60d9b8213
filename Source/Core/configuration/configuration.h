// The configuration in force: an immutable value with the VMs, teams, keys and
// open queues of one revision.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/resources.h"
#include "transport/http_client.h"

namespace mustardslip {

// Grows by one with each accepted change. 0: no configuration yet.
using ConfigurationRevision = std::int64_t;

struct VmRecord {
  std::string m_id;
  Endpoint m_address;
  std::string m_zone;
  std::string m_rack;
  Resources m_total;

  bool operator==(const VmRecord&) const = default;
};

struct TeamRecord {
  std::string m_name;
  // A weight relative to the other teams; applies when the fleet is full.
  double m_share = 1.0;
  // The upper limit over the whole fleet; always applies.
  Resources m_limit;

  bool operator==(const TeamRecord&) const = default;
};

struct KeyRecord {
  std::string m_id;
  std::string m_team;
  bool m_operator = false;
  std::string m_salt_hex;
  std::string m_hash_hex;

  bool operator==(const KeyRecord&) const = default;
};

// A queue open to all: work needs no key and is charged to `m_team`.
struct OpenQueue {
  std::string m_name;
  std::string m_team;

  bool operator==(const OpenQueue&) const = default;
};

class Configuration {
 public:
  Configuration() = default;

  ConfigurationRevision Revision() const { return m_revision; }
  // Ordered by zone, then id.
  const std::vector<VmRecord>& Vms() const { return m_vms; }
  // Ordered by name or id.
  const std::vector<TeamRecord>& Teams() const { return m_teams; }
  const std::vector<KeyRecord>& Keys() const { return m_keys; }
  const std::vector<OpenQueue>& OpenQueues() const { return m_open_queues; }

  // Null if there is none. Pointers are valid as long as this object.
  const TeamRecord* FindTeam(std::string_view name) const;
  const KeyRecord* FindKey(std::string_view id) const;
  const OpenQueue* FindOpenQueue(std::string_view name) const;
  std::span<const VmRecord> VmsOfZone(std::string_view zone) const;
  std::vector<std::string> Zones() const;

  bool operator==(const Configuration&) const = default;

 private:
  friend class ConfigurationBuilder;

  ConfigurationRevision m_revision = 0;
  std::vector<VmRecord> m_vms;
  std::vector<TeamRecord> m_teams;
  std::vector<KeyRecord> m_keys;
  std::vector<OpenQueue> m_open_queues;
};

// Collects records in any order. Does not validate; see configuration_files.h.
class ConfigurationBuilder {
 public:
  ConfigurationBuilder& SetRevision(ConfigurationRevision revision);
  ConfigurationBuilder& AddVm(VmRecord vm);
  ConfigurationBuilder& AddTeam(TeamRecord team);
  ConfigurationBuilder& AddKey(KeyRecord key);
  ConfigurationBuilder& AddOpenQueue(OpenQueue queue);
  Configuration Build() const;

 private:
  Configuration m_draft;
};

}  // namespace mustardslip
