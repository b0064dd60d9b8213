// Interns names: maps each to a dense number that the placement core uses in
// place of the string. Names are never erased.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace mustardslip {

class NameInterner {
 public:
  static constexpr std::uint32_t kNone = 0xffffffff;

  std::uint32_t Intern(std::string_view name) {
    const auto found = m_numbers.find(name);
    if (found != m_numbers.end()) {
      return found->second;
    }
    const auto number = static_cast<std::uint32_t>(m_names.size());
    m_names.emplace_back(name);
    m_numbers.emplace(m_names.back(), number);
    return number;
  }

  std::uint32_t Find(std::string_view name) const {
    const auto found = m_numbers.find(name);
    return found == m_numbers.end() ? kNone : found->second;
  }

  const std::string& NameOf(std::uint32_t number) const {
    return m_names[number];
  }

  std::size_t Size() const { return m_names.size(); }

 private:
  std::deque<std::string> m_names;  // Stable addresses for the keys below.
  absl::flat_hash_map<std::string_view, std::uint32_t> m_numbers;
};

}  // namespace mustardslip
