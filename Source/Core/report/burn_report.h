// Service-level burn per team and kind of work over several windows.
//
// Pure and bounded: outcomes are counted in buckets of one minute, and the
// number of teams and kinds is limited.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"

namespace mustardslip {

// The kinds of work that have an objective. What counts as good is decided by
// the recorder: for example an urgent start is good within kUrgentStartBound.
enum class BurnKind {
  kUrgentStart,     // Urgent work started within 3.3 s.
  kServiceRequest,  // A service request was done within its deadline.
  kBatchDeadline,   // A batch or gang job ended before its deadline.
};

inline constexpr std::size_t kBurnKinds = 3;
// Section 1.3 of the design: urgent work starts within 3.3 s.
inline constexpr Milliseconds kUrgentStartBound{3'300};

std::string_view ToString(BurnKind kind);

// The share of outcomes that have to be good.
struct BurnObjective {
  double m_target = 0.999;
};

// One window of one team and kind.
struct BurnWindow {
  Milliseconds m_length{0};
  std::int64_t m_good = 0;
  std::int64_t m_bad = 0;
  // Bad share divided by the allowed bad share; 1 uses the budget up exactly.
  double m_burn_rate = 0.0;

  bool operator==(const BurnWindow&) const = default;
};

struct BurnLine {
  std::string m_team;
  BurnKind m_kind = BurnKind::kUrgentStart;
  double m_target = 0.0;
  std::vector<BurnWindow> m_windows;  // 5 min, 1 h, 6 h.
  // Share of the longest window's budget that is left; negative if overspent.
  double m_budget_left = 1.0;

  bool operator==(const BurnLine&) const = default;
};

// Not thread-safe. About 6 KB per team and kind.
class BurnReport {
 public:
  // Teams beyond `max_teams` are counted together as "other".
  explicit BurnReport(std::size_t max_teams = 256) : m_max_teams(max_teams) {}

  void SetObjective(BurnKind kind, BurnObjective objective);
  void RecordOutcome(const std::string& team, BurnKind kind, bool good,
                     TimePoint now);

  // Ordered by team and kind; lines without an outcome in 6 h are left out.
  std::vector<BurnLine> Lines(TimePoint now) const;

 private:
  static constexpr std::size_t kBuckets = 360;

  struct Bucket {
    std::int64_t m_minute = -1;
    std::uint32_t m_good = 0;
    std::uint32_t m_bad = 0;
  };
  using Series = std::array<Bucket, kBuckets>;

  BurnWindow Count(const Series& series, std::int64_t minute,
                   Milliseconds length, double target) const;

  const std::size_t m_max_teams;
  std::array<BurnObjective, kBurnKinds> m_objectives{};
  std::map<std::pair<std::string, BurnKind>, Series> m_series;
};

nlohmann::json ToJson(const std::vector<BurnLine>& lines);
// Errors of the type nlohmann::json::exception for a malformed report.
std::vector<BurnLine> BurnLinesFromJson(const nlohmann::json& json);
// A table for people, one line per team and kind.
std::string ToText(const std::vector<BurnLine>& lines);

}  // namespace mustardslip
