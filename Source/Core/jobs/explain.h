// Explains to callers and operators, as JSON, what a job waits for. Called for
// ExplainJob.
#pragma once

#include <string>

#include "jobs/job_book.h"

namespace mustardslip {

// Fields: job, outcome, reason, tasks (count per phase), waits_for (team_limit,
// group, unknown_vms, start_mark, room or empty), needs, limit, charged,
// unknown, groups.
std::string ExplainJobAsJson(const Job& job, const JobBook& book);

}  // namespace mustardslip
