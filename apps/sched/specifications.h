#pragma once

#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "journal/job_table.h"
#include "journal/replica_state.h"
#include "platform/host_list.h"
#include "queueing/queue_policy.h"
#include "scheduling/job_spec.h"
#include "scheduling/shard_scheduler.h"

namespace shallotbank::sched {

/// Converts a job of the log to the specification that the scheduler takes.
auto ToJobSpec(const journal::Job& job, TimePoint now) -> scheduling::JobSpec;

/// Returns the indices of the tasks whose completion is in the log.
auto CompletedTasks(const journal::Job& job) -> std::vector<int>;

/// Returns the workers of a shard. With several shards, racks are distributed
/// over the shards by hash, so that a shard spans failure domains.
auto WorkersOfShard(const platform::HostTable& hosts,
                    std::int64_t shard,
                    std::int64_t shards)
    -> std::vector<scheduling::ListedWorker>;

/// Returns the queue policy of a shard with these workers.
auto ToQueuePolicy(const journal::ReplicaState& state,
                   const ShardId& shard,
                   const std::vector<scheduling::ListedWorker>& workers)
    -> queueing::QueuePolicy;

}  // namespace shallotbank::sched
