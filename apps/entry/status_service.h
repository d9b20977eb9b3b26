#pragma once

#include "api.h"
#include "authorization.h"

namespace shallotbank::entry {

/// Serves the status of the system to operators.
class StatusService {
 public:
  StatusService(Context& context, Authorization& authorization)
      : context(context), authorization(authorization) {}

  /// Shows all daemons that this one knows, including itself.
  auto ShowHosts(ApiCall call, const rpc::PeerState& self) -> void;
  /// Forwards a query to the owner of a shard. `kind` is `workers` or `shares`.
  auto Explain(ApiCall call, const std::string& kind) -> void;

 private:
  Context& context;
  Authorization& authorization;
};

}  // namespace shallotbank::entry
