#pragma once

#include <cstdlib>

namespace shallotbank::membership {

/// Fixes the seed and sets the number of histories of each property.
struct RapidCheckSettings {
  RapidCheckSettings() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=100", 1);
  }
};

}  // namespace shallotbank::membership
