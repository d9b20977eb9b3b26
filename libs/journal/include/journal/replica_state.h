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

/// The live state of the log up to one offset. Equal logs give equal states.
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
  /// The allotment of the shard, which is its share of the team's limit.
  auto Allotment(const TeamId& team, const ShardId& shard) const
      -> configuration::Limit;

  /// Applies one batch. The outcomes are empty if the batch is a duplicate.
  auto Apply(const Batch& batch, Offset offset) -> std::vector<RecordOutcome>;

  /// Passes every entry of the state to `sink`. Equal states give equal items.
  auto Save(const SnapshotSink& sink) const -> void;
  /// Returns false if the item is malformed; items of an unknown kind are
  /// skipped. Call `FinishLoad` after the last item.
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

/// All items of the state as text, one per line. Equal states give equal texts.
auto Fingerprint(const ReplicaState& state) -> std::string;

}  // namespace shallotbank::journal
