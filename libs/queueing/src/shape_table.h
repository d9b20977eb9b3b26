#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "queueing/decision.h"

namespace shallotbank::queueing {

/// A shape, or the shape of one job that is kept apart from others like it.
struct ShapeKey {
  Shape shape;
  std::uint64_t only_job = 0;  // Sequence of the job, or 0 for all jobs.

  auto operator==(const ShapeKey&) const -> bool = default;
};

struct ShapeKeyHash {
  auto operator()(const ShapeKey& key) const -> std::size_t;
};

/// The shapes of all waiting jobs and which of them are blocked in this pass.
class ShapeTable {
 public:
  struct Entry {
    ShapeKey key;
    std::size_t references = 0;
    std::optional<BlockReason> blocked;
    std::uint64_t mask = 0;  // One bit; the last one is shared by all others.
  };

  auto Acquire(const ShapeKey& key) -> Entry*;
  auto Release(Entry* entry) -> void;
  /// Blocks the shape and every shape that needs at least as much.
  auto Block(const ShapeKey& key, BlockReason reason) -> void;
  /// False if nothing was blocked.
  auto UnblockAll() -> bool;
  /// The bits of blocked shapes; the shared bit is never among them.
  auto BlockedMask() const -> std::uint64_t { return this->blocked_mask; }

 private:
  struct Refused {
    ShapeKey key;
    BlockReason reason = BlockReason::kNoRoom;
  };

  static constexpr std::uint64_t kSharedBit = std::uint64_t{1} << 63;

  auto TakeMask() -> std::uint64_t;
  auto MarkBlocked(Entry& entry, BlockReason reason) -> void;

  std::uint64_t used_mask = 0;
  std::uint64_t blocked_mask = 0;
  std::unordered_map<ShapeKey, Entry, ShapeKeyHash> entries;
  std::vector<Refused> refused;
  std::vector<ShapeKey> blocked;
};

}  // namespace shallotbank::queueing
