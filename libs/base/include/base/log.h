#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace shallotbank {

enum class Severity { kDebug, kInfo, kWarning, kError };

/// A numbered log event. docs/EVENTS.md lists every event; CI compares that
/// page with `kEvents` in src/log.cc.
enum class Event {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kSettingsInvalid = 1004,
  kDrainDeadlinePassed = 1005,
  kSettingsReloaded = 1006,
  kWorkFailed = 1007,
  kLogUnreachable = 2001,
  kLogReachable = 2002,
  kLogRecordsExpired = 2003,
  kLogRecordInvalid = 2004,
  kSnapshotWritten = 2005,
  kProgressSequence = 2006,
  kRecordsReturned = 2007,
  kProgressRefused = 2008,
  kTopicBehind = 2009,
  kTopicCaughtUp = 2010,
  kStandbyRole = 2011,
  kSnapshotRead = 2012,
  kHostListUnreachable = 2101,
  kHostListReachable = 2102,
  kPeerSuspected = 3001,
  kPeerAlive = 3002,
  kClaimAppended = 3101,
  kOwnershipGained = 3102,
  kOwnershipLost = 3103,
  kOwnershipReleased = 3104,
  kAuthorityLapsed = 3105,
  kWorkerUnreachable = 4001,
  kWorkerAttached = 4002,
  kWorkerQuarantined = 4003,
  kWorkerPace = 4004,
  kWorkerRestarted = 4005,
  kWorkerClockWentBack = 4006,
  kTaskLost = 4101,
  kJobFinished = 4102,
  kStartRefused = 4103,
  kJobAccepted = 4104,
  kTaskAssigned = 4105,
  kStepWaits = 4106,
  kSchedulerState = 4107,
  kLeaderLoad = 4108,
  kStartsPaused = 4109,
  kStartsResumed = 4110,
  kTaskSuspected = 4111,
  kMinionEjected = 5001,
  kMinionRestored = 5002,
  kRequestRefused = 5101,
  kJobDenied = 5102,
  kConfigurationAccepted = 6001,
  kConfigurationConflict = 6002,
};

/// One field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// The value of a field with a time: whole milliseconds, rounded down.
auto MillisecondsText(Duration time) -> std::string;

/// Writes log lines of `severity` or above to standard output. Call once in
/// main. A dedicated thread writes the lines; if standard output is too slow,
/// lines are dropped and a later line reports their number.
auto StartLogging(const std::string& process_name, Severity severity) -> void;
auto StopLogging() -> void;

/// Writes one structured line: number, name and fields as key=value. Lines of
/// one event beyond 200 per second are dropped; its next line reports their
/// number.
auto LogEvent(Event event, std::initializer_list<LogField> fields) -> void;
auto LogEvent(Event event,
              const std::vector<std::pair<std::string, std::string>>& fields)
    -> void;

}  // namespace shallotbank
