#include "item_codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace shallotbank::configuration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxCoresMilli = 1'000'000'000;
constexpr std::int64_t kMaxMemoryMib = 100'000'000'000;
constexpr std::int64_t kMaxAccelerators = 1'000'000;
constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::int64_t kMaxPolicyWeight = 1'000;
constexpr std::int64_t kMaxShards = 1'000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::size_t kMaxWorkerSizes = 64;
constexpr std::size_t kSha256HexLength = 64;
constexpr milliseconds kServiceLease = std::chrono::minutes(15);
constexpr milliseconds kBatchLease = std::chrono::minutes(2);

constexpr std::array<std::pair<JobClass, std::string_view>, 4> kClasses{
    {{JobClass::kService, "service"},
     {JobClass::kBatch, "batch"},
     {JobClass::kGang, "gang"},
     {JobClass::kRequest, "request"}}};
constexpr std::array<std::pair<Priority, std::string_view>, 2> kPriorities{
    {{Priority::kNormal, "normal"}, {Priority::kUrgent, "urgent"}}};

template <typename Table>
auto ReadEnum(ObjectReader& reader,
              const std::string& field,
              const Table& table,
              bool required) {
  using Value = decltype(table[0].first);
  if (!required && reader.Child(field, false) == nullptr) {
    return Value(table[0].first);
  }
  if (!reader.Has(field)) {
    reader.Child(field, true);
    return Value(table[0].first);
  }
  const auto text = reader.Text(field);
  std::string choices;
  for (const auto& [value, word] : table) {
    if (word == text) {
      return Value(value);
    }
    choices += (choices.empty() ? "" : ", ") + std::string(word);
  }
  if (!text.empty()) {
    reader.Report(field, "bad_value", "must be one of " + choices);
  }
  return Value(table[0].first);
}

template <typename Table, typename Value>
auto WriteEnum(const Table& table, Value value) -> std::string {
  const auto found =
      std::find_if(table.begin(), table.end(),
                   [value](const auto& entry) { return entry.first == value; });
  return std::string(found->second);
}

auto ReadResources(ObjectReader& reader) -> Resources {
  Resources amount;
  amount.cores_milli = reader.Integer("cores_milli", 0, kMaxCoresMilli, 0);
  amount.memory_mib = reader.Integer("memory_mib", 0, kMaxMemoryMib, 0);
  amount.accelerators = reader.Integer("accelerators", 0, kMaxAccelerators, 0);
  return amount;
}

auto WriteResources(const Resources& amount) -> json {
  return {{"cores_milli", amount.cores_milli},
          {"memory_mib", amount.memory_mib},
          {"accelerators", amount.accelerators}};
}

class ItemReader {
 public:
  ItemReader(UnknownFields unknown_fields, ErrorList& errors)
      : unknown_fields(unknown_fields), errors(errors) {}

  auto ReadOrganisation(ObjectReader& reader) -> Organisation {
    Organisation item;
    item.name = OrganisationId(reader.Name("name"));
    item.weight = reader.Integer("weight", 1, kMaxWeight, 1);
    return item;
  }

  auto ReadTeam(ObjectReader& reader) -> Team {
    Team item;
    item.name = TeamId(reader.Name("name"));
    item.organisation = OrganisationId(reader.Name("organisation"));
    item.weight = reader.Integer("weight", 1, kMaxWeight, 1);
    if (const auto* value = reader.Child("limit", true)) {
      ObjectReader limit(*value, reader.PathOf("limit"), this->unknown_fields,
                         this->errors);
      item.limit.resources = ReadResources(limit);
      item.limit.tasks = limit.Integer("tasks", 0, kMaxTasks, std::nullopt);
      limit.Finish();
    }
    item.share = this->ReadAmount(reader, "share", false);
    if (!item.share.FitsIn(item.limit.resources)) {
      reader.Report("limit", "limit_under_share",
                    "the limit is lower than the share");
    }
    return item;
  }

  auto ReadKey(ObjectReader& reader) -> Key {
    Key item;
    item.name = KeyId(reader.Name("name"));
    item.team = TeamId(reader.Name("team"));
    const auto errors_before = this->errors.errors.size();
    item.sha256 = reader.Text("sha256");
    const auto is_hex = [](char c) {
      return std::isdigit(static_cast<unsigned char>(c)) != 0 ||
             (c >= 'a' && c <= 'f');
    };
    if (this->errors.errors.size() == errors_before &&
        (item.sha256.size() != kSha256HexLength ||
         !std::all_of(item.sha256.begin(), item.sha256.end(), is_hex))) {
      reader.Report("sha256", "bad_value",
                    "must be 64 lower-case hexadecimal digits");
    }
    return item;
  }

