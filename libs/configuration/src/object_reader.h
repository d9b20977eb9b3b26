#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/configuration_change.h"
#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

/// Where the errors of one parse go.
class ErrorList {
 public:
  explicit ErrorList(const std::unordered_map<std::string, int>* lines)
      : lines(lines) {}

  auto Add(const std::string& path, std::string reason, std::string message)
      -> void;

  std::vector<ConfigurationError> errors;

 private:
  const std::unordered_map<std::string, int>* lines;
};

/// Reads the fields of one JSON object. A field at fault is reported and its
/// fallback returned, so that all faults are found in one pass.
class ObjectReader {
 public:
  /// Reports `wrong_type` if `value` is not an object.
  ObjectReader(const nlohmann::json& value,
               std::string path,
               UnknownFields unknown_fields,
               ErrorList& errors);

  auto Has(const std::string& field) const -> bool;
  /// A name: 1 to 64 letters, digits, dots, dashes and underscores.
  auto Name(const std::string& field) -> std::string;
  /// A required text.
  auto Text(const std::string& field) -> std::string;
  auto Integer(const std::string& field,
               std::int64_t lowest,
               std::int64_t highest,
               std::optional<std::int64_t> fallback) -> std::int64_t;
  auto Flag(const std::string& field, bool fallback) -> bool;
  auto Time(const std::string& field)
      -> std::optional<std::chrono::milliseconds>;
  /// Null if the field is absent; `required` decides if that is reported.
  auto Child(const std::string& field, bool required) -> const nlohmann::json*;
  /// Reports `not_applicable` if the field is there.
  auto Forbid(const std::string& field, const std::string& message) -> void;
  /// Reports the fields that were not read.
  auto Finish() -> void;

  auto PathOf(const std::string& field) const -> std::string;
  auto Report(const std::string& field, std::string reason, std::string message)
      -> void;

 private:
  auto Find(const std::string& field) -> const nlohmann::json*;

  const nlohmann::json* value;
  std::string path;
  UnknownFields unknown_fields;
  ErrorList& errors;
  std::set<std::string> read;
};

auto IsName(std::string_view text) -> bool;

}  // namespace shallotbank::configuration
