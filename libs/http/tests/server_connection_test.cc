#include <algorithm>
#include <filesystem>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/bounded_ring.h"
#include "http/server.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

using Held = BoundedRing<std::pair<std::string, Responder>>;

constexpr Duration kWait = std::chrono::seconds(5);

auto Get(const std::string& path) -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// A server that keeps its requests for the test to answer.
struct HoldingServer {
  explicit HoldingServer(const ServerOptions& options = {})
      : server(options, [this](const Request& request, Responder responder) {
          this->held.TryPush({request.path, std::move(responder)});
        }) {
    BOOST_REQUIRE(this->server.Start());
  }
  auto Take() -> std::pair<std::string, Responder> {
    auto item = this->held.Pop(kWait);
    BOOST_REQUIRE(item.has_value());
    return std::move(*item);
  }

  Held held = Held(256);
  Server server;
};

auto WaitUntilAnswered(const Server& server) -> bool {
  for (int i = 0; i < 2000 && server.OpenRequests() > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return server.OpenRequests() == 0;
}

auto Pattern(std::size_t size) -> std::string {
  std::string text(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    text[i] = static_cast<char>('a' + (i / 7 + i) % 26);
  }
  return text;
}

// Guards against pipelined requests that are dropped (Pistache drops what
// follows the first in a read) or answered out of order.
BOOST_AUTO_TEST_CASE(PipelinedAnswersKeepTheOrder) {
  HoldingServer holding;
  auto caller = RawSocket::Connect(holding.server.Port());
  constexpr int kRequests = 20;
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  caller.Send(requests);
  std::vector<std::pair<std::string, Responder>> taken;
  for (int i = 0; i < kRequests; ++i) {
    taken.push_back(holding.Take());
  }
  BOOST_TEST(holding.server.OpenRequests() == std::size_t{kRequests});
  std::reverse(taken.begin(), taken.end());
  for (auto& [path, responder] : taken) {
    BOOST_TEST(responder.Send({200, {}, path}));
  }
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(caller.ReadAnswer().body == "/" + std::to_string(i));
  }
  BOOST_TEST(WaitUntilAnswered(holding.server));
}

// Guards against one caller that fills the memory with requests.
BOOST_AUTO_TEST_CASE(TooManyPipelinedRequestsAreRefused) {
  Metrics metrics;
  ServerOptions options;
  options.max_pipelined_requests = 2;
  options.metrics = &metrics;
  HoldingServer holding(options);
  auto caller = RawSocket::Connect(holding.server.Port());
  caller.Send(Get("/0") + Get("/1") + Get("/2") + Get("/3"));
  const auto refused = [&metrics] {
    return metrics.Value("http_refused_total", "too_many_pipelined_requests");
  };
  while (refused() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  for (int i = 0; i < 2; ++i) {
    auto [path, responder] = holding.Take();
    responder.Send({200, {}, path});
  }
  BOOST_TEST(caller.ReadAnswer().body == "/0");
  BOOST_TEST(caller.ReadAnswer().body == "/1");
  BOOST_TEST(caller.ReadAnswer().status == 429);
  BOOST_TEST(caller.IsClosedWithin(kWait));
  BOOST_TEST(holding.held.Size() == 0U);
}

// Guards against answers that are cut or mixed when the socket takes only part
// of them.
BOOST_AUTO_TEST_CASE(SlowReaderGetsEveryByte) {
  ServerOptions options;
  options.max_waiting_bytes_per_connection = 64 << 20;
  HoldingServer holding(options);
  auto caller = RawSocket::Connect(holding.server.Port(), 4096);
  caller.Send(Get("/a") + Get("/b"));
  const auto body = Pattern(12 << 20);  // More than the kernel takes at once.
  auto first = holding.Take();
  auto second = holding.Take();
  BOOST_TEST(second.second.Send({200, {}, body + "b"}));
  BOOST_TEST(first.second.Send({200, {}, body + "a"}));
  BOOST_TEST(holding.server.OpenRequests() == 2U);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  BOOST_TEST((caller.ReadAnswer().body == body + "a"));
  BOOST_TEST((caller.ReadAnswer().body == body + "b"));
  BOOST_TEST(WaitUntilAnswered(holding.server));
}

// Guards against answers that pile up for a caller that does not read.
BOOST_AUTO_TEST_CASE(ByteLimitClosesTheConnection) {
  Metrics metrics;
  ServerOptions options;
  options.max_waiting_bytes_per_connection = 4 << 20;
  options.metrics = &metrics;
  HoldingServer holding(options);
  auto caller = RawSocket::Connect(holding.server.Port(), 4096);
  constexpr int kRequests = 12;
  for (int i = 0; i < kRequests; ++i) {
    caller.Send(Get("/"));
  }
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    sent += holding.Take().second.Send({200, {}, Pattern(1 << 20)}) ? 1 : 0;
  }
  BOOST_TEST(sent >= 3);
  BOOST_TEST(sent < kRequests);
  BOOST_TEST(caller.IsClosedWithin(kWait));
  BOOST_TEST(holding.server.OpenRequests() == 0U);
  BOOST_TEST(metrics.Value("http_connections_closed_total", "byte_limit") ==
             1U);
}

// Guards against a caller that never reads and holds memory for good.
BOOST_AUTO_TEST_CASE(WriteTimeoutClosesTheConnection) {
  Metrics metrics;
  ServerOptions options;
  options.write_timeout = std::chrono::milliseconds(200);
  options.max_waiting_bytes_per_connection = 64 << 20;
  options.metrics = &metrics;
  HoldingServer holding(options);
  auto caller = RawSocket::Connect(holding.server.Port(), 4096);
  caller.Send(Get("/"));
  BOOST_TEST(holding.Take().second.Send({200, {}, Pattern(32 << 20)}));
  BOOST_TEST(holding.server.OpenRequests() == 1U);
  BOOST_TEST(WaitUntilAnswered(holding.server));
  BOOST_TEST(metrics.Value("http_connections_closed_total", "write_timeout") ==
             1U);
}

// Guards against an answer that is withheld from a caller that has closed its
// sending side only.
BOOST_AUTO_TEST_CASE(HalfClosedCallerGetsTheAnswer) {
  HoldingServer holding;
  auto caller = RawSocket::Connect(holding.server.Port());
  caller.Send(Get("/a"));
  caller.EndSending();
  auto request = holding.Take();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  BOOST_TEST(request.second.Send({200, {}, "whole"}));
  BOOST_TEST(caller.ReadAnswer().body == "whole");
  BOOST_TEST(caller.IsClosedWithin(kWait));
}

// Guards against sockets that are lost with each connection. Pistache itself
// loses two eventfds for each thread of a server.
BOOST_AUTO_TEST_CASE(NoSocketIsLost) {
  const auto count = [] {
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::count_if(begin(files), end(files), [](const auto& file) {
      std::error_code gone;
      return std::filesystem::read_symlink(file, gone)
          .string()
          .starts_with("socket:");
    });
  };
  const auto before = count();
  for (int round = 0; round < 5; ++round) {
    HoldingServer holding;
    std::vector<RawSocket> callers;
    for (int i = 0; i < 20; ++i) {
      callers.push_back(RawSocket::Connect(holding.server.Port()));
      callers.back().Send(Get("/"));
    }
    for (int i = 0; i < 20; ++i) {
      auto request = holding.Take();
      if (i % 2 == 0) {
        request.second.Send({200, {}, "x"});
      }
    }
    callers.erase(callers.begin() + 10, callers.end());
  }
  BOOST_TEST(count() == before);
}

}  // namespace
}  // namespace shallotbank::http
