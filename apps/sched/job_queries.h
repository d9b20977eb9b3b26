#pragma once

#include <string>

#include "journal/job_table.h"
#include "rpc/messages.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::sched {

/// Returns the status of a job as JSON: its state by the log and, at the owner
/// of its shard, the state of its tasks in the scheduler. `owner_scheduler` is
/// null on other processes.
auto StatusJson(const journal::Job& job,
                const scheduling::ShardScheduler* owner_scheduler,
                TimePoint now) -> std::string;

/// Returns all workers of the shard as JSON, with their state (which says why a
/// worker gets no tasks), capacity and use.
auto WorkersJson(const scheduling::ShardScheduler& scheduler) -> std::string;

/// Returns the share and limit of each team as JSON.
auto SharesJson(const scheduling::ShardScheduler& scheduler) -> std::string;

}  // namespace shallotbank::sched
