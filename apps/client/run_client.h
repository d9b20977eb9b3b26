#pragma once

#include <istream>
#include <ostream>

namespace shallotbank::client {

/// Runs the subcommand that `argv` names and returns the exit code.
/// `environment` is a null-terminated array like `environ`.
auto RunClient(int argc,
               char** argv,
               char** environment,
               std::istream& in,
               std::ostream& out,
               std::ostream& err) -> int;

}  // namespace shallotbank::client
