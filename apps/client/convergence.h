#pragma once

#include "base/ids.h"
#include "command.h"

namespace shallotbank::client {

/// Whether `process`, an entry of the list `all` of GET /v1/hosts, is an
/// earlier incarnation of a process that has restarted. GET /v1/hosts lists
/// earlier incarnations for a while.
auto IsReplaced(const nlohmann::json& process, const nlohmann::json& all)
    -> bool;

/// Whether `process` has completed a graceful shutdown, as far as its peers
/// know.
auto IsStopped(const nlohmann::json& process) -> bool;

/// Waits until every entry host listed by GET /v1/hosts has read the log up to
/// `version`, and prints the hosts that lag behind. Errors: `Failure`; kTimeout
/// if a host still lags behind after --timeout.
auto WaitForVersion(Session& session, Offset version)
    -> boost::leaf::result<void>;

}  // namespace shallotbank::client
