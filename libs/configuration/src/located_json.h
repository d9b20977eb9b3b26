#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

/// A parsed JSON document with the line of each field and array element.
struct LocatedJson {
  nlohmann::json value;
  std::unordered_map<std::string, int> lines;  ///< Keyed by field path.
  std::vector<ConfigurationError>
      errors;  ///< Syntax errors and duplicate fields.
};

/// Never throws. A syntax error stops the parser, so it is the last error.
auto ParseLocated(std::string_view text, std::size_t max_bytes) -> LocatedJson;

}  // namespace shallotbank::configuration
