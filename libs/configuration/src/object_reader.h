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

/// Collects the errors of one parse and looks up their lines.
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

/// Reads the fields of one JSON object. An invalid field is reported and its
/// fallback returned, so that one pass finds all errors.
class ObjectReader {
 public:
  /// Reports `wrong_type` if `value` is not an object.
  ObjectReader(const nlohmann::json& value,
               std::string path,
               UnknownFields unknown_fields,
               ErrorList& errors);

  auto Has(const std::string& field) const -> bool;
  /// Reads a required name: 1 to 64 letters, digits, dots, dashes and
  /// underscores.
  auto Name(const std::string& field) -> std::string;
  /// Reads a required string.
  auto Text(const std::string& field) -> std::string;
  auto Integer(const std::string& field,
               std::int64_t lowest,
               std::int64_t highest,
               std::optional<std::int64_t> fallback) -> std::int64_t;
  auto Flag(const std::string& field, bool fallback) -> bool;
  auto Time(const std::string& field)
      -> std::optional<std::chrono::milliseconds>;
  /// Returns null if the field is absent, and reports that if `required`.
  auto Child(const std::string& field, bool required) -> const nlohmann::json*;
  /// Reports `not_applicable` if the field is present.
  auto Forbid(const std::string& field, const std::string& message) -> void;
  /// Reports the fields that were not read, unless unknown fields are ignored.
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
  std::set<std::string> read_fields;
};

auto IsName(std::string_view text) -> bool;

}  // namespace shallotbank::configuration
