#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace shallotbank::cell {

/// Host and path prefix under which callers reach a queue.
struct Route {
  std::string host;         ///< Value of the Host header, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  QueueName queue;
  bool is_open = false;  ///< Accepts requests without an API key.
};

/// A matched route and the rest of the path after its prefix.
struct RouteMatch {
  const Route* route = nullptr;
  std::string rest;
};

/// Maps requests to queues and API keys to organisations.
class AccessTable {
 public:
  AccessTable() = default;
  AccessTable(std::vector<Route> routes,
              std::unordered_map<std::string, OrganisationId> keys);

  /// Returns the route on `host` with the longest prefix of `path`.
  auto Match(std::string_view host, std::string_view path) const
      -> std::optional<RouteMatch>;
  /// Returns the organisation that owns the key, if any active configuration
  /// has it.
  auto FindOwner(const std::string& key) const -> std::optional<OrganisationId>;

 private:
  std::vector<Route> routes;
  std::unordered_map<std::string, OrganisationId> keys;
};

}  // namespace shallotbank::cell
