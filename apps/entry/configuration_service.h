#pragma once

#include <memory>

#include "api.h"
#include "authorization.h"

namespace shallotbank::entry {

/// Serves the configuration and publishes changes of it. A change names the
/// version that it is based on. It is accepted only if this is still the
/// current version when its record is read back from the log.
class ConfigurationService {
 public:
  ConfigurationService(Context& context, Authorization& authorization)
      : context(context), authorization(authorization) {}

  auto Show(ApiCall call) -> void;
  auto Publish(ApiCall call) -> void;

 private:
  auto Append(const std::shared_ptr<ApiCall>& call,
              journal::ConfigurationChanged record) -> void;
  auto RefuseConflict(ApiCall& call) -> void;

  Context& context;
  Authorization& authorization;
};

}  // namespace shallotbank::entry
