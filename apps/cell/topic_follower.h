#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapter/store_calls.h"
#include "cell/read_window.h"
#include "cell/topic_digest.h"
#include "read_point.h"
#include "store_gateway.h"
#include "topics.h"

namespace shallotbank::cell {

/// Follows a topic: reads a snapshot of the latest record of each key, then
/// each record as it is appended. Starts over with a snapshot if records
/// expired before they were read. While a digest source is set, reads the
/// digest that this other host keeps of the topic in place of the records, and
/// the records only if the digest does not cover them.
class TopicFollower {
 public:
  struct Handlers {
    /// Called with the latest records of all keys in the topic. Keys that are
    /// not among them no longer exist.
    std::function<void(const std::vector<adapter::KeyedRecord>&)> on_snapshot;
    std::function<void(const adapter::KeyedRecord&)> on_record;
    /// Called when the topic has been read to its end.
    std::function<void(const ReadPoint&)> on_end;
    /// Returns what the digest keeps of a record that was just handled. Empty
    /// for a topic without a digest, as are the two below.
    std::function<std::optional<DigestRecord>(const adapter::KeyedRecord&)>
        make_digest;
    std::function<void(const DigestRecord&)> on_digest;
    /// Called if the digest source has answered but serves no digest.
    std::function<void(const std::string& source)> on_digest_refused;
  };

  /// Consecutive reads are `read_delay` apart, so that records arrive in
  /// batches; SetReadDelay changes it.
  TopicFollower(Runtime& runtime,
                StoreGateway& store,
                const FollowedTopic& topic,
                Duration read_delay,
                Handlers handlers);

  auto Start() -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;
  /// A shorter delay also shortens the current one.
  auto SetReadDelay(Duration delay) -> void;

  /// Brings reads forward until one that began after this call has reached the
  /// end of the topic.
  auto ReadSoon() -> void;

  /// Sets the endpoint of the host whose digest is read; empty: none. Once it
  /// is empty, no digest is handled any more.
  auto SetDigestSource(const std::string& source) -> void;
  /// Starts over with a snapshot, unless all records since the last one were
  /// read.
  auto RequireRecords() -> void;
  /// Returns a page of this host's digest of the topic, or nothing if it keeps
  /// none that covers the records from `from` on.
  auto ReadDigest(Offset from) const -> std::optional<DigestPage>;

  auto IsCaughtUp() const -> bool { return this->is_caught_up; }
  /// Whether the records themselves were read, not only a digest of them.
  auto HasRecords() const -> bool {
    return this->is_caught_up && this->is_complete;
  }
  /// All records before this offset have been handled.
  auto Position() const -> Offset { return this->position; }
  auto LastRead() const -> TimePoint { return this->last_read; }

 private:
  auto ReadSnapshotPage() -> void;
  auto OnPage(const adapter::SnapshotPage& page, bool is_answered) -> void;
  auto ReadNext() -> void;
  auto ReadNextDigest() -> void;
  auto OnDigestReply(const std::string& source, const http::Reply& reply)
      -> void;
  /// Begins a read. The returned function tells whether its reply is still
  /// wanted, and ends the read if so.
  auto BeginRead() -> std::function<bool()>;
  /// Discards the reply to the read in flight, if there is one.
  auto CancelRead() -> void;
  auto OnRecords(const adapter::ReadResult& result, bool is_answered) -> void;
  /// Handles the end of a read that brought no records.
  auto OnReadFailed(bool is_answered) -> void;
  /// Adapts the size of the next read to the time that this one took.
  auto UpdateWindow(const adapter::ReadResult& result) -> void;
  auto OnCaughtUp(TimePoint as_of, ReadSource source) -> void;
  auto IsReadWantedSoon() const -> bool;
  /// Schedules the read that follows one that reached the end.
  auto ScheduleNextRead(Duration delay) -> void;
  auto ReportSnapshot() const -> void;
  /// Logs once that the topic has not been read to its end for a while.
  auto ReportIfBehind(TimePoint now) -> void;
  auto Retry() -> void;

  Runtime& runtime;
  StoreGateway& store;
  const FollowedTopic topic;
  Duration read_delay;
  const Handlers handlers;
  std::vector<adapter::KeyedRecord> snapshot_records;
  /// Key after which the next page of the snapshot starts; empty for the first.
  std::string snapshot_after;
  bool is_snapshot_begun = false;
  int snapshot_pages = 0;
  std::chrono::milliseconds page_timeout;
  Offset snapshot_end = 0;
  TimePoint snapshot_started_at;
  Offset position = 0;
  /// End of the topic according to the last read.
  Offset known_end = 0;
  ReadWindow window;
  bool is_tailing = false;
  bool is_caught_up = false;
  bool is_complete = false;
  bool is_read_in_flight = false;
  bool is_digest_read_in_flight = false;
  std::uint64_t read_number = 0;  ///< Of the latest read.
  std::string digest_source;
  /// No digest is asked for until then.
  TimePoint next_digest_read;
  TopicDigest digest;
  TimePoint read_sent_at;
  /// For how long the read in flight may wait in the store.
  std::chrono::milliseconds read_wait{};
  TimePoint wanted_at;  ///< Of the latest call of ReadSoon.
  int failures = 0;
  TimePoint next_read;
  TimePoint last_read;
  TimePoint caught_up_at;
  /// All records that the topic had then have been handled.
  TimePoint caught_up_as_of;
  bool is_behind_logged = false;
};

}  // namespace shallotbank::cell
