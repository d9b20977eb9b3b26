#include <string>

#include <boost/test/unit_test.hpp>

#include "cell/relay_backoff.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;

struct BackoffCase {
  const char* name;
  /// Outcomes of relayed calls, each as soon as one is allowed: F failed, A
  /// answered.
  std::string outcomes;
  milliseconds delay;
};

// Guards against hosts that double the load of a store that is slow for all of
// them by sending each call a second time through a peer.
BOOST_AUTO_TEST_CASE(second_copies_are_delayed_while_relayed_calls_fail) {
  const BackoffCase cases[] = {
      {"at first", "", milliseconds(0)},
      {"answered", "A", milliseconds(0)},
      {"failed once", "F", milliseconds(1000)},
      {"failed twice", "FF", milliseconds(2000)},
      {"failed often", "FFFFFF", milliseconds(8000)},
      {"answered in between", "FFAF", milliseconds(1000)},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      ManualClock clock;
      RelayBackoff backoff;
      for (const char outcome : test_case.outcomes) {
        while (!backoff.AllowsSecondCopy(clock.Now())) {
          clock.Advance(milliseconds(1));
        }
        if (outcome == 'A') {
          backoff.OnAnswered();
          continue;
        }
        backoff.OnFailed(clock.Now());
        // Other calls that were under way fail as well.
        backoff.OnFailed(clock.Now());
      }
      const auto before = clock.Now();
      while (!backoff.AllowsSecondCopy(clock.Now())) {
        clock.Advance(milliseconds(1));
      }
      BOOST_TEST((clock.Now() - before == test_case.delay));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_through_a_peer_ends_the_delay) {
  const ManualClock clock;
  RelayBackoff backoff;
  backoff.OnFailed(clock.Now());
  BOOST_TEST(!backoff.AllowsSecondCopy(clock.Now()));
  backoff.OnAnswered();
  BOOST_TEST(backoff.AllowsSecondCopy(clock.Now()));
}

}  // namespace
}  // namespace shallotbank::cell