  auto ReadQueue(ObjectReader& reader) -> Queue {
    Queue item;
    item.name = QueueName(reader.Name("name"));
    item.open = reader.Flag("open", false);
    return item;
  }

  auto ReadService(ObjectReader& reader) -> Service {
    return {ServiceName(reader.Name("name"))};
  }

  auto ReadProfile(ObjectReader& reader) -> Profile {
    Profile item;
    item.name = ProfileName(reader.Name("name"));
    item.queue = QueueName(reader.Name("queue"));
    item.job_class = ReadEnum(reader, "class", kClasses, true);
    item.priority = ReadEnum(reader, "priority", kPriorities, false);
    item.idempotent = reader.Flag("idempotent", false);
    item.single_run = reader.Flag("single_run", false);
    item.attempts = reader.Integer("attempts", 1, kMaxAttempts, 1);
    item.expected_run = reader.Time("expected_run_ms");
    if (item.job_class == JobClass::kRequest) {
      this->ReadRequestFields(reader, item);
    } else {
      this->ReadTaskFields(reader, item);
    }
    return item;
  }

  auto ReadPolicy(ObjectReader& reader) -> Policy {
    Policy item;
    item.waiting_weight =
        reader.Integer("waiting_weight", 0, kMaxPolicyWeight, 1);
    item.share_weight = reader.Integer("share_weight", 0, kMaxPolicyWeight, 1);
    item.request_id_window =
        reader.Time("request_id_window_ms").value_or(item.request_id_window);
    item.shards = reader.Integer("shards", 1, kMaxShards, 1);
    const auto* sizes = reader.Child("largest_workers", false);
    if (sizes == nullptr) {
      return item;
    }
    if (!sizes->is_array() || sizes->size() > kMaxWorkerSizes) {
      reader.Report("largest_workers", "wrong_type",
                    "must be a list of at most 64 sizes");
      return item;
    }
    for (std::size_t i = 0; i < sizes->size(); ++i) {
      ObjectReader size(
          (*sizes)[i],
          reader.PathOf("largest_workers") + "[" + std::to_string(i) + "]",
          this->unknown_fields, this->errors);
      item.largest_workers.push_back(ReadResources(size));
      size.Finish();
    }
    return item;
  }

 private:
  auto ReadAmount(ObjectReader& reader, const std::string& field, bool required)
      -> Resources {
    const auto* value = reader.Child(field, required);
    if (value == nullptr) {
      return {};
    }
    ObjectReader amount(*value, reader.PathOf(field), this->unknown_fields,
                        this->errors);
    const auto result = ReadResources(amount);
    amount.Finish();
    return result;
  }

  auto ReadRequestFields(ObjectReader& reader, Profile& item) -> void {
    for (const auto* field : {"need", "tasks", "max_tasks", "patience_ms",
                              "lease_ms", "allow", "single_run"}) {
      reader.Forbid(field, "does not apply to the class request");
    }
    item.service = ServiceName(reader.Name("service"));
    if (!reader.Has("deadline_ms")) {
      reader.Report("deadline_ms", "missing_field",
                    "a request needs a deadline");
    }
    item.deadline = reader.Time("deadline_ms");
    if (!item.idempotent && item.attempts != 1) {
      reader.Report("attempts", "bad_value",
                    "a request that is not idempotent has one attempt");
    }
  }

  auto ReadTaskFields(ObjectReader& reader, Profile& item) -> void {
    for (const auto* field : {"service", "deadline_ms"}) {
      reader.Forbid(field, "applies to the class request only");
    }
    item.need = this->ReadAmount(reader, "need", true);
    if (reader.Has("need") && item.need == Resources{}) {
      reader.Report("need", "out_of_range", "a task needs some resources");
    }
    item.tasks = reader.Integer("tasks", 1, kMaxTasks, 1);
    item.max_tasks = reader.Integer("max_tasks", 1, kMaxTasks, item.tasks);
    if (item.max_tasks < item.tasks) {
      reader.Report("max_tasks", "out_of_range", "must be at least tasks");
    }
    item.patience = reader.Time("patience_ms");
    const auto lease =
        item.job_class == JobClass::kService ? kServiceLease : kBatchLease;
    item.lease = reader.Time("lease_ms").value_or(lease);
    if (const auto* value = reader.Child("allow", false)) {
      ObjectReader allow(*value, reader.PathOf("allow"), this->unknown_fields,
                         this->errors);
      item.allow.checkpoint = allow.Flag("checkpoint", false);
      item.allow.throttle = allow.Flag("throttle", false);
      item.allow.stop = allow.Flag("stop", false);
      allow.Finish();
    }
  }

