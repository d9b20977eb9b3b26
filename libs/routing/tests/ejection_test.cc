#include <algorithm>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

namespace data = boost::unit_test::data;

struct FaultCase {
  EjectionReason reason = EjectionReason::kSlow;
  Outcome outcome;
  bool idempotent = true;
};

auto operator<<(std::ostream& out, const FaultCase& test) -> std::ostream& {
  return out << test.reason << (test.idempotent ? "" : " non-idempotent");
}

const Outcome kFailing{.verdict = Verdict::kRan, .status = 500};
const Outcome kTruncating{.verdict = Verdict::kRan,
                          .status = 200,
                          .truncated = true};
const std::vector<FaultCase> kFaults = {
    {EjectionReason::kSlow, SuccessfulOutcome(Ms(100))},
    {EjectionReason::kFailing, kFailing},
    {EjectionReason::kTruncating, kTruncating},
    {EjectionReason::kFailing, kFailing, false},
};

/// Sends requests in rounds. The first `faulty` minions complete them with
/// `outcome`, the others successfully in 10 ms.
struct Traffic {
  explicit Traffic(int minions) : fixture(MakeList(minions)) {}

  static auto MakeList(int count) -> std::vector<Minion> {
    std::vector<Minion> list;
    for (int k = 0; k < count; ++k) {
      list.push_back(MakeMinion(k, 2));
    }
    return list;
  }

  auto Apply(const Actions& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* eject = std::get_if<Eject>(&action)) {
        this->ejected.insert(eject->minion.Text());
        this->reason = eject->reason;
        this->most_ejected = std::max(this->most_ejected, this->ejected.size());
      } else if (const auto* restore = std::get_if<Restore>(&action)) {
        this->ejected.erase(restore->minion.Text());
      } else if (const auto* sent = std::get_if<Dispatch>(&action)) {
        this->running.push_back(*sent);
      }
    }
  }

  /// Sends one request per slot, so that every minion receives requests.
  auto SendRound(int faulty, const Outcome& outcome, bool idempotent) -> void {
    for (std::size_t k = 0; k < this->fixture.minions.size() * 2; ++k) {
      auto request = this->fixture.MakeRequest();
      request.idempotent = idempotent;
      this->Apply(this->fixture.Submit(request));
    }
    this->fixture.clock.Advance(Ms(50));
    while (!this->running.empty()) {
      const auto sent = this->running.back();
      this->running.pop_back();
      const bool bad = std::stoi(sent.minion.Text().substr(1)) < faulty;
      this->Apply(this->fixture.Complete(sent.attempt,
                                         bad ? outcome : SuccessfulOutcome()));
    }
    this->Apply(this->fixture.Expire());
  }

  RouterFixture fixture;
  std::vector<Dispatch> running;
  std::set<std::string> ejected;
  std::size_t most_ejected = 0;
  EjectionReason reason = EjectionReason::kSlow;
};

// Guards against a minion that keeps receiving requests after it became faulty,
// and against one that is never restored after its repair.
BOOST_DATA_TEST_CASE(EjectsFaultyMinionAndRestoresItAfterRepair,
                     data::make(kFaults),
                     test) {
  Traffic traffic(6);
  for (int k = 0; k < 20; ++k) {
    traffic.SendRound(0, SuccessfulOutcome(), test.idempotent);
  }
  BOOST_TEST(traffic.ejected.empty());
  for (int k = 0; k < 30; ++k) {
    traffic.SendRound(1, test.outcome, test.idempotent);
  }
  BOOST_TEST((traffic.ejected == std::set<std::string>{"m0"}));
  BOOST_TEST(traffic.reason == test.reason);
  for (int k = 0; k < 800; ++k) {
    traffic.SendRound(0, SuccessfulOutcome(), test.idempotent);
  }
  BOOST_TEST(traffic.ejected.empty());
}

// Guards against ejections that remove most of the capacity of a service.
BOOST_AUTO_TEST_CASE(LimitsTheEjectedFraction) {
  Traffic traffic(10);
  for (int k = 0; k < 100; ++k) {
    traffic.SendRound(4, kFailing, true);
  }
  BOOST_TEST(traffic.most_ejected == 3U);
}

// Guards against ejecting minions when all of them fail equally.
BOOST_AUTO_TEST_CASE(EjectsNoneWhenAllFailAlike) {
  Traffic traffic(10);
  for (int k = 0; k < 30; ++k) {
    traffic.SendRound(10, kFailing, true);
  }
  BOOST_TEST(traffic.ejected.empty());
}

}  // namespace
}  // namespace shallotbank::routing
