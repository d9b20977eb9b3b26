#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "cell/peer_directory.h"
#include "cell/standby_role.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPeer = "10.0.0.2:1";

struct Directory {
  auto Announce(const std::string& host, const std::string& endpoint) -> void {
    this->peers.OnAnnouncement(
        host,
        EncodeAnnouncement(
            {endpoint, "process", std::to_string(this->signs++), std::nullopt}),
        this->clock.Now());
  }
  auto IsReachable(const std::string& endpoint) const -> bool {
    const auto all = this->peers.Reachable(this->clock.Now());
    return std::find(all.begin(), all.end(), endpoint) != all.end();
  }

  ManualClock clock;
  PeerDirectory peers{"h1", "10.0.0.1:1", {}};
  int signs = 0;
};

struct FailureCase {
  const char* name;
  int failures;
  milliseconds later;
  bool announces;  ///< After the failures.
  bool is_reachable;
};

// An unreachable peer must not be called repeatedly, because each attempt
// delays a request.
BOOST_AUTO_TEST_CASE(failed_peers_are_retried_after_an_announcement) {
  const FailureCase cases[] = {
      {"no failure", 0, milliseconds(0), false, true},
      {"just failed", 1, milliseconds(100), false, false},
      {"one failure may be a lost packet", 1, milliseconds(600), false, true},
      {"still down", 2, seconds(3), false, false},
      {"it announces itself", 2, seconds(3), true, true},
      {"no announcements get through", 2, milliseconds(5100), false, true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      Directory hosts;
      hosts.Announce("h2", kPeer);
      hosts.clock.Advance(milliseconds(10));
      for (int i = 0; i < test_case.failures; i++) {
        hosts.peers.OnFailure(kPeer, /*is_unanswered=*/true, hosts.clock.Now());
      }
      hosts.clock.Advance(test_case.later);
      if (test_case.announces) {
        hosts.Announce("h2", kPeer);
      }
      BOOST_TEST(hosts.IsReachable(kPeer) == test_case.is_reachable);
    }
  }
}

struct IsolationCase {
  const char* name;
  int unresponsive;  ///< Of three peers, those that do not respond.
  /// Peers whose host refuses connections, because the process has ended.
  int refused;
  bool is_isolated;
};

// A leader to which most hosts do not respond releases leadership. Hosts whose
// processes were killed refuse connections, which is no evidence of a broken
// network.
BOOST_AUTO_TEST_CASE(only_silence_isolates) {
  const IsolationCase cases[] = {
      {"all answer", 0, 0, false},
      {"one is silent", 1, 0, false},
      {"most are silent", 2, 0, true},
      {"most refuse", 0, 2, false},
      {"one is silent, the others refuse", 1, 2, false},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      Directory hosts;
      const std::string endpoints[] = {"10.0.0.2:1", "10.0.0.3:1",
                                       "10.0.0.4:1"};
      for (const auto& endpoint : endpoints) {
        hosts.Announce("h" + endpoint, endpoint);
      }
      for (int i = 0; i < test_case.unresponsive + test_case.refused; i++) {
        for (int failure = 0; failure < 2; failure++) {
          hosts.peers.OnFailure(endpoints[i], i < test_case.unresponsive,
                                hosts.clock.Now());
        }
      }
      BOOST_TEST(hosts.peers.IsIsolated(hosts.clock.Now()) ==
                 test_case.is_isolated);
    }
  }
}

BOOST_AUTO_TEST_CASE(own_and_malformed_announcements_name_no_peer) {
  Directory hosts;
  hosts.Announce("h1", "10.0.0.1:1");
  hosts.peers.OnAnnouncement("h3", "{\"endpoint\":7}", hosts.clock.Now());
  hosts.peers.OnAnnouncement("h4", "", hosts.clock.Now());
  BOOST_TEST(hosts.peers.Reachable(hosts.clock.Now()).empty());
}

