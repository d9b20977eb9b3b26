#pragma once

#include <nlohmann/json.hpp>

#include "journal/job_table.h"

namespace shallotbank::daemon {

/// The state of a job as callers see it, from the log alone: `accepted`,
/// `cancelling`, `succeeded`, `failed` or `cancelled`.
auto DescribeJob(const journal::Job& job) -> nlohmann::json;

/// True once the job's outcome is in the log; its description then never
/// changes.
auto IsFinished(const journal::Job& job) -> bool;

}  // namespace shallotbank::daemon
