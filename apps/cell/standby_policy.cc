#include "standby_policy.h"

#include <algorithm>
#include <functional>

#include "base/log.h"

namespace shallotbank::cell {
namespace {

constexpr std::chrono::milliseconds kUpdateInterval(1000);
/// Older announcements do not tell which hosts are up: this host may be cut
/// off. Twice the longest delay between two reads of them.
constexpr std::chrono::milliseconds kMaxPeersAge(3000);
/// A standby that serves no digest is not asked again for this time.
constexpr std::chrono::milliseconds kRefusedDelay(2000);

}  // namespace

StandbyPolicy::StandbyPolicy(Runtime& runtime, const PeerDirectory& peers)
    : runtime(runtime), peers(peers) {}

auto StandbyPolicy::Tick(TimePoint peers_read_at, TimePoint now) -> void {
  if (now < this->next_update) {
    return;
  }
  this->next_update = now + kUpdateInterval;
  if (now - peers_read_at < kMaxPeersAge && !this->peers.IsIsolated(now)) {
    const auto was_standby = this->role.IsStandby();
    const auto rank = this->peers.StandbyRank(this->runtime.host.capacity, now);
    this->role.Update(rank);
    if (this->role.IsStandby() != was_standby) {
      LogEvent(Event::kStandbyRole,
               {{"role", this->role.IsStandby() ? "standby" : "observer"},
                {"rank", std::to_string(rank)}});
    }
  }
  this->runtime.metrics.Set("cell_is_standby", this->IsStandby() ? 1 : 0);
  if (!this->IsStandby()) {
    this->ChooseSource(now);
  }
}

auto StandbyPolicy::ChooseSource(TimePoint now) -> void {
  std::erase_if(this->refused_until,
                [now](const auto& entry) { return now >= entry.second; });
  auto standbys = this->peers.FirstStandbys(kStandbys, now);
  std::erase_if(standbys, [this](const auto& endpoint) {
    return this->refused_until.contains(endpoint);
  });
  if (standbys.size() > 1) {
    std::erase(standbys, this->leader);
  }
  // Spreads the observers over the standbys. If a standby leaves, only its own
  // observers choose anew.
  const auto hash =
      [own = this->runtime.host.peers.Text()](const std::string& endpoint) {
        return std::hash<std::string>{}(own + ' ' + endpoint);
      };
  const auto chosen = std::max_element(
      standbys.begin(), standbys.end(),
      [&hash](const auto& a, const auto& b) { return hash(a) < hash(b); });
  this->source = chosen == standbys.end() ? "" : *chosen;
}

auto StandbyPolicy::DigestSource(TimePoint now) -> const std::string& {
  if (!this->source.empty() && !this->peers.IsEndpointReachable(source, now)) {
    this->ChooseSource(now);
  }
  return this->source;
}

auto StandbyPolicy::OnDigestRefused(const std::string& endpoint, TimePoint now)
    -> void {
  this->refused_until[endpoint] = now + kRefusedDelay;
  if (endpoint == this->source) {
    this->ChooseSource(now);
  }
}

}  // namespace shallotbank::cell
