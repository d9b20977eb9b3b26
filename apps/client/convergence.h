#pragma once

#include "base/ids.h"
#include "command.h"

namespace shallotbank::client {

/// Whether `process`, an entry of the list `all` of GET /v1/hosts, is the past
/// of a process that was started again. It stays in the list for a while.
auto IsReplaced(const nlohmann::json& process, const nlohmann::json& all)
    -> bool;

/// Whether `process` has ended with a planned stop, so far as its peers know.
auto IsStopped(const nlohmann::json& process) -> bool;

/// Waits until every entry host that GET /v1/hosts shows has read the log up to
/// `version`, and prints which hosts it waits for. Errors: `Failure`; kTimeout
/// if one has not within --timeout.
auto WaitForVersion(Session& session, Offset version)
    -> boost::leaf::result<void>;

}  // namespace shallotbank::client
