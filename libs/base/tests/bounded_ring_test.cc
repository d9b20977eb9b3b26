#include "base/bounded_ring.h"

#include <memory>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace shallotbank {
namespace {

// Guards against a push that blocks, or that loses the item when it fails.
BOOST_AUTO_TEST_CASE(FullRingRejectsPushAndKeepsItem) {
  BoundedRing<std::unique_ptr<int>> ring(1);
  BOOST_TEST(ring.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  BOOST_TEST(!ring.TryPush(std::move(second)));
  BOOST_TEST((second != nullptr));  // NOLINT(bugprone-use-after-move)
  BOOST_TEST(**ring.TryPop() == 1);
  BOOST_TEST(!ring.TryPop().has_value());
}

// Guards against items lost or duplicated between threads, and a consumer that
// Close does not wake.
BOOST_AUTO_TEST_CASE(DeliversEachItemOnceAndCloseWakesConsumer) {
  constexpr int kProducers = 4;
  constexpr int kItems = 2000;
  BoundedRing<int> ring(64);
  std::vector<int> seen(kProducers * kItems, 0);
  std::thread consumer([&] {
    while (true) {
      const auto item = ring.Pop(std::chrono::seconds(10));
      if (!item) {
        return;
      }
      seen[static_cast<std::size_t>(*item)]++;
    }
  });
  std::vector<std::thread> producers;
  for (int p = 0; p < kProducers; ++p) {
    producers.emplace_back([&ring, p] {
      for (int k = 0; k < kItems; ++k) {
        while (!ring.TryPush(p * kItems + k)) {
          std::this_thread::yield();
        }
      }
    });
  }
  for (auto& producer : producers) {
    producer.join();
  }
  ring.Close();
  consumer.join();
  BOOST_TEST(!ring.TryPush(1));
  BOOST_TEST((std::count(seen.begin(), seen.end(), 1) == kProducers * kItems));
}

}  // namespace
}  // namespace shallotbank
