#include "base/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/bounded_ring.h"

namespace shallotbank {
namespace {

struct EventEntry {
  Event event;
  Severity severity;
  std::string_view name;
};

// Keep one entry per line: CI compares these lines with docs/EVENTS.md.
// clang-format off
constexpr std::array kEvents{
    EventEntry{Event::kProcessStarted, Severity::kInfo, "process-started"},
    EventEntry{Event::kProcessStopping, Severity::kInfo, "process-stopping"},
    EventEntry{Event::kProcessStopped, Severity::kInfo, "process-stopped"},
    EventEntry{Event::kSettingsInvalid, Severity::kError, "settings-invalid"},
    EventEntry{Event::kDrainDeadlinePassed, Severity::kWarning, "drain-deadline-passed"},
    EventEntry{Event::kSettingsReloaded, Severity::kInfo, "settings-reloaded"},
    EventEntry{Event::kWorkFailed, Severity::kError, "work-failed"},
    EventEntry{Event::kLogUnreachable, Severity::kWarning, "log-unreachable"},
    EventEntry{Event::kLogReachable, Severity::kInfo, "log-reachable"},
    EventEntry{Event::kLogRecordsExpired, Severity::kWarning, "log-records-expired"},
    EventEntry{Event::kLogRecordInvalid, Severity::kError, "log-record-invalid"},
    EventEntry{Event::kSnapshotWritten, Severity::kInfo, "snapshot-written"},
    EventEntry{Event::kProgressSequence, Severity::kWarning, "progress-sequence"},
    EventEntry{Event::kRecordsReturned, Severity::kWarning, "records-returned"},
    EventEntry{Event::kProgressRefused, Severity::kError, "progress-refused"},
    EventEntry{Event::kTopicBehind, Severity::kWarning, "topic-behind"},
    EventEntry{Event::kTopicCaughtUp, Severity::kInfo, "topic-caught-up"},
    EventEntry{Event::kStandbyRole, Severity::kInfo, "standby-role"},
    EventEntry{Event::kSnapshotRead, Severity::kInfo, "snapshot-read"},
    EventEntry{Event::kHostListUnreachable, Severity::kWarning, "host-list-unreachable"},
    EventEntry{Event::kHostListReachable, Severity::kInfo, "host-list-reachable"},
    EventEntry{Event::kPeerSuspected, Severity::kWarning, "peer-suspected"},
    EventEntry{Event::kPeerAlive, Severity::kInfo, "peer-alive"},
    EventEntry{Event::kClaimAppended, Severity::kInfo, "claim-appended"},
    EventEntry{Event::kOwnershipGained, Severity::kInfo, "ownership-gained"},
    EventEntry{Event::kOwnershipLost, Severity::kWarning, "ownership-lost"},
    EventEntry{Event::kOwnershipReleased, Severity::kInfo, "ownership-released"},
    EventEntry{Event::kAuthorityLapsed, Severity::kWarning, "authority-lapsed"},
    EventEntry{Event::kWorkerUnreachable, Severity::kWarning, "worker-unreachable"},
    EventEntry{Event::kWorkerAttached, Severity::kInfo, "worker-attached"},
    EventEntry{Event::kWorkerQuarantined, Severity::kWarning, "worker-quarantined"},
    EventEntry{Event::kWorkerPace, Severity::kInfo, "worker-pace"},
    EventEntry{Event::kWorkerRestarted, Severity::kInfo, "worker-restarted"},
    EventEntry{Event::kWorkerClockWentBack, Severity::kInfo, "worker-clock-went-back"},
    EventEntry{Event::kTaskLost, Severity::kWarning, "task-lost"},
    EventEntry{Event::kJobFinished, Severity::kInfo, "job-finished"},
    EventEntry{Event::kStartRefused, Severity::kWarning, "start-refused"},
    EventEntry{Event::kJobAccepted, Severity::kInfo, "job-accepted"},
    EventEntry{Event::kTaskAssigned, Severity::kInfo, "task-assigned"},
    EventEntry{Event::kStepWaits, Severity::kInfo, "step-waits"},
    EventEntry{Event::kSchedulerState, Severity::kInfo, "scheduler-state"},
    EventEntry{Event::kLeaderLoad, Severity::kInfo, "leader-load"},
    EventEntry{Event::kStartsPaused, Severity::kWarning, "starts-paused"},
    EventEntry{Event::kStartsResumed, Severity::kInfo, "starts-resumed"},
    EventEntry{Event::kTaskSuspected, Severity::kWarning, "task-suspected"},
    EventEntry{Event::kMinionEjected, Severity::kWarning, "minion-ejected"},
    EventEntry{Event::kMinionRestored, Severity::kInfo, "minion-restored"},
    EventEntry{Event::kRequestRefused, Severity::kInfo, "request-refused"},
    EventEntry{Event::kJobDenied, Severity::kInfo, "job-denied"},
    EventEntry{Event::kConfigurationAccepted, Severity::kInfo, "configuration-accepted"},
    EventEntry{Event::kConfigurationConflict, Severity::kWarning, "configuration-conflict"},
};
// clang-format on

/// Limit per event. It exceeds the peak rate of decision events on the busiest
/// day.
constexpr int kMaxLinesPerSecond = 200;
/// Lines queued for standard output.
constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::chrono::milliseconds kWriterPollInterval(500);

auto ToLogLevel(Severity severity) -> log4cplus::LogLevel {
  switch (severity) {
    case Severity::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Severity::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Severity::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

auto FindEntry(Event event) -> const EventEntry& {
  for (const auto& entry : kEvents) {
    if (entry.event == event) {
      return entry;
    }
  }
  return kEvents.front();
}

// Limits the rate of log lines per event.
class EventRateLimiter {
 public:
  // Returns the number of lines dropped since the last written line, or -1 if
  // this line must be dropped.
  auto Admit(Event event) -> int {
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(this->mutex);
    auto& window = this->windows[event];
    if (now - window.start > std::chrono::seconds(1)) {
      window.start = now;
      window.written = 0;
    }
    if (window.written >= kMaxLinesPerSecond) {
      window.dropped++;
      return -1;
    }
    window.written++;
    return std::exchange(window.dropped, 0);
  }

 private:
  struct Window {
    std::chrono::steady_clock::time_point start;
    int written = 0;
    int dropped = 0;
  };
  std::mutex mutex;
  std::map<Event, Window> windows;
};

auto AppendField(std::ostringstream& line,
                 std::string_view key,
                 const std::string& value) -> void {
  line << ' ' << key << '=';
  if (value.find_first_of(" =\"\n") == std::string::npos && !value.empty()) {
    line << value;
    return;
  }
  line << '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line << '\\';
    }
    line << (c == '\n' ? ' ' : c);
  }
  line << '"';
}

auto ProcessLogger() -> log4cplus::Logger& {
  static auto* logger = new log4cplus::Logger(
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("shallotbank")));
  return *logger;
}

struct Line {
  log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
  std::string text;
};

// Writes lines on a dedicated thread, so that a stalled reader of standard
// output does not block other threads.
class LineWriter {
 public:
  LineWriter() : ring(kMaxQueuedLines), thread([this] { this->Run(); }) {}
  ~LineWriter() {
    this->ring.Close();
    this->thread.join();
  }
  LineWriter(const LineWriter&) = delete;
  auto operator=(const LineWriter&) -> LineWriter& = delete;

