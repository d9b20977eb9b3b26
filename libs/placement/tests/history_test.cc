#include "history.h"

#include <cstdint>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace shallotbank::placement {
namespace {

constexpr int kHistories = 3000;
constexpr std::size_t kSteps = 80;

// Guards against overcommitted workers, gangs that are placed in part,
// refusals although there is room, and a worse fit or spread than a full scan
// finds, whatever the order of changes, reports and reservations.
BOOST_AUTO_TEST_CASE(AgreesWithNaivePlacer) {
  std::size_t placed = 0;
  std::size_t refused = 0;
  std::size_t gangs_placed = 0;
  std::size_t gangs_refused = 0;
  std::size_t reservations = 0;
  std::size_t advised = 0;
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
    advised += history.advised;
    holders_placed += history.holders_placed;
  };
  // Given here because `rc::check` takes the number of histories from the
  // environment only.
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
                     << holders_placed << ", advised " << advised);
  // Guards against histories that no longer reach what they are about.
  BOOST_TEST(placed > 10000U);
  BOOST_TEST(refused > 10000U);
  BOOST_TEST(gangs_placed > 1000U);
  BOOST_TEST(gangs_refused > 1000U);
  BOOST_TEST(reservations > 300U);
  BOOST_TEST(advised > 1000U);
  BOOST_TEST(holders_placed > 50U);
}

}  // namespace
}  // namespace shallotbank::placement
