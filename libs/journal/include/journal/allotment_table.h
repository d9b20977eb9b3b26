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

/// How the limit of each team is divided among the shards. The allotments of a
/// team always add up to its limit. Initially all shards have equal allotments,
/// and the first ones get the remainder of the division.
class AllotmentTable {
 public:
  /// Zero if the team or the shard is unknown.
  auto AllotmentOf(const configuration::Configuration& configuration,
                   const TeamId& team,
                   const ShardId& shard) const -> configuration::Limit;

  auto Apply(const AllotmentMoved& record,
             const ProcessId& writer,
             const ClaimTable& claims,
             const configuration::Configuration& configuration)
      -> RecordOutcome;
  /// Rescales the allotments of teams whose limit has changed. If the number of
  /// shards has changed, all allotments are reset to equal ones.
  auto ApplyConfiguration(const configuration::Configuration& configuration)
      -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  struct TeamAllotments {
    configuration::Limit total;
    std::vector<configuration::Limit> allotments;
  };

  // Only teams whose allotments have been moved.
  std::map<TeamId, TeamAllotments> by_team;
};

}  // namespace shallotbank::journal
