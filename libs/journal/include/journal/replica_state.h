#pragma once

#include <string>
#include <vector>

#include "journal/allotment_table.h"
#include "journal/claim_table.h"
#include "journal/configuration_table.h"
#include "journal/job_table.h"
#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/replica_limits.h"
#include "journal/request_table.h"
#include "journal/writer_table.h"

namespace shallotbank::journal {

/// All live facts of the log up to one offset. Equal logs give equal states.
class ReplicaState {
 public:
  explicit ReplicaState(const ReplicaLimits& limits = {});

  auto Configuration() const -> const ConfigurationTable& {
    return this->configuration;
  }
  auto Claims() const -> const ClaimTable& { return this->claims; }
  auto Jobs() const -> const JobTable& { return this->jobs; }
  auto Requests() const -> const RequestTable& { return this->requests; }
  auto Writers() const -> const WriterTable& { return this->writers; }
  /// The part of the team's limit that the shard holds.
  auto Allotment(const TeamId& team, const ShardId& shard) const
      -> configuration::Limit;

  /// Folds one batch; its outcomes are empty if it is a repeat.
  auto Apply(const Batch& batch, Offset offset) -> std::vector<RecordOutcome>;

  /// Hands out every live fact. The same state gives the same items.
  auto Save(const SnapshotSink& sink) const -> void;
  /// False if the item is malformed; an item of an unknown kind is skipped.
  /// Call `FinishLoad` after the last one.
  auto Load(const nlohmann::json& item) -> bool;
  auto FinishLoad() -> void;

 private:
  auto ApplyRecord(const Record& record, const Batch& batch, Offset offset)
      -> RecordOutcome;

  ConfigurationTable configuration;
  ClaimTable claims;
  JobTable jobs;
  RequestTable requests;
  AllotmentTable allotments;
  WriterTable writers;
};

/// All items of the state as text, one a line. Equal states give equal texts.
auto Fingerprint(const ReplicaState& state) -> std::string;

}  // namespace shallotbank::journal
