#pragma once

#include "base/ids.h"
#include "command.h"

namespace shallotbank::client {

/// Waits until every entry host that GET /v1/hosts shows has read the log up to
/// `version`, and prints which hosts it waits for. Errors: `Failure`; kTimeout
/// if one has not within --timeout.
auto WaitForVersion(Session& session, Offset version)
    -> boost::leaf::result<void>;

}  // namespace shallotbank::client
