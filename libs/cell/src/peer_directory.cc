#include "cell/peer_directory.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::cell {
namespace {

/// Maximum age of the announcement of a running host: three intervals.
constexpr std::chrono::seconds kAnnouncementTimeout(9);
/// Delay after a failed call, multiplied by the number of consecutive failures.
constexpr std::chrono::milliseconds kFailureDelay(500);
constexpr int kMaxFailuresCounted = 6;
/// Consecutive failed calls after which a peer is considered unreachable.
constexpr int kUnreachableFailures = 2;
/// An unreachable peer without a new announcement is retried after this time,
/// because announcements also fail to arrive during an outage of the store.
constexpr std::chrono::seconds kUnannouncedRetryDelay(5);
/// With fewer peers than this, their failures are as likely to be caused by the
/// peers themselves.
constexpr std::size_t kMinPeersForIsolation = 2;
/// Ended processes that are remembered for each host. Leadership is asked about
/// within seconds of an end.
constexpr std::size_t kMaxEndedProcesses = 8;

struct StandbyCandidate {
  std::string endpoint;
  HostCapacity capacity;
  std::size_t order = 0;  ///< Among hosts of about the same size.
};

auto MakeCandidate(const std::string& endpoint, const HostCapacity& capacity)
    -> StandbyCandidate {
  return {endpoint, capacity, std::hash<std::string>{}(endpoint)};
}

auto ComesBefore(const StandbyCandidate& one, const StandbyCandidate& other)
    -> bool {
  return IsMuchLarger(one.capacity, other.capacity) ||
         (!IsMuchLarger(other.capacity, one.capacity) &&
          one.order < other.order);
}

auto RankAmong(const std::vector<StandbyCandidate>& candidates,
               const StandbyCandidate& host) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [&host](const StandbyCandidate& candidate) {
                      return ComesBefore(candidate, host);
                    }));
}

}  // namespace

auto EncodeAnnouncement(const Announcement& announcement) -> std::string {
  nlohmann::json json{{"endpoint", announcement.endpoint},
                      {"process", announcement.process},
                      {"sign", announcement.sign},
                      {"cores_milli", announcement.capacity.cores_milli},
                      {"link_kbits", announcement.capacity.link_kbits}};
  if (announcement.store_latency) {
    json["store_latency_us"] = announcement.store_latency->count();
  }
  return json.dump();
}

auto DecodeAnnouncement(const std::string& bytes)
    -> std::optional<Announcement> {
  try {
    const auto document = json::Parse(bytes);
    Announcement announcement;
    announcement.endpoint = document.at("endpoint").get<std::string>();
    announcement.process = document.value("process", "");
    announcement.sign = document.value("sign", "");
    announcement.capacity = {document.value("cores_milli", std::int64_t{0}),
                             document.value("link_kbits", std::int64_t{0})};
    const auto latency = document.find("store_latency_us");
    if (latency != document.end()) {
      announcement.store_latency =
          std::chrono::microseconds(latency->get<std::int64_t>());
    }
    return announcement;
  } catch (const nlohmann::json::exception&) {
    // The host has left, or the record is not an announcement.
    return std::nullopt;
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
      this->peers[endpoint.mapped()].announced_at = TimePoint();
    }
    return;  // The host is stopping, or the record is not an announcement.
  }
  if (this->HasEnded(host, announcement->process)) {
    return;  // Stored late, after that of the next process.
  }
  auto& process = this->processes[host];
  if (process != announcement->process) {
    if (!process.empty()) {
      auto& ended = this->ended_processes[host];
      ended.push_back(process);
      if (ended.size() > kMaxEndedProcesses) {
        ended.pop_front();
      }
    }
    process = announcement->process;
  }
  this->endpoints[host] = announcement->endpoint;
  if (host != this->own_host && announcement->endpoint != this->own_endpoint) {
    auto& peer = this->peers[announcement->endpoint];
    if (peer.announcement_bytes != bytes) {
      peer.announcement_bytes = bytes;
      peer.announced_at = now;
      peer.store_latency = announcement->store_latency;
      peer.capacity = announcement->capacity;
    }
  }
  std::erase_if(this->peers, [now](const auto& entry) {
    return !entry.second.is_seed &&
           now - entry.second.announced_at > kAnnouncementTimeout * 10;
  });
}

auto PeerDirectory::OnFailure(const std::string& endpoint,
                              bool is_unanswered,
                              TimePoint now) -> void {
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    auto& peer = found->second;
    peer.failures = std::min(peer.failures + 1, kMaxFailuresCounted);
    peer.unanswered_failures += is_unanswered ? 1 : 0;
    peer.failed_at = now;
    peer.retry_at = now + kFailureDelay * peer.failures;
  }
}

auto PeerDirectory::OnSuccess(const std::string& endpoint) -> void {
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    found->second.failures = 0;
    found->second.unanswered_failures = 0;
    found->second.retry_at = TimePoint();
  }
}

auto PeerDirectory::HasEnded(const std::string& host,
                             const std::string& process) const -> bool {
  const auto found = this->ended_processes.find(host);
  return found != this->ended_processes.end() &&
         std::find(found->second.begin(), found->second.end(), process) !=
             found->second.end();
}

