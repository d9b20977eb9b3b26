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

/// The first fault of a parse.
using FirstError = std::optional<CodecError>;

/// Reads fields of a JSON object and never throws. The first fault is kept;
/// after it, the values read are not to be used.
class FieldReader {
 public:
  /// `object` must outlive the reader. A null pointer stands for a fault that
  /// was reported before.
  FieldReader(const nlohmann::json* object,
              std::string path,
              FirstError& error);

  auto Has(const char* field) const -> bool;
  auto Text(const char* field) -> std::string;
  auto TextOr(const char* field, std::string fallback) -> std::string;
  /// A text that must not be empty.
  template <typename Id>
  auto Name(const char* field) -> Id {
    auto text = this->Text(field);
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
  auto FlagOr(const char* field, bool fallback) -> bool;
  auto Wall(const char* field) -> WallTime;
  auto DurationOr(const char* field)
      -> std::optional<std::chrono::milliseconds>;
  auto Amount(const char* field) -> Resources;
  auto Part(const char* field) -> configuration::Limit;
  /// Base64 of any bytes.
  auto Bytes(const char* field) -> std::string;
  /// Null, with a fault, unless the field is an array.
  auto Array(const char* field) -> const nlohmann::json*;
  auto Object(const char* field) -> FieldReader;
  /// One of the words of `table`, which holds pairs of value and word.
  template <typename Table>
  auto Word(const char* field, const Table& table) {
    const auto text = this->Text(field);
    for (const auto& [value, word] : table) {
      if (word == text) {
        return value;
      }
    }
    this->Report(field, "has an unknown value");
    return table.begin()->first;
  }

  auto Report(const std::string& field, std::string message) -> void;
  auto IsFaulty() const -> bool { return this->error.has_value(); }
  auto Path() const -> const std::string& { return this->path; }

 private:
  auto Find(const char* field) -> const nlohmann::json*;

  const nlohmann::json* object;
  std::string path;
  FirstError& error;
};

auto WriteAmount(const Resources& amount) -> nlohmann::json;
auto WritePart(const configuration::Limit& part) -> nlohmann::json;
auto WriteWall(WallTime time) -> std::int64_t;
auto ToBase64(std::string_view bytes) -> std::string;

template <typename Table, typename Value>
auto WordOf(const Table& table, Value value) -> std::string {
  for (const auto& [candidate, word] : table) {
    if (candidate == value) {
      return std::string(word);
    }
  }
  return "";
}

}  // namespace shallotbank::journal
