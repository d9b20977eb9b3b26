#include "journal/retention_planner.h"

#include <memory>

#include <nlohmann/json.hpp>

namespace shallotbank::journal {
namespace {

using nlohmann::json;

// Space for the fields of the piece and of its batch.
constexpr std::size_t kEnvelopeBytes = 1024;

}  // namespace

auto RetentionPlanner::IsSnapshotDue(const Replica& replica,
                                     Offset first,
                                     WallTime now) const -> bool {
  const auto replay_start_time = replica.ReplayStartTime();
  if (replica.State() == nullptr || !replay_start_time) {
    return false;
  }
  // A clock that was set back must not delay the next attempt for long.
  if (this->started && now >= *this->started &&
      now - *this->started < std::min(kRetryAfter, this->retention / 8)) {
    return false;
  }
  const auto is_old = now - *replay_start_time >= this->retention / 2;
  const auto available = replica.Next() - std::min(first, replica.Next());
  const auto is_in_older_half = first > replica.LogBegin() &&
                                replica.ReplayStart() < first + available / 2;
  return is_old || is_in_older_half;
}

auto MakeSnapshot(const Replica& replica,
                  std::uint64_t snapshot,
                  std::size_t max_piece_bytes) -> std::vector<SnapshotPiece> {
  std::vector<SnapshotPiece> pieces;
  if (replica.State() == nullptr || replica.Next() == replica.LogBegin()) {
    return pieces;
  }
  auto items = json::array();
  std::size_t bytes = kEnvelopeBytes;
  const auto finish_piece = [&] {
    SnapshotPiece piece;
    piece.snapshot = snapshot;
    piece.covers = replica.Next() - 1;
    piece.index = static_cast<std::int64_t>(pieces.size());
    piece.items = std::make_shared<const json>(std::move(items));
    pieces.push_back(std::move(piece));
    items = json::array();
    bytes = kEnvelopeBytes;
  };
  replica.State()->Save([&](const json& item) {
    const auto size =
        item.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
    if (!items.empty() && bytes + size > max_piece_bytes) {
      finish_piece();
    }
    items.push_back(item);
    bytes += size;
  });
  finish_piece();
  for (auto& piece : pieces) {
    piece.count = static_cast<std::int64_t>(pieces.size());
  }
  return pieces;
}

}  // namespace shallotbank::journal