auto PeerDirectory::EndpointOf(const std::string& host,
                               const std::string& process,
                               TimePoint now) const -> std::string {
  const auto endpoint = this->endpoints.find(host);
  const auto current = this->processes.find(host);
  if (endpoint == this->endpoints.end() || current == this->processes.end() ||
      current->second != process) {
    return "";
  }
  const auto peer = this->peers.find(endpoint->second);
  return peer != this->peers.end() && this->IsReachable(peer->second, now)
             ? endpoint->second
             : "";
}

auto PeerDirectory::IsResponding(const Peer& peer, TimePoint now) -> bool {
  return peer.announced_at != TimePoint() &&
         now - peer.announced_at < kAnnouncementTimeout &&
         (peer.failures == 0 || peer.announced_at > peer.failed_at);
}

auto PeerDirectory::BestStoreLatency(const HostCapacity& own,
                                     TimePoint now) const
    -> std::optional<std::chrono::microseconds> {
  std::optional<std::chrono::microseconds> best;
  for (const auto& [endpoint, peer] : this->peers) {
    const bool is_usable = IsResponding(peer, now) && peer.store_latency &&
                           !IsMuchLarger(own, peer.capacity);
    if (is_usable && (!best || *peer.store_latency < *best)) {
      best = peer.store_latency;
    }
  }
  return best;
}

auto PeerDirectory::HasLargerPeer(const HostCapacity& own, TimePoint now) const
    -> bool {
  return std::any_of(this->peers.begin(), this->peers.end(),
                     [&own, now](const auto& entry) {
                       return IsResponding(entry.second, now) &&
                              IsMuchLarger(entry.second.capacity, own);
                     });
}

auto PeerDirectory::StandbyRank(const HostCapacity& own, TimePoint now) const
    -> std::size_t {
  std::vector<StandbyCandidate> candidates;
  for (const auto& [endpoint, peer] : this->peers) {
    if (IsResponding(peer, now)) {
      candidates.push_back(MakeCandidate(endpoint, peer.capacity));
    }
  }
  return RankAmong(candidates, MakeCandidate(this->own_endpoint, own));
}

auto PeerDirectory::FirstStandbys(std::size_t count, TimePoint now) const
    -> std::vector<std::string> {
  std::vector<StandbyCandidate> candidates;
  for (const auto& [endpoint, peer] : this->peers) {
    if (IsResponding(peer, now) && this->IsReachable(peer, now)) {
      candidates.push_back(MakeCandidate(endpoint, peer.capacity));
    }
  }
  std::vector<std::string> first;
  for (const auto& candidate : candidates) {
    if (RankAmong(candidates, candidate) < count) {
      first.push_back(candidate.endpoint);
    }
  }
  return first;
}

auto PeerDirectory::IsIsolated(TimePoint now) const -> bool {
  std::size_t current = 0;
  std::size_t unresponsive = 0;
  for (const auto& [endpoint, peer] : this->peers) {
    const bool is_recent = peer.announced_at != TimePoint() &&
                           now - peer.announced_at < kAnnouncementTimeout;
    current += is_recent ? 1 : 0;
    unresponsive +=
        is_recent && peer.unanswered_failures >= kUnreachableFailures ? 1 : 0;
  }
  return current >= kMinPeersForIsolation && unresponsive * 2 > current;
}

auto PeerDirectory::IsReachable(const Peer& peer, TimePoint now) const -> bool {
  const bool is_recent = peer.announced_at != TimePoint() &&
                         now - peer.announced_at < kAnnouncementTimeout;
  if (now < peer.retry_at || (!is_recent && !peer.is_seed)) {
    return false;
  }
  // Each attempt to call a host that is down delays some request, so a peer
  // that failed repeatedly is retried only after a new announcement or a long
  // delay.
  return peer.failures < kUnreachableFailures ||
         peer.announced_at > peer.failed_at ||
         now - peer.failed_at > kUnannouncedRetryDelay;
}

auto PeerDirectory::Reachable(TimePoint now) const -> std::vector<std::string> {
  std::vector<std::string> reachable;
  for (const auto& [endpoint, peer] : this->peers) {
    if (this->IsReachable(peer, now)) {
      reachable.push_back(endpoint);
    }
  }
  return reachable;
}

auto PeerDirectory::IsEndpointReachable(const std::string& endpoint,
                                        TimePoint now) const -> bool {
  const auto found = this->peers.find(endpoint);
  return found != this->peers.end() && this->IsReachable(found->second, now);
}

auto PeerDirectory::CapacityOf(const std::string& endpoint) const
    -> HostCapacity {
  const auto found = this->peers.find(endpoint);
  return found == this->peers.end() ? HostCapacity() : found->second.capacity;
}

auto PeerDirectory::ReachableOfSize(const HostCapacity& own,
                                    TimePoint now) const
    -> std::vector<std::string> {
  std::vector<std::string> reachable;
  for (const auto& [endpoint, peer] : this->peers) {
    if (IsResponding(peer, now) && this->IsReachable(peer, now) &&
        !IsMuchLarger(own, peer.capacity)) {
      reachable.push_back(endpoint);
    }
  }
  return reachable;
}

}  // namespace shallotbank::cell
