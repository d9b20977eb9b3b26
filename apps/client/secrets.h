#pragma once

#include <istream>
#include <string>

#include "options.h"

namespace shallotbank::client {

/// The team's key, or empty if none is given. Errors: `Failure`.
auto TeamKey(const Options& options) -> boost::leaf::result<std::string>;

/// The operator key. Errors: `Failure`, also if none is given.
auto OperatorKey(const Options& options) -> boost::leaf::result<std::string>;

/// The secret of a key that is to be granted, from SHALLOTBANK_NEW_KEY or the
/// first line of `in`. Errors: `Failure`, also if it is short.
auto NewKey(const Options& options, std::istream& in)
    -> boost::leaf::result<std::string>;

}  // namespace shallotbank::client
