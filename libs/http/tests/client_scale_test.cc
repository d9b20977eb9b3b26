#include <algorithm>
#include <future>
#include <mutex>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "http/server.h"

namespace shallotbank::http {
namespace {

/// Long polls that the leader of a cell of 350 workers keeps open.
constexpr int kOpenPolls = 350;
constexpr int kMeasuredCalls = 300;
constexpr auto kPollTime = std::chrono::seconds(60);

struct Case {
  const char* name;
  /// Calls that are in flight at a time.
  int calls_at_once;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Case> kCases{{"one call", 1}, {"ten calls", 10}};

/// Every worker has an address of its own.
auto MakeCall(int worker, std::uint16_t port, const std::string& path) -> Call {
  Call call;
  call.url = "http://127.0." + std::to_string(worker / 250) + '.' +
             std::to_string(worker % 250 + 1) + ':' + std::to_string(port) +
             path;
  call.timeout = kPollTime;
  return call;
}

/// Sends `calls_at_once` calls and returns the client's processor time.
auto MeasureRound(Client& client, std::uint16_t port, int calls_at_once)
    -> Duration {
  const auto before = client.Stats().processor_time;
  std::vector<std::promise<Reply>> replies(
      static_cast<std::size_t>(calls_at_once));
  for (int worker = 0; worker < calls_at_once; worker++) {
    auto& reply = replies[static_cast<std::size_t>(worker)];
    client.Send(MakeCall(worker, port, "/order"), [&reply](Reply received) {
      reply.set_value(std::move(received));
    });
  }
  for (auto& reply : replies) {
    BOOST_REQUIRE_EQUAL(reply.get_future().get().status, 200);
  }
  return client.Stats().processor_time - before;
}

auto Median(std::vector<Duration> rounds) -> Duration {
  const auto middle = rounds.begin() + std::ssize(rounds) / 2;
  std::nth_element(rounds.begin(), middle, rounds.end());
  return *middle;
}

// Guards against a client whose work for each call grows with the open calls.
BOOST_DATA_TEST_CASE(CostOfACallDoesNotGrowWithOpenCalls, kCases, c) {
  std::mutex mutex;
  std::vector<Responder> held;
  ServerOptions options;
  options.address = "0.0.0.0";
  options.keep_alive_timeout = kPollTime;
  Server server(options, [&](const Request& request, Responder responder) {
    if (request.path == "/order") {
      responder.Send({200, {}, "ok"});
      return;
    }
    const std::lock_guard lock(mutex);
    held.push_back(std::move(responder));
  });
  BOOST_REQUIRE(server.Start());
  Client idle;
  Client polling;
  for (int i = 0; i < kOpenPolls; i++) {
    polling.Send(MakeCall(i, server.Port(), "/poll"), [](const Reply&) {});
  }
  while (server.OpenRequests() < kOpenPolls) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::vector<Duration> idle_rounds;
  std::vector<Duration> polling_rounds;
  for (int i = 0; i < kMeasuredCalls / c.calls_at_once; i++) {
    idle_rounds.push_back(MeasureRound(idle, server.Port(), c.calls_at_once));
    polling_rounds.push_back(
        MeasureRound(polling, server.Port(), c.calls_at_once));
  }
  const auto alone = Median(std::move(idle_rounds));
  const auto beside_polls = Median(std::move(polling_rounds));
  BOOST_TEST_MESSAGE(c.name << ": " << alone.count() / 1000 << " us alone, "
                            << beside_polls.count() / 1000 << " us beside "
                            << kOpenPolls << " polls");
  BOOST_TEST(beside_polls.count() < 2 * alone.count());
}

}  // namespace
}  // namespace shallotbank::http
