#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/configuration_error.h"
#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// The configuration in force and its version.
///
/// Whether a change is valid depends only on its expected version, so that
/// hosts running different releases never disagree; the publisher validates the
/// contents before it appends the change. Items are stored in their original
/// form, so that fields of a newer release survive a snapshot by an older one.
/// An item that this release cannot read is left out together with the items
/// that refer to it, and is reported by `ItemErrors`.
class ConfigurationTable {
 public:
  auto Get() const -> const configuration::Configuration& {
    return this->configuration;
  }
  /// Offset of the last valid change; 0 before the first one.
  auto Version() const -> Offset { return this->version; }
  auto ItemErrors() const
      -> const std::vector<configuration::ConfigurationError>& {
    return this->item_errors;
  }

  auto Apply(const ConfigurationChanged& record, Offset offset)
      -> RecordOutcome;
  auto Save(const SnapshotSink& sink) const -> void;
  /// Returns false if the item is malformed. Call `FinishLoad` after the last
  /// item.
  auto Load(const nlohmann::json& item) -> bool;
  auto FinishLoad() -> void;

 private:
  using ItemKey = std::pair<configuration::ItemKind, std::string>;

  auto Rebuild() -> void;

  std::map<ItemKey, std::string> items;
  configuration::Configuration configuration;
  Offset version = 0;
  std::vector<configuration::ConfigurationError> item_errors;
};

}  // namespace shallotbank::journal
