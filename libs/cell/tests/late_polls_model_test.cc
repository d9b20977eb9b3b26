#include "delivery_model.h"

#include <boost/test/unit_test.hpp>

namespace shallotbank::cell {
namespace {

constexpr std::uint64_t kSeeds = 24;
constexpr Milliseconds kMaxLease(10'000);
constexpr Milliseconds kLongestTask(15'000);

// A poll that reaches the next incarnation of its worker extended the leases
// there beyond what the leader knew, and discarded completions unseen.
BOOST_AUTO_TEST_CASE(no_poll_of_a_former_incarnation_repeats_a_task) {
  for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DeliveryModel model(seed, {.outliving = {.polls = true},
                                 .max_lease = kMaxLease,
                                 .longest_task = kLongestTask});
      model.Run(std::chrono::seconds(40));
      BOOST_TEST(model.Settle());
      BOOST_TEST(model.violations.repeated == 0);
      BOOST_TEST(model.violations.overcommits == 0);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
