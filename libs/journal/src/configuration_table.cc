#include "journal/configuration_table.h"

#include "configuration/configuration_change.h"
#include "field_reader.h"
#include "record_fields.h"

namespace shallotbank::journal {

namespace leaf = boost::leaf;
using configuration::ApplyTo;
using configuration::ConfigurationErrors;
using configuration::UnknownFields;

namespace {

/// Adds the item to `target`, or leaves it out and reports the reason.
auto AddItem(const configuration::ConfigurationChange& item,
             configuration::Configuration& target,
             std::vector<configuration::ConfigurationError>& item_errors)
    -> void {
  auto label = std::string(configuration::ToText(item.kind));
  label += " '" + item.name + "': ";
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return ApplyTo(target, {item}, UnknownFields::kIgnore);
      },
      [&](const ConfigurationErrors& errors) {
        for (auto error : errors.errors) {
          error.message = label + error.message;
          item_errors.push_back(std::move(error));
        }
      },
      [&] {
        item_errors.push_back({item.name, {}, "unreadable", label});
      });
}

}  // namespace

auto ConfigurationTable::Apply(const ConfigurationChanged& record,
                               Offset offset) -> RecordOutcome {
  // No publisher can know the version that this batch creates, so only the
  // first of several changes in a batch can be valid.
  if (record.expected_version != this->version ||
      (offset > 0 && record.expected_version == offset)) {
    return Invalid("stale_version");
  }
  // Version 0 means that there is no configuration yet.
  if (offset == 0) {
    return Invalid("offset_zero");
  }
  this->version = offset;
  for (const auto& change : record.changes) {
    const ItemKey key{change.kind, change.name};
    if (change.value) {
      this->items.insert_or_assign(key, *change.value);
    } else {
      this->items.erase(key);
    }
  }
  const auto is_applied =
      this->item_errors.empty() &&
      ApplyTo(this->configuration, record.changes, UnknownFields::kIgnore);
  if (!is_applied) {
    this->Rebuild();
  }
  return kValid;
}

auto ConfigurationTable::Rebuild() -> void {
  this->configuration = {};
  this->item_errors.clear();
  // The items are ordered by kind, so that each one comes after the items that
  // it refers to.
  for (const auto& [key, value] : this->items) {
    AddItem({key.first, key.second, value}, this->configuration,
            this->item_errors);
  }
}

auto ConfigurationTable::Save(const SnapshotSink& sink) const -> void {
  sink({{"kind", "configuration_version"}, {"version", this->version}});
  for (const auto& [key, value] : this->items) {
    sink({{"kind", "configuration_item"},
          {"item", WriteChange({key.first, key.second, value})}});
  }
}

auto ConfigurationTable::Load(const nlohmann::json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  if (reader.String("kind") == "configuration_version") {
    this->version = reader.Unsigned("version");
    return !error;
  }
  if (!reader.Has("item")) {
    return false;
  }
  auto change = ReadChange(item.at("item"), "item", error);
  if (error || !change.value) {
    return false;
  }
  return this->items
      .emplace(ItemKey{change.kind, change.name}, std::move(*change.value))
      .second;
}

auto ConfigurationTable::FinishLoad() -> void {
  this->Rebuild();
}

}  // namespace shallotbank::journal
