#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "peer_fixture.h"
#include "raw_socket.h"

namespace shallotbank::rpc {
namespace {

// Guards against a client that does not reconnect to a server restarted at the
// same address, and against a call that hangs because the old server stopped.
BOOST_AUTO_TEST_CASE(ClientReconnectsToARestartedServer) {
  Metrics metrics;
  PeerClient client({.jitter_seed = 1, .metrics = &metrics});
  auto first = std::make_unique<TestPeer>();
  const auto address = first->Address();
  const auto port = first->server->Port();
  auto held = CallAsync(client, address, ExplainRequest{"hold", ""}, 60s);
  BOOST_REQUIRE(WaitFor([&] { return first->handler.HeldReplyCount() == 1; }));
  first.reset();
  const auto lost = held.get();
  BOOST_TEST(lost.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(lost.reason == "connection_lost");
  BOOST_TEST(CallAndWait(client, address, WitnessRequest{}).verdict ==
             Verdict::kNotRun);

  const TestPeer second({.port = port});
  const auto start = SystemClock().Now();
  BOOST_TEST(WaitFor([&] {
    return CallAndWait(client, address, WitnessRequest{}).verdict ==
           Verdict::kRan;
  }));
  // The maximum reconnect delay is 2 s; the rest is margin for a loaded
  // machine.
  BOOST_TEST((SystemClock().Now() - start < 4s));
  BOOST_TEST(metrics.Value("rpc_connects_total") == 2U);
}

// Guards against calls that never complete, or complete with a wrong verdict,
// when their client stops.
BOOST_AUTO_TEST_CASE(StopCompletesPendingCalls) {
  TestPeer peer;
  const auto paused = RawSocket::Listen();
  PeerClient client;
  auto sent = CallAsync(client, peer.Address(), ExplainRequest{"hold", ""});
  auto waiting = CallAsync(client, paused.Address(), WitnessRequest{});
  BOOST_REQUIRE(WaitFor([&] { return peer.handler.HeldReplyCount() == 1; }));
  client.Stop();
  const auto ran = sent.get();
  BOOST_TEST(ran.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(ran.reason == "stopped");
  const auto not_run = waiting.get();
  BOOST_TEST(not_run.verdict == Verdict::kNotRun);
  BOOST_TEST(not_run.reason == "stopped");
  const auto after_stop = CallAndWait(client, peer.Address(), WitnessRequest{});
  BOOST_TEST(after_stop.verdict == Verdict::kNotRun);
  BOOST_TEST(after_stop.reason == "stopped");
  BOOST_TEST(client.ReadTraffic().bytes_sent == 0U);
  client.Stop();
  // The server has noticed the disconnect and released the cancelled call.
  BOOST_TEST(WaitFor([&] {
    return peer.metrics.Value("rpc_server_closed_total", "disconnected") == 1;
  }));
}

// Guards against a reply that accesses its server after the server has stopped.
BOOST_AUTO_TEST_CASE(RepliesMayOutliveTheServer) {
  PeerClient client;
  TestPeer peer;
  auto call = CallAsync(client, peer.Address(), ExplainRequest{"hold", ""});
  BOOST_REQUIRE(WaitFor([&] { return peer.handler.HeldReplyCount() == 1; }));
  auto replies = peer.handler.TakeHeldReplies();
  peer.server->Stop();
  peer.server->Stop();
  BOOST_TEST(call.get().verdict == Verdict::kMayHaveRun);
  replies.front().Send({.json = "late"});
}

// Guards against a deadlock or an unbounded wait when a result callback starts
// the next call, and against an idle connection that is never closed.
BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedAndReopened) {
  TestPeer peer;
  Metrics metrics;
  PeerClient client({.idle_timeout = 100ms, .metrics = &metrics});
  for (std::uint64_t round = 1; round <= 2; ++round) {
    std::promise<Verdict> last;
    client.Call(peer.Address(), WitnessRequest{}, 10s, [&](const auto&) {
      client.Call(peer.Address(), WitnessRequest{}, 10s,
                  [&](const auto& result) { last.set_value(result.verdict); });
    });
    BOOST_TEST(last.get_future().get() == Verdict::kRan);
    BOOST_TEST(WaitFor([&] {
      return metrics.Value("rpc_connections_lost_total", "idle") == round;
    }));
  }
}

// Guards against calls that are lost, completed twice or given the response of
// another call when many threads call and another one responds.
BOOST_AUTO_TEST_CASE(ConcurrentCallsGetTheirOwnResponses) {
  constexpr int kThreads = 4;
  constexpr int kCalls = 500;
  TestPeer peer({.max_calls_per_connection = kThreads * kCalls});
  PeerClient client({.max_calls_per_peer = kThreads * kCalls});
  std::atomic<int> correct = 0;
  std::atomic<int> completed = 0;
  std::mutex mutex;
  std::map<std::string, int> failures;  // By reason.
  std::atomic<bool> stopping = false;
  std::thread responder([&] {
    while (!stopping) {
      for (auto& reply : peer.handler.TakeHeldReplies()) {
        reply.Send({.json = "held"});
      }
      std::this_thread::yield();
    }
  });
  std::vector<std::thread> callers;
  for (int t = 0; t < kThreads; ++t) {
    callers.emplace_back([&, t] {
      for (int i = 0; i < kCalls; ++i) {
        const auto id = std::to_string(t * kCalls + i);
        const std::string kind = i % 2 == 0 ? "hold" : "echo";
        const auto expected = i % 2 == 0 ? "held" : kind + id;
        client.Call(
            peer.Address(), ExplainRequest{kind, id}, 60s,
            [&, expected](const auto& result) {
              const bool is_correct =
                  result.response && result.response->json == expected;
              correct += is_correct;
              if (!is_correct) {
                const std::lock_guard lock(mutex);
                ++failures[result.response ? "wrong response" : result.reason];
              }
              ++completed;
            });
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(WaitFor([&] { return completed == kThreads * kCalls; }, 60s));
  stopping = true;
  responder.join();
  const std::lock_guard lock(mutex);
  for (const auto& [reason, calls] : failures) {
    BOOST_ERROR(calls << " calls failed: " << reason);
  }
  BOOST_TEST(correct == kThreads * kCalls);
}

}  // namespace
}  // namespace shallotbank::rpc
