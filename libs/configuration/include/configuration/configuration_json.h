#pragma once

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "configuration/configuration.h"
#include "configuration/configuration_error.h"

namespace shallotbank::configuration {

/// The format that this release writes.
inline constexpr std::string_view kFormat = "1.0";

/// Longest accepted text of a configuration, in bytes.
inline constexpr std::size_t kMaxConfigurationBytes = 16UL << 20U;

/// Parses and checks a whole file as docs/CONFIGURATION.md describes it.
/// Errors: `ConfigurationErrors` with every fault that was found.
auto ParseConfiguration(std::string_view text)
    -> boost::leaf::result<Configuration>;

/// The file of a configuration: indented, items and fields in a fixed order.
auto ToJson(const Configuration& configuration) -> std::string;

}  // namespace shallotbank::configuration
