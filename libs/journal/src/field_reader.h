#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/resources.h"
#include "configuration/items.h"
#include "journal/codec.h"
#include "journal/records.h"

namespace shallotbank::journal {

/// The first error of a decoding pass.
using FirstError = std::optional<CodecError>;

/// Reads the fields of a JSON object and never throws. Only the first error is
/// kept; values read after it must not be used.
class FieldReader {
 public:
  /// `object` must outlive the reader. A null pointer means that an error has
  /// already been reported.
  FieldReader(const nlohmann::json* object,
              std::string path,
              FirstError& error);

  auto Has(const char* field) const -> bool;
  auto String(const char* field) -> std::string;
  auto StringOr(const char* field, std::string fallback) -> std::string;
  /// A string that must not be empty.
  template <typename Id>
  auto Identifier(const char* field) -> Id {
    auto text = this->String(field);
    if (text.empty()) {
      this->Report(field, "must not be empty");
    }
    return Id(std::move(text));
  }
  auto Unsigned(const char* field) -> std::uint64_t;
  auto Integer(const char* field, std::int64_t lowest, std::int64_t highest)
      -> std::int64_t;
  auto IntegerOr(const char* field,
                 std::int64_t lowest,
                 std::int64_t highest,
                 std::int64_t fallback) -> std::int64_t;
  auto BoolOr(const char* field, bool fallback) -> bool;
  auto Timestamp(const char* field) -> WallTime;
  auto DurationOr(const char* field)
      -> std::optional<std::chrono::milliseconds>;
  auto ResourceAmount(const char* field) -> Resources;
  auto LimitValue(const char* field) -> configuration::Limit;
  /// Decodes a base64 string; the bytes need not be UTF-8.
  auto Bytes(const char* field) -> std::string;
  /// Null, with an error, unless the field is an array.
  auto Array(const char* field) -> const nlohmann::json*;
  auto Object(const char* field) -> FieldReader;
  /// One of the names in `table`, which holds pairs of value and name.
  template <typename Table>
  auto Enum(const char* field, const Table& table) {
    const auto text = this->String(field);
    for (const auto& [value, name] : table) {
      if (name == text) {
        return value;
      }
    }
    this->Report(field, "has an unknown value");
    return table.begin()->first;
  }

  auto Report(const std::string& field, std::string message) -> void;
  auto HasError() const -> bool { return this->error.has_value(); }
  auto Path() const -> const std::string& { return this->path; }

 private:
  auto Find(const char* field) -> const nlohmann::json*;

  const nlohmann::json* object;
  std::string path;
  FirstError& error;
};

auto WriteResources(const Resources& amount) -> nlohmann::json;
auto WriteLimit(const configuration::Limit& limit) -> nlohmann::json;
auto WriteTimestamp(WallTime time) -> std::int64_t;
auto ToBase64(std::string_view bytes) -> std::string;

template <typename Table, typename Value>
auto EnumName(const Table& table, Value value) -> std::string {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) {
      return std::string(name);
    }
  }
  return "";
}

}  // namespace shallotbank::journal
