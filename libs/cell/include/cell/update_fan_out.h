#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/host_capacity.h"

namespace shallotbank::cell {

/// A host that receives progress updates.
struct UpdateReceiver {
  std::string endpoint;
  HostCapacity capacity;
};

/// Endpoints that one call reaches. The first one is called and passes the
/// updates on to the others.
using UpdateGroup = std::vector<std::string>;

/// Divides the hosts into groups, so that the leader's calls grow with the
/// square root of the number of hosts.
class UpdateFanOut {
 public:
  auto Groups(const std::vector<UpdateReceiver>& hosts, TimePoint now)
      -> std::vector<UpdateGroup>;

  /// Record the result of a call to the first host of a group.
  auto OnSuccess(const std::string& endpoint) -> void;
  auto OnFailure(const std::string& endpoint, TimePoint now) -> void;

 private:
  std::map<std::string, TimePoint> failed_at;  ///< By endpoint.
  /// Since a call last succeeded.
  std::size_t failures = 0;
};

}  // namespace shallotbank::cell
