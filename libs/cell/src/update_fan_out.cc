#include "cell/update_fan_out.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotbank::cell {
namespace {

/// With no more hosts than this, each is called itself.
constexpr std::size_t kMaxDirectHosts = 6;
/// A host whose call failed does not pass on updates for this time.
constexpr std::chrono::seconds kFailureDelay(5);

auto CountMuchLarger(const std::vector<UpdateReceiver>& hosts,
                     const HostCapacity& capacity) -> std::ptrdiff_t {
  return std::count_if(hosts.begin(), hosts.end(),
                       [&capacity](const UpdateReceiver& other) {
                         return IsMuchLarger(other.capacity, capacity);
                       });
}

auto EachAlone(const std::vector<UpdateReceiver>& hosts)
    -> std::vector<UpdateGroup> {
  std::vector<UpdateGroup> groups;
  for (const auto& host : hosts) {
    groups.push_back({host.endpoint});
  }
  return groups;
}

}  // namespace

auto UpdateFanOut::Groups(const std::vector<UpdateReceiver>& hosts,
                          TimePoint now) -> std::vector<UpdateGroup> {
  std::erase_if(this->failed_at, [now](const auto& entry) {
    return now - entry.second >= kFailureDelay;
  });
  const auto count = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(hosts.size()))));
  // If no host answers, the caller is probably cut off. It finds that out
  // sooner if it calls all of them.
  if (hosts.size() <= kMaxDirectHosts || this->failures >= count) {
    return EachAlone(hosts);
  }
  using Rank = std::pair<bool, std::ptrdiff_t>;
  std::vector<std::pair<Rank, std::string>> ranked;
  for (const auto& host : hosts) {
    ranked.push_back({{this->failed_at.contains(host.endpoint),
                       CountMuchLarger(hosts, host.capacity)},
                      host.endpoint});
  }
  std::sort(ranked.begin(), ranked.end());
  const auto heads =
      std::min(count, static_cast<std::size_t>(std::count_if(
                          ranked.begin(), ranked.end(),
                          [](const auto& host) { return !host.first.first; })));
  const auto max_size = (hosts.size() + count - 1) / count;
  std::vector<UpdateGroup> groups(heads);
  for (std::size_t i = 0; i < ranked.size(); i++) {
    auto& endpoint = ranked[i].second;
    if (i < heads * max_size) {
      groups[i % heads].push_back(std::move(endpoint));
    } else {
      groups.push_back({std::move(endpoint)});
    }
  }
  return groups;
}

auto UpdateFanOut::OnSuccess(const std::string& endpoint) -> void {
  this->failures = 0;
  this->failed_at.erase(endpoint);
}

auto UpdateFanOut::OnFailure(const std::string& endpoint, TimePoint now)
    -> void {
  this->failures++;
  this->failed_at[endpoint] = now;
}

}  // namespace shallotbank::cell
