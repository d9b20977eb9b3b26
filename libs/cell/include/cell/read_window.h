#pragma once

#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace shallotbank::cell {

/// Limits the size of the reads of one topic. All hosts share the store's
/// bandwidth for reads, and a read that is abandoned at its timeout has used as
/// much of it as one that is answered. With large reads, hosts that have fallen
/// behind can therefore keep each other from ever being answered. The limit
/// shrinks until reads are answered well before their timeout.
class ReadWindow {
 public:
  /// Bytes that the next read may return.
  auto Bytes() const -> std::size_t;

  /// Handles a read that returned `returned` bytes of records. `took` is empty
  /// if it waited for them, which says nothing about the store's speed.
  auto OnAnswered(std::size_t returned, std::optional<Duration> took) -> void;
  /// Handles a read that got no answer in time.
  auto OnUnanswered() -> void;
  /// Handles a read that returned nothing although the topic has more records:
  /// the next one is larger than the window. One read is allowed to exceed it.
  auto OnNothingFits() -> void;

 private:
  /// With 100 hosts, all windows together take 0.15 s of 80 MB/s.
  static constexpr std::size_t kInitialBytes = 128 << 10;

  std::size_t bytes = kInitialBytes;
  bool is_exceeded = false;
};

}  // namespace shallotbank::cell
