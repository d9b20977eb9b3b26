#include "format.h"

#include <charconv>

#include "configuration/configuration_json.h"

namespace shallotbank::configuration {
namespace {

struct Version {
  int major = 0;
  int minor = 0;
};

auto ParseVersion(std::string_view text) -> std::optional<Version> {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = [](std::string_view digits, int& value) {
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end && value >= 0;
  };
  Version version;
  if (!number(text.substr(0, dot), version.major) ||
      !number(text.substr(dot + 1), version.minor)) {
    return std::nullopt;
  }
  return version;
}

}  // namespace

auto ReadFormat(const nlohmann::json& document, ErrorList& errors)
    -> UnknownFields {
  if (!document.is_object()) {
    return UnknownFields::kRefuse;
  }
  const auto field = document.find("format");
  if (field == document.end()) {
    errors.Add("format", "missing_field", "the field is missing");
    return UnknownFields::kRefuse;
  }
  if (!field->is_string()) {
    errors.Add("format", "wrong_type", "must be a string such as \"1.0\"");
    return UnknownFields::kRefuse;
  }
  const auto own = ParseVersion(kFormat).value_or(Version{});
  const auto version = ParseVersion(field->get<std::string>());
  if (!version) {
    errors.Add("format", "bad_value", "must be MAJOR.MINOR, such as \"1.0\"");
    return UnknownFields::kRefuse;
  }
  if (version->major != own.major) {
    errors.Add("format", "unsupported_format",
               "this release reads the major version " +
                   std::to_string(own.major) + " only");
    return UnknownFields::kIgnore;
  }
  return version->minor > own.minor ? UnknownFields::kIgnore
                                    : UnknownFields::kRefuse;
}

}  // namespace shallotbank::configuration
