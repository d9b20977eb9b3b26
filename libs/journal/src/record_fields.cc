#include "record_fields.h"

namespace shallotbank::journal {
namespace {

using configuration::JobClass;
using configuration::Priority;
using nlohmann::json;

constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxAttempts = 1'000;

constexpr WordTable<JobClass, 4> kClasses{{{JobClass::kService, "service"},
                                           {JobClass::kBatch, "batch"},
                                           {JobClass::kGang, "gang"},
                                           {JobClass::kRequest, "request"}}};
constexpr WordTable<Priority, 2> kPriorities{
    {{Priority::kNormal, "normal"}, {Priority::kUrgent, "urgent"}}};

auto WriteFlag(json& value, const char* field, bool flag) -> void {
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
  value["class"] = WordOf(kClasses, spec.job_class);
  value["need"] = WriteAmount(spec.need);
  value["tasks"] = spec.tasks;
  value["attempts"] = spec.attempts;
  value["lease_ms"] = spec.lease.count();
  if (spec.priority != Priority::kNormal) {
    value["priority"] = WordOf(kPriorities, spec.priority);
  }
  WriteFlag(value, "idempotent", spec.idempotent);
  WriteFlag(value, "single_run", spec.single_run);
  WriteFlag(value, "allow_checkpoint", spec.allow.checkpoint);
  WriteFlag(value, "allow_throttle", spec.allow.throttle);
  WriteFlag(value, "allow_stop", spec.allow.stop);
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
  spec.id = reader.Name<JobId>("job");
  spec.team = TeamId(reader.Text("team"));
  spec.profile = reader.Name<ProfileName>("profile");
  spec.queue = QueueName(reader.TextOr("queue", ""));
  spec.shard = reader.Name<ShardId>("shard");
  spec.job_class = reader.Word("class", kClasses);
  spec.need = reader.Amount("need");
  spec.tasks = reader.Integer("tasks", 1, kMaxTasks);
  spec.attempts = reader.Integer("attempts", 1, kMaxAttempts);
  spec.lease =
      reader.DurationOr("lease_ms").value_or(std::chrono::milliseconds(0));
  if (reader.Has("priority")) {
    spec.priority = reader.Word("priority", kPriorities);
  }
  spec.idempotent = reader.FlagOr("idempotent", false);
  spec.single_run = reader.FlagOr("single_run", false);
  spec.allow.checkpoint = reader.FlagOr("allow_checkpoint", false);
  spec.allow.throttle = reader.FlagOr("allow_throttle", false);
  spec.allow.stop = reader.FlagOr("allow_stop", false);
  spec.patience = reader.DurationOr("patience_ms");
  spec.expected_run = reader.DurationOr("expected_run_ms");
  spec.idempotency_key = reader.TextOr("idempotency_key", "");
  return spec;
}

auto WriteChange(const configuration::ConfigurationChange& change) -> json {
  json value{{"kind", configuration::ToText(change.kind)},
             {"name", change.name}};
  if (change.value) {
    // A text that is not JSON becomes a discarded value, which is no object.
    value["value"] = json::parse(*change.value, nullptr, false);
  }
  return value;
}

auto ReadChange(const json& value, const std::string& path, FirstError& error)
    -> configuration::ConfigurationChange {
  FieldReader reader(&value, path, error);
  configuration::ConfigurationChange change;
  const auto kind = configuration::ParseItemKind(reader.Text("kind"));
  if (!kind) {
    reader.Report("kind", "has an unknown value");
  }
  change.kind = kind.value_or(configuration::ItemKind::kPolicy);
  change.name = reader.Text("name");
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

auto WriteTexts(const std::vector<std::string>& texts) -> json {
  auto value = json::array();
  for (const auto& text : texts) {
    value.push_back(text);
  }
  return value;
}

auto ReadTexts(FieldReader& reader, const char* field)
    -> std::vector<std::string> {
  std::vector<std::string> texts;
  if (!reader.Has(field)) {
    return texts;
  }
  const auto* list = reader.Array(field);
  if (list == nullptr) {
    return texts;
  }
  for (const auto& value : *list) {
    if (!value.is_string()) {
      reader.Report(field, "must be a list of texts");
      return {};
    }
    texts.push_back(value.get<std::string>());
  }
  return texts;
}

}  // namespace shallotbank::journal
