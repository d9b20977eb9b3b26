#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "configuration/configuration.h"
#include "journal/claim_table.h"
#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// How the limit of each team is split over the shards. The parts always add up
/// to the limit. Without moves, each shard has an equal part and the first ones
/// the remainder.
class AllotmentTable {
 public:
  /// Nothing if the team or the shard is unknown.
  auto Of(const configuration::Configuration& configuration,
          const TeamId& team,
          const ShardId& shard) const -> configuration::Limit;

  auto Apply(const AllotmentMoved& record,
             const ProcessId& writer,
             const ClaimTable& claims,
             const configuration::Configuration& configuration)
      -> RecordOutcome;
  /// Scales the parts of teams whose limit has changed. Another number of
  /// shards starts over with equal parts.
  auto Follow(const configuration::Configuration& configuration) -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  struct Split {
    configuration::Limit total;
    std::vector<configuration::Limit> parts;
  };

  // Teams with moves only.
  std::map<TeamId, Split> splits;
};

}  // namespace shallotbank::journal
