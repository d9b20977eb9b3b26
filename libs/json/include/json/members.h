#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace shallotbank::json {

/// Smallest and largest permitted value.
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Returns the number, rounded to the nearest integer. Returns nothing if the
/// value is no number or lies outside of the range, whatever its size.
auto ToInteger(const nlohmann::json& value, Range range)
    -> std::optional<std::int64_t>;
/// The same for a member; `fallback` if the object lacks it, and nothing if
/// `object` is no object.
auto ReadInteger(const nlohmann::json& object,
                 const char* name,
                 Range range,
                 std::int64_t fallback) -> std::optional<std::int64_t>;
/// Returns a member that is a string; empty if there is none.
auto ReadText(const nlohmann::json& object, const char* name) -> std::string;

}  // namespace shallotbank::json
