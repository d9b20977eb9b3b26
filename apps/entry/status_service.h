#pragma once

#include "api.h"
#include "authorization.h"

namespace shallotbank::entry {

/// What operators ask about the system itself.
class StatusService {
 public:
  StatusService(Context& context, Authorization& authorization)
      : context(context), authorization(authorization) {}

  /// All daemons that this one knows, itself included.
  auto ShowHosts(ApiCall call, const rpc::PeerState& self) -> void;
  /// What the owner of a shard says of `kind`: `workers` or `shares`.
  auto Explain(ApiCall call, const std::string& kind) -> void;

 private:
  Context& context;
  Authorization& authorization;
};

}  // namespace shallotbank::entry
