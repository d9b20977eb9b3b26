#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "item_codec.h"

namespace shallotbank::configuration {

/// Modifies a configuration in place. `Check` validates the changed items and
/// the items that refer to them; `Rollback` restores the initial state.
class ConfigurationEditor {
 public:
  explicit ConfigurationEditor(Configuration& target) : target(target) {}

  /// Errors of the item are reported under `path`.
  auto Put(Item item, std::string path) -> void;
  /// Returns false if there is no such item.
  auto Remove(ItemKind kind, const std::string& name, std::string path) -> bool;
  auto Get(ItemKind kind, const std::string& name) const -> std::optional<Item>;
  auto Check(ErrorList& errors) const -> void;
  auto Rollback() -> void;

 private:
  struct ChangedItem {
    ItemKind kind;
    std::string name;
    std::string path;
    std::optional<Item> before;
  };

  auto Store(Item item) -> void;
  auto Erase(ItemKind kind, const std::string& name) -> void;
  auto UnindexKey(const Key& key) -> void;
  auto CheckItem(const Item& item,
                 const std::string& path,
                 ErrorList& errors) const -> void;
  auto CheckProfile(const Profile& profile,
                    const std::string& path,
                    ErrorList& errors) const -> void;
  auto CheckPolicy(const std::string& path, ErrorList& errors) const -> void;
  auto CheckUnused(const ChangedItem& removed, ErrorList& errors) const -> void;
  auto IsChanged(ItemKind kind, const std::string& name) const -> bool;
  auto FitsAnyWorker(const Profile& profile) const -> bool;

  Configuration& target;
  std::vector<ChangedItem> changed_items;
};

}  // namespace shallotbank::configuration
