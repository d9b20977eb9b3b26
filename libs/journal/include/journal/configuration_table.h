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
/// Only the version decides whether a change is valid, so that hosts of
/// different releases never disagree; the publisher checks the contents before
/// it appends. Items are kept as they were written, so fields of a newer
/// release survive a snapshot by an older one. An item that this release cannot
/// read is left out together with what refers to it, and reported by `Faults`.
class ConfigurationTable {
 public:
  auto Get() const -> const configuration::Configuration& {
    return this->configuration;
  }
  /// Offset of the last valid change; 0 before the first.
  auto Version() const -> Offset { return this->version; }
  auto Faults() const -> const std::vector<configuration::ConfigurationError>& {
    return this->faults;
  }

  auto Apply(const ConfigurationChanged& record, Offset offset)
      -> RecordOutcome;
  auto Save(const SnapshotSink& sink) const -> void;
  /// False if the item is malformed. Call `FinishLoad` after the last one.
  auto Load(const nlohmann::json& item) -> bool;
  auto FinishLoad() -> void;

 private:
  using ItemKey = std::pair<configuration::ItemKind, std::string>;

  auto Rebuild() -> void;

  std::map<ItemKey, std::string> items;
  configuration::Configuration configuration;
  Offset version = 0;
  std::vector<configuration::ConfigurationError> faults;
};

}  // namespace shallotbank::journal
