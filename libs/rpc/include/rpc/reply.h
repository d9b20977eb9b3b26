#pragma once

#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "rpc/messages.h"

namespace shallotbank::rpc {

/// The call has no answer; the caller gets `message` and kMayHaveRun.
struct CallError {
  std::string message;
};

using ReplyOutcome = std::variant<CallError, AnyResponse>;

/// The right to answer one call, once, from any thread. Dropping an unused
/// reply answers an error. A reply may outlive the server.
template <typename Response>
class Reply {
 public:
  using Deliver = std::function<void(ReplyOutcome)>;

  explicit Reply(Deliver deliver) : deliver(std::move(deliver)) {}
  ~Reply() { this->Fail("the reply was dropped"); }
  Reply(Reply&& other) noexcept
      : deliver(std::exchange(other.deliver, nullptr)) {}
  auto operator=(Reply&& other) noexcept -> Reply& {
    if (this != &other) {
      this->Fail("the reply was dropped");
      this->deliver = std::exchange(other.deliver, nullptr);
    }
    return *this;
  }
  Reply(const Reply&) = delete;
  auto operator=(const Reply&) -> Reply& = delete;

  /// Does nothing if the reply was used before.
  auto Send(Response response) -> void {
    this->Use(AnyResponse(std::move(response)));
  }
  auto Fail(std::string message) -> void {
    if (this->deliver) {
      this->Use(CallError{std::move(message)});
    }
  }

 private:
  auto Use(ReplyOutcome outcome) -> void {
    if (const auto once = std::exchange(this->deliver, nullptr)) {
      once(std::move(outcome));
    }
  }

  Deliver deliver;
};

/// A call that arrived, with the right to answer it.
template <typename Request>
struct Incoming {
  Request request;
  Reply<typename Request::Response> reply;
};

using IncomingCall = std::variant<Incoming<HeartbeatRequest>,
                                  Incoming<WitnessRequest>,
                                  Incoming<ReadRecordsRequest>,
                                  Incoming<JobStatusRequest>,
                                  Incoming<ListJobsRequest>,
                                  Incoming<ForwardRequest>,
                                  Incoming<ExplainRequest>>;

}  // namespace shallotbank::rpc
