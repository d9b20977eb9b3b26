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

/// Responds to the first `responses` requests of a connection; reads one more
/// and closes without a response.
struct ClosingServer {
  explicit ClosingServer(int responses)
      : server([this, responses](RawSocket& connection, int) {
          for (int i = 0; ReadRequest(connection); ++i) {
            this->requests++;
            if (i >= responses) {
              return;
            }
            connection.Send(kOk);
          }
        }) {}
  std::atomic<int> requests = 0;
  RawServer server;
};

// Guards against libcurl's implicit retry on a reused connection, which would
// run a request twice that must run at most once.
BOOST_AUTO_TEST_CASE(NonIdempotentCallIsSentOnce) {
  ClosingServer closing(1);
  Client client;
  const auto first = client.SendAndWait(MakeCall(closing.server.Url(), true));
  BOOST_TEST(first.verdict == Verdict::kRan);
  // A new connection, although a persistent one is available.
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

// Guards against connections that are not reused, and checks that an
// idempotent call is retried when the server has closed the reused connection.
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

// Guards against a caller that takes the response to a repeated request for the
// only outcome: the server may also have run the copy that it did not answer.
BOOST_AUTO_TEST_CASE(AResentRequestIsReported) {
  ClosingServer closing(1);
  Client client;
  for (const int send_count : {1, 2}) {
    const auto reply = client.SendAndWait(MakeCall(closing.server.Url(), true));
    BOOST_TEST(reply.verdict == Verdict::kRan);
    BOOST_TEST(reply.send_count == send_count);
    BOOST_TEST(reply.HasUnansweredCopy() == (send_count > 1));
  }
}

// Guards against calls that reuse unresponsive connections. The first
// connections respond once and never again; connections made after the fault
// work.
BOOST_AUTO_TEST_CASE(UnresponsiveConnectionsAreReplaced) {
  constexpr int kInitialConnections = 3;
  std::atomic<int> first_responses = 0;
  RawServer server([&](RawSocket& connection, int number) {
    for (int i = 0; ReadRequest(connection); ++i) {
      if (number >= kInitialConnections) {
        connection.Send(kOk);
      } else if (i == 0) {
        first_responses++;
        while (first_responses <
               kInitialConnections) {  // Forces one connection per call.
          std::this_thread::yield();
        }
        connection.Send(kOk);
      }
    }
  });
  Client client;
  std::atomic<int> succeeded = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kInitialConnections; ++i) {
    callers.emplace_back([&] {
      const auto reply = client.SendAndWait(MakeCall(server.Url(), true));
      succeeded += reply.verdict == Verdict::kRan ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST(succeeded == kInitialConnections);
  BOOST_TEST(server.Connections() == kInitialConnections);
  auto timed_out = MakeCall(server.Url(), true);
  timed_out.timeout = std::chrono::milliseconds(300);
  BOOST_TEST(client.SendAndWait(timed_out).verdict == Verdict::kMayHaveRun);
  // Two of the unresponsive connections are still open. Immediate calls use new
  // ones; calls after some seconds may reuse connections again.
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

// Guards against a persistent connection that is reused indefinitely.
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
