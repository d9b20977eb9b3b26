#include <boost/test/unit_test.hpp>

#include "peer_fixture.h"
#include "tcp_proxy.h"

namespace shallotbank::rpc {
namespace {

const ExplainRequest kHeldRequest{"hold", ""};

// Guards against unbounded calls in flight at the caller when a peer does not
// respond.
BOOST_AUTO_TEST_CASE(ClientRefusesCallsAboveTheLimitOfAPeer) {
  TestPeer peer;
  TestPeer other;
  Metrics metrics;
  PeerClient client({.max_calls_per_peer = 2, .metrics = &metrics});
  auto first = CallAsync(client, peer.Address(), kHeldRequest);
  auto second = CallAsync(client, peer.Address(), kHeldRequest);
  const auto third = CallAndWait(client, peer.Address(), kHeldRequest);
  BOOST_TEST(third.verdict == Verdict::kNotRun);
  BOOST_TEST(third.reason == "peer_calls");
  BOOST_TEST(metrics.Value("rpc_calls_not_run_total", "peer_calls") == 1U);
  BOOST_TEST(CallAndWait(client, other.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);

  BOOST_REQUIRE(WaitFor([&] { return peer.handler.HeldReplyCount() == 2; }));
  for (auto& reply : peer.handler.TakeHeldReplies()) {
    reply.Send({});
  }
  BOOST_TEST(first.get().verdict == Verdict::kRan);
  BOOST_TEST(second.get().verdict == Verdict::kRan);
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
}

// Guards against an unbounded size of waiting requests, and against a request
// above the server's size limit, which makes the server close the connection.
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

// Guards against memory exhaustion by calls to an unbounded number of
// addresses.
BOOST_AUTO_TEST_CASE(ClientRefusesPeersAboveTheLimit) {
  TestPeer peers[3];
  PeerClient client({.max_peers = 2});
  auto first = CallAsync(client, peers[0].Address(), kHeldRequest);
  // A channel without calls in flight is replaced by a new one.
  for (int round = 0; round < 2; ++round) {
    for (const int i : {1, 2}) {
      BOOST_TEST(
          CallAndWait(client, peers[i].Address(), WitnessRequest{}).verdict ==
          Verdict::kRan);
    }
  }
  auto second = CallAsync(client, peers[1].Address(), kHeldRequest);
  const auto third = CallAndWait(client, peers[2].Address(), WitnessRequest{});
  BOOST_TEST(third.verdict == Verdict::kNotRun);
  BOOST_TEST(third.reason == "peers");
}

struct ServerLimit {
  PeerServerOptions options;
  std::string reason;
};

// Guards against a client that exhausts the server's memory with calls in
// flight, and against a refused forwarded request without the verdict kNotRun.
BOOST_AUTO_TEST_CASE(ServerRefusesCallsAboveItsLimits) {
  const std::vector<ServerLimit> limits{
      {{.max_calls_per_connection = 2}, "connection_calls"},
      {{.max_waiting_bytes_per_connection = 9'000}, "connection_bytes"},
      {{.max_pending_replies = 2}, "server_calls"}};
  for (const auto& limit : limits) {
    BOOST_TEST_CONTEXT(limit.reason) {
      TestPeer peer(limit.options);
      PeerClient client;
      const ExplainRequest hold{"hold", std::string(4'000, 'x')};
      auto first = CallAsync(client, peer.Address(), hold, 60s);
      auto second = CallAsync(client, peer.Address(), hold, 60s);
      BOOST_REQUIRE(
          WaitFor([&] { return peer.handler.HeldReplyCount() == 2; }));
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
      peer.handler.TakeHeldReplies();
      BOOST_TEST(first.get().verdict == Verdict::kMayHaveRun);
      BOOST_TEST(
          CallAndWait(client, peer.Address(), ExplainRequest{}).verdict ==
          Verdict::kRan);
    }
  }
}

// Guards against a reconnecting client that accumulates replies at a slow
// handler: the limit includes replies whose caller has disconnected.
BOOST_AUTO_TEST_CASE(RepliesOfDisconnectedClientsCountUntilDropped) {
  TestPeer peer({.max_pending_replies = 1});
  {
    PeerClient disconnected_client;
    auto call = CallAsync(disconnected_client, peer.Address(), kHeldRequest);
    BOOST_REQUIRE(WaitFor([&] { return peer.handler.HeldReplyCount() == 1; }));
  }
  PeerClient client;
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).reason ==
             "peer_overloaded");
  peer.handler.TakeHeldReplies();
  BOOST_TEST(WaitFor([&] {
    return CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
           Verdict::kRan;
  }));
}

// Guards against a call that occupies server capacity after its deadline, and
// against a late response that is delivered to a later call.
BOOST_AUTO_TEST_CASE(ExpiredCallReleasesItsServerCapacity) {
  TestPeer peer({.max_calls_per_connection = 1});
  PeerClient client;
  const auto expired = CallAndWait(client, peer.Address(), kHeldRequest, 200ms);
  BOOST_TEST(expired.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(expired.reason == "deadline");
  const auto next = CallAsync(client, peer.Address(), kHeldRequest);
  BOOST_REQUIRE(WaitFor([&] { return peer.handler.HeldReplyCount() == 2; }));
  auto replies = peer.handler.TakeHeldReplies();
  replies[0].Send({.json = "late"});
  BOOST_TEST(WaitFor([&] {
    return peer.metrics.Value("rpc_server_late_replies_total") == 1;
  }));
  BOOST_TEST((next.wait_for(0s) == std::future_status::timeout));
}

// Guards against unbounded responses queued for a peer that does not read, and
// against other peers that are delayed by it.
BOOST_AUTO_TEST_CASE(ResponsesToAPeerThatDoesNotReadAreBounded) {
  TestPeer peer(
      {.max_waiting_bytes_per_connection = 4 << 20, .inactivity_timeout = 1s});
  TcpProxy proxy(peer.server->Port());
  // No pings, so that the client does not replace the connection before the
  // server closes it.
  PeerClient non_reading_client({.ping_interval = 60s});
  PeerClient other;
  BOOST_REQUIRE(
      CallAndWait(non_reading_client, proxy.Address(), WitnessRequest{})
          .verdict == Verdict::kRan);
  proxy.StopForwarding(false, true);
  // Far more than the socket buffers and the limit can hold.
  std::vector<std::future<CallResult<ExplainResponse>>> calls;
  for (int i = 0; i < 64; ++i) {
    calls.push_back(CallAsync(non_reading_client, proxy.Address(),
                              ExplainRequest{"big", "1000000"}, 60s));
  }
  BOOST_TEST(WaitFor([&] {
    return peer.metrics.Value("rpc_server_refused_total", "answers_waiting") >
           0;
  }));
  BOOST_TEST(CallAndWait(other, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  // Calls continue, so the connection is not inactive; the peer just does not
  // read.
  BOOST_TEST(WaitFor([&] {
    CallAsync(non_reading_client, proxy.Address(), WitnessRequest{}, 60s);
    return peer.metrics.Value("rpc_server_closed_total", "answers_not_read") ==
           1;
  }));
  proxy.CloseConnections();
  for (auto& call : calls) {
    BOOST_TEST(call.get().verdict == Verdict::kMayHaveRun);
  }
}

// Guards against a response above the client's size limit, which the client
// treats as malformed: it then loses the connection and all calls on it.
BOOST_AUTO_TEST_CASE(OversizedResponseFailsOnlyItsCall) {
  TestPeer peer({.max_message_bytes = 100'000});
  PeerClient client;
  auto held = CallAsync(client, peer.Address(), kHeldRequest);
  BOOST_TEST(
      CallAndWait(client, peer.Address(), ExplainRequest{"big", "100000"})
          .reason == "peer_overloaded");
  BOOST_TEST(CallAndWait(client, peer.Address(), ExplainRequest{"big", "99000"})
                 .verdict == Verdict::kRan);
  BOOST_TEST((held.wait_for(0s) == std::future_status::timeout));
}

// Guards against connections that exhaust the file descriptors of the process.
BOOST_AUTO_TEST_CASE(ServerRefusesConnectionsAboveItsLimit) {
  TestPeer peer({.max_connections = 1});
  PeerClient client;
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  BOOST_TEST(RawSocket::Connect(peer.server->Port()).WaitForClose(5'000));
  BOOST_TEST(CallAndWait(client, peer.Address(), WitnessRequest{}).verdict ==
             Verdict::kRan);
  BOOST_TEST(peer.metrics.Value("rpc_server_refused_total", "connections") ==
             1U);
}

}  // namespace
}  // namespace shallotbank::rpc
