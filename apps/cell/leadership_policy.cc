#include "leadership_policy.h"

#include <algorithm>
#include <functional>

namespace shallotbank::cell {
namespace {

/// Leadership claims of hosts at the same distance from the store are spread
/// over this time.
constexpr std::chrono::milliseconds kClaimSpread(30);
/// A host waits for this multiple of its round trip to the store before it
/// claims leadership, so that the nearest host wins by more than the network
/// jitter.
constexpr int kClaimDelayFactor = 5;
constexpr std::chrono::seconds kMinLeadershipTime(3);
/// A host that knows a much larger one, or that is no standby, waits this much
/// longer before it claims leadership, so that the others win from any failure
/// domain.
constexpr std::chrono::milliseconds kSmallHostDelay(300);
constexpr std::chrono::milliseconds kClaimDelayInterval(100);
/// If no larger host takes over after a release, this host leads for at least
/// this time before it releases leadership for that reason again.
constexpr std::chrono::seconds kSizeYieldInterval(20);

auto ClaimSpreadOf(const std::string& host) -> Duration {
  constexpr std::size_t kSteps = 16;
  return kClaimSpread * (std::hash<std::string>{}(host) % kSteps) / kSteps;
}

}  // namespace

LeadershipPolicy::LeadershipPolicy(Runtime& runtime,
                                   StoreGateway& store,
                                   PeerDirectory& peers,
                                   Election& election)
    : runtime(runtime), store(store), peers(peers), election(election) {}

auto LeadershipPolicy::InitialClaimDelay() -> Duration {
  return kMaxNormalLatency * kClaimDelayFactor;
}

auto LeadershipPolicy::CheckRelease(TimePoint now)
    -> std::optional<std::string> {
  const bool is_isolated = this->peers.IsIsolated(now);
  const bool is_impaired = this->store.IsImpaired(now);
  this->election.SetHandicap(is_isolated || is_impaired);
  const auto& leader_host = this->election.LeaderHost();
  if (!leader_host.empty() && leader_host != this->runtime.host.host) {
    this->yielded_to_larger_at = TimePoint();
  }
  if (!this->election.IsLeader()) {
    return std::nullopt;
  }
  if (is_isolated) {
    // A leader depends on the other hosts for most of its work.
    return "isolated";
  }
  if (is_impaired) {
    // This host reaches the store only through peers, so any of them is a
    // better leader.
    return "store-out-of-reach";
  }
  if (this->ShouldYieldToLargerPeer(now)) {
    this->yielded_to_larger_at = now;
    return "small-host";
  }
  if (this->IsPeerNearerToStore(now)) {
    return "far-from-store";
  }
  return std::nullopt;
}

auto LeadershipPolicy::ShouldYieldToLargerPeer(TimePoint now) const -> bool {
  const bool has_tried_lately =
      this->yielded_to_larger_at != TimePoint() &&
      now - this->yielded_to_larger_at < kSizeYieldInterval;
  return now - this->leading_since > kMinLeadershipTime && !has_tried_lately &&
         this->peers.HasLargerPeer(this->runtime.host.capacity, now);
}

auto LeadershipPolicy::IsPeerNearerToStore(TimePoint now) const -> bool {
  const auto best =
      this->peers.BestStoreLatency(this->runtime.host.capacity, now);
  return best && now - this->leading_since > kMinLeadershipTime &&
         this->distance.IsMuchFartherThan(*best);
}

auto LeadershipPolicy::UpdateClaimDelay(bool is_standby, TimePoint now)
    -> void {
  if (now < this->next_claim_delay_update) {
    return;
  }
  this->next_claim_delay_update = now + kClaimDelayInterval;
  this->has_larger_peer =
      this->peers.HasLargerPeer(this->runtime.host.capacity, now);
  const auto capped_latency = std::min<Duration>(
      this->StoreLatency().value_or(kMaxNormalLatency), kMaxNormalLatency);
  this->election.SetClaimDelay(capped_latency * kClaimDelayFactor +
                               ClaimSpreadOf(this->runtime.host.host) +
                               (this->has_larger_peer || !is_standby
                                    ? Duration(kSmallHostDelay)
                                    : Duration()));
}

}  // namespace shallotbank::cell
