#pragma once

#include <optional>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "object_reader.h"

namespace shallotbank::configuration {

using Item =
    std::variant<Policy, Organisation, Team, Key, Queue, Service, Profile>;

/// Reads one item. If this adds to `errors`, the result must not be used.
auto ReadItem(ItemKind kind,
              const nlohmann::json& value,
              const std::string& path,
              UnknownFields unknown_fields,
              ErrorList& errors) -> Item;

auto WriteItem(const Item& item) -> nlohmann::json;
auto KindOf(const Item& item) -> ItemKind;
/// Returns the name of the item; "policy" for the policy.
auto NameOf(const Item& item) -> std::string;

}  // namespace shallotbank::configuration
