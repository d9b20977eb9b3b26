#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/bounded_ring.h"
#include "delayed_responder.h"
#include "http/client.h"
#include "http/server.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

constexpr Duration kWait = std::chrono::seconds(5);
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against a graceful shutdown that aborts requests: every request either
// gets a complete response or is refused as not run.
BOOST_AUTO_TEST_CASE(DrainUnderLoadCompletesRequests) {
  constexpr int kCallers = 16;
  constexpr std::size_t kMinCompleted = 100;
  DelayedResponder delayed_responder;
  std::atomic<std::size_t> handled = 0;
  Server server({}, [&](const Request& request, Responder responder) {
    handled++;
    delayed_responder.SendAfter(std::chrono::milliseconds(3),
                                {200, {}, request.path}, std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  Client client;
  std::atomic<std::size_t> completed = 0;
  std::atomic<std::size_t> refused = 0;
  std::atomic<std::size_t> lost = 0;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int k = 0; !stopping; ++k) {
        Call call;
        const auto path = "/" + std::to_string(i) + "." + std::to_string(k);
        call.url = "http://127.0.0.1:" + std::to_string(server.Port()) + path;
        call.timeout = kWait;
        const auto reply = client.SendAndWait(call);
        if (reply.verdict == Verdict::kRan && reply.body == path) {
          completed++;
        } else if (reply.verdict == Verdict::kNotRun) {
          refused++;
          std::this_thread::sleep_for(std::chrono::milliseconds(5));
        } else {
          lost++;
        }
      }
    });
  }
  const auto latest_drain = SystemClock().Now() + kWait;
  while (completed <= kMinCompleted && SystemClock().Now() < latest_drain) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(server.Drain(kWait) == 0U);
  server.Stop();
  stopping = true;
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(lost == 0U);
  BOOST_TEST(completed == handled);
  BOOST_TEST(completed > kMinCompleted);
}

auto Respond(BoundedRing<Responder>& arrived) -> void {
  auto responder = arrived.Pop(kWait);
  BOOST_REQUIRE(responder.has_value());
  responder->Send({200, {}, ""});
}

// Guards against a drain that waits for idle connections, drops the request of
// a persistent one, or returns before the last response.
BOOST_AUTO_TEST_CASE(DrainServesAndClosesPersistentConnections) {
  BoundedRing<Responder> arrived(4);
  Server server({}, [&](const Request&, Responder responder) {
    arrived.TryPush(std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  auto idle = RawSocket::Connect(server.Port());
  auto busy = RawSocket::Connect(server.Port());
  busy.Send(kRequest);
  Respond(arrived);
  BOOST_TEST(busy.ReadResponse().header.find("close") == std::string::npos);
  busy.Send(kRequest);
  auto in_flight = arrived.Pop(kWait);
  BOOST_REQUIRE(in_flight.has_value());
  auto left =
      std::async(std::launch::async, [&server] { return server.Drain(kWait); });
  BOOST_TEST(idle.IsClosedWithin(kWait));
  busy.Send(kRequest);  // Pipelined behind the one in flight.
  auto late = arrived.Pop(kWait);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST((left.wait_for(Duration()) == std::future_status::timeout));
  in_flight->Send({200, {}, "in flight"});
  late->Send({200, {}, "late"});
  BOOST_TEST(left.get() == 0U);
  BOOST_TEST(busy.ReadResponse().header.find("close") == std::string::npos);
  BOOST_TEST(busy.ReadResponse().header.find("Connection: close") !=
             std::string::npos);
  BOOST_TEST(busy.IsClosedWithin(kWait));
  auto refused = RawSocket::Connect(server.Port());
  BOOST_TEST(!refused.Send(kRequest));
}

// Guards against the loss of a request that was read when the drain closed its
// connection as idle.
BOOST_AUTO_TEST_CASE(DrainAnswersARequestThatWasReadBefore) {
  // Above the time after which a drain closes an idle connection.
  constexpr Duration kHandlingTime = std::chrono::milliseconds(800);
  std::atomic<bool> is_draining = false;
  BoundedRing<int> answered(4);
  Server server({}, [&](const Request& request, Responder responder) {
    responder.Send({200, {}, request.path});
    if (request.path == "/first") {
      answered.TryPush(1);
      while (!is_draining) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      std::this_thread::sleep_for(kHandlingTime);
    }
  });
  BOOST_REQUIRE(server.Start());
  auto socket = RawSocket::Connect(server.Port());
  // Both are read at once; the second one is handled once the first is.
  socket.Send(
      "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_REQUIRE(answered.Pop(kWait).has_value());
  BOOST_TEST(socket.ReadResponse().body == "/first");
  auto left = std::async(std::launch::async, [&] {
    is_draining = true;
    return server.Drain(kWait);
  });
  const auto second = socket.ReadResponse();
  BOOST_TEST(second.status == 200);
  BOOST_TEST(second.body == "/second");
  BOOST_TEST(left.get() == 0U);
  BOOST_TEST(socket.IsClosedWithin(kWait));
}

// Guards against the loss of a request that was read together with the one
// whose response a drain sends last on the connection.
BOOST_AUTO_TEST_CASE(DrainAnswersARequestThatWasReadWithTheOneBefore) {
  std::atomic<bool> is_draining = false;
  BoundedRing<int> started(4);
  Server server({}, [&](const Request& request, Responder responder) {
    if (request.path == "/first") {
      started.TryPush(1);
      while (!is_draining) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      // The drain begins meanwhile.
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    responder.Send({200, {}, request.path});
  });
  BOOST_REQUIRE(server.Start());
  auto socket = RawSocket::Connect(server.Port());
  socket.Send(
      "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_REQUIRE(started.Pop(kWait).has_value());
  auto left = std::async(std::launch::async, [&] {
    is_draining = true;
    return server.Drain(kWait);
  });
  BOOST_TEST(socket.ReadResponse().body == "/first");
  const auto second = socket.ReadResponse();
  BOOST_TEST(second.status == 200);
  BOOST_TEST(second.body == "/second");
  BOOST_TEST(left.get() == 0U);
  BOOST_TEST(socket.IsClosedWithin(kWait));
}

// Guards against a drain that never ends, a stop that waits for a handler that
// never responds, and a request that is open then and gets no answer.
BOOST_AUTO_TEST_CASE(DrainEndsAtItsDeadline) {
  std::vector<Responder> held;
  Server server({}, [&](const Request&, Responder responder) {
    held.push_back(std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  auto connection = RawSocket::Connect(server.Port());
  connection.Send(kRequest);
  while (server.OpenRequests() == 0) {
    std::this_thread::yield();
  }
  const auto start = SystemClock().Now();
  BOOST_TEST(server.Drain(std::chrono::milliseconds(300)) == 1U);
  server.Stop();
  BOOST_TEST((SystemClock().Now() - start < std::chrono::seconds(2)));
  const auto dropped = connection.ReadResponse();
  BOOST_TEST(dropped.status == 504);
  BOOST_TEST(dropped.header.find("Connection: close") != std::string::npos);
  BOOST_TEST(connection.IsClosedWithin(kWait));
}

}  // namespace
}  // namespace shallotbank::http
