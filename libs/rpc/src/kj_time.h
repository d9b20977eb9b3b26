#pragma once

#include <kj/time.h>

#include "base/clock.h"

namespace shallotbank::rpc {

inline auto ToKj(Duration time) -> kj::Duration {
  return time.count() * kj::NANOSECONDS;
}

}  // namespace shallotbank::rpc
