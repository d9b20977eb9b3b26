#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

/// A parsed JSON text that remembers the line of each field and array element.
struct LocatedJson {
  nlohmann::json value;
  std::unordered_map<std::string, int> lines;  ///< By field path.
  std::vector<ConfigurationError> errors;      ///< Syntax, duplicate fields.
};

/// Never throws. A syntax error ends the parse, so it is the last error.
auto ParseLocated(std::string_view text, std::size_t max_bytes) -> LocatedJson;

}  // namespace shallotbank::configuration
