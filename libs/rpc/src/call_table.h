#pragma once

#include <kj/async.h>
#include <kj/time.h>

#include <cstddef>
#include <cstdint>
#include <map>

#include "rpc/reply.h"

namespace shallotbank::rpc {

/// The calls in flight on one connection of a server.
class CallTable {
 public:
  /// Calls that outlive the connection keep the capability alive, so the table
  /// is shared with the capability.
  explicit CallTable(kj::TimePoint now) : last_call_time(now) {}

  auto RecordCall(kj::TimePoint now) -> void { this->last_call_time = now; }
  auto LastCallTime() const -> kj::TimePoint { return this->last_call_time; }

  auto Add(std::size_t bytes,
           kj::Own<kj::PromiseFulfiller<AnyResponse>> fulfiller)
      -> std::uint64_t {
    const auto id = this->next_id++;
    this->calls.emplace(id, PendingCall{bytes, 0, kj::mv(fulfiller)});
    this->request_bytes += bytes;
    return id;
  }

  /// Completes the call with a response, or with an exception in `Reject`.
  /// Returns false if the call is not in flight.
  auto Respond(std::uint64_t id, std::size_t bytes, AnyResponse response)
      -> bool {
    const auto call = this->calls.find(id);
    if (call == this->calls.end()) {
      return false;
    }
    call->second.response_bytes = bytes;
    this->response_bytes += bytes;
    call->second.fulfiller->fulfill(kj::mv(response));
    return true;
  }
  auto Reject(std::uint64_t id, kj::Exception error) -> bool {
    const auto call = this->calls.find(id);
    if (call == this->calls.end()) {
      return false;
    }
    call->second.fulfiller->reject(kj::mv(error));
    return true;
  }

  /// Removes a call that has returned or was cancelled.
  auto Remove(std::uint64_t id) -> void {
    const auto call = this->calls.find(id);
    this->request_bytes -= call->second.request_bytes;
    this->response_bytes -= call->second.response_bytes;
    this->calls.erase(call);
  }

  auto Size() const -> std::size_t { return this->calls.size(); }
  auto RequestBytes() const -> std::size_t { return this->request_bytes; }
  /// Bytes of responses that have not been written to the connection yet.
  auto ResponseBytes() const -> std::size_t { return this->response_bytes; }

 private:
  struct PendingCall {
    std::size_t request_bytes = 0;
    std::size_t response_bytes = 0;
    kj::Own<kj::PromiseFulfiller<AnyResponse>> fulfiller;
  };

  kj::TimePoint last_call_time;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, PendingCall> calls;
  std::size_t request_bytes = 0;
  std::size_t response_bytes = 0;
};

}  // namespace shallotbank::rpc
