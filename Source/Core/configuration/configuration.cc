// Lookups by binary search over the ordered records.
#include "configuration/configuration.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mustardslip {
namespace {

template <typename Record>
const Record* FindSorted(const std::vector<Record>& records,
                         std::string Record::*key, std::string_view wanted) {
  const auto found =
      std::lower_bound(records.begin(), records.end(), wanted,
                       [key](const Record& record, std::string_view text) {
                         return record.*key < text;
                       });
  return found != records.end() && (*found).*key == wanted ? &*found : nullptr;
}

template <typename Record>
void SortBy(std::vector<Record>& records, std::string Record::*key) {
  std::stable_sort(records.begin(), records.end(),
                   [key](const Record& left, const Record& right) {
                     return left.*key < right.*key;
                   });
}

}  // namespace

const TeamRecord* Configuration::FindTeam(std::string_view name) const {
  return FindSorted(m_teams, &TeamRecord::m_name, name);
}

const KeyRecord* Configuration::FindKey(std::string_view id) const {
  return FindSorted(m_keys, &KeyRecord::m_id, id);
}

const OpenQueue* Configuration::FindOpenQueue(std::string_view name) const {
  return FindSorted(m_open_queues, &OpenQueue::m_name, name);
}

std::span<const VmRecord> Configuration::VmsOfZone(
    std::string_view zone) const {
  const auto begin =
      std::lower_bound(m_vms.begin(), m_vms.end(), zone,
                       [](const VmRecord& vm, std::string_view text) {
                         return vm.m_zone < text;
                       });
  const auto end = std::upper_bound(
      begin, m_vms.end(), zone, [](std::string_view text, const VmRecord& vm) {
        return text < vm.m_zone;
      });
  return {begin, end};
}

std::vector<std::string> Configuration::Zones() const {
  std::vector<std::string> zones;
  for (const VmRecord& vm : m_vms) {
    if (zones.empty() || zones.back() != vm.m_zone) {
      zones.push_back(vm.m_zone);
    }
  }
  return zones;
}

ConfigurationBuilder& ConfigurationBuilder::SetRevision(
    ConfigurationRevision revision) {
  m_draft.m_revision = revision;
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddVm(VmRecord vm) {
  m_draft.m_vms.push_back(std::move(vm));
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddTeam(TeamRecord team) {
  m_draft.m_teams.push_back(std::move(team));
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddKey(KeyRecord key) {
  m_draft.m_keys.push_back(std::move(key));
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddOpenQueue(OpenQueue queue) {
  m_draft.m_open_queues.push_back(std::move(queue));
  return *this;
}

Configuration ConfigurationBuilder::Build() const {
  Configuration built = m_draft;
  std::stable_sort(built.m_vms.begin(), built.m_vms.end(),
                   [](const VmRecord& left, const VmRecord& right) {
                     return std::tie(left.m_zone, left.m_id) <
                            std::tie(right.m_zone, right.m_id);
                   });
  SortBy(built.m_teams, &TeamRecord::m_name);
  SortBy(built.m_keys, &KeyRecord::m_id);
  SortBy(built.m_open_queues, &OpenQueue::m_name);
  return built;
}

}  // namespace mustardslip
