#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace shallotbank::cell {

/// A host announces itself this often.
inline constexpr std::chrono::seconds kAnnounceInterval{3};

/// What a host announces in the store.
struct Announcement {
  std::string endpoint;
  std::string process;
  std::string sign;  ///< Differs in each announcement.
  /// The host's way to the store and back; empty until it was measured.
  std::optional<std::chrono::microseconds> store_latency;
};

auto EncodeAnnouncement(const Announcement& announcement) -> std::string;
auto DecodeAnnouncement(const std::string& bytes)
    -> std::optional<Announcement>;

/// The other hosts, as announced in the store and named as seeds.
class PeerDirectory {
 public:
  PeerDirectory(std::string own_host,
                std::string own_endpoint,
                const std::vector<std::string>& seeds);

  /// What the store holds as the announcement of `host`.
  auto OnAnnouncement(const std::string& host,
                      const std::string& bytes,
                      TimePoint now) -> void;
  /// A call to the peer failed or succeeded. A failure is silent if nothing
  /// came back at all; a refused connection shows that its host is reached.
  auto OnFailure(const std::string& endpoint, bool is_silent, TimePoint now)
      -> void;
  auto OnSuccess(const std::string& endpoint) -> void;

  /// The process that the host announced last; empty if none was seen.
  auto ProcessOf(const std::string& host) const -> std::string;

  /// Where the host listens for its peers; empty if it is not believed to
  /// answer or another process than `process` runs there now.
  auto EndpointOf(const std::string& host,
                  const std::string& process,
                  TimePoint now) const -> std::string;

  /// The shortest way to the store among the peers that answer.
  auto BestStoreLatency(TimePoint now) const
      -> std::optional<std::chrono::microseconds>;

  /// Whether most of the hosts that announce themselves do not answer.
  auto IsIsolated(TimePoint now) const -> bool;

  /// Endpoints of the peers that are believed to answer, without this host.
  auto Reachable(TimePoint now) const -> std::vector<std::string>;

 private:
  struct Peer;
  auto IsTrusted(const Peer& peer, TimePoint now) const -> bool;

  struct Peer {
    std::string value;
    TimePoint changed_at;
    TimePoint failed_at;
    TimePoint failed_until;
    int failures = 0;
    int silent_failures = 0;
    bool is_seed = false;
    std::optional<std::chrono::microseconds> store_latency;
  };

  const std::string own_host;
  const std::string own_endpoint;
  std::map<std::string, std::string> processes;  ///< By host.
  std::map<std::string, std::string> endpoints;  ///< By host.
  std::map<std::string, Peer> peers;             ///< By endpoint.
};

}  // namespace shallotbank::cell
