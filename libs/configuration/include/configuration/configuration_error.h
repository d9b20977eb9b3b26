#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace shallotbank::configuration {

/// One error in a configuration.
struct ConfigurationError {
  std::string path;         ///< For example `teams[3].limit.tasks`.
  std::optional<int> line;  ///< In the parsed text, 1-based.
  /// A stable name: syntax, too_large, unsupported_format, unknown_field,
  /// missing_field, duplicate_field, duplicate_name, wrong_type, out_of_range,
  /// bad_value, not_applicable, unknown_reference, in_use, limit_under_share,
  /// no_worker_fits or unknown_item.
  std::string reason;
  std::string message;
};

/// All errors found; never empty when reported.
struct ConfigurationErrors {
  std::vector<ConfigurationError> errors;
};

/// Prints `path (line n): message`.
auto operator<<(std::ostream& out, const ConfigurationError& error)
    -> std::ostream&;

}  // namespace shallotbank::configuration
