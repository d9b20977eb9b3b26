#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/host_capacity.h"

namespace shallotbank::cell {

/// How often a host announces itself.
inline constexpr std::chrono::seconds kAnnounceInterval{3};

/// A host's announcement in the store.
struct Announcement {
  std::string endpoint;
  std::string process;
  std::string sign;  ///< Unique per announcement.
  /// Round-trip time from the host to the store; empty until it was measured.
  std::optional<std::chrono::microseconds> store_latency;
  HostCapacity capacity;
};

auto EncodeAnnouncement(const Announcement& announcement) -> std::string;
auto DecodeAnnouncement(const std::string& bytes)
    -> std::optional<Announcement>;

/// The other hosts, known from announcements in the store and from the list of
/// seeds.
class PeerDirectory {
 public:
  PeerDirectory(std::string own_host,
                std::string own_endpoint,
                const std::vector<std::string>& seeds);

  /// Handles the stored announcement of `host`.
  auto OnAnnouncement(const std::string& host,
                      const std::string& bytes,
                      TimePoint now) -> void;
  /// Record the result of a call to the peer. `is_unanswered` means that the
  /// peer sent nothing at all; a refused connection shows that its host is
  /// reachable.
  auto OnFailure(const std::string& endpoint, bool is_unanswered, TimePoint now)
      -> void;
  auto OnSuccess(const std::string& endpoint) -> void;

  /// Returns whether the host has announced another process after this one. A
  /// process that was never announced may be newer than the announcement.
  auto HasEnded(const std::string& host, const std::string& process) const
      -> bool;

  /// Returns the host's peer endpoint; empty if the host is considered
  /// unreachable or another process than `process` now runs there.
  auto EndpointOf(const std::string& host,
                  const std::string& process,
                  TimePoint now) const -> std::string;

  /// Returns the shortest store round trip among the responding peers that are
  /// not much smaller than `own`.
  auto BestStoreLatency(const HostCapacity& own, TimePoint now) const
      -> std::optional<std::chrono::microseconds>;

  /// Returns whether a responding peer is much larger than `own`.
  auto HasLargerPeer(const HostCapacity& own, TimePoint now) const -> bool;

  /// Returns how many responding peers come before this host in the order in
  /// which hosts are standbys: much larger hosts first, those of about the same
  /// size in an order that mixes the failure domains.
  auto StandbyRank(const HostCapacity& own, TimePoint now) const -> std::size_t;
  /// Returns the endpoints of the first `count` responding peers in that order
  /// that are considered reachable.
  auto FirstStandbys(std::size_t count, TimePoint now) const
      -> std::vector<std::string>;

  /// Returns whether more than half of the hosts with current announcements do
  /// not respond.
  auto IsIsolated(TimePoint now) const -> bool;

  /// Returns the endpoints of the peers that are considered reachable, without
  /// this host.
  auto Reachable(TimePoint now) const -> std::vector<std::string>;

  auto IsEndpointReachable(const std::string& endpoint, TimePoint now) const
      -> bool;

  /// Returns what the peer announced; zeros if none was seen.
  auto CapacityOf(const std::string& endpoint) const -> HostCapacity;

  /// Returns the endpoints of the responding peers that are not much smaller
  /// than `own`.
  auto ReachableOfSize(const HostCapacity& own, TimePoint now) const
      -> std::vector<std::string>;

 private:
  struct Peer;
  /// Whether the peer's announcement is current and no call to it has failed
  /// since.
  static auto IsResponding(const Peer& peer, TimePoint now) -> bool;
  auto IsReachable(const Peer& peer, TimePoint now) const -> bool;

  struct Peer {
    std::string announcement_bytes;
    TimePoint announced_at;
    TimePoint failed_at;
    TimePoint retry_at;
    int failures = 0;
    int unanswered_failures = 0;
    bool is_seed = false;
    std::optional<std::chrono::microseconds> store_latency;
    HostCapacity capacity;
  };

  const std::string own_host;
  const std::string own_endpoint;
  /// Latest announced process, by host.
  std::map<std::string, std::string> processes;
  /// Processes that were announced before it; the oldest first.
  std::map<std::string, std::deque<std::string>> ended_processes;
  std::map<std::string, std::string> endpoints;  ///< By host.
  std::map<std::string, Peer> peers;             ///< By endpoint.
};

}  // namespace shallotbank::cell
