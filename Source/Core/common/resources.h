// Amounts of processors, memory and accelerators, as an immutable value.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace mustardslip {

// Processors are in thousandths, so that a task may ask for half a processor.
struct Resources {
  std::int64_t m_cpu_millis = 0;
  std::int64_t m_memory_mb = 0;
  std::int64_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources operator+(const Resources& other) const {
    return {m_cpu_millis + other.m_cpu_millis, m_memory_mb + other.m_memory_mb,
            m_accelerators + other.m_accelerators};
  }

  Resources operator-(const Resources& other) const {
    return {m_cpu_millis - other.m_cpu_millis, m_memory_mb - other.m_memory_mb,
            m_accelerators - other.m_accelerators};
  }

  Resources operator*(std::int64_t factor) const {
    return {m_cpu_millis * factor, m_memory_mb * factor,
            m_accelerators * factor};
  }

  // True if this amount fits into `room` in every dimension.
  bool FitsIn(const Resources& room) const {
    return m_cpu_millis <= room.m_cpu_millis &&
           m_memory_mb <= room.m_memory_mb &&
           m_accelerators <= room.m_accelerators;
  }

  bool IsNegative() const {
    return m_cpu_millis < 0 || m_memory_mb < 0 || m_accelerators < 0;
  }

  // The largest fraction of `total` in any dimension; 0 where `total` has none.
  double DominantFraction(const Resources& total) const {
    const auto fraction = [](std::int64_t part, std::int64_t whole) {
      return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                       : 0.0;
    };
    return std::max({fraction(m_cpu_millis, total.m_cpu_millis),
                     fraction(m_memory_mb, total.m_memory_mb),
                     fraction(m_accelerators, total.m_accelerators)});
  }
};

// The smaller amount in each dimension.
inline Resources Min(const Resources& left, const Resources& right) {
  return {std::min(left.m_cpu_millis, right.m_cpu_millis),
          std::min(left.m_memory_mb, right.m_memory_mb),
          std::min(left.m_accelerators, right.m_accelerators)};
}

// The larger amount in each dimension.
inline Resources Max(const Resources& left, const Resources& right) {
  return {std::max(left.m_cpu_millis, right.m_cpu_millis),
          std::max(left.m_memory_mb, right.m_memory_mb),
          std::max(left.m_accelerators, right.m_accelerators)};
}

inline void to_json(nlohmann::json& json, const Resources& value) {
  json = {{"cpu_millis", value.m_cpu_millis},
          {"memory_mb", value.m_memory_mb},
          {"accelerators", value.m_accelerators}};
}

inline void from_json(const nlohmann::json& json, Resources& value) {
  value.m_cpu_millis = json.value("cpu_millis", std::int64_t{0});
  value.m_memory_mb = json.value("memory_mb", std::int64_t{0});
  value.m_accelerators = json.value("accelerators", std::int64_t{0});
}

}  // namespace mustardslip
