#pragma once

#include <string>

#include "journal/job_table.h"
#include "rpc/messages.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::sched {

/// The status of a job as JSON: what the log says, and what the owner of its
/// shard knows beyond that. `live` is null on other processes.
auto StatusJson(const journal::Job& job,
                const scheduling::ShardScheduler* live,
                TimePoint now) -> std::string;

/// All workers of the shard with why each gets no work, as JSON.
auto WorkersJson(const scheduling::ShardScheduler& scheduler) -> std::string;

/// The share and limit of each team, as JSON.
auto SharesJson(const scheduling::ShardScheduler& scheduler) -> std::string;

}  // namespace shallotbank::sched
