#include <cstring>
#include <random>

#include <capnp/any.h>
#include <capnp/ez-rpc.h>
#include <boost/test/unit_test.hpp>

#include "../src/peer.capnp.h"
#include "peer_fixture.h"
#include "tcp_proxy.h"

namespace shallotbank::rpc {
namespace {

constexpr std::uint32_t kSeed = 20261204;

auto RandomBytes(std::mt19937& random, std::size_t count) -> std::string {
  std::string bytes(count, '\0');
  for (auto& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

/// Returns the bytes that a client sends for a few calls of different sizes.
auto RecordCalls(std::uint16_t port) -> std::string {
  TcpProxy proxy(port);
  PeerClient client;
  CallAndWait(client, proxy.Address(), HeartbeatRequest{});
  CallAndWait(
      client, proxy.Address(),
      ForwardRequest{.body = std::string(3'000, 'x'), .headers = {{"a", "b"}}});
  CallAndWait(client, proxy.Address(), JobStatusRequest{{JobId("job")}});
  return proxy.BytesToServer();
}

auto MalformedInputs(const std::string& recorded_calls)
    -> std::vector<std::string> {
  std::mt19937 random(kSeed);
  std::vector<std::string> inputs{
      "", "GET / HTTP/1.1\r\n\r\n", std::string(100'000, '\0'),
      std::string(100'000, '\xff'),
      // One segment of 2^32 - 1 words, and 2^32 - 1 segments.
      std::string("\0\0\0\0\xff\xff\xff\xff", 8),
      std::string("\xfe\xff\xff\xff\xff\xff\xff\xff", 8)};
  for (int i = 0; i < 20; ++i) {
    inputs.push_back(RandomBytes(random, 1 + random() % 5'000));
  }
  for (int i = 0; i < 300; ++i) {
    std::string altered = recorded_calls;
    for (std::uint32_t flips = 1 + random() % 8; flips > 0; --flips) {
      auto& byte = altered[random() % altered.size()];
      byte = static_cast<char>(static_cast<unsigned char>(byte) ^
                               (1U << random() % 8));
    }
    altered.resize(altered.size() - random() % 2 * (random() % altered.size()));
    inputs.push_back(altered);
  }
  return inputs;
}

// Guards against received bytes that terminate the process or affect the calls
// of other clients.
BOOST_AUTO_TEST_CASE(ServerSurvivesMalformedBytes) {
  TestPeer peer;
  PeerClient valid_client;
  const auto recorded_calls = RecordCalls(peer.server->Port());
  BOOST_REQUIRE(recorded_calls.size() > 3'000U);
  auto held =
      CallAsync(valid_client, peer.Address(), ExplainRequest{"hold", ""}, 60s);
  for (const auto& input : MalformedInputs(recorded_calls)) {
    const auto raw = RawSocket::Connect(peer.server->Port());
    raw.Send(input);
    ::shutdown(raw.Fd(), SHUT_WR);
    raw.WaitForClose(20);
    BOOST_REQUIRE(
        CallAndWait(valid_client, peer.Address(), WitnessRequest{}).verdict ==
        Verdict::kRan);
  }
  BOOST_TEST((held.wait_for(0s) == std::future_status::timeout));
}

// Guards against a malformed response that terminates the client's process.
BOOST_AUTO_TEST_CASE(ClientSurvivesMalformedBytes) {
  std::mt19937 random(kSeed);
  const auto listener = RawSocket::Listen();
  for (int i = 0; i < 10; ++i) {
    PeerClient client({.connect_timeout = 300ms});
    auto call = CallAsync(client, listener.Address(), WitnessRequest{});
    const auto accepted = listener.Accept();
    accepted.Send(RandomBytes(random, 1 + random() % 3'000));
    BOOST_TEST(call.get().verdict == Verdict::kNotRun);
  }
}

// Guards against a connection that fails because a newer peer uses methods or
// fields that this version does not know.
BOOST_AUTO_TEST_CASE(UnknownMethodsAndFieldsAreHarmless) {
  TestPeer peer;
  capnp::EzRpcClient newer("127.0.0.1", peer.server->Port());
  auto server = newer.getMain<wire::Peer>();
  auto& scope = newer.getWaitScope();

  constexpr std::uint16_t kUnknownMethod = 60'000;
  auto unknown = server.typelessRequest(capnp::typeId<wire::Peer>(),
                                        kUnknownMethod, nullptr);
  auto outcome = unknown.send().then(
      [](auto&&) { return false; },
      [](kj::Exception&& error) {
        return error.getType() == kj::Exception::Type::UNIMPLEMENTED;
      });
  BOOST_TEST(outcome.wait(scope));

  // A heartbeat whose sender has more fields than this version defines.
  constexpr std::uint16_t kHeartbeatMethod = 1;
  constexpr std::uint16_t kDataWords = 8;
  constexpr std::uint16_t kPointers = 12;
  auto heartbeat = server.typelessRequest(capnp::typeId<wire::Peer>(),
                                          kHeartbeatMethod, nullptr);
  auto sender =
      heartbeat.initAsAnyStruct(1, 2).getPointerSection()[0].initAsAnyStruct(
          kDataWords, kPointers);
  std::memset(sender.getDataSection().begin(), 0xff, kDataWords * 8);
  sender.getPointerSection()[0].setAs<capnp::Text>("newer");
  sender.getPointerSection()[kPointers - 1].setAs<capnp::Text>("unknown");
  const auto answer = heartbeat.send().wait(scope);
  const auto callee = answer.getAs<wire::Peer::HeartbeatResults>().getCallee();
  BOOST_TEST(std::string(callee.getProcess().cStr()) == "newer");
  BOOST_TEST((callee.getRole() == wire::Role::UNKNOWN));
  BOOST_TEST(callee.getDraining());

  auto witness = server.witnessRequest();
  witness.setEpoch(4);
  BOOST_TEST(witness.send().wait(scope).getHighestSeen() == 5U);
}

}  // namespace
}  // namespace shallotbank::rpc
