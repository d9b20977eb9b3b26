#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "http/client.h"

namespace shallotbank::platform {

struct LogRecord {
  Offset offset = 0;
  std::string data;
};

/// The outcome of one read of the log.
struct LogRead {
  enum class Outcome {
    kRead,         ///< `records` starts at the requested offset.
    kExpired,      ///< The record at the requested offset has expired.
    kUnreachable,  ///< No response, or a malformed one.
  };
  Outcome outcome = Outcome::kUnreachable;
  TimePoint sent_at;  ///< When the read was sent.
  Offset from = 0;    ///< The requested offset.
  Offset next = 0;    ///< One past the last record of the log.
  Offset first = 0;   ///< Offset of the oldest record still in the log.
  std::vector<LogRecord> records;
};

/// Parses the response to a read. An unknown or malformed response gives
/// kUnreachable.
auto ParseLogRead(const http::Reply& reply) -> LogRead;

struct LogTailerOptions {
  std::string stream_url;  ///< `http://ADDRESS/streams/NAME/records`.
  Duration poll_interval = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(2);
  /// Maximum delay between reads while the log is unreachable.
  Duration max_backoff = std::chrono::seconds(1);
  std::size_t max_records = 500;
};

/// Reads the log in offset order on its own thread and passes each read to a
/// sink. If the sink rejects a read (because its queue is full), the same
/// records are read again.
class LogTailer {
 public:
  /// Called on the tailer's thread; returns false if the read was not accepted
  /// and must be repeated.
  using Sink = std::function<bool(LogRead)>;

  LogTailer(LogTailerOptions options, http::Client& client, Sink sink);
  ~LogTailer();

  /// Continues at `offset`, for example after a snapshot was loaded.
  auto Seek(Offset offset) -> void;
  /// Reads immediately instead of after the poll interval.
  auto Wake() -> void;

 private:
  auto Run() -> void;
  auto ReadOnce(Offset from) -> LogRead;
  auto Sleep(Duration time) -> void;

  LogTailerOptions options;
  http::Client& client;
  Sink sink;
  std::mutex mutex;
  std::condition_variable wake;
  Offset position = 1;
  bool is_woken = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace shallotbank::platform
