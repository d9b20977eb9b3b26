#include "delivery_model.h"

#include <boost/test/unit_test.hpp>

namespace shallotbank::cell {
namespace {

constexpr std::uint64_t kSeeds = 24;

struct CutCase {
  const char* name;
  DeliveryModel::Options options;
  /// Played besides the first ones.
  std::vector<std::uint64_t> further_seeds;
};

// A worker that was cut off soon after a restart got starts that were decided
// for its former incarnation, by leases that the leader did not know.
BOOST_AUTO_TEST_CASE(no_restart_before_a_cut_repeats_a_task) {
  const CutCase cases[] = {
      {"leases as the leader's", {.cuts_restarted_workers = true}, {117}},
      {"longer leases, late polls, long tasks",
       {.outliving = {.polls = true},
        .max_lease = Milliseconds(10'000),
        .longest_task = Milliseconds(15'000),
        .cuts_restarted_workers = true},
       {475}},
  };
  for (const auto& test_case : cases) {
    auto seeds = test_case.further_seeds;
    for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
      seeds.push_back(seed);
    }
    for (const auto seed : seeds) {
      BOOST_TEST_CONTEXT(test_case.name << ", seed " << seed) {
        DeliveryModel model(seed, test_case.options);
        model.Run(std::chrono::seconds(40));
        BOOST_TEST(model.Settle());
        BOOST_TEST(model.violations.repeated == 0);
        BOOST_TEST(model.violations.overcommits == 0);
      }
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
