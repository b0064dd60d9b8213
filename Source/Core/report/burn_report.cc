// Counts outcomes in one-minute buckets and derives burn rates.
#include "report/burn_report.h"

#include <fmt/core.h>

#include <algorithm>

namespace mustardslip {
namespace {

using nlohmann::json;

constexpr std::array<Milliseconds, 3> kWindows = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6)};
constexpr const char* kOtherTeams = "other";

constexpr std::array<BurnKind, kBurnKinds> kKinds = {BurnKind::kUrgentStart,
                                                     BurnKind::kServiceRequest,
                                                     BurnKind::kBatchDeadline};

std::int64_t MinuteOf(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::minutes>(
             now.time_since_epoch())
      .count();
}

BurnKind KindFromString(const std::string& text) {
  const auto found =
      std::find_if(kKinds.begin(), kKinds.end(),
                   [&text](BurnKind kind) { return ToString(kind) == text; });
  return found == kKinds.end() ? BurnKind::kUrgentStart : *found;
}

json WindowJson(const BurnWindow& window) {
  return {{"seconds", window.m_length.count() / 1'000},
          {"good", window.m_good},
          {"bad", window.m_bad},
          {"burn_rate", window.m_burn_rate}};
}

BurnWindow WindowFromJson(const json& value) {
  return {Milliseconds(value.at("seconds").get<std::int64_t>() * 1'000),
          value.at("good").get<std::int64_t>(),
          value.at("bad").get<std::int64_t>(),
          value.at("burn_rate").get<double>()};
}

}  // namespace

std::string_view ToString(BurnKind kind) {
  switch (kind) {
    case BurnKind::kUrgentStart:
      return "urgent_start";
    case BurnKind::kServiceRequest:
      return "service_request";
    case BurnKind::kBatchDeadline:
      return "batch_deadline";
  }
  return "urgent_start";
}

void BurnReport::SetObjective(BurnKind kind, BurnObjective objective) {
  m_objectives.at(static_cast<std::size_t>(kind)) = objective;
}

void BurnReport::RecordOutcome(const std::string& team, BurnKind kind,
                               bool good, TimePoint now) {
  const bool is_new = !m_series.contains({team, kind});
  const bool is_full = m_series.size() >= m_max_teams * kBurnKinds;
  Series& series = m_series[{is_new && is_full ? kOtherTeams : team, kind}];
  const std::int64_t minute = MinuteOf(now);
  Bucket& bucket = series.at(static_cast<std::size_t>(minute) % kBuckets);
  if (bucket.m_minute != minute) {
    bucket = {minute, 0, 0};
  }
  ++(good ? bucket.m_good : bucket.m_bad);
}

BurnWindow BurnReport::Count(const Series& series, std::int64_t minute,
                             Milliseconds length, double target) const {
  const std::int64_t minutes = length.count() / 60'000;
  BurnWindow window{length, 0, 0, 0.0};
  for (const Bucket& bucket : series) {
    if (bucket.m_minute > minute - minutes && bucket.m_minute <= minute) {
      window.m_good += bucket.m_good;
      window.m_bad += bucket.m_bad;
    }
  }
  const std::int64_t total = window.m_good + window.m_bad;
  if (total > 0) {
    const double bad_share =
        static_cast<double>(window.m_bad) / static_cast<double>(total);
    window.m_burn_rate = bad_share / (1.0 - target);
  }
  return window;
}

std::vector<BurnLine> BurnReport::Lines(TimePoint now) const {
  std::vector<BurnLine> lines;
  for (const auto& [key, series] : m_series) {
    BurnLine line;
    line.m_team = key.first;
    line.m_kind = key.second;
    line.m_target =
        m_objectives.at(static_cast<std::size_t>(key.second)).m_target;
    for (const Milliseconds length : kWindows) {
      line.m_windows.push_back(
          Count(series, MinuteOf(now), length, line.m_target));
    }
    const BurnWindow& longest = line.m_windows.back();
    line.m_budget_left = 1.0 - longest.m_burn_rate;
    if (longest.m_good + longest.m_bad > 0) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

json ToJson(const std::vector<BurnLine>& lines) {
  json array = json::array();
  for (const BurnLine& line : lines) {
    json windows = json::array();
    for (const BurnWindow& window : line.m_windows) {
      windows.push_back(WindowJson(window));
    }
    array.push_back({{"team", line.m_team},
                     {"kind", ToString(line.m_kind)},
                     {"target", line.m_target},
                     {"windows", std::move(windows)},
                     {"budget_left", line.m_budget_left}});
  }
  return {{"burn", std::move(array)}};
}

std::vector<BurnLine> BurnLinesFromJson(const json& report) {
  std::vector<BurnLine> lines;
  for (const json& value : report.at("burn")) {
    BurnLine line;
    line.m_team = value.at("team").get<std::string>();
    line.m_kind = KindFromString(value.at("kind").get<std::string>());
    line.m_target = value.at("target").get<double>();
    for (const json& window : value.at("windows")) {
      line.m_windows.push_back(WindowFromJson(window));
    }
    line.m_budget_left = value.at("budget_left").get<double>();
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string ToText(const std::vector<BurnLine>& lines) {
  std::string text =
      fmt::format("{:<24} {:<16} {:>8} {:>8} {:>8} {:>8} {:>12}\n", "team",
                  "kind", "target", "5 min", "1 h", "6 h", "budget left");
  for (const BurnLine& line : lines) {
    text += fmt::format("{:<24} {:<16} {:>7.2f}%", line.m_team,
                        ToString(line.m_kind), line.m_target * 100.0);
    for (const BurnWindow& window : line.m_windows) {
      text += fmt::format(" {:>8.2f}", window.m_burn_rate);
    }
    text += fmt::format(" {:>11.1f}%\n", line.m_budget_left * 100.0);
  }
  return text;
}

}  // namespace mustardslip