  auto Write(Line line) -> void {
    const auto lost = this->dropped.exchange(0);
    if (lost > 0) {
      line.text += " lines_lost=" + std::to_string(lost);
    }
    if (!this->ring.TryPush(std::move(line))) {
      this->dropped += lost + 1;
    }
  }

 private:
  auto Run() -> void {
    while (true) {
      const auto line = this->ring.Pop(kWriterPollInterval);
      if (line) {
        ProcessLogger().log(line->level, line->text, __FILE__, __LINE__);
      } else if (this->ring.IsClosed()) {
        return;
      }
    }
  }

  BoundedRing<Line> ring;
  std::atomic<int> dropped{0};
  std::thread thread;
};

auto Writer() -> std::unique_ptr<LineWriter>& {
  static std::unique_ptr<LineWriter> writer;
  return writer;
}

template <typename Fields>
auto WriteEvent(Event event, const Fields& fields) -> void {
  if (!Writer()) {
    return;
  }
  static EventRateLimiter limiter;
  const int dropped = limiter.Admit(event);
  if (dropped < 0) {
    return;
  }
  const auto& entry = FindEntry(event);
  std::ostringstream line;
  line << "event=" << static_cast<int>(event) << " name=" << entry.name;
  for (const auto& [key, value] : fields) {
    AppendField(line, key, value);
  }
  if (dropped > 0) {
    line << " dropped=" << dropped;
  }
  Writer()->Write({ToLogLevel(entry.severity), line.str()});
}

}  // namespace

auto StartLogging(const std::string& process_name, Severity severity) -> void {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%d{%Y-%m-%dT%H:%M:%S.%q} %p " + process_name + " %m%n"));
  ProcessLogger().addAppender(appender);
  ProcessLogger().setLogLevel(ToLogLevel(severity));
  Writer() = std::make_unique<LineWriter>();
}

auto StopLogging() -> void {
  // log4cplus is not shut down: its thread pool can wait forever for a thread
  // that is never scheduled again. All lines have been written at this point.
  Writer().reset();
}

auto MillisecondsText(Duration time) -> std::string {
  return std::to_string(
      std::chrono::floor<std::chrono::milliseconds>(time).count());
}

auto LogEvent(Event event, std::initializer_list<LogField> fields) -> void {
  WriteEvent(event, fields);
}

auto LogEvent(Event event,
              const std::vector<std::pair<std::string, std::string>>& fields)
    -> void {
  WriteEvent(event, fields);
}

}  // namespace shallotbank
