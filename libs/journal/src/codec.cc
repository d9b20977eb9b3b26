#include "journal/codec.h"

#include <array>

#include "field_reader.h"
#include "record_fields.h"

namespace shallotbank::journal {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::int64_t kMaxTaskIndex = 1'000'000;
constexpr std::int64_t kMaxPieces = 1'000'000;
constexpr std::int64_t kMaxStatus = 999;
// Deeper than any record; the JSON parser itself has no depth limit.
constexpr int kMaxDepth = 32;

// In the order of the alternatives of `Record`.
constexpr std::array<const char*, 11> kRecordTypes{"configuration_changed",
                                                   "job_accepted",
                                                   "cancel_requested",
                                                   "task_finished",
                                                   "job_finished",
                                                   "claim",
                                                   "release",
                                                   "request_intent",
                                                   "request_outcome",
                                                   "allotment_moved",
                                                   "snapshot_piece"};
static_assert(std::variant_size_v<Record> == kRecordTypes.size() + 1);

struct RecordEncoder {
  json& value;

  auto operator()(const ConfigurationChanged& record) -> void {
    value["expected_version"] = record.expected_version;
    auto changes = json::array();
    for (const auto& change : record.changes) {
      changes.push_back(WriteChange(change));
    }
    value["changes"] = std::move(changes);
  }
  auto operator()(const JobAccepted& record) -> void {
    WriteJobSpec(record.job, value);
  }
  auto operator()(const CancelRequested& record) -> void {
    value["job"] = record.job.Text();
  }
  auto operator()(const TaskFinished& record) -> void {
    value["job"] = record.job.Text();
    value["task"] = record.task;
    value["outcome"] = EnumName(kOutcomeNames, record.outcome);
    value["attempt"] = record.attempt;
    if (!record.message.empty()) {
      value["message"] = record.message;
    }
  }
  auto operator()(const JobFinished& record) -> void {
    value["job"] = record.job.Text();
    value["outcome"] = EnumName(kOutcomeNames, record.outcome);
    if (!record.reason.empty()) {
      value["reason"] = record.reason;
    }
  }
  auto operator()(const Claim& record) -> void {
    value["resource"] = record.resource.Text();
    value["owner"] = record.owner.Text();
    value["supersedes"] = record.supersedes;
    value["addresses"] = WriteStrings(record.addresses);
  }
  auto operator()(const Release& record) -> void {
    value["resource"] = record.resource.Text();
    value["owner"] = record.owner.Text();
    value["epoch"] = record.epoch;
  }
  auto operator()(const RequestIntent& record) -> void {
    value["team"] = record.team.Text();
    value["request"] = record.request.Text();
    value["digest"] = record.digest;
    value["token"] = record.token;
  }
  auto operator()(const RequestOutcome& record) -> void {
    value["team"] = record.team.Text();
    value["request"] = record.request.Text();
    value["token"] = record.token;
    WriteAnswer(record.status, record.content_type, record.body,
                record.body_digest, value);
  }
  auto operator()(const AllotmentMoved& record) -> void {
    value["team"] = record.team.Text();
    value["from"] = record.from.Text();
    value["to"] = record.to.Text();
    value["amount"] = WriteLimit(record.amount);
    value["from_epoch"] = record.from_epoch;
  }
  auto operator()(const SnapshotPiece& record) -> void {
    value["snapshot"] = record.snapshot;
    value["covers"] = record.covers;
    value["index"] = record.index;
    value["count"] = record.count;
    value["items"] = record.items == nullptr ? json::array() : *record.items;
  }
  auto operator()(const SkippedRecord& record) -> void {
    value["type"] = record.type;
  }
};

auto WriteRecord(const Record& record) -> json {
  json value;
  if (record.index() < kRecordTypes.size()) {
    value["type"] = kRecordTypes.at(record.index());
  }
  std::visit(RecordEncoder{value}, record);
  return value;
}

auto ReadConfigurationChanged(FieldReader& reader) -> Record {
  ConfigurationChanged record;
  record.expected_version = reader.Unsigned("expected_version");
  const auto* changes = reader.Array("changes");
  for (std::size_t i = 0; changes != nullptr && i < changes->size(); ++i) {
    auto change_path = reader.Path() + ".changes[";
    change_path += std::to_string(i) + "]";
    FirstError error;
    record.changes.push_back(ReadChange((*changes)[i], change_path, error));
    if (error) {
      reader.Report(error->field.substr(reader.Path().size() + 1),
                    error->message);
      break;
    }
  }
  return record;
}

auto ReadTaskFinished(FieldReader& reader) -> Record {
  TaskFinished record;
  record.job = reader.Identifier<JobId>("job");
  record.task = reader.Integer("task", 0, kMaxTaskIndex);
  record.outcome = reader.Enum("outcome", kOutcomeNames);
  record.attempt = reader.IntegerOr("attempt", 1, kMaxTaskIndex, 1);
  record.message = reader.StringOr("message", "");
  return record;
}

auto ReadJobFinished(FieldReader& reader) -> Record {
  JobFinished record;
  record.job = reader.Identifier<JobId>("job");
  record.outcome = reader.Enum("outcome", kOutcomeNames);
  record.reason = reader.StringOr("reason", "");
  return record;
}

auto ReadClaim(FieldReader& reader) -> Record {
  Claim record;
  record.resource = reader.Identifier<ResourceId>("resource");
  record.owner = reader.Identifier<ProcessId>("owner");
  record.supersedes = reader.Unsigned("supersedes");
  record.addresses = ReadStrings(reader, "addresses");
  return record;
}

auto ReadRelease(FieldReader& reader) -> Record {
  Release record;
  record.resource = reader.Identifier<ResourceId>("resource");
  record.owner = reader.Identifier<ProcessId>("owner");
  record.epoch = reader.Unsigned("epoch");
  return record;
}

auto ReadRequestIntent(FieldReader& reader) -> Record {
  RequestIntent record;
  record.team = TeamId(reader.String("team"));
  record.request = reader.Identifier<RequestId>("request");
  record.digest = reader.String("digest");
  record.token = reader.Unsigned("token");
  return record;
}

auto ReadRequestOutcome(FieldReader& reader) -> Record {
  RequestOutcome record;
  record.team = TeamId(reader.String("team"));
  record.request = reader.Identifier<RequestId>("request");
  record.token = reader.Unsigned("token");
  record.status = static_cast<int>(reader.Integer("status", 0, kMaxStatus));
  record.content_type = reader.StringOr("content_type", "");
  if (reader.Has("body")) {
    record.body = reader.Bytes("body");
    if (record.body->size() > kMaxAnswerBytes) {
      reader.Report("body", "is too large");
    }
  }
  record.body_digest = reader.StringOr("body_digest", "");
  return record;
}

auto ReadAllotmentMoved(FieldReader& reader) -> Record {
  AllotmentMoved record;
  record.team = reader.Identifier<TeamId>("team");
  record.from = reader.Identifier<ShardId>("from");
  record.to = reader.Identifier<ShardId>("to");
  record.amount = reader.LimitValue("amount");
  record.from_epoch = reader.Unsigned("from_epoch");
  return record;
}

auto ReadSnapshotPiece(FieldReader& reader) -> Record {
  SnapshotPiece record;
  record.snapshot = reader.Unsigned("snapshot");
  record.covers = reader.Unsigned("covers");
  record.count = reader.Integer("count", 1, kMaxPieces);
  record.index = reader.Integer("index", 0, record.count - 1);
  if (const auto* items = reader.Array("items")) {
    record.items = std::make_shared<const json>(*items);
  }
  return record;
}

auto ReadFields(std::string_view type, FieldReader& reader)
    -> std::optional<Record> {
  if (type == kRecordTypes[0]) {
    return ReadConfigurationChanged(reader);
  }
  if (type == kRecordTypes[1]) {
    return JobAccepted{ReadJobSpec(reader)};
  }
  if (type == kRecordTypes[2]) {
    return CancelRequested{reader.Identifier<JobId>("job")};
  }
  if (type == kRecordTypes[3]) {
    return ReadTaskFinished(reader);
  }
  if (type == kRecordTypes[4]) {
    return ReadJobFinished(reader);
  }
  if (type == kRecordTypes[5]) {
    return ReadClaim(reader);
  }
  if (type == kRecordTypes[6]) {
    return ReadRelease(reader);
  }
  if (type == kRecordTypes[7]) {
    return ReadRequestIntent(reader);
  }
  if (type == kRecordTypes[8]) {
    return ReadRequestOutcome(reader);
  }
  if (type == kRecordTypes[9]) {
    return ReadAllotmentMoved(reader);
  }
  if (type == kRecordTypes[10]) {
    return ReadSnapshotPiece(reader);
  }
  return std::nullopt;
}

auto ReadRecord(const json& value, std::size_t index) -> Record {
  FirstError error;
  FieldReader reader(&value, "records[" + std::to_string(index) + "]", error);
  const auto type = reader.String("type");
  if (!error) {
    const auto record = ReadFields(type, reader);
    if (!record) {
      return SkippedRecord{type, true, reader.Path() + ".type",
                           "unknown record type"};
    }
    if (!error) {
      return *record;
    }
  }
  return SkippedRecord{type, false, error->field, error->message};
}

/// Returns false if the JSON is nested deeper than `kMaxDepth`.
auto IsWithinMaxDepth(std::string_view text) -> bool {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
    }
    if (depth > kMaxDepth) {
      return false;
    }
  }
  return true;
}

}  // namespace

