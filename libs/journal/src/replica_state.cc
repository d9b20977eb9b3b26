#include "journal/replica_state.h"

#include "field_reader.h"

namespace shallotbank::journal {
namespace {

struct RecordApplier {
  const Batch& batch;
  Offset offset;
  ConfigurationTable& configuration;
  ClaimTable& claims;
  JobTable& jobs;
  RequestTable& requests;
  AllotmentTable& allotments;
  WallTime log_time;

  auto operator()(const ConfigurationChanged& record) -> RecordOutcome {
    const auto outcome = configuration.Apply(record, offset);
    if (outcome.valid) {
      allotments.ApplyConfiguration(configuration.Get());
    }
    return outcome;
  }
  auto operator()(const JobAccepted& record) -> RecordOutcome {
    return jobs.Apply(record, offset, batch.written_at);
  }
  auto operator()(const CancelRequested& record) -> RecordOutcome {
    return jobs.Apply(record);
  }
  auto operator()(const TaskFinished& record) -> RecordOutcome {
    return jobs.Apply(record);
  }
  auto operator()(const JobFinished& record) -> RecordOutcome {
    return jobs.Apply(record, batch.written_at, log_time);
  }
  auto operator()(const Claim& record) -> RecordOutcome {
    return claims.Apply(record, offset, batch.written_at);
  }
  auto operator()(const Release& record) -> RecordOutcome {
    return claims.Apply(record, offset);
  }
  auto operator()(const RequestIntent& record) -> RecordOutcome {
    return requests.Apply(record, batch.writer, log_time);
  }
  auto operator()(const RequestOutcome& record) -> RecordOutcome {
    return requests.Apply(record, batch.writer);
  }
  auto operator()(const AllotmentMoved& record) -> RecordOutcome {
    return allotments.Apply(record, batch.writer, claims, configuration.Get());
  }
  // Needed only by replicas that start from the snapshot; the state already
  // includes it.
  auto operator()(const SnapshotPiece& /*record*/) -> RecordOutcome {
    return kValid;
  }
  auto operator()(const SkippedRecord& record) -> RecordOutcome {
    return Invalid(record.is_unknown_type ? "unknown_type" : "malformed");
  }
};

}  // namespace

ReplicaState::ReplicaState(const ReplicaLimits& limits)
    : jobs(limits), requests(limits), writers(limits.writer_window) {}

auto ReplicaState::Allotment(const TeamId& team, const ShardId& shard) const
    -> configuration::Limit {
  return this->allotments.AllotmentOf(this->configuration.Get(), team, shard);
}

auto ReplicaState::ApplyRecord(const Record& record,
                               const Batch& batch,
                               Offset offset) -> RecordOutcome {
  return std::visit(RecordApplier{batch, offset, this->configuration,
                                  this->claims, this->jobs, this->requests,
                                  this->allotments, this->writers.LogTime()},
                    record);
}

auto ReplicaState::Apply(const Batch& batch, Offset offset)
    -> std::vector<RecordOutcome> {
  std::vector<RecordOutcome> outcomes;
  if (!this->writers.Observe(batch.writer, batch.sequence, batch.written_at)) {
    return outcomes;
  }
  // Expire ids before applying the records, so that an id whose window has just
  // ended can be used again.
  const auto log_time = this->writers.LogTime();
  this->requests.Expire(
      log_time, this->configuration.Get().GetPolicy().request_id_window);
  outcomes.reserve(batch.records.size());
  for (const auto& record : batch.records) {
    outcomes.push_back(this->ApplyRecord(record, batch, offset));
  }
  this->jobs.Expire(log_time);
  this->writers.Expire();
  return outcomes;
}

auto ReplicaState::Save(const SnapshotSink& sink) const -> void {
  this->writers.Save(sink);
  this->configuration.Save(sink);
  this->claims.Save(sink);
  this->allotments.Save(sink);
  this->jobs.Save(sink);
  this->requests.Save(sink);
}

auto ReplicaState::Load(const nlohmann::json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  const auto kind = reader.String("kind");
  if (error) {
    return false;
  }
  if (kind == "log_time" || kind == "writer") {
    return this->writers.Load(item);
  }
  if (kind == "configuration_version" || kind == "configuration_item") {
    return this->configuration.Load(item);
  }
  if (kind == "claim") {
    return this->claims.Load(item);
  }
  if (kind == "allotment") {
    return this->allotments.Load(item);
  }
  if (kind == "job" || kind == "task") {
    return this->jobs.Load(item);
  }
  if (kind == "request" || kind == "request_body") {
    return this->requests.Load(item);
  }
  // Skips kinds that a newer release has added.
  return true;
}

auto ReplicaState::FinishLoad() -> void {
  this->configuration.FinishLoad();
  this->allotments.ApplyConfiguration(this->configuration.Get());
}

auto Fingerprint(const ReplicaState& state) -> std::string {
  std::string text;
  state.Save([&text](const nlohmann::json& item) {
    text += item.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
  });
  return text;
}

}  // namespace shallotbank::journal
