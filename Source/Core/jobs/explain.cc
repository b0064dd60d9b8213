// Builds the explanation from the state in JobBook.
#include "jobs/explain.h"

#include <algorithm>

namespace mustardslip {
namespace {

std::string_view ToString(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kWaiting:
      return "waiting";
    case TaskPhase::kMarking:
      return "marking";
    case TaskPhase::kPlacing:
      return "placing";
    case TaskPhase::kUncertain:
      return "uncertain";
    case TaskPhase::kQueued:
      return "queued";
    case TaskPhase::kRunning:
      return "running";
    case TaskPhase::kRecovered:
      return "recovered";
    case TaskPhase::kEnded:
      return "ended";
  }
  return "";
}

bool Has(const Job& job, TaskPhase phase) {
  return std::any_of(job.m_tasks.begin(), job.m_tasks.end(),
                     [phase](const Task& t) { return t.m_phase == phase; });
}

bool IsChargeable(const Job& job, const TeamAccount* account) {
  const bool is_gang = job.m_spec.m_kind == JobKind::kGang;
  return account != nullptr &&
         account->CanCharge(is_gang ? TotalOf(job.m_spec)
                                    : job.m_spec.m_resources);
}

std::string WaitsFor(const Job& job, const JobBook& book) {
  if (job.HasEnded()) {
    return "";
  }
  if (Has(job, TaskPhase::kRecovered)) {
    return "unknown_vms";
  }
  if (Has(job, TaskPhase::kMarking)) {
    return "start_mark";
  }
  if (Has(job, TaskPhase::kQueued)) {
    return "room";
  }
  if (!Has(job, TaskPhase::kWaiting)) {
    return "";
  }
  return IsChargeable(job, book.FindAccount(job.m_spec.m_team)) ? "group"
                                                                : "team_limit";
}

nlohmann::json DescribeGroup(const GroupSummary& group, const Job& job) {
  return {
      {"group", group.m_group},
      {"ready", group.m_ready},
      {"free", group.m_free},
      {"largest_vm", group.m_largest_vm},
      {"queued_tasks", group.m_queued_tasks},
      {"fits_largest_vm", job.m_spec.m_resources.FitsIn(group.m_largest_vm)},
      {"fits_free", job.m_spec.m_resources.FitsIn(group.m_free)}};
}

}  // namespace

std::string ExplainJobAsJson(const Job& job, const JobBook& book) {
  const JobStatus status = StatusOf(job);
  nlohmann::json json = {{"job", job.m_id},
                         {"outcome", status.m_outcome},
                         {"reason", status.m_reason},
                         {"waits_for", WaitsFor(job, book)},
                         {"needs", job.m_spec.m_resources},
                         {"tasks", nlohmann::json::object()},
                         {"groups", nlohmann::json::array()}};
  for (const Task& task : job.m_tasks) {
    nlohmann::json& count = json["tasks"][std::string(ToString(task.m_phase))];
    count = count.is_null() ? 1 : count.get<int>() + 1;
  }
  if (const TeamAccount* account = book.FindAccount(job.m_spec.m_team)) {
    json["charged"] = account->Charged();
    json["unknown"] = account->UnknownUsage();
    if (account->Limit()) {
      json["limit"] = *account->Limit();
    }
  }
  for (const auto& [name, group] : book.Groups().Summaries()) {
    json["groups"].push_back(DescribeGroup(group, job));
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace mustardslip
