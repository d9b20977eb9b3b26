#include "cell/host_capacity.h"

#include <ostream>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell/peer_directory.h"

namespace shallotbank::cell {
namespace {

struct Case {
  const char* name;
  HostCapacity host;
  HostCapacity other;
  bool is_much_larger;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Case> kCases{
    {"larger in both", {500, 200'000}, {120, 10'000}, true},
    {"more processor time, same link", {500, 10'000}, {120, 10'000}, true},
    {"same processor time, faster link", {500, 200'000}, {500, 10'000}, true},
    {"more processor time, slower link", {500, 10'000}, {120, 200'000}, false},
    {"more processor time, slightly slower link",
     {500, 198'000},
     {120, 200'000},
     true},
    {"faster link, slightly less processor time",
     {490, 200'000},
     {500, 10'000},
     true},
    {"more processor time, unknown link", {500, 0}, {120, 200'000}, true},
    {"more processor time, other link unknown", {500, 200'000}, {120, 0}, true},
    {"equal", {250, 1'000'000}, {250, 1'000'000}, false},
    {"slightly larger", {300, 1'000'000}, {250, 1'000'000}, false},
    {"unknown host", {0, 0}, {250, 1'000'000}, false},
    {"unknown other", {250, 1'000'000}, {0, 0}, false},
};

BOOST_DATA_TEST_CASE(ComparesCapacities, kCases, c) {
  BOOST_TEST(IsMuchLarger(c.host, c.other) == c.is_much_larger);
  BOOST_TEST(!(IsMuchLarger(c.host, c.other) && IsMuchLarger(c.other, c.host)));
}

// Guards against a leader that yields to a larger host that does not respond.
BOOST_AUTO_TEST_CASE(OnlyRespondingPeersCountAsLarger) {
  constexpr HostCapacity kSmall{120, 10'000};
  constexpr HostCapacity kLarge{500, 200'000};
  const auto announce = [&](const char* sign) {
    return EncodeAnnouncement({"peer:1", "p", sign, std::nullopt, kLarge});
  };
  ManualClock clock;
  PeerDirectory peers("own", "own:1", {});
  BOOST_TEST(!peers.HasLargerPeer(kSmall, clock.Now()));
  peers.OnAnnouncement("peer", announce("1"), clock.Now());
  BOOST_TEST(peers.HasLargerPeer(kSmall, clock.Now()));
  BOOST_TEST(!peers.HasLargerPeer(kLarge, clock.Now()));
  clock.Advance(std::chrono::milliseconds(1));
  peers.OnFailure("peer:1", true, clock.Now());
  BOOST_TEST(!peers.HasLargerPeer(kSmall, clock.Now()));
  clock.Advance(kAnnounceInterval);
  peers.OnAnnouncement("peer", announce("2"), clock.Now());
  BOOST_TEST(peers.HasLargerPeer(kSmall, clock.Now()));
  clock.Advance(std::chrono::seconds(10));
  BOOST_TEST(!peers.HasLargerPeer(kSmall, clock.Now()));
}

}  // namespace
}  // namespace shallotbank::cell
