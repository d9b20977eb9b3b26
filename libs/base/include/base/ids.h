#pragma once

#include <cstdint>

#include "base/strong_id.h"

namespace shallotbank {

using OrganisationId = StrongId<struct OrganisationTag>;
using TeamId = StrongId<struct TeamTag>;
using KeyId = StrongId<struct KeyTag>;
using ProfileName = StrongId<struct ProfileTag>;
using QueueName = StrongId<struct QueueTag>;
using ServiceName = StrongId<struct ServiceTag>;
using WorkerId = StrongId<struct WorkerTag>;
using MinionId = StrongId<struct MinionTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using RackId = StrongId<struct RackTag>;
using JobId = StrongId<struct JobTag>;
using TaskId = StrongId<struct TaskTag>;
using RequestId = StrongId<struct RequestTag>;
using ShardId = StrongId<struct ShardTag>;
/// A resource that has one owner at a time: a shard or a minion group.
using ResourceId = StrongId<struct OwnedResourceTag>;
/// One incarnation of a process; a restart yields a new id.
using ProcessId = StrongId<struct ProcessTag>;

/// Offset of a record in the platform's log.
using Offset = std::uint64_t;
/// Fencing epoch: the offset of the current claim; 0 means none.
using Epoch = std::uint64_t;

}  // namespace shallotbank
