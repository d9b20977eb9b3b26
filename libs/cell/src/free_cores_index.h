#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "live_worker.h"

namespace shallotbank::cell {

/// The workers of each service by descending free cores. Visits the emptiest
/// workers without a scan of the others.
class FreeCoresIndex {
 public:
  struct Entry {
    std::int64_t free_cores_milli = 0;
    LiveWorker* worker = nullptr;

    auto operator<(const Entry& other) const -> bool;
  };

  /// To be called after each change of the worker's capacity, usage or service.
  auto Update(LiveWorker& worker) -> void;
  /// To be called before the worker is destroyed.
  auto Remove(const LiveWorker& worker) -> void;

  auto WorkersOf(const ServiceName& service) const -> const std::set<Entry>&;

 private:
  struct Position {
    ServiceName service;
    std::int64_t free_cores_milli = 0;
  };

  std::map<ServiceName, std::set<Entry>> services;
  std::map<const LiveWorker*, Position> positions;
};

}  // namespace shallotbank::cell
