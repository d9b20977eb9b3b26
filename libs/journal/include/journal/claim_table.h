#pragma once

#include <map>
#include <string>
#include <vector>

#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// The current owner of a resource.
struct Ownership {
  ProcessId owner;
  Epoch epoch = 0;
  std::vector<std::string> addresses;
  WallTime claimed_at;

  auto operator==(const Ownership&) const -> bool = default;
};

/// The claims in force. Released resources are removed.
class ClaimTable {
 public:
  auto Find(const ResourceId& resource) const -> const Ownership*;
  /// The epoch that a new claim must supersede; 0 if the resource has no owner.
  auto EpochOf(const ResourceId& resource) const -> Epoch;
  auto All() const -> const std::map<ResourceId, Ownership>& {
    return this->claims;
  }

  auto Apply(const Claim& record, Offset offset, WallTime at) -> RecordOutcome;
  auto Apply(const Release& record, Offset offset) -> RecordOutcome;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  std::map<ResourceId, Ownership> claims;
};

/// The resource whose owner runs the shard.
auto ResourceOf(const ShardId& shard) -> ResourceId;

}  // namespace shallotbank::journal