  UnknownFields unknown_fields;
  ErrorList& errors;
};

auto Write(const Policy& item) -> json {
  auto sizes = json::array();
  for (const auto& size : item.largest_workers) {
    sizes.push_back(WriteResources(size));
  }
  return {{"waiting_weight", item.waiting_weight},
          {"share_weight", item.share_weight},
          {"request_id_window_ms", item.request_id_window.count()},
          {"shards", item.shards},
          {"largest_workers", std::move(sizes)}};
}

auto Write(const Organisation& item) -> json {
  return {{"name", item.name.Text()}, {"weight", item.weight}};
}

auto Write(const Team& item) -> json {
  auto limit = WriteResources(item.limit.resources);
  limit["tasks"] = item.limit.tasks;
  return {{"name", item.name.Text()},
          {"organisation", item.organisation.Text()},
          {"weight", item.weight},
          {"limit", std::move(limit)},
          {"share", WriteResources(item.share)}};
}

auto Write(const Key& item) -> json {
  return {{"name", item.name.Text()},
          {"team", item.team.Text()},
          {"sha256", item.sha256}};
}

auto Write(const Queue& item) -> json {
  return {{"name", item.name.Text()}, {"open", item.open}};
}

auto Write(const Service& item) -> json {
  return {{"name", item.name.Text()}};
}

auto Write(const Profile& item) -> json {
  json value{{"name", item.name.Text()},
             {"queue", item.queue.Text()},
             {"class", WriteEnum(kClasses, item.job_class)},
             {"priority", WriteEnum(kPriorities, item.priority)},
             {"idempotent", item.idempotent},
             {"attempts", item.attempts}};
  if (item.expected_run) {
    value["expected_run_ms"] = item.expected_run->count();
  }
  if (item.job_class == JobClass::kRequest) {
    value["service"] = item.service.Text();
    value["deadline_ms"] = item.deadline.value_or(milliseconds(1)).count();
    return value;
  }
  value["single_run"] = item.single_run;
  value["need"] = WriteResources(item.need);
  value["tasks"] = item.tasks;
  value["max_tasks"] = item.max_tasks;
  value["lease_ms"] = item.lease.count();
  value["allow"] = {{"checkpoint", item.allow.checkpoint},
                    {"throttle", item.allow.throttle},
                    {"stop", item.allow.stop}};
  if (item.patience) {
    value["patience_ms"] = item.patience->count();
  }
  return value;
}

auto ReadFields(ItemReader& reader, ItemKind kind, ObjectReader& object)
    -> Item {
  switch (kind) {
    case ItemKind::kPolicy:
      return reader.ReadPolicy(object);
    case ItemKind::kOrganisation:
      return reader.ReadOrganisation(object);
    case ItemKind::kTeam:
      return reader.ReadTeam(object);
    case ItemKind::kKey:
      return reader.ReadKey(object);
    case ItemKind::kQueue:
      return reader.ReadQueue(object);
    case ItemKind::kService:
      return reader.ReadService(object);
    case ItemKind::kProfile:
      return reader.ReadProfile(object);
  }
  return Policy{};
}

}  // namespace

auto ReadItem(ItemKind kind,
              const json& value,
              const std::string& path,
              UnknownFields unknown_fields,
              ErrorList& errors) -> Item {
  ObjectReader object(value, path, unknown_fields, errors);
  ItemReader reader(unknown_fields, errors);
  auto item = ReadFields(reader, kind, object);
  object.Finish();
  return item;
}

auto WriteItem(const Item& item) -> json {
  return std::visit([](const auto& value) { return Write(value); }, item);
}

auto KindOf(const Item& item) -> ItemKind {
  return static_cast<ItemKind>(item.index());
}

auto NameOf(const Item& item) -> std::string {
  return std::visit(
      [](const auto& value) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Policy>) {
          return "policy";
        } else {
          return value.name.Text();
        }
      },
      item);
}

}  // namespace shallotbank::configuration
