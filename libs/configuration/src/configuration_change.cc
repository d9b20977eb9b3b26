#include "configuration/configuration_change.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <utility>

#include "configuration/configuration_json.h"
#include "configuration_editor.h"
#include "format.h"
#include "item_codec.h"
#include "located_json.h"

namespace shallotbank::configuration {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::array<std::pair<ItemKind, std::string_view>, 7> kKinds{
    {{ItemKind::kPolicy, "policy"},
     {ItemKind::kOrganisation, "organisation"},
     {ItemKind::kTeam, "team"},
     {ItemKind::kKey, "key"},
     {ItemKind::kQueue, "queue"},
     {ItemKind::kService, "service"},
     {ItemKind::kProfile, "profile"}}};

template <typename Map>
auto AppendItems(const Map& map, std::vector<ConfigurationChange>& items)
    -> void {
  for (const auto& [name, value] : map) {
    const Item item(value);
    items.push_back({KindOf(item), name.Text(), WriteItem(item).dump()});
  }
}

template <typename Map>
auto AppendDiff(const Map& before,
                const Map& after,
                std::vector<ConfigurationChange>& puts,
                std::vector<ConfigurationChange>& removals) -> void {
  for (const auto& [name, value] : after) {
    const auto old = before.find(name);
    if (old == before.end() || !(old->second == value)) {
      const Item item(value);
      puts.push_back({KindOf(item), name.Text(), WriteItem(item).dump()});
    }
  }
  for (const auto& [name, value] : before) {
    if (!after.contains(name)) {
      removals.push_back({KindOf(Item(value)), name.Text(), std::nullopt});
    }
  }
}

auto ApplyChange(const ConfigurationChange& change,
                 const std::string& path,
                 UnknownFields unknown_fields,
                 ConfigurationEditor& editor,
                 ErrorList& errors) -> void {
  if (!change.value) {
    if (change.kind == ItemKind::kPolicy) {
      errors.Add(path, "bad_value", "the policy cannot be removed");
    } else if (!editor.Remove(change.kind, change.name, path)) {
      errors.Add(path + ".name", "unknown_item",
                 "there is no " + std::string(ToText(change.kind)) + " '" +
                     change.name + "'");
    }
    return;
  }
  const auto value_path = path + ".value";
  auto document = ParseLocated(*change.value, kMaxConfigurationBytes);
  if (!document.errors.empty()) {
    for (const auto& error : document.errors) {
      const auto place =
          error.path.empty() ? value_path : value_path + "." + error.path;
      errors.Add(place, error.reason, error.message);
    }
    return;
  }
  auto item =
      ReadItem(change.kind, document.value, value_path, unknown_fields, errors);
  const auto name = NameOf(item);
  if (name != change.name && !name.empty()) {
    errors.Add(path + ".name", "bad_value",
               "differs from the name in the value");
    return;
  }
  if (!name.empty()) {
    editor.Put(std::move(item), value_path);
  }
}

auto ReadChange(const json& value,
                const std::string& path,
                UnknownFields unknown_fields,
                ErrorList& errors) -> ConfigurationChange {
  ObjectReader reader(value, path, unknown_fields, errors);
  ConfigurationChange change;
  const auto kind_text = reader.Text("kind");
  if (const auto kind = ParseItemKind(kind_text)) {
    change.kind = *kind;
  } else if (!kind_text.empty()) {
    reader.Report("kind", "bad_value", "the kind of item is not known");
  }
  change.name = reader.Name("name");
  if (const auto* item = reader.Child("value", false)) {
    change.value = item->dump();
  }
  reader.Finish();
  return change;
}

auto DescribeFields(const json& before,
                    const json& after,
                    const std::string& path,
                    std::ostream& out) -> void {
  if (before == after) {
    return;
  }
  if (before.is_object() && after.is_object()) {
    std::set<std::string> fields;
    for (const auto* side : {&before, &after}) {
      for (const auto& [field, ignored] : side->items()) {
        fields.insert(field);
      }
    }
    const auto prefix = path.empty() ? "" : path + ".";
    for (const auto& field : fields) {
      auto field_path = prefix;
      field_path += field;
      DescribeFields(before.value(field, json()), after.value(field, json()),
                     field_path, out);
    }
    return;
  }
  if (path == "sha256") {
    out << " sha256 changed;";
    return;
  }
  const auto text = [](const json& value) {
    return value.is_null() ? std::string("(none)") : value.dump();
  };
  out << " " << path << " " << text(before) << " -> " << text(after) << ";";
}

}  // namespace

auto ToText(ItemKind kind) -> std::string_view {
  return kKinds.at(static_cast<std::size_t>(kind)).second;
}

auto ParseItemKind(std::string_view text) -> std::optional<ItemKind> {
  for (const auto& [kind, word] : kKinds) {
    if (word == text) {
      return kind;
    }
  }
  return std::nullopt;
}

