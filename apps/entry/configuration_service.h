#pragma once

#include <memory>

#include "api.h"
#include "authorization.h"

namespace shallotbank::entry {

/// Shows and publishes the configuration. A publish names the version that it
/// was made for and is accepted only if that is still in force when its record
/// is read back from the log.
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
