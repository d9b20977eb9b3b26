#include <future>
#include <mutex>
#include <optional>
#include <random>

#include <boost/test/unit_test.hpp>

#include "answer_thread.h"
#include "base/bounded_ring.h"
#include "http/server.h"
#include "late_answer_probe.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

constexpr std::string_view kRequestEnd = " HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against answers queued under a socket number: such an answer reaches
// the next connection that gets the number, or ends the process. The same probe
// against a plain Pistache server is recorded in the README.
BOOST_AUTO_TEST_CASE(LeavingCallersDisturbNobody) {
  constexpr int kThreads = 8;
  constexpr int kRequests = 500;
  AnswerThread answers;
  std::mutex mutex;
  std::mt19937 random(20261204);
  std::uniform_int_distribution<int> delay_us(0, 6000);
  Server server({}, [&](const Request& request, Responder responder) {
    std::lock_guard lock(mutex);
    answers.SendAfter(std::chrono::microseconds(delay_us(random)),
                      {200, {}, request.path}, std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  const auto result = ProbeLateAnswers(server.Port(), kThreads, kRequests);
  BOOST_TEST(result.wrong == 0U);
  BOOST_TEST(result.none == 0U);
  BOOST_TEST(result.right >= kThreads * kRequests / 2U);
}

// Guards against the same fault step by step: the first caller leaves, a second
// connection comes (its socket usually gets the freed number), and only then is
// the first answer sent.
BOOST_AUTO_TEST_CASE(AnswerToGoneCallerDoesNotReachTheNext) {
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
    BOOST_REQUIRE(second.ReadAnswer().body == "second");
    BOOST_REQUIRE(second.Input().empty());
  }
  BOOST_TEST(server.OpenRequests() == 0U);
}

// Guards against a responder that is used after its server is gone.
BOOST_AUTO_TEST_CASE(ResponderOutlivesServer) {
  BoundedRing<Responder> arrived(1);
  std::optional<Server> server;
  server.emplace(ServerOptions(), [&](const Request&, Responder responder) {
    arrived.TryPush(std::move(responder));
  });
  BOOST_REQUIRE(server->Start());
  auto caller = RawSocket::Connect(server->Port());
  caller.Send("GET /" + std::string(kRequestEnd));
  auto responder = arrived.Pop(std::chrono::seconds(5));
  BOOST_REQUIRE(responder.has_value());
  BOOST_TEST(server->OpenRequests() == 1U);
  server.reset();
  BOOST_TEST(!responder->Send({200, {}, "late"}));
  BOOST_TEST(caller.ReadAnswer().status == 0);
}

}  // namespace
}  // namespace shallotbank::http