auto EncodeBatch(const Batch& batch) -> leaf::result<std::string> {
  auto records = json::array();
  for (std::size_t i = 0; i < batch.records.size(); ++i) {
    records.push_back(WriteRecord(batch.records[i]));
    if (std::holds_alternative<SnapshotPiece>(batch.records[i])) {
      continue;
    }
    // Rejects records that cannot be decoded again, since readers would skip
    // them.
    const auto read = ReadRecord(records.back(), i);
    if (const auto* skipped = std::get_if<SkippedRecord>(&read)) {
      return leaf::new_error(CodecError{skipped->field, skipped->message});
    }
  }
  if (batch.writer.IsEmpty() || batch.sequence == 0) {
    return leaf::new_error(
        CodecError{batch.writer.IsEmpty() ? "writer" : "sequence",
                   "must not be empty or 0"});
  }
  const json value{{"writer", batch.writer.Text()},
                   {"sequence", batch.sequence},
                   {"at", WriteTimestamp(batch.written_at)},
                   {"records", std::move(records)}};
  std::string bytes;
  try {
    bytes = value.dump();
  } catch (const json::exception& error) {
    return leaf::new_error(CodecError{"", error.what()});
  }
  if (bytes.size() > kMaxBatchBytes) {
    return leaf::new_error(CodecError{"", "the batch is too large"});
  }
  return bytes;
}

