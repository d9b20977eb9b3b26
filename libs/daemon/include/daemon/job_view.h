#pragma once

#include <nlohmann/json.hpp>

#include "journal/job_table.h"

namespace shallotbank::daemon {

/// Returns the JSON description of a job that callers get, derived from the log
/// alone. Its state is `accepted`, `cancelling`, `succeeded`, `failed` or
/// `cancelled`.
auto DescribeJob(const journal::Job& job) -> nlohmann::json;

/// Returns whether the job's outcome is in the log. The description of a
/// finished job no longer changes.
auto IsFinished(const journal::Job& job) -> bool;

}  // namespace shallotbank::daemon
