#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "http/client.h"
#include "journal/records.h"

namespace shallotbank::platform {

/// What became of records that were handed to the appender.
struct AppendResult {
  /// kRan: durable, as record `first_record` and following of batch `sequence`.
  /// kNotRun: not in the log and never will be. kMayHaveRun: the deadline has
  /// passed while the log's answer was missing; the append goes on.
  Verdict verdict = Verdict::kNotRun;
  std::uint64_t sequence = 0;
  std::size_t first_record = 0;
  std::string reason;  ///< Short stable name; empty with kRan.
};

struct LogAppenderOptions {
  std::string stream_url;  ///< `http://ADDRESS/streams/NAME/records`.
  ProcessId writer;        ///< Unique to this start of the process.
  /// The shortest time between two appends: at most 20 appends a second, so
  /// that all processes together stay below what the log takes.
  Duration interval = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::seconds(1);
  std::size_t max_waiting = 20'000;
  std::size_t max_records_per_batch = 2000;
  std::size_t max_batch_bytes = 900'000;
  Metrics* metrics = nullptr;  ///< Optional; must outlive the appender.
};

/// Appends records to the log in groups, on one thread of its own. A batch
/// whose answer is missing is appended again with the same sequence until it
/// is known to be in the log; readers drop the repeats.
class LogAppender {
 public:
  /// Runs once, on the appender's thread, or at once if the queue is full.
  using Done = std::function<void(AppendResult)>;

  LogAppender(LogAppenderOptions options, http::Client& client);
  /// Appends what waits for at most the timeout, then gives up.
  ~LogAppender();

  /// The records stay together in one batch. Without a deadline, use
  /// `TimePoint::max()`.
  auto Append(std::vector<journal::Record> records,
              TimePoint deadline,
              Done done) -> void;
  /// The batch was seen in the log, whatever became of the answer.
  auto ConfirmSeen(std::uint64_t sequence) -> void;
  /// False while the last append has failed.
  auto IsHealthy() const -> bool { return this->healthy.load(); }
  /// Groups of records that are waiting or being appended.
  auto Waiting() const -> std::size_t;

 private:
  struct Item {
    std::vector<journal::Record> records;
    std::size_t bytes = 0;
    TimePoint deadline;
    Done done;
    std::size_t first_record = 0;
    bool is_late = false;  // Its deadline has passed and `done` has run.
  };

  auto Run() -> void;
  auto Enqueue(Item& item) -> const char*;
  auto WaitForItems() -> bool;
  auto FillBatch() -> void;
  auto SendBatch() -> Verdict;
  auto DropLate(std::deque<Item>& items, Verdict verdict) -> void;
  auto FinishBatch() -> void;
  auto Pause(Duration time) -> void;

  LogAppenderOptions options;
  http::Client& client;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<Item> waiting;
  std::deque<Item> batch;  // Being appended; only its callbacks may go.
  std::uint64_t sequence = 0;
  std::uint64_t seen_sequence = 0;
  bool in_doubt = false;
  bool stopping = false;
  std::atomic<bool> healthy{true};
  std::thread thread;
};

}  // namespace shallotbank::platform
