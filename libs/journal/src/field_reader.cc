#include "field_reader.h"

#include <openssl/evp.h>

#include <limits>

namespace shallotbank::journal {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Bounded so that sums and products of amounts cannot overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
// For names and messages; bounds the state that a record can make.
constexpr std::size_t kMaxTextBytes = 1024;
// The year 9999; bounded so that differences of times cannot overflow.
constexpr std::int64_t kMaxWallMs = 253'402'300'799'999;

}  // namespace

FieldReader::FieldReader(const json* object,
                         std::string path,
                         FirstError& error)
    : object(object), path(std::move(path)), error(error) {
  if (this->object != nullptr && !this->object->is_object()) {
    this->Report("", "must be an object");
    this->object = nullptr;
  }
}

auto FieldReader::Report(const std::string& field, std::string message)
    -> void {
  if (this->error) {
    return;
  }
  auto place = this->path;
  if (!place.empty() && !field.empty()) {
    place += ".";
  }
  place += field;
  this->error = CodecError{std::move(place), std::move(message)};
}

auto FieldReader::Has(const char* field) const -> bool {
  return this->object != nullptr && this->object->contains(field);
}

auto FieldReader::Find(const char* field) -> const json* {
  if (!this->Has(field)) {
    this->Report(field, "is missing");
    return nullptr;
  }
  return &*this->object->find(field);
}

auto FieldReader::Text(const char* field) -> std::string {
  const auto* value = this->Find(field);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    this->Report(field, "must be a text");
    return "";
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > kMaxTextBytes) {
    this->Report(field, "is too long");
    return "";
  }
  return text;
}

auto FieldReader::TextOr(const char* field, std::string fallback)
    -> std::string {
  return this->Has(field) ? this->Text(field) : std::move(fallback);
}

auto FieldReader::Unsigned(const char* field) -> std::uint64_t {
  const auto* value = this->Find(field);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_unsigned()) {
    this->Report(field, "must be a whole number that is not negative");
    return 0;
  }
  return value->get<std::uint64_t>();
}

auto FieldReader::Integer(const char* field,
                          std::int64_t lowest,
                          std::int64_t highest) -> std::int64_t {
  const auto* value = this->Find(field);
  if (value == nullptr) {
    return lowest;
  }
  if (!value->is_number_integer()) {
    this->Report(field, "must be a whole number");
    return lowest;
  }
  const auto is_above_int64 =
      value->is_number_unsigned() &&
      value->get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto number = is_above_int64 ? 0 : value->get<std::int64_t>();
  if (is_above_int64 || number < lowest || number > highest) {
    this->Report(field, "must be from " + std::to_string(lowest) + " to " +
                            std::to_string(highest));
    return lowest;
  }
  return number;
}

auto FieldReader::IntegerOr(const char* field,
                            std::int64_t lowest,
                            std::int64_t highest,
                            std::int64_t fallback) -> std::int64_t {
  return this->Has(field) ? this->Integer(field, lowest, highest) : fallback;
}

auto FieldReader::FlagOr(const char* field, bool fallback) -> bool {
  if (!this->Has(field)) {
    return fallback;
  }
  const auto* value = this->Find(field);
  if (!value->is_boolean()) {
    this->Report(field, "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

auto FieldReader::Wall(const char* field) -> WallTime {
  return WallTime(milliseconds(this->Integer(field, 0, kMaxWallMs)));
}

auto FieldReader::DurationOr(const char* field) -> std::optional<milliseconds> {
  if (!this->Has(field)) {
    return std::nullopt;
  }
  return milliseconds(this->Integer(field, 0, kMaxWallMs));
}

auto FieldReader::Amount(const char* field) -> Resources {
  auto reader = this->Object(field);
  Resources amount;
  amount.cores_milli = reader.IntegerOr("cores_milli", 0, kMaxAmount, 0);
  amount.memory_mib = reader.IntegerOr("memory_mib", 0, kMaxAmount, 0);
  amount.accelerators = reader.IntegerOr("accelerators", 0, kMaxAmount, 0);
  return amount;
}

auto FieldReader::Part(const char* field) -> configuration::Limit {
  const auto resources = this->Amount(field);
  auto reader = this->Object(field);
  return {resources, reader.IntegerOr("tasks", 0, kMaxAmount, 0)};
}

auto FieldReader::Array(const char* field) -> const json* {
  const auto* value = this->Find(field);
  if (value != nullptr && !value->is_array()) {
    this->Report(field, "must be a list");
    return nullptr;
  }
  return value;
}

auto FieldReader::Object(const char* field) -> FieldReader {
  auto place = this->path;
  place += place.empty() ? "" : ".";
  place += field;
  return {this->Find(field), std::move(place), this->error};
}

auto FieldReader::Bytes(const char* field) -> std::string {
  const auto* value = this->Find(field);
  if (value == nullptr || !value->is_string()) {
    this->Report(field, "must be a text");
    return "";
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty()) {
    return "";
  }
  constexpr std::size_t kGroup = 4;
  std::string bytes(text.size(), '\0');
  const auto length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (text.size() % kGroup != 0 || length < 0) {
    this->Report(field, "must be base64");
    return "";
  }
  // EVP_DecodeBlock counts the padding as zero bytes.
  std::size_t padding = text.ends_with('=') ? 1 : 0;
  padding += text.ends_with("==") ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

auto ToBase64(std::string_view bytes) -> std::string {
  constexpr std::size_t kInGroup = 3;
  constexpr std::size_t kOutGroup = 4;
  // One byte more for the zero that EVP_EncodeBlock writes at the end.
  std::string text((bytes.size() + kInGroup - 1) / kInGroup * kOutGroup + 1,
                   '\0');
  const auto length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

auto WriteAmount(const Resources& amount) -> json {
  auto value = json::object();
  const auto write = [&value](const char* field, std::int64_t number) {
    if (number != 0) {
      value[field] = number;
    }
  };
  write("cores_milli", amount.cores_milli);
  write("memory_mib", amount.memory_mib);
  write("accelerators", amount.accelerators);
  return value;
}

auto WritePart(const configuration::Limit& part) -> json {
  auto value = WriteAmount(part.resources);
  if (part.tasks != 0) {
    value["tasks"] = part.tasks;
  }
  return value;
}

auto WriteWall(WallTime time) -> std::int64_t {
  return time.time_since_epoch().count();
}

}  // namespace shallotbank::journal
