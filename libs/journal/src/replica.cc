#include "journal/replica.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "journal/codec.h"
#include "snapshot_collector.h"

namespace shallotbank::journal {
namespace {

namespace leaf = boost::leaf;

auto RestoreState(
    const std::vector<std::shared_ptr<const nlohmann::json>>& pieces,
    const ReplicaLimits& limits) -> std::unique_ptr<ReplicaState> {
  auto state = std::make_unique<ReplicaState>(limits);
  for (const auto& piece : pieces) {
    if (piece == nullptr) {
      return nullptr;
    }
    for (const auto& item : *piece) {
      if (!state->Load(item)) {
        return nullptr;
      }
    }
  }
  state->FinishLoad();
  return state;
}

}  // namespace

Replica::Replica(ProcessId own_process,
                 Offset log_begin,
                 const ReplicaLimits& limits)
    : own_process(std::move(own_process)),
      log_begin(log_begin),
      limits(limits),
      state(std::make_unique<ReplicaState>(limits)),
      collector(std::make_unique<SnapshotCollector>(false)),
      next(log_begin),
      replay_start(log_begin) {}

Replica::~Replica() = default;

auto Replica::GetStatus() const -> Status {
  return this->state != nullptr && this->next >= this->ready_from
             ? Status::kReady
             : Status::kNeedsSnapshot;
}

auto Replica::State() const -> const ReplicaState* {
  return this->GetStatus() == Status::kReady ? this->state.get() : nullptr;
}

auto Replica::StartScan(Offset first) -> void {
  // The replica is ready only after it has passed every offset read so far.
  this->ready_from = std::max(this->ready_from, this->next);
  this->next = first;
  this->state.reset();
  this->collector = std::make_unique<SnapshotCollector>(true);
  this->scan_start = first;
}

auto Replica::RestartAt(Offset first) -> void {
  if (first > this->next) {
    this->StartScan(first);
  }
}

auto Replica::CountSkipped(const Batch& batch) -> void {
  for (const auto& record : batch.records) {
    if (const auto* skipped = std::get_if<SkippedRecord>(&record)) {
      ++(skipped->is_unknown_type ? this->counters.unknown_records
                                  : this->counters.malformed_records);
    }
  }
}

auto Replica::TrackSnapshots(const Batch& batch) -> void {
  if (!this->replay_start_time) {
    this->replay_start_time = batch.written_at;
  }
  for (const auto& record : batch.records) {
    const auto* piece = std::get_if<SnapshotPiece>(&record);
    if (piece == nullptr) {
      continue;
    }
    const auto complete =
        this->collector->Add(batch.writer, batch.written_at, *piece);
    if (complete && complete->covers + 1 > this->replay_start) {
      this->replay_start = complete->covers + 1;
      this->replay_start_time = complete->taken_at;
    }
  }
}

auto Replica::StoreOwnBatch(const AppliedBatch& result) -> void {
  this->own_batches.insert_or_assign(result.sequence, result);
  if (this->own_batches.size() > kMaxOwnBatches) {
    this->own_batches.erase(this->own_batches.begin());
  }
}

auto Replica::ApplyReady(const Batch& batch, AppliedBatch& result) -> void {
  if (this->state->Writers().HasSeen(batch.writer, batch.sequence)) {
    result.status = ApplyStatus::kDuplicate;
    ++this->counters.duplicate_batches;
    return;
  }
  result.outcomes = this->state->Apply(batch, result.offset);
  ++this->counters.applied_batches;
  this->counters.invalid_records += static_cast<std::uint64_t>(
      std::count_if(result.outcomes.begin(), result.outcomes.end(),
                    [](const auto& outcome) { return !outcome.valid; }));
  this->TrackSnapshots(batch);
  if (batch.writer == this->own_process) {
    this->StoreOwnBatch(result);
  }
}

auto Replica::Scan(const Batch& batch) -> void {
  for (const auto& record : batch.records) {
    const auto* piece = std::get_if<SnapshotPiece>(&record);
    // A snapshot that covers less leaves a gap before the first offset read.
    if (piece == nullptr || piece->covers + 1 < this->scan_start ||
        piece->covers >= this->next) {
      continue;
    }
    const auto complete =
        this->collector->Add(batch.writer, batch.written_at, *piece);
    if (!complete) {
      continue;
    }
    auto restored = RestoreState(complete->pieces, this->limits);
    if (restored == nullptr) {
      ++this->counters.snapshots_refused;
      continue;
    }
    ++this->counters.snapshots_loaded;
    this->state = std::move(restored);
    this->collector = std::make_unique<SnapshotCollector>(false);
    // This offset counts as read, so the replica becomes ready only after it.
    this->ready_from = std::max(this->ready_from, this->next + 1);
    this->next = complete->covers + 1;
    this->replay_start = complete->covers + 1;
    this->replay_start_time = complete->taken_at;
    return;
  }
  ++this->next;
}

auto Replica::Apply(Offset offset, std::string_view bytes) -> AppliedBatch {
  AppliedBatch result;
  result.offset = offset;
  if (offset < this->next) {
    result.status = ApplyStatus::kDuplicate;
    return result;
  }
  if (offset > this->next) {
    ++this->counters.gaps;
    this->StartScan(offset);
  }
  auto is_decoded = false;
  Batch batch;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(batch, DecodeBatch(bytes));
        is_decoded = true;
        return {};
      },
      [] {});
  const auto is_scanning = this->state == nullptr;
  if (!is_decoded) {
    result.status = ApplyStatus::kMalformed;
    ++this->counters.malformed_batches;
    ++this->next;
    return result;
  }
  result.writer = batch.writer;
  result.sequence = batch.sequence;
  if (is_scanning) {
    result.status = ApplyStatus::kScanned;
    this->Scan(batch);
    return result;
  }
  this->CountSkipped(batch);
  this->ApplyReady(batch, result);
  ++this->next;
  return result;
}

auto Replica::FindOwnBatch(std::uint64_t sequence) const
    -> const AppliedBatch* {
  const auto found = this->own_batches.find(sequence);
  return found == this->own_batches.end() ? nullptr : &found->second;
}

}  // namespace shallotbank::journal
