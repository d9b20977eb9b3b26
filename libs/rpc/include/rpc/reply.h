#pragma once

#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "rpc/messages.h"

namespace shallotbank::rpc {

/// The call failed without a response; the caller gets `message` and
/// kMayHaveRun.
struct CallError {
  std::string message;
};

using ReplyOutcome = std::variant<CallError, AnyResponse>;

/// Responds to one call, at most once, from any thread. Destroying an unused
/// reply sends an error. A reply may outlive the server.
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

  /// Does nothing if the reply has already been used.
  auto Send(Response response) -> void {
    this->Complete(AnyResponse(std::move(response)));
  }
  auto Fail(std::string message) -> void {
    if (this->deliver) {
      this->Complete(CallError{std::move(message)});
    }
  }

 private:
  auto Complete(ReplyOutcome outcome) -> void {
    if (const auto callback = std::exchange(this->deliver, nullptr)) {
      callback(std::move(outcome));
    }
  }

  Deliver deliver;
};

/// A received call and the means to respond to it.
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
