#pragma once

#include <vector>

#include "command.h"
#include "configuration/configuration.h"
#include "configuration/configuration_change.h"

namespace shallotbank::client {

/// The active configuration and its version.
struct PublishedConfiguration {
  Offset version = 0;
  configuration::Configuration content;
};

/// Reads the active configuration. Errors: `Failure`.
auto FetchConfiguration(Session& session)
    -> boost::leaf::result<PublishedConfiguration>;

/// Publishes `changes` on top of `version` and returns the new version.
/// Errors: `Failure`; kConflict if `version` is no longer the active version.
auto PublishChanges(
    Session& session,
    Offset version,
    const std::vector<configuration::ConfigurationChange>& changes)
    -> boost::leaf::result<Offset>;

/// Formats one line for each error.
auto ToText(const configuration::ConfigurationErrors& errors) -> std::string;

}  // namespace shallotbank::client
