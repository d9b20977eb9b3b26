#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "queueing/decision.h"

namespace shallotbank::queueing {

/// A shape that equal jobs share, or that belongs to one job which was blocked
/// for reasons that do not apply to others.
struct ShapeKey {
  Shape shape;
  std::uint64_t job_sequence = 0;  // Sequence of the one job, or 0 if shared.

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
    std::optional<BlockReason> block_reason;
    std::uint64_t mask_bit = 0;  // One bit; when none is left, the shared one.
  };

  auto Acquire(const ShapeKey& key) -> Entry*;
  auto Release(Entry* entry) -> void;
  /// Blocks the shape and every shape that needs at least as much.
  auto Block(const ShapeKey& key, BlockReason reason) -> void;
  /// Returns false if nothing was blocked.
  auto UnblockAll() -> bool;
  /// Returns the bits of blocked shapes, never including the shared bit.
  auto BlockedMask() const -> std::uint64_t { return this->blocked_mask; }

 private:
  struct BlockRecord {
    ShapeKey key;
    BlockReason reason = BlockReason::kNoRoom;
  };

  static constexpr std::uint64_t kSharedBit = std::uint64_t{1} << 63;

  auto AllocateMaskBit() -> std::uint64_t;
  auto MarkBlocked(Entry& entry, BlockReason reason) -> void;

  std::uint64_t used_mask = 0;
  std::uint64_t blocked_mask = 0;
  std::unordered_map<ShapeKey, Entry, ShapeKeyHash> entries;
  std::vector<BlockRecord> block_records;
  std::vector<ShapeKey> blocked_keys;
};

}  // namespace shallotbank::queueing
