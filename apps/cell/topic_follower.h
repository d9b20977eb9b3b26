#pragma once

#include <functional>
#include <string>
#include <vector>

#include "adapter/store_calls.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Follows a topic: the newest record of each key first, then each record as
/// it is appended. Starts over when records expired before they were read.
class TopicFollower {
 public:
  struct Handlers {
    /// All keys that the topic holds; earlier knowledge of others is void.
    std::function<void(const std::vector<adapter::KeyedRecord>&)> on_snapshot;
    std::function<void(const adapter::KeyedRecord&)> on_record;
    /// A read has reached the end of the topic.
    std::function<void(Offset end)> on_end;
  };

  /// `pause` is left between two reads, so that records come in groups;
  /// SetPause changes it.
  TopicFollower(Runtime& runtime,
                StoreGateway& store,
                std::string topic,
                Duration pause,
                Handlers handlers);

  auto Start() -> void { this->ReadSnapshotPage(""); }
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;
  /// A shorter pause also ends the one that is under way.
  auto SetPause(Duration time) -> void;

  auto IsCaughtUp() const -> bool { return this->is_caught_up; }
  /// All records before this offset have been handled.
  auto Position() const -> Offset { return this->position; }
  auto LastRead() const -> TimePoint { return this->last_read; }

 private:
  auto ReadSnapshotPage(const std::string& after) -> void;
  auto OnPage(const adapter::NewestResult& page) -> void;
  auto ReadOn() -> void;
  auto OnRecords(const adapter::ReadResult& result) -> void;
  auto Retry() -> void;

  Runtime& runtime;
  StoreGateway& store;
  const std::string topic;
  Duration pause;
  const Handlers handlers;
  std::vector<adapter::KeyedRecord> pages;
  Offset snapshot_end = 0;
  Offset position = 0;
  bool is_tailing = false;
  bool is_caught_up = false;
  bool is_open = false;
  int failures = 0;
  TimePoint next_read;
  TimePoint last_read;
};

}  // namespace shallotbank::cell
