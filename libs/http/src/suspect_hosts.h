#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "curl_call.h"

namespace shallotbank::http {

/// Hosts to which a call timed out. Connections to such a host that are older
/// than the timeout may never respond again, so they are not reused.
class SuspectHosts {
 public:
  explicit SuspectHosts(Duration max_connection_age);

  auto OnTimeout(std::string_view url, TimePoint now) -> void;
  auto Choose(std::string_view url, bool is_idempotent, TimePoint now)
      -> ConnectionPolicy;

 private:
  std::chrono::seconds max_age;
  std::unordered_map<std::string, TimePoint> timeouts;
};

}  // namespace shallotbank::http
