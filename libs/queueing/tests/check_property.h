#pragma once

#include <cstdint>
#include <iostream>
#include <vector>

#include <rapidcheck.h>

namespace shallotbank::queueing {

inline constexpr std::uint64_t kPropertySeed = 20261204;

/// The steps of one random history, as raw numbers for the test to decode.
using History = std::vector<std::uint32_t>;

/// Checks the property on `count` random histories of up to `length` steps,
/// with a fixed seed.
template <typename Property>
auto CheckHistories(int count, int length, Property property) -> bool {
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = count;
  const auto result = rc::detail::checkTestable(
      [&property, length] {
        const auto step = rc::gen::resize(
            rc::kNominalSize,
            rc::gen::inRange<std::uint32_t>(0, std::uint32_t{1} << 31));
        property(*rc::gen::resize(length, rc::gen::container<History>(step)));
      },
      rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace shallotbank::queueing
