#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "curl_call.h"

namespace shallotbank::http {

/// Hosts that let a call run into its deadline. Connections to such a host that
/// are older than the timeout may be silent for good, so they are not used
/// again.
class SuspectHosts {
 public:
  explicit SuspectHosts(Duration max_connection_age);

  auto OnTimeout(std::string_view url, TimePoint now) -> void;
  auto Choose(std::string_view url, bool is_idempotent, TimePoint now)
      -> ConnectionChoice;

 private:
  std::chrono::seconds max_age;
  std::unordered_map<std::string, TimePoint> timeouts;
};

}  // namespace shallotbank::http