// A host that has just restarted may claim leadership before the others read
// its new announcement. They must not take its process for an ended one.
BOOST_AUTO_TEST_CASE(a_process_has_ended_once_a_later_one_is_announced) {
  Directory hosts;
  const auto announce = [&hosts](const std::string& process) {
    hosts.peers.OnAnnouncement(
        "h2", EncodeAnnouncement({kPeer, process, "", std::nullopt}),
        hosts.clock.Now());
  };
  BOOST_TEST(!hosts.peers.HasEnded("h2", "first"));
  announce("first");
  BOOST_TEST(!hosts.peers.HasEnded("h2", "first"));
  BOOST_TEST(!hosts.peers.HasEnded("h2", "second"));
  announce("second");
  BOOST_TEST(hosts.peers.HasEnded("h2", "first"));
  BOOST_TEST(!hosts.peers.HasEnded("h2", "second"));
  announce("first");  // Stored late.
  BOOST_TEST(!hosts.peers.HasEnded("h2", "second"));
}

constexpr HostCapacity kLarge{500, 200'000};
constexpr HostCapacity kSmall{120, 20'000};

auto EndpointOf(int host) -> std::string {
  return "10.0.1." + std::to_string(host) + ":1";
}

/// The first `large` hosts of a cell are much larger than the others.
struct StandbyCase {
  const char* name;
  int large;
  int small;
  /// Calls to the first this many hosts have failed.
  int failed;
};

auto CapacityOf(const StandbyCase& test_case, int host) -> HostCapacity {
  return host < test_case.large ? kLarge : kSmall;
}

/// What the host `own` knows of its peers.
auto ViewOf(const StandbyCase& test_case, int own, TimePoint now)
    -> PeerDirectory {
  PeerDirectory peers("h" + std::to_string(own), EndpointOf(own), {});
  for (int host = 0; host < test_case.large + test_case.small; host++) {
    Announcement announcement{EndpointOf(host), "process", "sign",
                              std::nullopt};
    announcement.capacity = CapacityOf(test_case, host);
    peers.OnAnnouncement("h" + std::to_string(host),
                         EncodeAnnouncement(announcement), now);
    if (host < test_case.failed) {
      peers.OnFailure(EndpointOf(host), /*is_unanswered=*/true, now);
    }
  }
  return peers;
}

// Hosts that disagree make too many standbys, or none.
BOOST_AUTO_TEST_CASE(hosts_agree_on_the_order_of_standbys) {
  constexpr std::size_t kFirst = 5;
  const StandbyCase cases[] = {
      {"alike", 0, 40, 0},
      {"some large ones", 18, 79, 0},
      {"all large ones failed", 18, 40, 18},
      {"few", 1, 2, 0},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const ManualClock clock;
      const int count = test_case.large + test_case.small;
      std::map<std::size_t, int> hosts_by_rank;
      for (int own = test_case.failed; own < count; own++) {
        const auto rank =
            ViewOf(test_case, own, clock.Now())
                .StandbyRank(CapacityOf(test_case, own), clock.Now());
        BOOST_TEST(hosts_by_rank.emplace(rank, own).second);
        BOOST_TEST((own < test_case.large) ==
                   (rank + static_cast<std::size_t>(test_case.failed) <
                    static_cast<std::size_t>(test_case.large)));
      }
      std::vector<std::string> first;
      for (const auto& [rank, host] : hosts_by_rank) {
        if (first.size() < kFirst) {
          first.push_back(EndpointOf(host));
        }
      }
      std::sort(first.begin(), first.end());
      const auto last = hosts_by_rank.rbegin()->second;
      std::erase(first, EndpointOf(last));
      BOOST_TEST(ViewOf(test_case, last, clock.Now())
                     .FirstStandbys(kFirst, clock.Now()) == first);
    }
  }
}

struct RoleCase {
  const char* name;
  std::vector<std::size_t> ranks;
  bool is_standby;
};

BOOST_AUTO_TEST_CASE(few_hosts_are_standbys) {
  const RoleCase cases[] = {
      {"at the start", {}, true},
      {"first", {0}, true},
      {"among the first", {kMaxStandbyRank - 1}, true},
      {"far behind", {kMaxStandbyRank}, false},
      {"no longer far behind", {kMaxStandbyRank, kStandbys}, false},
      {"among the first again", {kMaxStandbyRank, kStandbys - 1}, true},
      {"a little behind again",
       {kMaxStandbyRank, kStandbys - 1, kStandbys + 1},
       true},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      StandbyRole role;
      for (const auto rank : test_case.ranks) {
        role.Update(rank);
      }
      BOOST_TEST(role.IsStandby() == test_case.is_standby);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
