#pragma once

#include <kj/async.h>
#include <kj/time.h>

#include <cstddef>
#include <cstdint>
#include <map>

#include "rpc/reply.h"

namespace shallotbank::rpc {

/// The open calls of one connection of a server.
class CallTable {
 public:
  /// The capability is kept alive by calls that outlive the connection, so the
  /// table is shared with it.
  explicit CallTable(kj::TimePoint now) : last_call(now) {}

  auto Touch(kj::TimePoint now) -> void { this->last_call = now; }
  auto LastCall() const -> kj::TimePoint { return this->last_call; }

  auto Add(std::size_t bytes, kj::Own<kj::PromiseFulfiller<AnyResponse>> answer)
      -> std::uint64_t {
    const auto id = this->next_id++;
    this->calls.emplace(id, OpenCall{bytes, 0, kj::mv(answer)});
    this->request_bytes += bytes;
    return id;
  }

  /// Ends the call with an answer or an exception. False if it is not open.
  auto Answer(std::uint64_t id, std::size_t bytes, AnyResponse response)
      -> bool {
    const auto call = this->calls.find(id);
    if (call == this->calls.end()) {
      return false;
    }
    call->second.answer_bytes = bytes;
    this->answer_bytes += bytes;
    call->second.answer->fulfill(kj::mv(response));
    return true;
  }
  auto Reject(std::uint64_t id, kj::Exception error) -> bool {
    const auto call = this->calls.find(id);
    if (call == this->calls.end()) {
      return false;
    }
    call->second.answer->reject(kj::mv(error));
    return true;
  }

  /// The call has returned or was cancelled.
  auto Remove(std::uint64_t id) -> void {
    const auto call = this->calls.find(id);
    this->request_bytes -= call->second.request_bytes;
    this->answer_bytes -= call->second.answer_bytes;
    this->calls.erase(call);
  }

  auto Size() const -> std::size_t { return this->calls.size(); }
  auto RequestBytes() const -> std::size_t { return this->request_bytes; }
  /// Bytes of answers that were given but have not reached the connection.
  auto AnswerBytes() const -> std::size_t { return this->answer_bytes; }

 private:
  struct OpenCall {
    std::size_t request_bytes = 0;
    std::size_t answer_bytes = 0;
    kj::Own<kj::PromiseFulfiller<AnyResponse>> answer;
  };

  kj::TimePoint last_call;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, OpenCall> calls;
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 0;
};

}  // namespace shallotbank::rpc
