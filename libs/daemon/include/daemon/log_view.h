#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/core_loop.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "http/client.h"
#include "journal/records.h"
#include "journal/replica.h"
#include "platform/log_appender.h"
#include "platform/log_tailer.h"

namespace shallotbank::daemon {

struct LogViewOptions {
  /// URL of the records of the log stream.
  std::string stream_url;
  ProcessId process;
  Duration poll_interval = std::chrono::milliseconds(50);
  Duration append_interval = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(2);
  /// Maximum size of the recent records that are kept for peers that cannot
  /// read the log.
  std::size_t max_recent_bytes = 4 << 20;
};

/// The outcome of an append through `LogView`.
struct RecordedResult {
  /// kRan: the records are in the log and applied to the local replica.
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  Offset offset = 0;
  /// One outcome for each record; only with kRan. Empty if the records are
  /// known to be in the log only from a snapshot, which has no outcomes.
  std::vector<journal::RecordOutcome> outcomes;
};

/// A daemon's local replica of the log, with the threads that read the log and
/// append to it. All functions must be called on the core loop's thread.
class LogView {
 public:
  using Listener =
      std::function<void(const journal::AppliedBatch&, const journal::Batch&)>;
  using AppendCallback = std::function<void(RecordedResult)>;

  LogView(LogViewOptions options,
          CoreLoop& loop,
          http::Client& client,
          Metrics& metrics);
  ~LogView();

  /// Sets the function that is called after each applied batch.
  auto SetListener(Listener new_listener) -> void {
    this->listener = std::move(new_listener);
  }
  /// Starts reading the log.
  auto Start() -> void;

  /// The replicated state; null until the replica is complete.
  auto State() const -> const journal::ReplicaState* {
    return this->replica.State();
  }
  auto Replica() const -> const journal::Replica& { return this->replica; }
  /// The oldest offset that the log still has, as of the latest read.
  auto FirstAvailableOffset() const -> Offset { return this->first_available; }

  /// Appends records. `callback` runs on the core loop once the outcome is
  /// known.
  auto Append(std::vector<journal::Record> records,
              TimePoint deadline,
              AppendCallback callback) -> void;
  /// False if the latest append or the latest read failed.
  auto CanAppend() const -> bool {
    return this->is_log_reachable && this->appender->IsHealthy();
  }
  /// The number of appends whose outcome is not known yet.
  auto InFlightAppends() const -> std::size_t {
    return this->in_flight_appends;
  }

  /// When the latest read that reached the end of the log was sent.
  auto LastCurrentRead() const -> TimePoint { return this->last_current_read; }
  /// The offset of the last record that the replica has processed.
  auto Head() const -> Offset { return this->replica.Next() - 1; }

  /// Returns up to `max` recent records from offset `from` on, for a peer that
  /// cannot read the log.
  auto RecentRecords(Offset from, std::size_t max) const
      -> std::vector<platform::LogRecord>;
  /// Applies records that a peer has read from the log.
  auto ApplyFromPeer(const std::vector<platform::LogRecord>& records) -> void;
  /// Reads without waiting for the end of the poll interval.
  auto Wake() -> void;

 private:
  struct PendingAppend {
    std::size_t first = 0;
    std::size_t count = 0;
    AppendCallback callback;
  };

  auto HandleRead(const platform::LogRead& read) -> void;
  auto ApplyRecord(Offset offset, const std::string& data) -> void;
  auto HandleAppended(const platform::AppendResult& result,
                      std::size_t count,
                      AppendCallback callback) -> void;
  auto CompleteAppends(const journal::AppliedBatch& batch) -> void;

  LogViewOptions options;
  CoreLoop& loop;
  http::Client& client;
  Metrics& metrics;
  Listener listener;
  journal::Replica replica;
  std::map<Offset, std::string> recent_records;
  std::size_t recent_records_size = 0;
  std::map<std::uint64_t, std::vector<PendingAppend>> pending_appends;
  std::size_t in_flight_appends = 0;
  TimePoint last_current_read;
  Offset first_available = 1;
  bool is_log_reachable = true;
  std::unique_ptr<platform::LogAppender> appender;
  std::unique_ptr<platform::LogTailer> tailer;
};

}  // namespace shallotbank::daemon
