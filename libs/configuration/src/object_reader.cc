#include "object_reader.h"

#include <algorithm>
#include <cctype>

namespace shallotbank::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::int64_t kMaxDurationMs = 366LL * 24 * 3600 * 1000;

auto IsNameCharacter(char c) -> bool {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
         c == '-' || c == '_';
}

/// Returns nothing for a JSON integer that does not fit in 64 signed bits.
auto AsInteger(const json& value) -> std::optional<std::int64_t> {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(INT64_MAX)) {
      return std::nullopt;
    }
    return static_cast<std::int64_t>(number);
  }
  return value.get<std::int64_t>();
}

}  // namespace

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

auto ErrorList::Add(const std::string& path,
                    std::string reason,
                    std::string message) -> void {
  ConfigurationError error{path, std::nullopt, std::move(reason),
                           std::move(message)};
  if (this->lines != nullptr) {
    // A missing field is reported at the line of the enclosing object.
    auto place = path;
    auto found = this->lines->find(place);
    while (found == this->lines->end() && !place.empty()) {
      const auto cut = place.find_last_of(".[");
      place = cut == std::string::npos ? "" : place.substr(0, cut);
      found = this->lines->find(place);
    }
    if (found != this->lines->end()) {
      error.line = found->second;
    }
  }
  this->errors.push_back(std::move(error));
}

ObjectReader::ObjectReader(const json& value,
                           std::string path,
                           UnknownFields unknown_fields,
                           ErrorList& errors)
    : value(&value),
      path(std::move(path)),
      unknown_fields(unknown_fields),
      errors(errors) {
  if (!value.is_object()) {
    this->value = nullptr;
    this->errors.Add(this->path, "wrong_type", "must be an object");
  }
}

auto ObjectReader::PathOf(const std::string& field) const -> std::string {
  return this->path.empty() ? field : this->path + "." + field;
}

auto ObjectReader::Report(const std::string& field,
                          std::string reason,
                          std::string message) -> void {
  this->errors.Add(this->PathOf(field), std::move(reason), std::move(message));
}

auto ObjectReader::Has(const std::string& field) const -> bool {
  return this->value != nullptr && this->value->contains(field);
}

auto ObjectReader::Find(const std::string& field) -> const json* {
  this->read_fields.insert(field);
  if (!this->Has(field)) {
    return nullptr;
  }
  return &*this->value->find(field);
}

auto ObjectReader::Child(const std::string& field, bool required)
    -> const json* {
  const auto* found = this->Find(field);
  if (found == nullptr && required && this->value != nullptr) {
    this->Report(field, "missing_field", "the field is missing");
  }
  return found;
}

auto ObjectReader::Text(const std::string& field) -> std::string {
  const auto* found = this->Child(field, true);
  if (found == nullptr) {
    return "";
  }
  if (!found->is_string()) {
    this->Report(field, "wrong_type", "must be a string");
    return "";
  }
  return found->get<std::string>();
}

auto ObjectReader::Name(const std::string& field) -> std::string {
  const auto errors_before = this->errors.errors.size();
  auto text = this->Text(field);
  if (!IsName(text) && this->value != nullptr &&
      this->errors.errors.size() == errors_before) {
    this->Report(field, "bad_value",
                 "a name has 1 to 64 letters, digits, '.', '-' or '_'");
    return "";
  }
  return text;
}

auto ObjectReader::Integer(const std::string& field,
                           std::int64_t lowest,
                           std::int64_t highest,
                           std::optional<std::int64_t> fallback)
    -> std::int64_t {
  const auto* found = this->Child(field, !fallback);
  if (found == nullptr) {
    return fallback.value_or(lowest);
  }
  if (!found->is_number_integer()) {
    this->Report(field, "wrong_type", "must be an integer");
    return fallback.value_or(lowest);
  }
  const auto number = AsInteger(*found);
  if (!number || *number < lowest || *number > highest) {
    this->Report(field, "out_of_range",
                 "must be from " + std::to_string(lowest) + " to " +
                     std::to_string(highest));
    return fallback.value_or(lowest);
  }
  return *number;
}

auto ObjectReader::Flag(const std::string& field, bool fallback) -> bool {
  const auto* found = this->Find(field);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_boolean()) {
    this->Report(field, "wrong_type", "must be true or false");
    return fallback;
  }
  return found->get<bool>();
}

auto ObjectReader::Time(const std::string& field)
    -> std::optional<std::chrono::milliseconds> {
  if (!this->Has(field)) {
    this->read_fields.insert(field);
    return std::nullopt;
  }
  return std::chrono::milliseconds(
      this->Integer(field, 1, kMaxDurationMs, std::nullopt));
}

auto ObjectReader::Forbid(const std::string& field, const std::string& message)
    -> void {
  if (this->Find(field) != nullptr) {
    this->Report(field, "not_applicable", message);
  }
}

auto ObjectReader::Finish() -> void {
  if (this->value == nullptr ||
      this->unknown_fields == UnknownFields::kIgnore) {
    return;
  }
  for (const auto& [field, ignored] : this->value->items()) {
    if (!this->read_fields.contains(field)) {
      this->Report(field, "unknown_field", "the field is not known");
    }
  }
}

}  // namespace shallotbank::configuration
