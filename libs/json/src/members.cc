#include "json/members.h"

#include <cmath>

namespace shallotbank::json {

auto ToInteger(const nlohmann::json& value, Range range)
    -> std::optional<std::int64_t> {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    const bool fits =
        range.max >= 0 && number <= static_cast<std::uint64_t>(range.max) &&
        (range.min <= 0 || number >= static_cast<std::uint64_t>(range.min));
    return fits ? std::optional(static_cast<std::int64_t>(number))
                : std::nullopt;
  }
  if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    return number >= range.min && number <= range.max ? std::optional(number)
                                                      : std::nullopt;
  }
  if (!value.is_number_float()) {
    return std::nullopt;
  }
  // Compared before the conversion, which is undefined out of range. The bounds
  // of 64 bits are no doubles, so the upper one is excluded.
  constexpr double kLimit = 9223372036854775808.0;
  const double number = std::round(value.get<double>());
  if (!(number >= -kLimit && number < kLimit)) {
    return std::nullopt;
  }
  const auto integer = static_cast<std::int64_t>(number);
  return integer >= range.min && integer <= range.max ? std::optional(integer)
                                                      : std::nullopt;
}

auto ReadInteger(const nlohmann::json& object,
                 const char* name,
                 Range range,
                 std::int64_t fallback) -> std::optional<std::int64_t> {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto found = object.find(name);
  return found == object.end() ? std::optional(fallback)
                               : ToInteger(*found, range);
}

auto ReadText(const nlohmann::json& object, const char* name) -> std::string {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace shallotbank::json
