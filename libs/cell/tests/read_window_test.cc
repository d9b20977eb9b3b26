#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cell/read_window.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Outcome {
  kFast,
  kSlow,
  kMedium,
  kWaited,
  kUnanswered,
  kNothingFits
};

struct WindowCase {
  const char* name;
  std::vector<Outcome> reads;
  std::size_t kibibytes;
};

auto Apply(ReadWindow& window, Outcome outcome) -> void {
  const auto bytes = window.Bytes();
  switch (outcome) {
    case Outcome::kFast:
      return window.OnAnswered(bytes, milliseconds(20));
    case Outcome::kMedium:
      return window.OnAnswered(bytes, milliseconds(800));
    case Outcome::kSlow:
      return window.OnAnswered(bytes, milliseconds(1100));
    case Outcome::kWaited:
      return window.OnAnswered(bytes, std::nullopt);
    case Outcome::kUnanswered:
      return window.OnUnanswered();
    case Outcome::kNothingFits:
      return window.OnNothingFits();
  }
}

BOOST_AUTO_TEST_CASE(window_follows_the_speed_of_the_store) {
  using enum Outcome;
  const WindowCase cases[] = {
      {"at first", {}, 128},
      {"grows with fast reads", {kFast}, 256},
      {"grows up to its maximum", {kFast, kFast, kFast, kFast}, 256},
      {"stays", {kMedium, kMedium}, 128},
      {"shrinks with slow reads", {kSlow}, 64},
      {"shrinks with unanswered reads", {kUnanswered}, 64},
      {"shrinks to its minimum",
       {kSlow, kUnanswered, kUnanswered, kSlow, kSlow},
       16},
      {"grows again", {kUnanswered, kUnanswered, kFast}, 64},
      {"ignores reads that waited for records", {kWaited, kWaited}, 128},
      {"lets a single large record through", {kNothingFits}, 1024},
      {"for one read", {kNothingFits, kFast}, 128},
      {"also if that is not answered", {kNothingFits, kUnanswered}, 64},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      ReadWindow window;
      for (const auto outcome : test_case.reads) {
        Apply(window, outcome);
      }
      BOOST_TEST(window.Bytes() == test_case.kibibytes << 10);
    }
  }
}

/// Hosts that read a topic from a store with a limited bandwidth, which they
/// share. The store sends answers in the order of the reads, also those to
/// reads that were given up. Time is simulated.
class SharedStore {
 public:
  static constexpr milliseconds kTimeout{1500};
  static constexpr milliseconds kRetryDelay{60};

  SharedStore(std::size_t hosts,
              std::size_t bytes_per_ms,
              std::optional<std::size_t> fixed_window)
      : hosts(hosts), bytes_per_ms(bytes_per_ms), fixed_window(fixed_window) {}

  /// Every host has `backlog` bytes to read at the start, and `growth` bytes
  /// are appended each millisecond. Returns the bytes that the slowest host is
  /// behind after `time`.
  auto Play(std::size_t backlog, std::size_t growth, milliseconds time)
      -> std::size_t {
    std::size_t end = backlog;
    for (milliseconds now(0); now < time; now += milliseconds(1)) {
      end += growth;
      for (auto& host : this->hosts) {
        this->Step(host, end, now);
      }
    }
    std::size_t most = 0;
    for (const auto& host : this->hosts) {
      most = std::max(most, end - host.position);
    }
    return most;
  }

 private:
  struct Host {
    ReadWindow window;
    std::size_t position = 0;
    bool is_reading = false;
    std::size_t size = 0;
    milliseconds sent{};
    milliseconds answered{};
    milliseconds next{};
  };

  auto Step(Host& host, std::size_t end, milliseconds now) -> void {
    if (host.is_reading && now >= host.answered) {
      host.is_reading = false;
      host.position += host.size;
      host.window.OnAnswered(host.size, now - host.sent);
      host.next = now;
    } else if (host.is_reading && now >= host.sent + kTimeout) {
      host.is_reading = false;
      host.window.OnUnanswered();
      host.next = now + kRetryDelay;
    }
    if (host.is_reading || now < host.next || host.position == end) {
      return;
    }
    host.is_reading = true;
    host.sent = now;
    host.size = std::min(this->fixed_window.value_or(host.window.Bytes()),
                         end - host.position);
    this->busy_until =
        std::max<double>(this->busy_until, static_cast<double>(now.count())) +
        static_cast<double>(host.size) /
            static_cast<double>(this->bytes_per_ms);
    host.answered = milliseconds(static_cast<std::int64_t>(this->busy_until));
  }

  std::vector<Host> hosts;
  const std::size_t bytes_per_ms;
  const std::optional<std::size_t> fixed_window;
  double busy_until = 0;
};

struct LoadCase {
  const char* name;
  std::size_t hosts;
  std::size_t backlog_kib;
  std::size_t growth;  ///< Of the topic, in bytes a millisecond.
};

// Guards against a cell that never recovers: hosts that have fallen behind read
// so much at once that the store answers none of them before the timeout.
BOOST_AUTO_TEST_CASE(hosts_that_are_behind_do_not_starve_each_other) {
  constexpr std::size_t kBytesPerMs = 80'000;
  constexpr std::size_t kUsualDelayMs = 2000;
  const LoadCase cases[] = {
      {"large cell", 97, 3000, 400},
      {"twice as large", 194, 3000, 200},
      {"six times as large", 600, 2000, 50},
      {"hardly behind", 97, 10, 400},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const auto backlog = test_case.backlog_kib << 10;
      BOOST_TEST(SharedStore(test_case.hosts, kBytesPerMs, std::nullopt)
                     .Play(backlog, test_case.growth, seconds(60)) <
                 test_case.growth * kUsualDelayMs);
    }
  }
  // Reads of the store's default limit bring nothing at all.
  constexpr std::size_t kDefaultLimit = 1024 << 10;
  constexpr std::size_t kHosts = 194;
  constexpr std::size_t kBacklog = 3000 << 10;
  BOOST_TEST(SharedStore(kHosts, kBytesPerMs, kDefaultLimit)
                 .Play(kBacklog, 0, seconds(60)) == kBacklog);
}

// Guards against hosts that fall behind while the store takes long for every
// answer: small windows would not make such a store faster.
BOOST_AUTO_TEST_CASE(window_stays_large_with_a_store_of_high_latency) {
  constexpr std::size_t kBytesPerSecond = 400'000;
  const milliseconds latencies[] = {milliseconds(4), milliseconds(360),
                                    milliseconds(600)};
  for (const auto latency : latencies) {
    BOOST_TEST_CONTEXT(latency.count() << " ms") {
      ReadWindow window;
      std::size_t read = 0;
      milliseconds now(0);
      while (now < seconds(30)) {
        const auto written =
            kBytesPerSecond * static_cast<std::size_t>(now.count()) / 1000;
        const auto size = std::min(window.Bytes(), written - read);
        now += latency;
        read += size;
        window.OnAnswered(size, latency);
      }
      // At most what is written during three answers is left.
      BOOST_TEST(read + 3 * kBytesPerSecond *
                            static_cast<std::size_t>(latency.count()) / 1000 >=
                 kBytesPerSecond * 30);
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
