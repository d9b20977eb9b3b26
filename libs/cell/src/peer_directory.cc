#include "cell/peer_directory.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace shallotbank::cell {
namespace {

/// Announcements are this old at most on a host that runs: three intervals.
constexpr std::chrono::seconds kSilentAfter(9);
/// Pause after a failed call, times the number of failures in a row.
constexpr std::chrono::milliseconds kFailurePause(500);
constexpr int kMaxFailuresCounted = 6;
/// Failed calls in a row after which a peer counts as out of reach.
constexpr int kFailuresToDoubt = 2;
/// Without a sign of life a peer is tried again after this time: announcements
/// do not get through either while the store is away.
constexpr std::chrono::seconds kTryAnyway(5);
/// With fewer peers their failures are as likely their own.
constexpr std::size_t kFewestPeers = 2;

}  // namespace

auto EncodeAnnouncement(const Announcement& announcement) -> std::string {
  nlohmann::json json{{"endpoint", announcement.endpoint},
                      {"process", announcement.process},
                      {"sign", announcement.sign}};
  if (announcement.store_latency) {
    json["store_latency_us"] = announcement.store_latency->count();
  }
  return json.dump();
}

auto DecodeAnnouncement(const std::string& bytes)
    -> std::optional<Announcement> {
  try {
    const auto json = nlohmann::json::parse(bytes);
    Announcement announcement;
    announcement.endpoint = json.at("endpoint").get<std::string>();
    announcement.process = json.value("process", "");
    announcement.sign = json.value("sign", "");
    const auto latency = json.find("store_latency_us");
    if (latency != json.end()) {
      announcement.store_latency =
          std::chrono::microseconds(latency->get<std::int64_t>());
    }
    return announcement;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;  // A host that has left, or a record of others.
  }
}

PeerDirectory::PeerDirectory(std::string own_host,
                             std::string own_endpoint,
                             const std::vector<std::string>& seeds)
    : own_host(std::move(own_host)), own_endpoint(std::move(own_endpoint)) {
  for (const auto& seed : seeds) {
    if (seed != this->own_endpoint) {
      this->peers[seed].is_seed = true;
    }
  }
}

auto PeerDirectory::OnAnnouncement(const std::string& host,
                                   const std::string& bytes,
                                   TimePoint now) -> void {
  const auto announcement = DecodeAnnouncement(bytes);
  if (!announcement) {
    const auto endpoint = this->endpoints.extract(host);
    if (!endpoint.empty()) {
      this->peers[endpoint.mapped()].changed_at = TimePoint();
    }
    return;  // The host stops, or the record is not one of ours.
  }
  this->processes[host] = announcement->process;
  this->endpoints[host] = announcement->endpoint;
  if (host != this->own_host && announcement->endpoint != this->own_endpoint) {
    auto& peer = this->peers[announcement->endpoint];
    if (peer.value != bytes) {
      peer.value = bytes;
      peer.changed_at = now;
      peer.store_latency = announcement->store_latency;
    }
  }
  std::erase_if(this->peers, [now](const auto& entry) {
    return !entry.second.is_seed &&
           now - entry.second.changed_at > kSilentAfter * 10;
  });
}

auto PeerDirectory::OnFailure(const std::string& endpoint,
                              bool is_silent,
                              TimePoint now) -> void {
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    auto& peer = found->second;
    peer.failures = std::min(peer.failures + 1, kMaxFailuresCounted);
    peer.silent_failures += is_silent ? 1 : 0;
    peer.failed_at = now;
    peer.failed_until = now + kFailurePause * peer.failures;
  }
}

auto PeerDirectory::OnSuccess(const std::string& endpoint) -> void {
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    found->second.failures = 0;
    found->second.silent_failures = 0;
    found->second.failed_until = TimePoint();
  }
}

auto PeerDirectory::ProcessOf(const std::string& host) const -> std::string {
  const auto found = this->processes.find(host);
  return found == this->processes.end() ? "" : found->second;
}

auto PeerDirectory::EndpointOf(const std::string& host,
                               const std::string& process,
                               TimePoint now) const -> std::string {
  const auto endpoint = this->endpoints.find(host);
  if (endpoint == this->endpoints.end() || this->ProcessOf(host) != process) {
    return "";
  }
  const auto peer = this->peers.find(endpoint->second);
  return peer != this->peers.end() && this->IsTrusted(peer->second, now)
             ? endpoint->second
             : "";
}

auto PeerDirectory::BestStoreLatency(TimePoint now) const
    -> std::optional<std::chrono::microseconds> {
  std::optional<std::chrono::microseconds> best;
  for (const auto& [endpoint, peer] : this->peers) {
    const bool is_usable = peer.changed_at != TimePoint() &&
                           now - peer.changed_at < kSilentAfter &&
                           peer.failures == 0;
    if (is_usable && peer.store_latency &&
        (!best || *peer.store_latency < *best)) {
      best = peer.store_latency;
    }
  }
  return best;
}

auto PeerDirectory::IsIsolated(TimePoint now) const -> bool {
  std::size_t alive = 0;
  std::size_t failing = 0;
  for (const auto& [endpoint, peer] : this->peers) {
    const bool is_recent =
        peer.changed_at != TimePoint() && now - peer.changed_at < kSilentAfter;
    alive += is_recent ? 1 : 0;
    failing += is_recent && peer.silent_failures >= kFailuresToDoubt ? 1 : 0;
  }
  return alive >= kFewestPeers && failing * 2 > alive;
}

auto PeerDirectory::IsTrusted(const Peer& peer, TimePoint now) const -> bool {
  const bool is_recent =
      peer.changed_at != TimePoint() && now - peer.changed_at < kSilentAfter;
  if (now < peer.failed_until || (!is_recent && !peer.is_seed)) {
    return false;
  }
  // Each try of a host that is down costs some call its time, so only a sign
  // of life is followed by another.
  return peer.failures < kFailuresToDoubt || peer.changed_at > peer.failed_at ||
         now - peer.failed_at > kTryAnyway;
}

auto PeerDirectory::Reachable(TimePoint now) const -> std::vector<std::string> {
  std::vector<std::string> reachable;
  for (const auto& [endpoint, peer] : this->peers) {
    if (this->IsTrusted(peer, now)) {
      reachable.push_back(endpoint);
    }
  }
  return reachable;
}

}  // namespace shallotbank::cell
