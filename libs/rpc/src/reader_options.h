#pragma once

#include <capnp/message.h>

#include <cstddef>

namespace shallotbank::rpc {

/// Limits for incoming messages. Each message is read once, so its size bounds
/// the words read; the slack is for the envelope, and twice the size for the
/// copy that the library makes of a message with several segments.
inline auto LimitsFor(std::size_t max_message_bytes) -> capnp::ReaderOptions {
  constexpr std::size_t kSlackWords = 1024;
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      2 * max_message_bytes / sizeof(capnp::word) + kSlackWords;
  return options;
}

}  // namespace shallotbank::rpc
