#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

namespace data = boost::unit_test::data;

struct OverflowCase {
  const char* name = "";
  int minions = 1;  // One slot each; one slot is in use.
  int peer_free = 0;
  int peer_queue = 0;
  int capacity_age = 0;  // Milliseconds.
  bool forwarded = false;
  int deadline = 1000;  // Milliseconds.
  bool overflows = false;
};

auto operator<<(std::ostream& out, const OverflowCase& test) -> std::ostream& {
  return out << test.name;
}

const std::vector<OverflowCase> kCases = {
    {"local slots in use, peer has room", 1, 1, 5, 0, false, 1000, true},
    {"local slots free", 2, 1, 5, 0, false, 1000, false},
    {"peer has only queue positions", 1, 0, 5, 0, false, 1000, false},
    {"no local minions, peer has only queue positions", 0, 0, 5, 0, false, 1000,
     true},
    {"reported room is old", 1, 1, 5, 1001, false, 1000, false},
    {"request was already forwarded", 1, 1, 5, 0, true, 1000, false},
    {"deadline too short for the hop", 1, 1, 5, 0, false, 3, false},
};

auto UpdatePeer(RouterFixture& fixture,
                const char* peer,
                const char* domain,
                int free,
                int queue) -> Actions {
  return fixture.router.UpdatePeer(
      PeerCapacity{.peer = ProcessId(peer),
                   .domain = FailureDomain(domain),
                   .services = {{ServiceName("oficina"), free, queue}}},
      fixture.clock.Now());
}

// Guards against a request that stays queued while a peer has free slots, that
// is forwarded in a loop, or that goes to a peer without free capacity.
BOOST_DATA_TEST_CASE(OverflowsOnlyToPeersWithFreeCapacity,
                     data::make(kCases),
                     test) {
  std::vector<Minion> minions;
  for (int k = 0; k < test.minions; ++k) {
    minions.push_back(MakeMinion(k, 1));
  }
  RouterFixture fixture(minions);
  if (test.minions > 0) {
    fixture.Submit(fixture.MakeRequest(std::chrono::seconds(5)));
  }
  UpdatePeer(fixture, "p", "b", test.peer_free, test.peer_queue);
  fixture.clock.Advance(Ms(test.capacity_age));
  auto request = fixture.MakeRequest(Ms(test.deadline));
  request.forwarded = test.forwarded;
  const auto actions = fixture.Submit(request);
  BOOST_TEST((FindAction<Overflow>(actions) != nullptr) == test.overflows);
}

// Guards against forwarding more requests than a peer has free slots, against
// preferring a peer in another failure domain, and against losing a request
// that a peer refused.
BOOST_AUTO_TEST_CASE(RequeuesRequestRefusedByPeer) {
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
  const auto freed = fixture.Complete(FindAction<Dispatch>(first)->attempt,
                                      SuccessfulOutcome());
  BOOST_TEST((FindAction<Dispatch>(freed) != nullptr));
}

// Guards against requests that stay queued when a peer reports free slots.
BOOST_AUTO_TEST_CASE(QueuedRequestsUseNewPeerCapacity) {
  RouterFixture fixture({MakeMinion(0, 1)});
  fixture.Submit(fixture.MakeRequest());
  fixture.Submit(fixture.MakeRequest());
  fixture.Submit(fixture.MakeRequest());
  const auto actions = UpdatePeer(fixture, "p", "b", 1, 0);
  BOOST_TEST(actions.size() == 1U);
  BOOST_TEST(fixture.router.QueueSize(ServiceName("oficina")) == 1U);
  const auto capacity = fixture.router.FreeCapacity(fixture.clock.Now());
  BOOST_TEST((capacity ==
              std::vector<ServiceCapacity>{{ServiceName("oficina"), 0, 999}}));
}

}  // namespace
}  // namespace shallotbank::routing
