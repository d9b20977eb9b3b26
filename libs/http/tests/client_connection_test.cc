#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "raw_server.h"

namespace shallotbank::http {
namespace {

constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

auto MakeCall(const std::string& url, bool idempotent) -> Call {
  Call call;
  call.method = "POST";
  call.url = url;
  call.body = "x";
  call.idempotent = idempotent;
  return call;
}

/// Answers the first `answers` requests of a connection; reads one more and
/// closes without an answer.
struct ClosingServer {
  explicit ClosingServer(int answers)
      : server([this, answers](RawSocket& connection, int) {
          for (int i = 0; ReadRequest(connection); ++i) {
            this->requests++;
            if (i >= answers) {
              return;
            }
            connection.Send(kOk);
          }
        }) {}
  std::atomic<int> requests = 0;
  RawServer server;
};

// Guards against libcurl's silent repeat on a kept connection, which would run
// a request twice that must run at most once.
BOOST_AUTO_TEST_CASE(OtherThanIdempotentIsSentOnce) {
  ClosingServer closing(1);
  Client client;
  const auto first = client.SendAndWait(MakeCall(closing.server.Url(), true));
  BOOST_TEST(first.verdict == Verdict::kRan);
  // A connection of its own, though one is kept.
  const auto second = client.SendAndWait(MakeCall(closing.server.Url(), false));
  BOOST_TEST(second.verdict == Verdict::kRan);
  BOOST_TEST(closing.requests == 2);
  BOOST_TEST(closing.server.Connections() == 2);
  ClosingServer closes_at_once(0);
  const auto third =
      client.SendAndWait(MakeCall(closes_at_once.server.Url(), false));
  BOOST_TEST(third.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(closes_at_once.requests == 1);
}

// Guards against connections that are not reused, and shows the repeat of an
// idempotent call on a kept connection that the server closed.
BOOST_AUTO_TEST_CASE(IdempotentCallsReuseConnections) {
  ClosingServer closing(3);
  Client client;
  for (int i = 0; i < 4; ++i) {
    const auto reply = client.SendAndWait(MakeCall(closing.server.Url(), true));
    BOOST_TEST(reply.verdict == Verdict::kRan);
  }
  BOOST_TEST(closing.server.Connections() == 2);
  BOOST_TEST(closing.requests == 5);
}

// Guards against calls that keep using connections that have gone silent. The
// first connections answer once and are silent from then on; connections made
// after the fault work.
BOOST_AUTO_TEST_CASE(SilentConnectionsAreReplaced) {
  constexpr int kKept = 3;
  std::atomic<int> first_answers = 0;
  RawServer server([&](RawSocket& connection, int number) {
    for (int i = 0; ReadRequest(connection); ++i) {
      if (number >= kKept) {
        connection.Send(kOk);
      } else if (i == 0) {
        first_answers++;
        while (first_answers < kKept) {  // So that each call needs its own.
          std::this_thread::yield();
        }
        connection.Send(kOk);
      }
    }
  });
  Client client;
  std::atomic<int> right = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kKept; ++i) {
    callers.emplace_back([&] {
      const auto reply = client.SendAndWait(MakeCall(server.Url(), true));
      right += reply.verdict == Verdict::kRan ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(right == kKept);
  BOOST_TEST(server.Connections() == kKept);
  auto timed_out = MakeCall(server.Url(), true);
  timed_out.timeout = std::chrono::milliseconds(300);
  BOOST_TEST(client.SendAndWait(timed_out).verdict == Verdict::kMayHaveRun);
  // Two of the silent connections are still open. Calls at once use new ones,
  // and calls after some seconds may keep connections again.
  for (int i = 0; i < 4; ++i) {
    const auto reply = client.SendAndWait(MakeCall(server.Url(), true));
    BOOST_TEST(reply.verdict == Verdict::kRan);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(2200));
  const auto before = server.Connections();
  for (int i = 0; i < 4; ++i) {
    const auto reply = client.SendAndWait(MakeCall(server.Url(), true));
    BOOST_TEST(reply.verdict == Verdict::kRan);
  }
  BOOST_TEST(server.Connections() == before + 1);
}

// Guards against a kept connection that is used for ever.
BOOST_AUTO_TEST_CASE(OldConnectionsAreReplaced) {
  RawServer server([](RawSocket& connection, int) {
    while (ReadRequest(connection)) {
      connection.Send(kOk);
    }
  });
  ClientOptions options;
  options.max_connection_age = std::chrono::seconds(1);
  Client client(options);
  struct Step {
    Duration wait;
    int connections;
  };
  const std::vector<Step> steps = {{Duration::zero(), 1},
                                   {Duration::zero(), 1},
                                   {std::chrono::milliseconds(2200), 2}};
  for (const auto& step : steps) {
    std::this_thread::sleep_for(step.wait);
    const auto reply = client.SendAndWait(MakeCall(server.Url(), true));
    BOOST_TEST(reply.verdict == Verdict::kRan);
    BOOST_TEST(server.Connections() == step.connections);
  }
}

}  // namespace
}  // namespace shallotbank::http
