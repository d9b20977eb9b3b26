#include "http/client.h"

#include <atomic>
#include <future>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "raw_server.h"

namespace shallotbank::http {
namespace {

constexpr Duration kShort = std::chrono::milliseconds(300);
constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

auto MakeCall(const std::string& url, const std::string& method = "POST")
    -> Call {
  Call call;
  call.method = method;
  call.url = url;
  call.timeout = std::chrono::seconds(3);
  return call;
}

struct Case {
  const char* name;
  std::string response;  // Sent once the request was read; then closed.
  Verdict verdict;
  int status;
  std::string method = "POST";
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Case> kCases{
    {"complete", std::string(kOk), Verdict::kRan, 200},
    {"error status", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
     Verdict::kRan, 503},
    {"redirect is not followed",
     "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
     Verdict::kRan, 302},
    {"interim answer first",
     "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + std::string(kOk), Verdict::kRan,
     200},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
     "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     Verdict::kRan, 200},
    {"no content", "HTTP/1.1 204 No\r\n\r\n", Verdict::kRan, 204},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", Verdict::kRan,
     200, "HEAD"},
    {"closed after reading", "", Verdict::kMayHaveRun, 0},
    {"closed in the status line", "HTTP/1.1 20", Verdict::kMayHaveRun, 0},
    {"closed in the header", "HTTP/1.1 200 OK\r\nContent-Le",
     Verdict::kMayHaveRun, 0},
    {"closed after a header without length",
     "HTTP/1.1 200 OK\r\nA: b\r\n\r\nok", Verdict::kMayHaveRun, 0},
    {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
     Verdict::kMayHaveRun, 0},
    {"truncated chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
     Verdict::kMayHaveRun, 0},
    {"only an interim answer", "HTTP/1.1 103 Early\r\n\r\n",
     Verdict::kMayHaveRun, 0},
    {"no HTTP", "what?\r\n\r\n", Verdict::kMayHaveRun, 0},
    {"too large",
     "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
     Verdict::kMayHaveRun, 0},
};

// Guards against a truncated response that counts as complete, and against a
// request that is reported as not run though its bytes were sent.
BOOST_DATA_TEST_CASE(VerdictOfResponse, kCases, c) {
  RawServer server([&](RawSocket& connection, int) {
    if (ReadRequest(connection)) {
      connection.Send(c.response);
      connection.ShutdownWrite();
      connection.IsClosedWithin(std::chrono::seconds(1));
    }
  });
  Client client;
  auto call = MakeCall(server.Url(), c.method);
  call.max_response_bytes = 1000;
  const auto reply = client.SendAndWait(call);
  BOOST_TEST(reply.verdict == c.verdict);
  BOOST_TEST(reply.status == c.status);
  BOOST_TEST(reply.error.empty() == (c.verdict == Verdict::kRan));
  BOOST_TEST(server.Connections() == 1);
}

// Guards against a call that is reported as run, or not run, when its outcome
// is unknown.
BOOST_AUTO_TEST_CASE(VerdictWithoutResponse) {
  RawServer unresponsive([](RawSocket& connection, int) {
    connection.IsClosedWithin(std::chrono::seconds(2));
  });
  RawServer closing([](RawSocket&, int) {});
  RawServer late([](RawSocket& connection, int) {
    ReadRequest(connection);
    std::this_thread::sleep_for(2 * kShort);
    connection.Send(kOk);
  });
  Client client;
  auto call = MakeCall(unresponsive.Url());
  call.timeout = kShort;
  BOOST_TEST(client.SendAndWait(call).verdict == Verdict::kMayHaveRun);
  call.url = late.Url();
  BOOST_TEST(client.SendAndWait(call).verdict == Verdict::kMayHaveRun);
  call.url = closing.Url();
  BOOST_TEST(client.SendAndWait(call).verdict == Verdict::kMayHaveRun);
}

// Guards against a needless "may have run" where no byte can have been sent.
BOOST_AUTO_TEST_CASE(NotRunWhenNothingWasSent) {
  std::uint16_t refused_port = 0;
  {
    const RawServer closed([](RawSocket&, int) {});
    refused_port = static_cast<std::uint16_t>(
        std::stoi(closed.Url("").substr(sizeof("http://127.0.0.1:") - 1)));
  }
  const auto url = "http://127.0.0.1:" + std::to_string(refused_port) + "/";
  Client client;
  std::vector<Call> calls(7, MakeCall(url));
  calls[1].url = "ftp://127.0.0.1/";
  calls[2].url = "not a url";
  calls[3].method = "BAD METHOD";
  calls[4].headers = {{"Name", "value\r\nForged: x"}};
  calls[5].headers = {{"Bad name", "x"}};
  calls[6].timeout = Duration::zero();
  for (const auto& call : calls) {
    const auto reply = client.SendAndWait(call);
    BOOST_TEST(reply.verdict == Verdict::kNotRun);
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(!reply.error.empty());
  }
}

// Guards against a wrong verdict for a connection that was never made: the
// kernel ignores connection attempts while the accept queue is full.
BOOST_AUTO_TEST_CASE(NotRunWhenTheConnectTimesOut) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const RawSocket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  BOOST_REQUIRE(::bind(listener.Number(), generic, length) == 0);
  BOOST_REQUIRE(::listen(listener.Number(), 0) == 0);
  BOOST_REQUIRE(::getsockname(listener.Number(), generic, &length) == 0);
  const auto port = ntohs(address.sin_port);
  const auto filler = RawSocket::Connect(port);
  ClientOptions options;
  options.connect_timeout = kShort;
  Client client(options);
  const auto reply = client.SendAndWait(
      MakeCall("http://127.0.0.1:" + std::to_string(port) + "/"));
  BOOST_TEST(reply.verdict == Verdict::kNotRun);
}

// Guards against an unbounded queue, and against calls that a full host queue
// or a shutdown leaves without a reply, after the deadline (libcurl applies
// none to a call that waits for a connection) or with a wrong verdict.
BOOST_AUTO_TEST_CASE(FullQueueAndShutdown) {
  std::atomic<bool> finished = false;
  RawServer unresponsive([&](RawSocket& connection, int) {
    while (!finished && !connection.IsClosedWithin(kShort)) {
    }
  });
  std::vector<std::future<Reply>> replies;
  {
    ClientOptions options;
    options.max_queued_calls = 3;
    options.max_connections_per_host = 1;
    Client client(options);
    for (int i = 0; i < 4; ++i) {
      auto promise = std::make_shared<std::promise<Reply>>();
      replies.push_back(promise->get_future());
      auto call = MakeCall(unresponsive.Url());
      call.timeout = i == 1 ? kShort : Duration(std::chrono::seconds(10));
      client.Send(call, [promise](Reply reply) {
        promise->set_value(std::move(reply));
      });
    }
    BOOST_TEST(replies[3].get().verdict == Verdict::kNotRun);  // Queue full.
    const auto start = SystemClock().Now();
    BOOST_TEST(replies[1].get().verdict == Verdict::kNotRun);  // Never sent.
    BOOST_TEST((SystemClock().Now() - start < 5 * kShort));
  }
  finished = true;
  BOOST_TEST(replies[0].get().verdict == Verdict::kMayHaveRun);
  BOOST_TEST(replies[2].get().verdict == Verdict::kNotRun);
}

}  // namespace
}  // namespace shallotbank::http
