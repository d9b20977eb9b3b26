#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "item_codec.h"

namespace shallotbank::configuration {

/// Changes a configuration in place. `Check` looks at what was touched and what
/// refers to it; `Undo` restores the state before the first change.
class ConfigurationEditor {
 public:
  explicit ConfigurationEditor(Configuration& target) : target(target) {}

  /// `path` is where faults of the item are reported.
  auto Put(Item item, std::string path) -> void;
  /// False if there is no such item.
  auto Remove(ItemKind kind, const std::string& name, std::string path) -> bool;
  auto Get(ItemKind kind, const std::string& name) const -> std::optional<Item>;
  auto Check(ErrorList& errors) const -> void;
  auto Undo() -> void;

 private:
  struct Touched {
    ItemKind kind;
    std::string name;
    std::string path;
    std::optional<Item> before;
  };

  auto Store(Item item) -> void;
  auto Erase(ItemKind kind, const std::string& name) -> void;
  auto ForgetKey(const Key& key) -> void;
  auto CheckItem(const Item& item,
                 const std::string& path,
                 ErrorList& errors) const -> void;
  auto CheckProfile(const Profile& profile,
                    const std::string& path,
                    ErrorList& errors) const -> void;
  auto CheckPolicy(const std::string& path, ErrorList& errors) const -> void;
  auto CheckUnused(const Touched& removed, ErrorList& errors) const -> void;
  auto IsTouched(ItemKind kind, const std::string& name) const -> bool;
  auto FitsSomeWorker(const Profile& profile) const -> bool;

  Configuration& target;
  std::vector<Touched> touched;
};

}  // namespace shallotbank::configuration
