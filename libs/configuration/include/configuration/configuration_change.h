#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

#include "configuration/configuration.h"
#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

enum class ItemKind {
  kPolicy,
  kOrganisation,
  kTeam,
  kKey,
  kQueue,
  kService,
  kProfile
};

/// "policy", "organisation", "team", "key", "queue", "service" or "profile".
auto ToText(ItemKind kind) -> std::string_view;
auto ParseItemKind(std::string_view text) -> std::optional<ItemKind>;

/// Inserts or replaces one item, or removes it if there is no value. The policy
/// is an item named "policy" that cannot be removed.
struct ConfigurationChange {
  ItemKind kind = ItemKind::kPolicy;
  std::string name;
  /// The item as one line of JSON, as in a configuration file.
  std::optional<std::string> value;

  auto operator==(const ConfigurationChange&) const -> bool = default;
};

/// How to treat fields that this release does not know.
enum class UnknownFields { kRefuse, kIgnore };

/// The request body that publishes changes.
struct ChangeRequest {
  Offset expected_version = 0;
  std::vector<ConfigurationChange> changes;
  /// `kIgnore` if a newer minor version of the format wrote the request.
  UnknownFields unknown_fields = UnknownFields::kRefuse;
};

/// Returns the changes that turn `before` into `after`, in an order that can be
/// applied.
auto Diff(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange>;

/// Returns every item of `configuration` as a change, in the order of
/// `ItemKind`.
auto Items(const Configuration& configuration)
    -> std::vector<ConfigurationChange>;

/// Applies all changes, then validates the result. Errors:
/// `ConfigurationErrors`, with paths such as `changes[2].value.weight`.
auto Apply(Configuration configuration,
           const std::vector<ConfigurationChange>& changes,
           UnknownFields unknown_fields = UnknownFields::kRefuse)
    -> boost::leaf::result<Configuration>;

/// Like `Apply`, but in place. On an error `configuration` is unchanged.
auto ApplyTo(Configuration& configuration,
             const std::vector<ConfigurationChange>& changes,
             UnknownFields unknown_fields = UnknownFields::kRefuse)
    -> boost::leaf::result<void>;

/// Parses `{"format","expected_version","changes":[{"kind","name","value"}]}`;
/// a change without "value" is a removal. Errors: `ConfigurationErrors`.
auto ParseChangeRequest(std::string_view text)
    -> boost::leaf::result<ChangeRequest>;
auto ToJson(const ChangeRequest& request) -> std::string;

/// Returns a summary for operators with one line per change:
/// `~ team a: weight 1 -> 2;`. Key hashes are omitted.
auto Describe(const Configuration& before,
              const std::vector<ConfigurationChange>& changes) -> std::string;

}  // namespace shallotbank::configuration
