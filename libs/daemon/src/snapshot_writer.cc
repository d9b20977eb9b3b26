#include "daemon/snapshot_writer.h"

#include "base/log.h"

namespace shallotbank::daemon {
namespace {

constexpr std::chrono::seconds kCheckInterval{1};

auto WallNow() -> journal::WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

SnapshotWriter::SnapshotWriter(Duration retention,
                               LogView& log,
                               Metrics& metrics)
    : log(log),
      metrics(metrics),
      planner(
          std::chrono::duration_cast<std::chrono::milliseconds>(retention)) {}

auto SnapshotWriter::Tick(TimePoint now) -> void {
  if (now < this->next_check || this->log.State() == nullptr) {
    return;
  }
  this->next_check = now + kCheckInterval;
  const auto wall_now = WallNow();
  if (!this->log.CanAppend() ||
      !this->planner.IsSnapshotDue(
          this->log.Replica(), this->log.FirstAvailableOffset(), wall_now)) {
    return;
  }
  this->planner.SnapshotStarted(wall_now);
  auto pieces =
      journal::MakeSnapshot(this->log.Replica(), this->next_snapshot++);
  LogEvent(Event::kSnapshotWritten,
           {{"pieces", std::to_string(pieces.size())},
            {"covers", std::to_string(this->log.Head())}});
  this->metrics.Add("snapshots_written_total");
  for (auto& piece : pieces) {
    this->log.Append({std::move(piece)}, TimePoint::max(),
                     [](const RecordedResult&) {});
  }
}

}  // namespace shallotbank::daemon
