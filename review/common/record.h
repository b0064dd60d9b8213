// The record of a script: what was sent, answered and run, with the time since
// the start.
#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

#include "store.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")), m_start_ms(SteadyMs()) {}
  ~Record() { std::fclose(m_file); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const std::int64_t now_ms = SteadyMs() - m_start_ms;
    std::fprintf(m_file, "%7.3f  %s\n", static_cast<double>(now_ms) / 1'000,
                 text.c_str());
    std::fflush(m_file);
  }

  void Violation(const std::string& text) {
    {
      const std::lock_guard lock(m_mutex);
      ++m_violations;
    }
    Line("BROKEN " + text);
    std::printf("BROKEN %s\n", text.c_str());
  }

  int Violations() {
    const std::lock_guard lock(m_mutex);
    return m_violations;
  }

 private:
  std::FILE* const m_file;
  const std::int64_t m_start_ms;
  std::mutex m_mutex;
  int m_violations = 0;
};

}  // namespace review
