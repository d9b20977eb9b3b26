#pragma once

#include "adapter/host_settings.h"
#include "base/clock.h"
#include "base/core_loop.h"
#include "base/metrics.h"
#include "busy_time.h"
#include "http/client.h"

namespace shallotbank::cell {

/// Shared by all components of the daemon, which run on the core loop's thread
/// unless documented otherwise.
struct Runtime {
  const adapter::HostSettings& host;
  CoreLoop& loop;
  http::Client& client;
  Metrics& metrics;
  BusyTime& busy;
  BootClock clock;
};

}  // namespace shallotbank::cell
