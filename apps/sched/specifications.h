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

/// A job of the log as the scheduler needs it.
auto ToJobSpec(const journal::Job& job, TimePoint now) -> scheduling::JobSpec;

/// The indices of the tasks that have ended by the log.
auto EndedTasks(const journal::Job& job) -> std::vector<int>;

/// The workers of a shard. With several shards, racks are dealt out to shards
/// by hash, so that a shard spans failure domains.
auto WorkersOfShard(const platform::HostTable& hosts,
                    std::int64_t shard,
                    std::int64_t shards)
    -> std::vector<scheduling::ListedWorker>;

/// The policy for one shard with these workers.
auto ToQueuePolicy(const journal::ReplicaState& state,
                   const ShardId& shard,
                   const std::vector<scheduling::ListedWorker>& workers)
    -> queueing::QueuePolicy;

}  // namespace shallotbank::sched
