#include <algorithm>
#include <filesystem>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/bounded_ring.h"
#include "http/server.h"
#include "open_requests.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

using PendingRequests = BoundedRing<std::pair<std::string, Responder>>;

constexpr Duration kWait = std::chrono::seconds(5);

auto Get(const std::string& path) -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// A server that queues its requests until the test responds to them.
struct DeferringServer {
  explicit DeferringServer(const ServerOptions& options = {})
      : server(options, [this](const Request& request, Responder responder) {
          this->pending.TryPush({request.path, std::move(responder)});
        }) {
    BOOST_REQUIRE(this->server.Start());
  }
  auto Take() -> std::pair<std::string, Responder> {
    auto item = this->pending.Pop(kWait);
    BOOST_REQUIRE(item.has_value());
    return std::move(*item);
  }

  PendingRequests pending = PendingRequests(256);
  Server server;
};

auto Pattern(std::size_t size) -> std::string {
  std::string text(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    text[i] = static_cast<char>('a' + (i / 7 + i) % 26);
  }
  return text;
}

// Guards against pipelined requests that are dropped (Pistache drops what
// follows the first in a read) or get their responses out of order.
BOOST_AUTO_TEST_CASE(PipelinedResponsesKeepOrder) {
  DeferringServer deferring;
  auto client = RawSocket::Connect(deferring.server.Port());
  constexpr int kRequests = 20;
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  client.Send(requests);
  std::vector<std::pair<std::string, Responder>> taken;
  for (int i = 0; i < kRequests; ++i) {
    taken.push_back(deferring.Take());
  }
  BOOST_TEST(deferring.server.OpenRequests() == std::size_t{kRequests});
  std::reverse(taken.begin(), taken.end());
  for (auto& [path, responder] : taken) {
    BOOST_TEST(responder.Send({200, {}, path}));
  }
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(client.ReadResponse().body == "/" + std::to_string(i));
  }
  BOOST_TEST(WaitUntilCompleted(deferring.server));
}

// Guards against one client that exhausts memory with pipelined requests.
BOOST_AUTO_TEST_CASE(TooManyPipelinedRequestsAreRefused) {
  Metrics metrics;
  ServerOptions options;
  options.max_pipelined_requests = 2;
  options.metrics = &metrics;
  DeferringServer deferring(options);
  auto client = RawSocket::Connect(deferring.server.Port());
  client.Send(Get("/0") + Get("/1") + Get("/2") + Get("/3"));
  const auto refused = [&metrics] {
    return metrics.Value("http_refused_total", "too_many_pipelined_requests");
  };
  while (refused() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  for (int i = 0; i < 2; ++i) {
    auto [path, responder] = deferring.Take();
    responder.Send({200, {}, path});
  }
  BOOST_TEST(client.ReadResponse().body == "/0");
  BOOST_TEST(client.ReadResponse().body == "/1");
  BOOST_TEST(client.ReadResponse().status == 429);
  BOOST_TEST(client.IsClosedWithin(kWait));
  BOOST_TEST(deferring.pending.Size() == 0U);
}

// Guards against responses that are truncated or interleaved by partial
// writes.
BOOST_AUTO_TEST_CASE(SlowReaderGetsWholeResponses) {
  ServerOptions options;
  options.max_waiting_bytes_per_connection = 64 << 20;
  DeferringServer deferring(options);
  auto client = RawSocket::Connect(deferring.server.Port(), 4096);
  client.Send(Get("/a") + Get("/b"));
  const auto body = Pattern(12 << 20);  // More than the kernel buffers.
  auto first = deferring.Take();
  auto second = deferring.Take();
  BOOST_TEST(second.second.Send({200, {}, body + "b"}));
  BOOST_TEST(first.second.Send({200, {}, body + "a"}));
  BOOST_TEST(deferring.server.OpenRequests() == 2U);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  BOOST_TEST((client.ReadResponse().body == body + "a"));
  BOOST_TEST((client.ReadResponse().body == body + "b"));
  BOOST_TEST(WaitUntilCompleted(deferring.server));
}

// Guards against responses that accumulate for a client that does not read.
BOOST_AUTO_TEST_CASE(ByteLimitClosesTheConnection) {
  Metrics metrics;
  ServerOptions options;
  options.max_waiting_bytes_per_connection = 4 << 20;
  options.metrics = &metrics;
  DeferringServer deferring(options);
  auto client = RawSocket::Connect(deferring.server.Port(), 4096);
  constexpr int kRequests = 12;
  for (int i = 0; i < kRequests; ++i) {
    client.Send(Get("/"));
  }
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    sent += deferring.Take().second.Send({200, {}, Pattern(1 << 20)}) ? 1 : 0;
  }
  BOOST_TEST(sent >= 3);
  BOOST_TEST(sent < kRequests);
  BOOST_TEST(client.IsClosedWithin(kWait));
  BOOST_TEST(WaitUntilCompleted(deferring.server));
  BOOST_TEST(metrics.Value("http_connections_closed_total", "byte_limit") ==
             1U);
}

// Guards against a client that never reads and holds memory indefinitely.
BOOST_AUTO_TEST_CASE(WriteTimeoutClosesTheConnection) {
  Metrics metrics;
  ServerOptions options;
  options.write_timeout = std::chrono::milliseconds(200);
  options.max_waiting_bytes_per_connection = 64 << 20;
  options.metrics = &metrics;
  DeferringServer deferring(options);
  auto client = RawSocket::Connect(deferring.server.Port(), 4096);
  client.Send(Get("/"));
  BOOST_TEST(deferring.Take().second.Send({200, {}, Pattern(32 << 20)}));
  BOOST_TEST(deferring.server.OpenRequests() == 1U);
  BOOST_TEST(WaitUntilCompleted(deferring.server));
  BOOST_TEST(metrics.Value("http_connections_closed_total", "write_timeout") ==
             1U);
}

// Guards against a response that is withheld from a client that has closed only
// its sending side.
BOOST_AUTO_TEST_CASE(HalfClosedClientGetsResponse) {
  DeferringServer deferring;
  auto client = RawSocket::Connect(deferring.server.Port());
  client.Send(Get("/a"));
  client.ShutdownWrite();
  auto request = deferring.Take();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  BOOST_TEST(request.second.Send({200, {}, "whole"}));
  BOOST_TEST(client.ReadResponse().body == "whole");
  BOOST_TEST(client.IsClosedWithin(kWait));
}

// Guards against sockets that leak with each connection. Pistache itself
// leaks two eventfds for each thread of a server.
BOOST_AUTO_TEST_CASE(NoSocketLeaks) {
  const auto count = [] {
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::count_if(begin(files), end(files), [](const auto& file) {
      std::error_code ignored;
      return std::filesystem::read_symlink(file, ignored)
          .string()
          .starts_with("socket:");
    });
  };
  const auto before = count();
  for (int round = 0; round < 5; ++round) {
    DeferringServer deferring;
    std::vector<RawSocket> clients;
    for (int i = 0; i < 20; ++i) {
      clients.push_back(RawSocket::Connect(deferring.server.Port()));
      clients.back().Send(Get("/"));
    }
    for (int i = 0; i < 20; ++i) {
      auto request = deferring.Take();
      if (i % 2 == 0) {
        request.second.Send({200, {}, "x"});
      }
    }
    clients.erase(clients.begin() + 10, clients.end());
  }
  BOOST_TEST(count() == before);
}

}  // namespace
}  // namespace shallotbank::http