auto DecodeBatch(std::string_view bytes) -> leaf::result<Batch> {
  if (bytes.size() > kMaxBatchBytes) {
    return leaf::new_error(CodecError{"", "the batch is too large"});
  }
  if (!IsWithinMaxDepth(bytes)) {
    return leaf::new_error(CodecError{"", "nested too deep"});
  }
  const auto value = json::parse(bytes, nullptr, false);
  if (value.is_discarded()) {
    return leaf::new_error(CodecError{"", "is not valid JSON"});
  }
  FirstError error;
  FieldReader reader(&value, "", error);
  Batch batch;
  batch.writer = reader.Identifier<ProcessId>("writer");
  batch.sequence = reader.Unsigned("sequence");
  if (batch.sequence == 0) {
    reader.Report("sequence", "must be at least 1");
  }
  batch.written_at = reader.Timestamp("at");
  const auto* records = reader.Array("records");
  if (error) {
    return leaf::new_error(*error);
  }
  batch.records.reserve(records->size());
  for (std::size_t i = 0; i < records->size(); ++i) {
    batch.records.push_back(ReadRecord((*records)[i], i));
  }
  return batch;
}

auto EncodedSize(const Record& record) -> std::size_t {
  return WriteRecord(record)
      .dump(-1, ' ', false, json::error_handler_t::replace)
      .size();
}

}  // namespace shallotbank::journal
