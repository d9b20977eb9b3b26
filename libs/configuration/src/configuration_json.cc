#include "configuration/configuration_json.h"

#include <array>
#include <set>

#include "configuration_editor.h"
#include "format.h"
#include "item_codec.h"
#include "located_json.h"

namespace shallotbank::configuration {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

struct Section {
  const char* field;
  ItemKind kind;
};

constexpr std::array<Section, 6> kSections{
    {{"organisations", ItemKind::kOrganisation},
     {"teams", ItemKind::kTeam},
     {"keys", ItemKind::kKey},
     {"queues", ItemKind::kQueue},
     {"services", ItemKind::kService},
     {"profiles", ItemKind::kProfile}}};

constexpr int kIndent = 2;

auto ReadSection(const Section& section,
                 ObjectReader& file,
                 UnknownFields unknown_fields,
                 ConfigurationEditor& editor,
                 ErrorList& errors) -> void {
  const auto* items = file.Child(section.field, false);
  if (items == nullptr) {
    return;
  }
  if (!items->is_array()) {
    file.Report(section.field, "wrong_type", "must be a list");
    return;
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < items->size(); ++i) {
    const auto path =
        std::string(section.field) + "[" + std::to_string(i) + "]";
    auto item =
        ReadItem(section.kind, (*items)[i], path, unknown_fields, errors);
    const auto name = NameOf(item);
    if (name.empty()) {
      continue;
    }
    if (!names.insert(name).second) {
      errors.Add(path + ".name", "duplicate_name",
                 "the name '" + name + "' occurs twice");
      continue;
    }
    editor.Put(std::move(item), path);
  }
}

}  // namespace

auto operator<<(std::ostream& out, const ConfigurationError& error)
    -> std::ostream& {
  out << (error.path.empty() ? "(file)" : error.path);
  if (error.line) {
    out << " (line " << *error.line << ")";
  }
  return out << ": " << error.message;
}

auto ParseConfiguration(std::string_view text) -> leaf::result<Configuration> {
  auto document = ParseLocated(text, kMaxConfigurationBytes);
  ErrorList errors(&document.lines);
  errors.errors = std::move(document.errors);
  const auto is_parsed =
      errors.errors.empty() || errors.errors.back().reason == "duplicate_field";
  if (!is_parsed) {
    return leaf::new_error(ConfigurationErrors{std::move(errors.errors)});
  }
  const auto unknown_fields = ReadFormat(document.value, errors);
  ObjectReader file(document.value, "", unknown_fields, errors);
  file.Child("format", false);
  Configuration configuration;
  ConfigurationEditor editor(configuration);
  Item policy = Policy{};
  if (const auto* value = file.Child("policy", false)) {
    policy =
        ReadItem(ItemKind::kPolicy, *value, "policy", unknown_fields, errors);
  }
  editor.Put(std::move(policy), "policy");
  for (const auto& section : kSections) {
    ReadSection(section, file, unknown_fields, editor, errors);
  }
  file.Finish();
  editor.Check(errors);
  if (!errors.errors.empty()) {
    return leaf::new_error(ConfigurationErrors{std::move(errors.errors)});
  }
  return configuration;
}

auto ToJson(const Configuration& configuration) -> std::string {
  const auto write = [](const auto& items) {
    auto list = json::array();
    for (const auto& [name, item] : items) {
      list.push_back(WriteItem(item));
    }
    return list;
  };
  const json file{{"format", kFormat},
                  {"policy", WriteItem(configuration.GetPolicy())},
                  {"organisations", write(configuration.Organisations())},
                  {"teams", write(configuration.Teams())},
                  {"keys", write(configuration.Keys())},
                  {"queues", write(configuration.Queues())},
                  {"services", write(configuration.Services())},
                  {"profiles", write(configuration.Profiles())}};
  return file.dump(kIndent) + "\n";
}

}  // namespace shallotbank::configuration
