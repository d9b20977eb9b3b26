#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell/peer_directory.h"

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

// A peer that is down must not be tried again and again: each try costs some
// call its time.
BOOST_AUTO_TEST_CASE(failed_peers_are_tried_after_a_sign_of_life) {
  const FailureCase cases[] = {
      {"no failure", 0, milliseconds(0), false, true},
      {"just failed", 1, milliseconds(100), false, false},
      {"one failure may be a lost packet", 1, milliseconds(600), false, true},
      {"still down", 2, seconds(3), false, false},
      {"it announces itself", 2, seconds(3), true, true},
      {"no announcements get through", 2, milliseconds(5100), false, true},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      Directory hosts;
      hosts.Announce("h2", kPeer);
      hosts.clock.Advance(milliseconds(10));
      for (int i = 0; i < one.failures; i++) {
        hosts.peers.OnFailure(kPeer, /*is_silent=*/true, hosts.clock.Now());
      }
      hosts.clock.Advance(one.later);
      if (one.announces) {
        hosts.Announce("h2", kPeer);
      }
      BOOST_TEST(hosts.IsReachable(kPeer) == one.is_reachable);
    }
  }
}

struct IsolationCase {
  const char* name;
  int silent;   ///< Peers of three that do not answer.
  int refused;  ///< Peers whose host refuses, because the process has ended.
  bool is_isolated;
};

// A leader that most hosts do not answer hands over. Hosts whose processes were
// killed say nothing about its links.
BOOST_AUTO_TEST_CASE(only_silence_isolates) {
  const IsolationCase cases[] = {
      {"all answer", 0, 0, false},
      {"one is silent", 1, 0, false},
      {"most are silent", 2, 0, true},
      {"most refuse", 0, 2, false},
      {"one is silent, the others refuse", 1, 2, false},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      Directory hosts;
      const std::string endpoints[] = {"10.0.0.2:1", "10.0.0.3:1",
                                       "10.0.0.4:1"};
      for (const auto& endpoint : endpoints) {
        hosts.Announce("h" + endpoint, endpoint);
      }
      for (int i = 0; i < one.silent + one.refused; i++) {
        for (int failure = 0; failure < 2; failure++) {
          hosts.peers.OnFailure(endpoints[i], i < one.silent,
                                hosts.clock.Now());
        }
      }
      BOOST_TEST(hosts.peers.IsIsolated(hosts.clock.Now()) == one.is_isolated);
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

}  // namespace
}  // namespace shallotbank::cell
