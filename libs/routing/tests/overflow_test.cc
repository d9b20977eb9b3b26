#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

namespace data = boost::unit_test::data;

struct OverflowCase {
  const char* name = "";
  int minions = 1;  // With one slot, which is in use.
  int peer_free = 0;
  int peer_queue = 0;
  int room_age = 0;  // Milliseconds.
  bool forwarded = false;
  int deadline = 1000;  // Milliseconds.
  bool overflows = false;
};

auto operator<<(std::ostream& out, const OverflowCase& test) -> std::ostream& {
  return out << test.name;
}

const std::vector<OverflowCase> kCases = {
    {"own slots taken, peer has room", 1, 1, 5, 0, false, 1000, true},
    {"own slots free", 2, 1, 5, 0, false, 1000, false},
    {"peer has only a queue", 1, 0, 5, 0, false, 1000, false},
    {"no own minions, peer has only a queue", 0, 0, 5, 0, false, 1000, true},
    {"room is old", 1, 1, 5, 1001, false, 1000, false},
    {"second hop", 1, 1, 5, 0, true, 1000, false},
    {"no time for the hop", 1, 1, 5, 0, false, 3, false},
};

auto UpdatePeer(RouterFixture& fixture,
                const char* peer,
                const char* domain,
                int free,
                int queue) -> Actions {
  return fixture.router.UpdatePeer(
      PeerRoom{.peer = ProcessId(peer),
               .domain = FailureDomain(domain),
               .services = {{ServiceName("oficina"), free, queue}}},
      fixture.clock.Now());
}

// Guards against a request that waits while a peer has room, travels in
// circles, or goes to a peer without room.
BOOST_DATA_TEST_CASE(OverflowsOnlyToRoom, data::make(kCases), test) {
  std::vector<Minion> minions;
  for (int k = 0; k < test.minions; ++k) {
    minions.push_back(MakeMinion(k, 1));
  }
  RouterFixture fixture(minions);
  if (test.minions > 0) {
    fixture.Submit(fixture.MakeRequest(std::chrono::seconds(5)));
  }
  UpdatePeer(fixture, "p", "b", test.peer_free, test.peer_queue);
  fixture.clock.Advance(Ms(test.room_age));
  auto request = fixture.MakeRequest(Ms(test.deadline));
  request.forwarded = test.forwarded;
  const auto actions = fixture.Submit(request);
  BOOST_TEST((FindAction<Overflow>(actions) != nullptr) == test.overflows);
}

// Guards against more requests than the peer has room for, a peer far away
// taken before a near one, and a refusal by a peer that loses the request.
BOOST_AUTO_TEST_CASE(PeerRefusalBringsTheRequestBack) {
  RouterFixture fixture({MakeMinion(0, 1)});
  const auto first = fixture.Submit(fixture.MakeRequest());
  UpdatePeer(fixture, "far", "b", 5, 0);
  UpdatePeer(fixture, "near", "a", 1, 0);
  const auto actions = fixture.Submit(fixture.MakeRequest());
  const auto* overflow = FindAction<Overflow>(actions);
  BOOST_REQUIRE((overflow != nullptr));
  BOOST_TEST(overflow->peer == ProcessId("near"));
  const auto next = fixture.Submit(fixture.MakeRequest());
  BOOST_TEST(FindAction<Overflow>(next)->peer == ProcessId("far"));
  const auto back =
      fixture.Complete(overflow->attempt, Outcome{.verdict = Verdict::kNotRun});
  BOOST_TEST((FindAction<Queue>(back) != nullptr));
  const auto freed =
      fixture.Complete(FindAction<Dispatch>(first)->attempt, Good());
  BOOST_TEST((FindAction<Dispatch>(freed) != nullptr));
}

// Guards against requests that keep waiting when a peer reports new room.
BOOST_AUTO_TEST_CASE(WaitingRequestsUseNewRoom) {
  RouterFixture fixture({MakeMinion(0, 1)});
  fixture.Submit(fixture.MakeRequest());
  fixture.Submit(fixture.MakeRequest());
  fixture.Submit(fixture.MakeRequest());
  const auto actions = UpdatePeer(fixture, "p", "b", 1, 0);
  BOOST_TEST(actions.size() == 1U);
  BOOST_TEST(fixture.router.QueueSize(ServiceName("oficina")) == 1U);
  const auto room = fixture.router.FreeRoom(fixture.clock.Now());
  BOOST_TEST(
      (room == std::vector<ServiceRoom>{{ServiceName("oficina"), 0, 999}}));
}

}  // namespace
}  // namespace shallotbank::routing
