#include <atomic>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/server.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

constexpr Duration kWait = std::chrono::seconds(4);

struct Case {
  const char* name;
  std::string bytes;
  int status;
  std::string field = {};  // Named by the body of a refusal.
  bool is_closed = true;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

auto Header(const std::string& lines) -> std::string {
  return "POST /p HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n";
}

const std::vector<Case> kCases{
    {"plain", Header("Content-Length: 3\r\n") + "abc", 200, "", false},
    {"empty lines first", "\r\n\r\n" + Header("Content-Length: 3\r\n") + "abc",
     200, "", false},
    {"chunked",
     Header("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n", 200,
     "", false},
    {"absolute form", "GET http://a/p?q HTTP/1.1\r\nHost: a\r\n\r\n", 200, "",
     false},
    {"close asked", Header("Connection: close\r\n"), 200},
    {"HTTP/1.0", "GET /p HTTP/1.0\r\n\r\n", 200},
    {"HTTP/1.0 keep-alive", "GET /p HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
     200, "", false},
    {"binary input", "\x01\x02\x03\r\n\r\n", 400, "method"},
    {"no target", "GET\r\n\r\n", 400, "method"},
    {"relative target", "GET p HTTP/1.1\r\nHost: a\r\n\r\n", 400, "target"},
    {"no Host", "GET /p HTTP/1.1\r\n\r\n", 400, "Host"},
    {"wrong version", "GET /p HTTP/3.0\r\nHost: a\r\n\r\n", 505, "version"},
    {"length with text", Header("Content-Length: 3abc\r\n") + "abc", 400,
     "Content-Length"},
    {"negative length", Header("Content-Length: -1\r\n"), 400,
     "Content-Length"},
    {"two lengths",
     Header("Content-Length: 3\r\nContent-Length: 5\r\n") + "abcde", 400,
     "Content-Length"},
    {"length and chunked",
     Header("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "abc", 400,
     "Transfer-Encoding"},
    {"bad chunk", Header("Transfer-Encoding: chunked\r\n") + "zz\r\nabc", 400,
     "body"},
    {"space in a name", Header("Bad Name: x\r\n"), 400, "header"},
    {"control character in a value", Header("Name: \x01\r\n"), 400, "header"},
    {"bare line feeds", "GET /p HTTP/1.1\nHost: a\n\n", 505, "version"},
    {"bare line feed in a header", Header("A: b\nC: d\r\n"), 400, "header"},
    {"body too large by length", Header("Content-Length: 5000\r\n"), 413,
     "body"},
    {"body too large by chunks",
     Header("Transfer-Encoding: chunked\r\n") + "1388\r\n" +
         std::string(5000, 'x'),
     413, "body"},
    {"header too large", Header("Name: " + std::string(3000, 'x') + "\r\n"),
     431, "header"},
    {"endless header", "GET /" + std::string(3000, 'x'), 431, "header"},
    {"incomplete request line", "GET /p HT", 408, "header"},
    {"incomplete header", "GET /p HTTP/1.1\r\nHost: a\r\nNam", 408, "header"},
    {"incomplete body", Header("Content-Length: 3\r\n") + "a", 408, "body"},
    {"silent", "", 0},
};

auto Options() -> ServerOptions {
  ServerOptions options;
  options.max_header_bytes = 2000;
  options.max_request_bytes = 4000;
  options.header_timeout = std::chrono::milliseconds(200);
  options.body_timeout = std::chrono::milliseconds(200);
  options.keep_alive_timeout = std::chrono::milliseconds(400);
  return options;
}

// Guards against input that is misparsed, gets no response, or is held
// forever. Pistache 0.0.5 accepts wrong lengths and does not respond to binary
// input.
BOOST_DATA_TEST_CASE(EachInputGetsExpectedResponse, kCases, c) {
  std::atomic<int> handled = 0;
  Server server(Options(), [&](const Request& request, Responder responder) {
    handled++;
    responder.Send({200, {}, request.path});
  });
  BOOST_REQUIRE(server.Start());
  const auto start = SystemClock().Now();
  auto client = RawSocket::Connect(server.Port());
  client.Send(c.bytes);
  const auto response = client.ReadResponse(kWait);
  BOOST_TEST(response.status == c.status);
  BOOST_TEST(handled == (c.status == 200 ? 1 : 0));
  if (c.status == 200) {
    BOOST_TEST(response.body == "/p");
  } else if (c.status != 0) {
    BOOST_TEST(response.body.find("\"field\":\"" + c.field + "\"") !=
               std::string::npos);
    BOOST_TEST(response.body.find("\"not-run\"") != std::string::npos);
  }
  if (c.is_closed) {
    BOOST_TEST((c.status == 0 || response.header.find("Connection: close") !=
                                     std::string::npos));
    BOOST_TEST(client.IsClosedWithin(kWait));
  } else {
    client.Send("HEAD /p HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto head = client.ReadResponse(kWait, false);
    BOOST_TEST(head.status == 200);
    BOOST_TEST(head.header.find("Content-Length: 2") != std::string::npos);
    BOOST_TEST(client.IsClosedWithin(kWait));
    BOOST_TEST(client.Input().empty());
  }
  BOOST_TEST((SystemClock().Now() - start < kWait));
}

// Guards against a refusal that is lost to a connection reset while the
// client still sends its oversized body.
BOOST_AUTO_TEST_CASE(RefusalReachesClientThatStillSends) {
  Server server(Options(), [](const Request&, const Responder&) {});
  BOOST_REQUIRE(server.Start());
  auto client = RawSocket::Connect(server.Port());
  client.Send(Header("Content-Length: 1000000\r\n"));
  client.Send(std::string(1'000'000, 'x'));
  BOOST_TEST(client.ReadResponse().status == 413);
}

// Guards against a request sent byte by byte that holds a connection
// indefinitely.
BOOST_AUTO_TEST_CASE(TricklingRequestTimesOut) {
  Server server(Options(), [](const Request&, const Responder&) {});
  BOOST_REQUIRE(server.Start());
  auto client = RawSocket::Connect(server.Port());
  const auto start = SystemClock().Now();
  client.Send("GET /");
  while (SystemClock().Now() - start < kWait &&
         !client.ReadSome(std::chrono::milliseconds(20))) {
    client.Send("x");
  }
  BOOST_TEST(client.ReadResponse().status == 408);
  BOOST_TEST((SystemClock().Now() - start < std::chrono::seconds(2)));
}

// Guards against a slow response that is replaced by a connection timeout, as
// Pistache's idle timer does with its 408.
BOOST_AUTO_TEST_CASE(SlowHandlerDoesNotTimeOut) {
  Server server(Options(), [](const Request&, Responder responder) {
    std::thread([held = std::move(responder)]() mutable {
      std::this_thread::sleep_for(std::chrono::milliseconds(900));
      held.Send({200, {}, "slow"});
    }).detach();
  });
  BOOST_REQUIRE(server.Start());
  auto client = RawSocket::Connect(server.Port());
  client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(client.ReadResponse().body == "slow");
}

// Guards against a client that waits one second before it sends its body.
BOOST_AUTO_TEST_CASE(ContinueIsSent) {
  Server server(Options(), [](const Request& request, Responder responder) {
    responder.Send({200, {}, request.body});
  });
  BOOST_REQUIRE(server.Start());
  auto client = RawSocket::Connect(server.Port());
  client.Send(Header("Content-Length: 3\r\nExpect: 100-continue\r\n"));
  BOOST_TEST(client.ReadResponse(kWait, false).status == 100);
  client.Send("abc");
  BOOST_TEST(client.ReadResponse().body == "abc");
}

// Guards against more connections than there are file descriptors for.
BOOST_AUTO_TEST_CASE(TooManyConnectionsAreRefused) {
  auto options = Options();
  options.max_connections = 2;
  Server server(options, [](const Request&, const Responder&) {});
  BOOST_REQUIRE(server.Start());
  auto first = RawSocket::Connect(server.Port());
  auto second = RawSocket::Connect(server.Port());
  auto third = RawSocket::Connect(server.Port());
  const auto response = third.ReadResponse();
  BOOST_TEST(response.status == 503);
  BOOST_TEST(response.body.find("too_many_connections") != std::string::npos);
  BOOST_TEST(third.IsClosedWithin(kWait));
}

}  // namespace
}  // namespace shallotbank::http
