#include <algorithm>
#include <optional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "peer_fixture.h"
#include "relay.h"

namespace shallotbank::rpc {
namespace {

// Twice the bound in README.md (0.5 s + 1 s + 50 ms), for a busy machine.
constexpr Duration kReplacedWithin = 3'100ms;

struct SilenceCase {
  bool to_server = false;
  bool to_client = false;

  friend auto operator<<(std::ostream& out, const SilenceCase& row)
      -> std::ostream& {
    return out << "to_server=" << row.to_server
               << " to_client=" << row.to_client;
  }
};

const std::vector<SilenceCase> kSilenceCases{{true, false},
                                             {false, true},
                                             {true, true}};

/// An address on which nothing listens.
auto ClosedAddress() -> std::string {
  return RawSocket::Listen().Address();
}

struct Fixture {
  TestPeer peer;
  Relay relay{peer.server->Port()};
  Metrics metrics;
  PeerClient client{{.jitter_seed = 1, .metrics = &metrics}};

  auto Ask() -> CallResult<WitnessResponse> {
    return CallAndWait(this->client, this->relay.Address(), WitnessRequest{});
  }
};

// Guards against calls that hang on a connection that went silent in one or
// both directions, and against a silent connection that stays in use.
BOOST_DATA_TEST_CASE(SilentConnectionIsReplaced,
                     boost::unit_test::data::make(kSilenceCases)) {
  Fixture f;
  BOOST_REQUIRE(f.Ask().verdict == Verdict::kRan);
  auto held =
      CallAsync(f.client, f.relay.Address(), ExplainRequest{"hold", ""}, 60s);
  BOOST_REQUIRE(WaitFor([&] { return f.peer.handler.Held() == 1; }));

  const auto start = SystemClock().Now();
  f.relay.Silence(sample.to_server, sample.to_client);
  const auto short_call =
      CallAndWait(f.client, f.relay.Address(), WitnessRequest{}, 200ms);
  BOOST_TEST(short_call.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(short_call.reason == "deadline");
  BOOST_TEST((SystemClock().Now() - start < 1s));

  const auto lost = held.get();
  BOOST_TEST(lost.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(lost.reason == "connection_lost");
  BOOST_TEST(f.Ask().verdict == Verdict::kRan);
  const Duration took = SystemClock().Now() - start;
  BOOST_TEST_MESSAGE("replaced after " << took.count() / 1'000'000 << " ms");
  BOOST_TEST((took < kReplacedWithin));
  BOOST_TEST(f.relay.Accepted() == 2);
  BOOST_TEST(f.metrics.Value("rpc_connections_lost_total", "silent") == 1U);
}

// Guards against pings that replace a connection that is only slow to answer
// calls, and against pings sent although answers arrive.
BOOST_AUTO_TEST_CASE(ConnectionWithHeldCallIsKept) {
  Fixture f;
  auto held =
      CallAsync(f.client, f.relay.Address(), ExplainRequest{"hold", ""}, 60s);
  BOOST_REQUIRE(WaitFor([&] { return f.peer.handler.Held() == 1; }));
  std::this_thread::sleep_for(2'500ms);
  f.peer.handler.TakeHeld().front().Send({.json = "late"});
  BOOST_TEST(held.get().verdict == Verdict::kRan);
  BOOST_TEST(f.relay.Accepted() == 1);
}

// Guards against a wrong verdict, or a long wait, after a cut connection.
BOOST_AUTO_TEST_CASE(CutConnectionEndsCallsAndIsReplaced) {
  Fixture f;
  for (int round = 1; round <= 5; ++round) {
    auto held =
        CallAsync(f.client, f.relay.Address(), ExplainRequest{"hold", ""}, 60s);
    BOOST_REQUIRE(WaitFor([&] { return f.peer.handler.Held() == 1; }));
    f.relay.Cut();
    const auto result = held.get();
    BOOST_TEST(result.verdict == Verdict::kMayHaveRun);
    BOOST_TEST(result.reason == "connection_lost");
    f.peer.handler.TakeHeld();
    BOOST_TEST(f.Ask().verdict == Verdict::kRan);
    BOOST_TEST(f.relay.Accepted() == round + 1);
  }
}

// Guards against calls handed to a peer that accepts connections but is
// paused: they must stay "not run" and end by their deadline.
BOOST_AUTO_TEST_CASE(NothingIsHandedToAPausedPeer) {
  const auto paused = RawSocket::Listen();
  Metrics metrics;
  PeerClient client({.jitter_seed = 1, .metrics = &metrics});
  const auto early = CallAsync(client, paused.Address(), WitnessRequest{}, 60s);
  const auto result =
      CallAndWait(client, paused.Address(), WitnessRequest{}, 200ms);
  BOOST_TEST(result.verdict == Verdict::kNotRun);
  BOOST_TEST(result.reason == "deadline");
  BOOST_TEST((early.wait_for(5s) == std::future_status::ready));
  BOOST_TEST(metrics.Value("rpc_calls_not_run_total", "connect_timeout") == 1U);
}

// Guards against a client that connects in a tight loop, and one whose delay
// grows without bound.
BOOST_AUTO_TEST_CASE(ReconnectionIsDelayed) {
  Metrics metrics;
  PeerClient client({.highest_reconnect_delay = 200ms,
                     .jitter_seed = 1,
                     .metrics = &metrics});
  const auto start = SystemClock().Now();
  const auto result = CallAndWait(client, ClosedAddress(), WitnessRequest{});
  BOOST_TEST(result.verdict == Verdict::kNotRun);
  BOOST_TEST(result.reason == "connect_failed");
  BOOST_TEST(WaitFor([&] {
    return metrics.Value("rpc_connects_failed_total", "connect_failed") >= 8;
  }));
  // The seven delays are at least 25, 50 and five times 100 ms.
  BOOST_TEST((SystemClock().Now() - start > 500ms));
}

// Guards against calls that wait out their deadline for a peer known to be
// down, while another could take them.
BOOST_AUTO_TEST_CASE(CallsBetweenAttemptsFailAtOnce) {
  const auto address = ClosedAddress();
  PeerClient client({.first_reconnect_delay = 60s,
                     .highest_reconnect_delay = 60s,
                     .jitter_seed = 1});
  BOOST_TEST(CallAndWait(client, address, WitnessRequest{}).reason ==
             "connect_failed");
  const auto result = CallAndWait(client, address, WitnessRequest{}, 20s);
  BOOST_TEST(result.verdict == Verdict::kNotRun);
  BOOST_TEST(result.reason == "unreachable");
}

// Guards against a silent peer that delays or refuses the calls to others.
BOOST_AUTO_TEST_CASE(SilentPeerDoesNotDelayOthers) {
  Fixture silent;
  TestPeer good;
  auto& client = silent.client;
  BOOST_REQUIRE(silent.Ask().verdict == Verdict::kRan);
  const auto slowest_call = [&] {
    Duration slowest{};
    for (int i = 0; i < 300; ++i) {
      const auto start = SystemClock().Now();
      const auto result = CallAndWait(client, good.Address(), WitnessRequest{});
      BOOST_REQUIRE(result.verdict == Verdict::kRan);
      slowest = std::max<Duration>(slowest, SystemClock().Now() - start);
    }
    return slowest;
  };
  const auto before = slowest_call();
  silent.relay.Silence(true, true);
  const std::string body(16'384, 'x');
  std::atomic<int> ended = 0;
  constexpr int kCalls = 1'000;  // About twice the limit of calls.
  for (int i = 0; i < kCalls; ++i) {
    client.Call(silent.relay.Address(), ForwardRequest{.body = body}, 5s,
                [&ended](const auto&) { ++ended; });
  }
  const auto during = slowest_call();
  BOOST_TEST_MESSAGE("slowest call to the other peer: "
                     << before.count() / 1'000 << " us before, "
                     << during.count() / 1'000 << " us during the silence");
  BOOST_TEST((during < 200ms));
  BOOST_TEST(WaitFor([&] { return ended == kCalls; }));
}

// Guards against state kept for clients that vanished without a word.
BOOST_AUTO_TEST_CASE(ServerClosesSilentConnections) {
  TestPeer peer({.silence_limit = 200ms});
  const auto raw = RawSocket::Connect(peer.server->Port());
  BOOST_TEST(raw.WaitForEnd(5'000));
  BOOST_TEST(peer.metrics.Value("rpc_server_closed_total", "silent") == 1U);
}

}  // namespace
}  // namespace shallotbank::rpc
