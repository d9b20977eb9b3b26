#include "suspect_hosts.h"

#include <algorithm>

namespace shallotbank::http {
namespace {

/// libcurl compares whole seconds, so within this time it cannot distinguish a
/// connection made before a timeout from one made after it.
constexpr std::chrono::seconds kNewConnectionsOnly(2);

/// The scheme and authority of `url`.
auto Origin(std::string_view url) -> std::string {
  const auto scheme = url.find("://");
  const auto start = scheme == std::string_view::npos ? 0 : scheme + 3;
  return std::string(url.substr(0, url.find_first_of("/?#", start)));
}

}  // namespace

SuspectHosts::SuspectHosts(Duration max_connection_age)
    : max_age(std::max(
          std::chrono::seconds(1),
          std::chrono::floor<std::chrono::seconds>(max_connection_age))) {}

auto SuspectHosts::OnTimeout(std::string_view url, TimePoint now) -> void {
  std::erase_if(this->timeouts, [this, now](const auto& entry) {
    return now - entry.second > this->max_age + kNewConnectionsOnly;
  });
  this->timeouts[Origin(url)] = now;
}

auto SuspectHosts::Choose(std::string_view url,
                          bool is_idempotent,
                          TimePoint now) -> ConnectionPolicy {
  ConnectionPolicy policy{!is_idempotent, true, this->max_age};
  if (this->timeouts.empty()) {
    return policy;
  }
  const auto found = this->timeouts.find(Origin(url));
  if (found == this->timeouts.end()) {
    return policy;
  }
  const auto since =
      std::chrono::floor<std::chrono::seconds>(now - found->second);
  if (since < kNewConnectionsOnly) {
    policy.requires_new_connection = true;
    policy.is_reusable = false;
  } else {
    policy.max_age = std::min(policy.max_age, since - std::chrono::seconds(1));
  }
  return policy;
}

}  // namespace shallotbank::http
