#include <boost/test/unit_test.hpp>

#include "peer_fixture.h"
#include "relay.h"

namespace shallotbank::rpc {
namespace {

const ExplainRequest kHold{"hold", ""};

// Guards against a peer that holds its answers and so makes the caller keep
// calls without bound.
BOOST_AUTO_TEST_CASE(ClientRefusesCallsAboveTheLimitOfAPeer) {
  TestPeer peer;
  TestPeer other;
  Metrics metrics;
  PeerClient client({.max_calls_per_peer = 2, .metrics = &metrics});
  auto first = CallAsync(client, peer.Address(), kHold);
  auto second = CallAsync(client, peer.Address(), kHold);
  const auto third = CallAndWait(client, peer.Address(), kHold);
  BOOST_TEST(third.verdict == Verdict::kNotRun);
  BOOST_TEST(third.reason == "peer_calls");
  BOOST_TEST(metrics.Value("rpc_calls_not_run_total", "peer_calls") == 1U);
  BOOST_TEST(CallAndWait(client, other.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);

  BOOST_REQUIRE(WaitFor([&] { return peer.handler.Held() == 2; }));
  for (auto& reply : peer.handler.TakeHeld()) {
    reply.Send({});
  }
  BOOST_TEST(first.get().verdict == Verdict::kRan);
  BOOST_TEST(second.get().verdict == Verdict::kRan);
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
}

// Guards against bytes of waiting requests without bound, and a request that
// the server's size limit would answer by closing the connection.
BOOST_AUTO_TEST_CASE(ClientRefusesBytesAboveTheLimitOfAPeer) {
  TestPeer peer;
  Metrics metrics;
  PeerClient client({.max_bytes_per_peer = 10'000,
                     .max_message_bytes = 9'000,
                     .metrics = &metrics});
  const ExplainRequest large{"hold", std::string(6'000, 'x')};
  auto held = CallAsync(client, peer.Address(), large);
  const auto second = CallAndWait(client, peer.Address(), large);
  BOOST_TEST(second.verdict == Verdict::kNotRun);
  BOOST_TEST(second.reason == "peer_bytes");
  const auto too_large = CallAndWait(
      client, peer.Address(), ExplainRequest{"", std::string(9'000, 'x')});
  BOOST_TEST(too_large.verdict == Verdict::kNotRun);
  BOOST_TEST(too_large.reason == "too_large");
  BOOST_TEST(metrics.Value("rpc_calls_not_run_total", "peer_bytes") == 1U);
}

// Guards against calls to ever new addresses that use up memory.
BOOST_AUTO_TEST_CASE(ClientRefusesPeersAboveTheLimit) {
  TestPeer peers[3];
  PeerClient client({.max_peers = 2});
  auto first = CallAsync(client, peers[0].Address(), kHold);
  // A link without open calls makes room for another.
  for (int round = 0; round < 2; ++round) {
    for (const int i : {1, 2}) {
      BOOST_TEST(
          CallAndWait(client, peers[i].Address(), WitnessRequest{}).verdict ==
          Verdict::kRan);
    }
  }
  auto second = CallAsync(client, peers[1].Address(), kHold);
  const auto third = CallAndWait(client, peers[2].Address(), WitnessRequest{});
  BOOST_TEST(third.verdict == Verdict::kNotRun);
  BOOST_TEST(third.reason == "peers");
}

struct ServerLimit {
  PeerServerOptions options;
  std::string reason;
};

// Guards against a client that fills the server's memory with open calls, and
// against a forwarded request whose refusal does not say "not run".
BOOST_AUTO_TEST_CASE(ServerRefusesCallsAboveItsLimits) {
  const std::vector<ServerLimit> limits{
      {{.max_open_calls_per_connection = 2}, "connection_calls"},
      {{.max_waiting_bytes_per_connection = 9'000}, "connection_bytes"},
      {{.max_open_calls = 2}, "server_calls"}};
  for (const auto& limit : limits) {
    BOOST_TEST_CONTEXT(limit.reason) {
      TestPeer peer(limit.options);
      PeerClient client;
      const ExplainRequest hold{"hold", std::string(4'000, 'x')};
      auto first = CallAsync(client, peer.Address(), hold, 60s);
      auto second = CallAsync(client, peer.Address(), hold, 60s);
      BOOST_REQUIRE(WaitFor([&] { return peer.handler.Held() == 2; }));
      const auto third = CallAndWait(client, peer.Address(), hold);
      BOOST_TEST(third.verdict == Verdict::kMayHaveRun);
      BOOST_TEST(third.reason == "peer_overloaded");
      const auto forward =
          CallAndWait(client, peer.Address(),
                      ForwardRequest{.body = std::string(4'000, 'x')});
      BOOST_TEST(forward.verdict == Verdict::kRan);
      BOOST_REQUIRE(forward.response);
      BOOST_TEST(forward.response->verdict == Verdict::kNotRun);
      BOOST_TEST(forward.response->reason == limit.reason);
      BOOST_TEST(peer.metrics.Value("rpc_server_refused_total", limit.reason) ==
                 2U);
      peer.handler.TakeHeld();
      BOOST_TEST(first.get().verdict == Verdict::kMayHaveRun);
      BOOST_TEST(
          CallAndWait(client, peer.Address(), ExplainRequest{}).verdict ==
          Verdict::kRan);
    }
  }
}

// Guards against a reconnecting client that leaves ever more replies with a
// slow handler: the limit of the server counts replies whose caller has gone.
BOOST_AUTO_TEST_CASE(RepliesWithoutCallerCountUntilDropped) {
  TestPeer peer({.max_open_calls = 1});
  {
    PeerClient gone;
    auto call = CallAsync(gone, peer.Address(), kHold);
    BOOST_REQUIRE(WaitFor([&] { return peer.handler.Held() == 1; }));
  }
  PeerClient client;
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).reason ==
             "peer_overloaded");
  peer.handler.TakeHeld();
  BOOST_TEST(WaitFor([&] {
    return CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
           Verdict::kRan;
  }));
}

// Guards against a call that keeps its place at the server after its caller
// gave up, and a late answer that reaches a later call.
BOOST_AUTO_TEST_CASE(DeadlineFreesThePlaceAtTheServer) {
  TestPeer peer({.max_open_calls_per_connection = 1});
  PeerClient client;
  const auto expired = CallAndWait(client, peer.Address(), kHold, 200ms);
  BOOST_TEST(expired.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(expired.reason == "deadline");
  const auto next = CallAsync(client, peer.Address(), kHold);
  BOOST_REQUIRE(WaitFor([&] { return peer.handler.Held() == 2; }));
  auto replies = peer.handler.TakeHeld();
  replies[0].Send({.json = "late"});
  BOOST_TEST(WaitFor([&] {
    return peer.metrics.Value("rpc_server_late_replies_total") == 1;
  }));
  BOOST_TEST((next.wait_for(0s) == std::future_status::timeout));
}

// Guards against answers that pile up for a peer that does not read, and
// against other peers that wait for it.
BOOST_AUTO_TEST_CASE(PeerThatDoesNotReadIsBoundedAndClosed) {
  TestPeer peer(
      {.max_waiting_bytes_per_connection = 4 << 20, .silence_limit = 1s});
  Relay relay(peer.server->Port());
  // Without pings, so that the client does not replace the connection first.
  PeerClient stuck({.ping_interval = 60s});
  PeerClient other;
  BOOST_REQUIRE(CallAndWait(stuck, relay.Address(), WitnessRequest{}).verdict ==
                Verdict::kRan);
  relay.Silence(false, true);
  // Far more than the socket buffers and the limit hold.
  std::vector<std::future<CallResult<ExplainResponse>>> calls;
  for (int i = 0; i < 64; ++i) {
    calls.push_back(CallAsync(stuck, relay.Address(),
                              ExplainRequest{"big", "1000000"}, 60s));
  }
  BOOST_TEST(WaitFor([&] {
    return peer.metrics.Value("rpc_server_refused_total", "answers_waiting") >
           0;
  }));
  BOOST_TEST(CallAndWait(other, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  // Calls go on, so the peer is not silent, only not reading.
  BOOST_TEST(WaitFor([&] {
    CallAsync(stuck, relay.Address(), WitnessRequest{}, 60s);
    return peer.metrics.Value("rpc_server_closed_total", "answers_not_read") ==
           1;
  }));
  relay.Cut();
  for (auto& call : calls) {
    BOOST_TEST(call.get().verdict == Verdict::kMayHaveRun);
  }
}

// Guards against an answer that the client's size limit would take for a
// malformed message, which costs the connection and all its calls.
BOOST_AUTO_TEST_CASE(AnswerAboveTheSizeLimitFailsAlone) {
  TestPeer peer({.max_message_bytes = 100'000});
  PeerClient client;
  auto held = CallAsync(client, peer.Address(), kHold);
  BOOST_TEST(
      CallAndWait(client, peer.Address(), ExplainRequest{"big", "100000"})
          .reason == "peer_overloaded");
  BOOST_TEST(CallAndWait(client, peer.Address(), ExplainRequest{"big", "99000"})
                 .verdict == Verdict::kRan);
  BOOST_TEST((held.wait_for(0s) == std::future_status::timeout));
}

// Guards against connections that use up the descriptors of the process.
BOOST_AUTO_TEST_CASE(ServerRefusesConnectionsAboveItsLimit) {
  TestPeer peer({.max_connections = 1});
  PeerClient client;
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  BOOST_TEST(RawSocket::Connect(peer.server->Port()).WaitForEnd(5'000));
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  BOOST_TEST(peer.metrics.Value("rpc_server_refused_total", "connections") ==
             1U);
}

}  // namespace
}  // namespace shallotbank::rpc