auto Items(const Configuration& configuration)
    -> std::vector<ConfigurationChange> {
  std::vector<ConfigurationChange> items{
      {ItemKind::kPolicy, "policy",
       WriteItem(configuration.GetPolicy()).dump()}};
  AppendItems(configuration.Organisations(), items);
  AppendItems(configuration.Teams(), items);
  AppendItems(configuration.Keys(), items);
  AppendItems(configuration.Queues(), items);
  AppendItems(configuration.Services(), items);
  AppendItems(configuration.Profiles(), items);
  return items;
}

auto Diff(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange> {
  std::vector<ConfigurationChange> changes;
  std::vector<ConfigurationChange> removals;
  if (!(before.GetPolicy() == after.GetPolicy())) {
    changes.push_back(
        {ItemKind::kPolicy, "policy", WriteItem(after.GetPolicy()).dump()});
  }
  AppendDiff(before.Organisations(), after.Organisations(), changes, removals);
  AppendDiff(before.Teams(), after.Teams(), changes, removals);
  AppendDiff(before.Keys(), after.Keys(), changes, removals);
  AppendDiff(before.Queues(), after.Queues(), changes, removals);
  AppendDiff(before.Services(), after.Services(), changes, removals);
  AppendDiff(before.Profiles(), after.Profiles(), changes, removals);
  std::reverse(removals.begin(), removals.end());
  changes.insert(changes.end(), removals.begin(), removals.end());
  return changes;
}

auto ApplyTo(Configuration& configuration,
             const std::vector<ConfigurationChange>& changes,
             UnknownFields unknown_fields) -> leaf::result<void> {
  ErrorList errors(nullptr);
  ConfigurationEditor editor(configuration);
  std::set<std::pair<ItemKind, std::string>> names;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const auto path = "changes[" + std::to_string(i) + "]";
    if (!names.emplace(changes[i].kind, changes[i].name).second) {
      errors.Add(path + ".name", "duplicate_name", "the item is changed twice");
      continue;
    }
    ApplyChange(changes[i], path, unknown_fields, editor, errors);
  }
  editor.Check(errors);
  if (!errors.errors.empty()) {
    editor.Rollback();
    return leaf::new_error(ConfigurationErrors{std::move(errors.errors)});
  }
  return {};
}

auto Apply(Configuration configuration,
           const std::vector<ConfigurationChange>& changes,
           UnknownFields unknown_fields) -> leaf::result<Configuration> {
  BOOST_LEAF_CHECK(ApplyTo(configuration, changes, unknown_fields));
  return configuration;
}

auto ParseChangeRequest(std::string_view text) -> leaf::result<ChangeRequest> {
  auto document = ParseLocated(text, kMaxConfigurationBytes);
  ErrorList errors(&document.lines);
  errors.errors = std::move(document.errors);
  if (!errors.errors.empty()) {
    return leaf::new_error(ConfigurationErrors{std::move(errors.errors)});
  }
  ChangeRequest request;
  request.unknown_fields = ReadFormat(document.value, errors);
  ObjectReader reader(document.value, "", request.unknown_fields, errors);
  reader.Child("format", false);
  request.expected_version = static_cast<Offset>(
      reader.Integer("expected_version", 0, INT64_MAX, std::nullopt));
  if (const auto* changes = reader.Child("changes", true)) {
    if (!changes->is_array() || changes->empty()) {
      reader.Report("changes", "wrong_type", "must be a list of changes");
    } else {
      for (std::size_t i = 0; i < changes->size(); ++i) {
        request.changes.push_back(
            ReadChange((*changes)[i], "changes[" + std::to_string(i) + "]",
                       request.unknown_fields, errors));
      }
    }
  }
  reader.Finish();
  if (!errors.errors.empty()) {
    return leaf::new_error(ConfigurationErrors{std::move(errors.errors)});
  }
  return request;
}

auto ToJson(const ChangeRequest& request) -> std::string {
  auto changes = json::array();
  for (const auto& change : request.changes) {
    json entry{{"kind", ToText(change.kind)}, {"name", change.name}};
    if (change.value) {
      entry["value"] = json::parse(*change.value, nullptr, false);
    }
    changes.push_back(std::move(entry));
  }
  return json{{"format", kFormat},
              {"expected_version", request.expected_version},
              {"changes", std::move(changes)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

auto Describe(const Configuration& before,
              const std::vector<ConfigurationChange>& changes) -> std::string {
  auto copy = before;
  const ConfigurationEditor editor(copy);
  std::ostringstream out;
  for (const auto& change : changes) {
    const auto old = editor.Get(change.kind, change.name);
    const auto old_value = old ? WriteItem(*old) : json::object();
    const auto new_value = change.value
                               ? json::parse(*change.value, nullptr, false)
                               : json::object();
    const char* sign = "~";
    if (!change.value) {
      sign = "-";
    } else if (!old) {
      sign = "+";
    }
    out << sign << " " << ToText(change.kind) << " " << change.name;
    if (change.value) {
      out << ":";
      DescribeFields(old_value, new_value, "", out);
    }
    out << "\n";
  }
  return out.str();
}

}  // namespace shallotbank::configuration
