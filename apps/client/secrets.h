#pragma once

#include <istream>
#include <string>

#include "options.h"

namespace shallotbank::client {

/// Returns the key of the team, or an empty string if none is given. Errors:
/// `Failure`.
auto TeamKey(const Options& options) -> boost::leaf::result<std::string>;

/// Returns the operator key. Errors: `Failure`, including when no key is given.
auto OperatorKey(const Options& options) -> boost::leaf::result<std::string>;

/// Reads the secret of a key to grant from SHALLOTBANK_NEW_KEY or the first
/// line of `in`. Errors: `Failure`, including when the secret is too short.
auto NewKey(const Options& options, std::istream& in)
    -> boost::leaf::result<std::string>;

}  // namespace shallotbank::client
