#pragma once

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "configuration/configuration.h"
#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

/// The format version that this release writes.
inline constexpr std::string_view kFormat = "1.0";

/// Maximum size of a configuration text, in bytes.
inline constexpr std::size_t kMaxConfigurationBytes = 16UL << 20U;

/// Parses and validates a whole file as docs/CONFIGURATION.md describes it.
/// Errors: `ConfigurationErrors` with every error found.
auto ParseConfiguration(std::string_view text)
    -> boost::leaf::result<Configuration>;

/// Serializes a configuration file: indented, with items and fields in a fixed
/// order.
auto ToJson(const Configuration& configuration) -> std::string;

}  // namespace shallotbank::configuration
