#pragma once

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "journal/records.h"
#include "journal/replica.h"

namespace shallotbank::journal {

/// Collects the pieces of snapshots until one is complete.
class Replica::SnapshotCollector {
 public:
  /// A snapshot whose pieces have all been read.
  struct CompleteSnapshot {
    Offset covers = 0;
    WallTime taken_at;
    /// In order of their index. Null pointers if the contents are not kept.
    std::vector<std::shared_ptr<const nlohmann::json>> pieces;
  };

  explicit SnapshotCollector(bool keeps_contents)
      : keeps_contents(keeps_contents) {}

  auto Add(const ProcessId& writer, WallTime at, const SnapshotPiece& piece)
      -> std::optional<CompleteSnapshot>;

 private:
  // Two processes may both act as the owner of shard 0 for a while.
  static constexpr std::size_t kMaxIncompleteSnapshots = 3;

  struct Key {
    ProcessId writer;
    std::uint64_t snapshot = 0;

    auto operator==(const Key&) const -> bool = default;
  };
  struct IncompleteSnapshot {
    Key key;
    Offset covers = 0;
    std::int64_t count = 0;
    WallTime taken_at;
    std::map<std::int64_t, std::shared_ptr<const nlohmann::json>> pieces;
  };

  auto FindOrAdd(const ProcessId& writer,
                 WallTime at,
                 const SnapshotPiece& piece) -> std::size_t;

  bool keeps_contents;
  std::vector<IncompleteSnapshot> snapshots;  // Oldest first.
};

}  // namespace shallotbank::journal
