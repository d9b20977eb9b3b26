#pragma once

namespace review::wire {

#include "wire_names.inc"

}  // namespace review::wire
