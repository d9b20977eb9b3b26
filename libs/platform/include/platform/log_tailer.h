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
    kRead,         ///< `records` continues where the last read ended.
    kExpired,      ///< Records from the wanted offset on have expired.
    kUnreachable,  ///< No answer, or not one that could be understood.
  };
  Outcome outcome = Outcome::kUnreachable;
  TimePoint sent_at;  ///< When the read was sent.
  Offset from = 0;    ///< The offset that was asked for.
  Offset next = 0;    ///< One past the log's last record.
  Offset first = 0;   ///< The oldest record that the log still holds.
  std::vector<LogRecord> records;
};

/// Parses the answer to a read. Unknown or malformed answers give
/// kUnreachable.
auto ParseLogRead(const http::Reply& reply) -> LogRead;

struct LogTailerOptions {
  std::string stream_url;  ///< `http://ADDRESS/streams/NAME/records`.
  Duration poll_interval = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(2);
  /// The longest delay between reads while the log is unreachable.
  Duration max_backoff = std::chrono::seconds(1);
  std::size_t max_records = 500;
};

/// Reads the log in offset order on one thread of its own and hands each read
/// to a sink. If the sink refuses (its queue is full), the same records are
/// read again.
class LogTailer {
 public:
  /// Runs on the tailer's thread; false means "not taken, read again".
  using Sink = std::function<bool(LogRead)>;

  LogTailer(LogTailerOptions options, http::Client& client, Sink sink);
  ~LogTailer();

  /// Continues at `offset` instead, for example after a snapshot.
  auto Seek(Offset offset) -> void;
  /// Reads at once instead of after the poll interval.
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
  bool woken = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace shallotbank::platform
