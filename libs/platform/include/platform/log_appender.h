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

/// The result of appending a group of records.
struct AppendResult {
  /// kRan: durable, as the records from `first_record` on of batch `sequence`.
  /// kNotRun: not in the log and never will be. kMayHaveRun: the deadline
  /// passed before the log responded; the append is still retried.
  Verdict verdict = Verdict::kNotRun;
  std::uint64_t sequence = 0;
  std::size_t first_record = 0;
  std::string reason;  ///< Short stable name; empty with kRan.
};

struct LogAppenderOptions {
  std::string stream_url;  ///< `http://ADDRESS/streams/NAME/records`.
  ProcessId writer;        ///< Unique per process incarnation.
  /// Minimum time between two appends. It limits a process to 20 appends a
  /// second, so that all processes together stay below the capacity of the log.
  Duration interval = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::seconds(1);
  std::size_t max_queued = 20'000;
  std::size_t max_records_per_batch = 2000;
  std::size_t max_batch_bytes = 900'000;
  Metrics* metrics = nullptr;  ///< Optional; must outlive the appender.
};

/// Appends records to the log in batches, on its own thread. A batch without a
/// response is appended again with the same sequence number until it is known
/// to be in the log; readers drop the duplicates.
class LogAppender {
 public:
  /// Called once, on the appender's thread, or immediately by `Append` if the
  /// records are not accepted.
  using Done = std::function<void(AppendResult)>;

  LogAppender(LogAppenderOptions options, http::Client& client);
  /// Appends the queued records if the log is healthy, and gives up at the
  /// first failed append, after at most the timeout.
  ~LogAppender();

  /// Queues the records, which stay together in one batch. Use
  /// `TimePoint::max()` for no deadline.
  auto Append(std::vector<journal::Record> records,
              TimePoint deadline,
              Done done) -> void;
  /// Reports that the batch was read from the log, whether or not its append
  /// was confirmed.
  auto ConfirmSeen(std::uint64_t sequence) -> void;
  /// False if the last append has failed.
  auto IsHealthy() const -> bool { return this->healthy.load(); }
  /// Number of record groups that are queued or being appended.
  auto Waiting() const -> std::size_t;

 private:
  struct Item {
    std::vector<journal::Record> records;
    std::size_t bytes = 0;
    TimePoint deadline;
    Done done;
    std::size_t first_record = 0;
    bool is_expired = false;  // Its deadline has passed and `done` was called.
  };

  auto Run() -> void;
  auto Enqueue(Item& item) -> const char*;
  auto WaitForItems() -> bool;
  auto FillBatch() -> void;
  auto SendBatch() -> Verdict;
  auto DropExpired(std::deque<Item>& items, Verdict verdict) -> void;
  auto FinishBatch() -> void;
  auto WaitFor(Duration time) -> void;

  LogAppenderOptions options;
  http::Client& client;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<Item> waiting;
  std::deque<Item> batch;  // In flight; must not change while in doubt.
  std::uint64_t sequence = 0;
  std::uint64_t confirmed_sequence = 0;
  bool in_doubt = false;
  bool stopping = false;
  std::atomic<bool> healthy{true};
  std::thread thread;
};

}  // namespace shallotbank::platform
