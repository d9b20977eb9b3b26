#include <future>
#include <mutex>
#include <optional>
#include <random>

#include <boost/test/unit_test.hpp>

#include "base/bounded_ring.h"
#include "delayed_responder.h"
#include "http/server.h"
#include "late_answer_probe.h"
#include "open_requests.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

constexpr std::string_view kRequestEnd = " HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against responses queued by descriptor number: such a response reaches
// the next connection with that number, or crashes the process. The same probe
// against a plain Pistache server is recorded in the README.
BOOST_AUTO_TEST_CASE(AbandonedRequestsDoNotAffectOthers) {
  constexpr int kThreads = 8;
  constexpr int kRequests = 500;
  DelayedResponder delayed_responder;
  std::mutex mutex;
  std::mt19937 random(20261204);
  std::uniform_int_distribution<int> delay_us(0, 6000);
  Server server({}, [&](const Request& request, Responder responder) {
    std::lock_guard lock(mutex);
    delayed_responder.SendAfter(std::chrono::microseconds(delay_us(random)),
                                {200, {}, request.path}, std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  const auto result = ProbeLateResponses(server.Port(), kThreads, kRequests);
  BOOST_TEST(result.wrong == 0U);
  BOOST_TEST(result.missing == 0U);
  BOOST_TEST(result.correct >= kThreads * kRequests / 2U);
}

// Guards against the same fault in fixed order: the first client disconnects, a
// second connects (its socket usually gets the freed number), and only then is
// the first response sent.
BOOST_AUTO_TEST_CASE(LateResponseDoesNotReachNextConnection) {
  constexpr int kRounds = 100;
  BoundedRing<std::pair<std::string, Responder>> arrived(4);
  Server server({}, [&](const Request& request, Responder responder) {
    arrived.TryPush({request.path, std::move(responder)});
  });
  BOOST_REQUIRE(server.Start());
  for (int round = 0; round < kRounds; ++round) {
    auto first = RawSocket::Connect(server.Port());
    first.Send("GET /first" + std::string(kRequestEnd));
    auto first_request = arrived.Pop(std::chrono::seconds(5));
    BOOST_REQUIRE(first_request.has_value());
    first.Close();
    auto second = RawSocket::Connect(server.Port());
    second.Send("GET /second" + std::string(kRequestEnd));
    auto second_request = arrived.Pop(std::chrono::seconds(5));
    BOOST_REQUIRE(second_request.has_value());
    first_request->second.Send({200, {}, "first"});
    second_request->second.Send({200, {}, "second"});
    BOOST_REQUIRE(second.ReadResponse().body == "second");
    BOOST_REQUIRE(second.Input().empty());
  }
  BOOST_TEST(WaitUntilCompleted(server));
}

// Guards against a responder that is used after its server was destroyed.
BOOST_AUTO_TEST_CASE(ResponderOutlivesServer) {
  BoundedRing<Responder> arrived(1);
  std::optional<Server> server;
  server.emplace(ServerOptions(), [&](const Request&, Responder responder) {
    arrived.TryPush(std::move(responder));
  });
  BOOST_REQUIRE(server->Start());
  auto client = RawSocket::Connect(server->Port());
  client.Send("GET /" + std::string(kRequestEnd));
  auto responder = arrived.Pop(std::chrono::seconds(5));
  BOOST_REQUIRE(responder.has_value());
  BOOST_TEST(server->OpenRequests() == 1U);
  server.reset();
  BOOST_TEST(!responder->Send({200, {}, "late"}));
  BOOST_TEST(client.ReadResponse().status == 0);
}

}  // namespace
}  // namespace shallotbank::http
