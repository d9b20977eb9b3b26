#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "rpc/messages.h"
#include "rpc/peer_client.h"

namespace shallotbank::rpc {

/// A call of a client that has not completed.
struct PendingCall {
  std::string address;
  AnyRequest request;
  std::function<void(CallResult<AnyResponse>)> done;
  std::size_t bytes = 0;
  TimePoint start;
  TimePoint deadline;
  std::uint64_t number = 0;  ///< Order of arrival at the channel.
  bool is_sent = false;      ///< On a connection; it may have run.
  bool is_finished = false;
};

using CallPointer = std::shared_ptr<PendingCall>;

}  // namespace shallotbank::rpc
