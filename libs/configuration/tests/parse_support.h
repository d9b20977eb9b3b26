#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_change.h"
#include "configuration/configuration_json.h"

namespace shallotbank::configuration {

struct Parsed {
  Configuration configuration;
  std::vector<ConfigurationError> errors;
};

/// Runs `action` and captures either its configuration or its errors.
template <typename Action>
auto Collect(const Action& action) -> Parsed {
  Parsed parsed;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(parsed.configuration, action());
        return {};
      },
      [&](const ConfigurationErrors& errors) { parsed.errors = errors.errors; },
      [&] {
        parsed.errors = {{"?", {}, "no_details", "error lost"}};
      });
  return parsed;
}

inline auto Parse(std::string_view text) -> Parsed {
  return Collect([text] { return ParseConfiguration(text); });
}

/// Formats each error as `path@line:reason`, joined by spaces.
inline auto Reasons(const std::vector<ConfigurationError>& errors)
    -> std::string {
  std::string text;
  for (const auto& error : errors) {
    text += (text.empty() ? "" : " ") + error.path;
    text += error.line ? "@" + std::to_string(*error.line) : "";
    text += ":" + error.reason;
  }
  return text;
}

}  // namespace shallotbank::configuration
