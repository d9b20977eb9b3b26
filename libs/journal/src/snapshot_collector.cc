#include "snapshot_collector.h"

#include <algorithm>

namespace shallotbank::journal {

auto Replica::SnapshotCollector::FindOrAdd(const ProcessId& writer,
                                           WallTime at,
                                           const SnapshotPiece& piece)
    -> std::size_t {
  const Key key{writer, piece.snapshot};
  const auto found =
      std::find_if(this->snapshots.begin(), this->snapshots.end(),
                   [&key](const auto& entry) { return entry.key == key; });
  if (found != this->snapshots.end()) {
    return static_cast<std::size_t>(found - this->snapshots.begin());
  }
  if (this->snapshots.size() == kMaxIncompleteSnapshots) {
    this->snapshots.erase(this->snapshots.begin());
  }
  this->snapshots.push_back({key, piece.covers, piece.count, at, {}});
  return this->snapshots.size() - 1;
}

auto Replica::SnapshotCollector::Add(const ProcessId& writer,
                                     WallTime at,
                                     const SnapshotPiece& piece)
    -> std::optional<CompleteSnapshot> {
  const auto entry_index = this->FindOrAdd(writer, at, piece);
  auto& entry = this->snapshots[entry_index];
  if (entry.covers != piece.covers || entry.count != piece.count) {
    return std::nullopt;
  }
  entry.taken_at = std::min(entry.taken_at, at);
  entry.pieces.try_emplace(piece.index,
                           this->keeps_contents ? piece.items : nullptr);
  if (static_cast<std::int64_t>(entry.pieces.size()) < entry.count) {
    return std::nullopt;
  }
  CompleteSnapshot complete{entry.covers, entry.taken_at, {}};
  for (auto& [index, items] : entry.pieces) {
    complete.pieces.push_back(std::move(items));
  }
  this->snapshots.erase(this->snapshots.begin() +
                        static_cast<std::ptrdiff_t>(entry_index));
  return complete;
}

}  // namespace shallotbank::journal
