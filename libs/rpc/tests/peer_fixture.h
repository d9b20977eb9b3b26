#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace shallotbank::rpc {

using namespace std::chrono_literals;

/// Waits until `condition` holds; returns false after `limit`.
template <typename Condition>
auto WaitFor(Condition condition, Duration limit = 10s) -> bool {
  const auto end = SystemClock().Now() + limit;
  while (!condition()) {
    if (SystemClock().Now() > end) {
      return false;
    }
    std::this_thread::sleep_for(1ms);
  }
  return true;
}

/// Echoes the fields of requests. The kind of an `explain` call selects the
/// response: "hold" keeps the reply, "fail" fails it, "drop" destroys it and
/// "big" returns as many bytes as the id says.
class TestHandler {
 public:
  auto Handle(HeartbeatRequest request, Reply<HeartbeatResponse> reply)
      -> void {
    reply.Send({.callee = std::move(request.sender)});
  }
  auto Handle(const WitnessRequest& request, Reply<WitnessResponse> reply)
      -> void {
    reply.Send({.highest_seen = request.epoch + 1});
  }
  auto Handle(ReadRecordsRequest request, Reply<ReadRecordsResponse> reply)
      -> void {
    const std::string data("\0\xff binary", 9);
    reply.Send({.records = {{.offset = request.from, .data = data},
                            {.offset = request.from + 1, .data = ""}},
                .first = 3,
                .next = request.from + request.max});
  }
  auto Handle(const JobStatusRequest& request, Reply<JobStatusResponse> reply)
      -> void {
    JobStatusResponse response;
    for (const auto& job : request.jobs) {
      response.jobs.push_back(
          {.job = job, .owned = job.Text() == "b", .status_json = "{}"});
    }
    reply.Send(std::move(response));
  }
  auto Handle(const ListJobsRequest& request, Reply<ListJobsResponse> reply)
      -> void {
    const JobId job(request.team.Text() + std::to_string(request.max));
    reply.Send({.jobs = {{.job = job, .owned = true, .status_json = "[]"}},
                .next_cursor = request.cursor + "+"});
  }
  auto Handle(ForwardRequest request, Reply<ForwardResponse> reply) -> void {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.deadline_left);
    request.headers.push_back({"Left", std::to_string(left.count())});
    reply.Send(
        {.verdict = Verdict::kRan,
         .status = static_cast<std::uint16_t>(request.idempotent ? 200 : 201),
         .headers = std::move(request.headers),
         .body = request.service.Text() + request.team.Text() +
                 request.profile.Text() + request.request_id.Text() +
                 request.body,
         .reason = "none"});
  }
  auto Handle(const ExplainRequest& request, Reply<ExplainResponse> reply)
      -> void {
    if (request.kind == "hold") {
      std::lock_guard lock(this->mutex);
      this->held.push_back(std::move(reply));
    } else if (request.kind == "fail") {
      reply.Fail("cannot explain " + request.id);
    } else if (request.kind == "big") {
      reply.Send({.json = std::string(std::stoul(request.id), 'x')});
    } else if (request.kind != "drop") {
      reply.Send({.json = request.kind + request.id});
    }
  }

  auto HeldReplyCount() -> std::size_t {
    std::lock_guard lock(this->mutex);
    return this->held.size();
  }
  auto TakeHeldReplies() -> std::vector<Reply<ExplainResponse>> {
    std::lock_guard lock(this->mutex);
    return std::exchange(this->held, {});
  }

 private:
  std::mutex mutex;
  std::vector<Reply<ExplainResponse>> held;
};

/// A server with its handler and metrics.
struct TestPeer {
  explicit TestPeer(PeerServerOptions options = {}) {
    options.metrics = &this->metrics;
    this->server = std::make_unique<PeerServer>(options, this->handler);
    BOOST_REQUIRE(this->server->Start());
  }
  auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  Metrics metrics;
  TestHandler handler;
  std::unique_ptr<PeerServer> server;
};

/// Starts a call and returns a future of its result.
template <typename Request>
auto CallAsync(PeerClient& client,
               const std::string& address,
               Request request,
               Duration timeout = 10s)
    -> std::future<CallResult<typename Request::Response>> {
  using Result = CallResult<typename Request::Response>;
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  client.Call(address, std::move(request), timeout, [promise](Result result) {
    promise->set_value(std::move(result));
  });
  return future;
}

template <typename Request>
auto CallAndWait(PeerClient& client,
                 const std::string& address,
                 Request request,
                 Duration timeout = 10s)
    -> CallResult<typename Request::Response> {
  return CallAsync(client, address, std::move(request), timeout).get();
}

}  // namespace shallotbank::rpc
