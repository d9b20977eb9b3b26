#include "cell/access.h"

#include <algorithm>

namespace shallotbank::cell {

AccessTable::AccessTable(std::vector<Route> routes,
                         std::unordered_map<std::string, OrganisationId> keys)
    : routes(std::move(routes)), keys(std::move(keys)) {
  std::sort(this->routes.begin(), this->routes.end(),
            [](const Route& a, const Route& b) {
              return a.path_prefix.size() > b.path_prefix.size();
            });
}

auto AccessTable::Match(std::string_view host, std::string_view path) const
    -> std::optional<RouteMatch> {
  host = host.substr(0, host.find(':'));
  for (const auto& route : this->routes) {
    if (route.host == host && path.starts_with(route.path_prefix)) {
      return RouteMatch{&route,
                        std::string(path.substr(route.path_prefix.size()))};
    }
  }
  return std::nullopt;
}

auto AccessTable::FindOwner(const std::string& key) const
    -> std::optional<OrganisationId> {
  const auto found = this->keys.find(key);
  if (found == this->keys.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace shallotbank::cell
