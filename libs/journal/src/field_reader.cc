#include "field_reader.h"

#include <openssl/evp.h>

#include <limits>

namespace shallotbank::journal {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Limits amounts so that their sums and products cannot overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
// Limits names and messages, and so the size of the state that one record can
// create.
constexpr std::size_t kMaxTextBytes = 1024;
// The year 9999; limits times so that their differences cannot overflow.
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
  auto field_path = this->path;
  if (!field_path.empty() && !field.empty()) {
    field_path += ".";
  }
  field_path += field;
  this->error = CodecError{std::move(field_path), std::move(message)};
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

auto FieldReader::String(const char* field) -> std::string {
  const auto* value = this->Find(field);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    this->Report(field, "must be a string");
    return "";
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > kMaxTextBytes) {
    this->Report(field, "is too long");
    return "";
  }
  return text;
}

auto FieldReader::StringOr(const char* field, std::string fallback)
    -> std::string {
  return this->Has(field) ? this->String(field) : std::move(fallback);
}

auto FieldReader::Unsigned(const char* field) -> std::uint64_t {
  const auto* value = this->Find(field);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_unsigned()) {
    this->Report(field, "must be a non-negative integer");
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
    this->Report(field, "must be an integer");
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

auto FieldReader::BoolOr(const char* field, bool fallback) -> bool {
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

auto FieldReader::Timestamp(const char* field) -> WallTime {
  return WallTime(milliseconds(this->Integer(field, 0, kMaxWallMs)));
}

auto FieldReader::DurationOr(const char* field) -> std::optional<milliseconds> {
  if (!this->Has(field)) {
    return std::nullopt;
  }
  return milliseconds(this->Integer(field, 0, kMaxWallMs));
}

auto FieldReader::ResourceAmount(const char* field) -> Resources {
  auto reader = this->Object(field);
  Resources amount;
  amount.cores_milli = reader.IntegerOr("cores_milli", 0, kMaxAmount, 0);
  amount.memory_mib = reader.IntegerOr("memory_mib", 0, kMaxAmount, 0);
  amount.accelerators = reader.IntegerOr("accelerators", 0, kMaxAmount, 0);
  return amount;
}

auto FieldReader::LimitValue(const char* field) -> configuration::Limit {
  const auto resources = this->ResourceAmount(field);
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
  auto field_path = this->path;
  field_path += field_path.empty() ? "" : ".";
  field_path += field;
  return {this->Find(field), std::move(field_path), this->error};
}

auto FieldReader::Bytes(const char* field) -> std::string {
  const auto* value = this->Find(field);
  if (value == nullptr || !value->is_string()) {
    this->Report(field, "must be a string");
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
  // EVP_DecodeBlock includes the padding in the length as zero bytes.
  std::size_t padding = text.ends_with('=') ? 1 : 0;
  padding += text.ends_with("==") ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

auto ToBase64(std::string_view bytes) -> std::string {
  constexpr std::size_t kInGroup = 3;
  constexpr std::size_t kOutGroup = 4;
  // One extra byte for the terminating zero that EVP_EncodeBlock writes.
  std::string text((bytes.size() + kInGroup - 1) / kInGroup * kOutGroup + 1,
                   '\0');
  const auto length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

auto WriteResources(const Resources& amount) -> json {
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

auto WriteLimit(const configuration::Limit& limit) -> json {
  auto value = WriteResources(limit.resources);
  if (limit.tasks != 0) {
    value["tasks"] = limit.tasks;
  }
  return value;
}

auto WriteTimestamp(WallTime time) -> std::int64_t {
  return time.time_since_epoch().count();
}

}  // namespace shallotbank::journal
