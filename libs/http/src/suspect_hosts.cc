#include "suspect_hosts.h"

#include <algorithm>

namespace shallotbank::http {
namespace {

/// libcurl compares whole seconds, so within this time it cannot tell a
/// connection from before a timeout from one made after it.
constexpr std::chrono::seconds kFreshOnly(2);

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
    return now - entry.second > this->max_age + kFreshOnly;
  });
  this->timeouts[Origin(url)] = now;
}

auto SuspectHosts::Choose(std::string_view url,
                          bool is_idempotent,
                          TimePoint now) -> ConnectionChoice {
  ConnectionChoice choice{!is_idempotent, true, this->max_age};
  if (this->timeouts.empty()) {
    return choice;
  }
  const auto found = this->timeouts.find(Origin(url));
  if (found == this->timeouts.end()) {
    return choice;
  }
  const auto since =
      std::chrono::floor<std::chrono::seconds>(now - found->second);
  if (since < kFreshOnly) {
    choice.is_fresh = true;
    choice.is_kept_afterwards = false;
  } else {
    choice.max_age = std::min(choice.max_age, since - std::chrono::seconds(1));
  }
  return choice;
}

}  // namespace shallotbank::http
