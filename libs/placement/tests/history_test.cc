#include "history.h"

#include <cstdint>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace shallotbank::placement {
namespace {

constexpr int kHistories = 3000;
constexpr std::size_t kSteps = 80;

// Guards against overcommitted workers, partially placed gangs, refusals
// despite sufficient free capacity, and a worse fit or spread than a full scan
// finds, for any order of changes, reports and reservations.
BOOST_AUTO_TEST_CASE(AgreesWithReferencePlacer) {
  std::size_t placed = 0;
  std::size_t refused = 0;
  std::size_t gangs_placed = 0;
  std::size_t gangs_refused = 0;
  std::size_t reservations = 0;
  std::size_t preemptions_planned = 0;
  std::size_t holders_placed = 0;
  const auto property = [&] {
    const auto steps = *rc::gen::container<std::vector<std::uint64_t>>(
        kSteps, rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 62));
    History history;
    for (const auto step : steps) {
      history.Step(step);
    }
    placed += history.placed;
    refused += history.refused;
    gangs_placed += history.gangs_placed;
    gangs_refused += history.gangs_refused;
    reservations += history.reservations;
    preemptions_planned += history.preemptions_planned;
    holders_placed += history.holders_placed;
  };
  // Set here because `rc::check` reads the number of histories only from the
  // environment.
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = kHistories;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  BOOST_TEST(result.is<rc::detail::SuccessResult>());
  BOOST_TEST_MESSAGE("placed "
                     << placed << ", refused " << refused << ", gangs placed "
                     << gangs_placed << ", refused " << gangs_refused
                     << ", reservations " << reservations << ", of them placed "
                     << holders_placed << ", preemptions planned "
                     << preemptions_planned);
  // Guards against histories that no longer exercise the intended cases.
  BOOST_TEST(placed > 10000U);
  BOOST_TEST(refused > 10000U);
  BOOST_TEST(gangs_placed > 1000U);
  BOOST_TEST(gangs_refused > 1000U);
  BOOST_TEST(reservations > 300U);
  BOOST_TEST(preemptions_planned > 1000U);
  BOOST_TEST(holders_placed > 50U);
}

}  // namespace
}  // namespace shallotbank::placement
