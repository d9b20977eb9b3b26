#include "record_fields.h"

namespace shallotbank::journal {
namespace {

using configuration::JobClass;
using configuration::Priority;
using nlohmann::json;

constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000;

constexpr EnumNames<JobClass, 4> kJobClassNames{
    {{JobClass::kService, "service"},
     {JobClass::kBatch, "batch"},
     {JobClass::kGang, "gang"},
     {JobClass::kRequest, "request"}}};
constexpr EnumNames<Priority, 2> kPriorityNames{
    {{Priority::kNormal, "normal"}, {Priority::kUrgent, "urgent"}}};

auto WriteIfTrue(json& value, const char* field, bool flag) -> void {
  if (flag) {
    value[field] = true;
  }
}

}  // namespace

auto WriteJobSpec(const JobSpec& spec, json& value) -> void {
  value["job"] = spec.id.Text();
  value["team"] = spec.team.Text();
  value["profile"] = spec.profile.Text();
  value["queue"] = spec.queue.Text();
  value["shard"] = spec.shard.Text();
  value["class"] = EnumName(kJobClassNames, spec.job_class);
  value["need"] = WriteResources(spec.need);
  value["tasks"] = spec.tasks;
  value["attempts"] = spec.attempts;
  value["lease_ms"] = spec.lease.count();
  if (spec.priority != Priority::kNormal) {
    value["priority"] = EnumName(kPriorityNames, spec.priority);
  }
  WriteIfTrue(value, "idempotent", spec.idempotent);
  WriteIfTrue(value, "single_run", spec.single_run);
  WriteIfTrue(value, "allow_checkpoint", spec.allow.checkpoint);
  WriteIfTrue(value, "allow_throttle", spec.allow.throttle);
  WriteIfTrue(value, "allow_stop", spec.allow.stop);
  if (spec.patience) {
    value["patience_ms"] = spec.patience->count();
  }
  if (spec.expected_run) {
    value["expected_run_ms"] = spec.expected_run->count();
  }
  if (!spec.idempotency_key.empty()) {
    value["idempotency_key"] = spec.idempotency_key;
  }
}

auto ReadJobSpec(FieldReader& reader) -> JobSpec {
  JobSpec spec;
  spec.id = reader.Identifier<JobId>("job");
  spec.team = TeamId(reader.String("team"));
  spec.profile = reader.Identifier<ProfileName>("profile");
  spec.queue = QueueName(reader.StringOr("queue", ""));
  spec.shard = reader.Identifier<ShardId>("shard");
  spec.job_class = reader.Enum("class", kJobClassNames);
  spec.need = reader.ResourceAmount("need");
  spec.tasks = reader.Integer("tasks", 1, kMaxTasks);
  spec.attempts = reader.Integer("attempts", 1, kMaxAttempts);
  spec.lease =
      reader.DurationOr("lease_ms").value_or(std::chrono::milliseconds(0));
  if (reader.Has("priority")) {
    spec.priority = reader.Enum("priority", kPriorityNames);
  }
  spec.idempotent = reader.BoolOr("idempotent", false);
  spec.single_run = reader.BoolOr("single_run", false);
  spec.allow.checkpoint = reader.BoolOr("allow_checkpoint", false);
  spec.allow.throttle = reader.BoolOr("allow_throttle", false);
  spec.allow.stop = reader.BoolOr("allow_stop", false);
  spec.patience = reader.DurationOr("patience_ms");
  spec.expected_run = reader.DurationOr("expected_run_ms");
  spec.idempotency_key = reader.StringOr("idempotency_key", "");
  return spec;
}

auto WriteChange(const configuration::ConfigurationChange& change) -> json {
  json value{{"kind", configuration::ToText(change.kind)},
             {"name", change.name}};
  if (change.value) {
    // Invalid JSON becomes a discarded value, which is rejected when read
    // because it is not an object.
    value["value"] = json::parse(*change.value, nullptr, false);
  }
  return value;
}

auto ReadChange(const json& value, const std::string& path, FirstError& error)
    -> configuration::ConfigurationChange {
  FieldReader reader(&value, path, error);
  configuration::ConfigurationChange change;
  const auto kind = configuration::ParseItemKind(reader.String("kind"));
  if (!kind) {
    reader.Report("kind", "has an unknown value");
  }
  change.kind = kind.value_or(configuration::ItemKind::kPolicy);
  change.name = reader.String("name");
  if (change.name.empty()) {
    reader.Report("name", "must not be empty");
  }
  if (reader.Has("value")) {
    if (!value.at("value").is_object()) {
      reader.Report("value", "must be an object");
      return change;
    }
    change.value = value.at("value").dump();
  }
  return change;
}

auto WriteAnswer(int status,
                 const std::string& content_type,
                 const std::optional<std::string>& body,
                 const std::string& body_digest,
                 json& value) -> void {
  value["status"] = status;
  if (!content_type.empty()) {
    value["content_type"] = content_type;
  }
  if (body && body->size() <= kMaxAnswerBytes) {
    value["body"] = ToBase64(*body);
  }
  if (!body_digest.empty()) {
    value["body_digest"] = body_digest;
  }
}

auto WriteStrings(const std::vector<std::string>& strings) -> json {
  auto value = json::array();
  for (const auto& entry : strings) {
    value.push_back(entry);
  }
  return value;
}

auto ReadStrings(FieldReader& reader, const char* field)
    -> std::vector<std::string> {
  std::vector<std::string> strings;
  if (!reader.Has(field)) {
    return strings;
  }
  const auto* list = reader.Array(field);
  if (list == nullptr) {
    return strings;
  }
  for (const auto& value : *list) {
    if (!value.is_string()) {
      reader.Report(field, "must be a list of strings");
      return {};
    }
    strings.push_back(value.get<std::string>());
  }
  return strings;
}

}  // namespace shallotbank::journal
