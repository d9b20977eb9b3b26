#pragma once

#include <capnp/message.h>

#include <cstddef>

namespace shallotbank::rpc {

/// Limits for incoming messages. Each message is read once, so its size bounds
/// the number of words read. The size is doubled because the library copies
/// messages with several segments; `kOverheadWords` covers the envelope.
inline auto ReaderOptionsFor(std::size_t max_message_bytes)
    -> capnp::ReaderOptions {
  constexpr std::size_t kOverheadWords = 1024;
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      2 * max_message_bytes / sizeof(capnp::word) + kOverheadWords;
  return options;
}

}  // namespace shallotbank::rpc
