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
    {EjectionReason::kSlow, Good(Ms(100))},
    {EjectionReason::kFailing, kFailing},
    {EjectionReason::kTruncating, kTruncating},
    {EjectionReason::kFailing, kFailing, false},
};

/// Sends requests one after another; the first `faulty` minions give
/// `outcome`, the others good answers in 10 ms.
struct Traffic {
  explicit Traffic(int minions) : fixture(MakeList(minions)) {}

  static auto MakeList(int count) -> std::vector<Minion> {
    std::vector<Minion> list;
    for (int k = 0; k < count; ++k) {
      list.push_back(MakeMinion(k, 2));
    }
    return list;
  }

  auto Follow(const Actions& actions) -> void {
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

  /// One request to each slot, so that every minion gets its part.
  auto Round(int faulty, const Outcome& outcome, bool idempotent) -> void {
    for (std::size_t k = 0; k < this->fixture.minions.size() * 2; ++k) {
      auto request = this->fixture.MakeRequest();
      request.idempotent = idempotent;
      this->Follow(this->fixture.Submit(request));
    }
    this->fixture.clock.Advance(Ms(50));
    while (!this->running.empty()) {
      const auto sent = this->running.back();
      this->running.pop_back();
      const bool bad = std::stoi(sent.minion.Text().substr(1)) < faulty;
      this->Follow(
          this->fixture.Complete(sent.attempt, bad ? outcome : Good()));
    }
    this->Follow(this->fixture.Expire());
  }

  RouterFixture fixture;
  std::vector<Dispatch> running;
  std::set<std::string> ejected;
  std::size_t most_ejected = 0;
  EjectionReason reason = EjectionReason::kSlow;
};

// Guards against a minion that changed from one day to the next and goes on to
// harm requests, and against one that never comes back after its repair.
BOOST_DATA_TEST_CASE(EjectsAndRestores, data::make(kFaults), test) {
  Traffic traffic(6);
  for (int k = 0; k < 20; ++k) {
    traffic.Round(0, Good(), test.idempotent);
  }
  BOOST_TEST(traffic.ejected.empty());
  for (int k = 0; k < 30; ++k) {
    traffic.Round(1, test.outcome, test.idempotent);
  }
  BOOST_TEST((traffic.ejected == std::set<std::string>{"m0"}));
  BOOST_TEST(traffic.reason == test.reason);
  for (int k = 0; k < 800; ++k) {
    traffic.Round(0, Good(), test.idempotent);
  }
  BOOST_TEST(traffic.ejected.empty());
}

// Guards against ejections that take away most of the slots.
BOOST_AUTO_TEST_CASE(EjectsABoundedFraction) {
  Traffic traffic(10);
  for (int k = 0; k < 100; ++k) {
    traffic.Round(4, kFailing, true);
  }
  BOOST_TEST(traffic.most_ejected == 3U);
}

// Guards against ejection when all minions fail alike.
BOOST_AUTO_TEST_CASE(KeepsAllWhenAllFail) {
  Traffic traffic(10);
  for (int k = 0; k < 30; ++k) {
    traffic.Round(10, kFailing, true);
  }
  BOOST_TEST(traffic.ejected.empty());
}

}  // namespace
}  // namespace shallotbank::routing
