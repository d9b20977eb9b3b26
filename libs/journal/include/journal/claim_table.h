#pragma once

#include <map>
#include <string>
#include <vector>

#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// Who owns a resource.
struct Ownership {
  ProcessId owner;
  Epoch epoch = 0;
  std::vector<std::string> addresses;
  WallTime claimed_at;

  auto operator==(const Ownership&) const -> bool = default;
};

/// The claims in force. A released resource is not in it.
class ClaimTable {
 public:
  auto Find(const ResourceId& resource) const -> const Ownership*;
  /// 0 if nobody owns the resource: what a claim has to supersede.
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

/// The resource that stands for a shard.
auto ResourceOf(const ShardId& shard) -> ResourceId;

}  // namespace shallotbank::journal
