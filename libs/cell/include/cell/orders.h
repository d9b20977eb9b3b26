#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/log.h"
#include "cell/job.h"

namespace shallotbank::cell {

/// Why a worker did or did not do what it was told.
enum class OrderOutcome {
  kDone,
  kFenced,      ///< The worker has seen a higher epoch.
  kSuperseded,  ///< That run, or a later one, has ended or was stopped there.
  kLate,        ///< The lease in the order has passed.
  kNoRoom,
  kNoTicket,
  kMalformed,
  kOtherLife,  ///< Another life of a worker listens at that address.
  kUnhealthy,  ///< The worker refused; it has done nothing.
  kNoAnswer,   ///< It may have been done, or may be done later.
};

/// Where an order goes.
struct OrderTarget {
  WorkerId worker;
  std::string address;
  Epoch fence = 0;
};

struct StartOrder {
  OrderTarget target;
  TaskId task;
  int run = 0;
  std::string payload;
  Milliseconds lease_until{};  ///< On the worker's clock.
  std::string checkpoint;      ///< Empty to start from the beginning.
  std::string ticket;          ///< Empty if the queue needs none.
};

struct StopOrder {
  OrderTarget target;
  TaskId task;
  int run = 0;
};

/// What a worker answered to a start or stop.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::optional<Milliseconds> worker_clock;
};

/// Renews the lease of a worker, acknowledges ends and asks what runs there.
struct HoldOrder {
  OrderTarget target;
  std::uint64_t acknowledged = 0;  ///< Ends up to this number are forgotten.
  std::optional<Milliseconds> lease_until;  ///< On the worker's clock.
  Milliseconds wait{};  ///< The worker answers later unless a task ends.
};

struct RunningTask {
  TaskId task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

struct EndedTask {
  std::uint64_t number = 0;  ///< Rises from 1 in each life of the worker.
  TaskId task;
  int run = 0;
  EndKind how = EndKind::kFailed;
  std::string checkpoint;
};

struct HoldReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  Milliseconds worker_clock{};
  std::optional<std::int64_t> born_unix_ms;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

/// Asks which workers may run a step.
struct AdviceQuery {
  std::uint64_t number = 0;
  std::size_t advisor = 0;  ///< The host that is to ask, as an index.
  std::string step;
  std::vector<WorkerId> workers;
  /// When the service answers by its own figures: the questions of the same
  /// host before this one, and its cost.
  Duration expected{};
};

struct AdviceReply {
  enum class Outcome { kAnswered, kBusy, kNoAnswer };
  Outcome outcome = Outcome::kNoAnswer;
  /// The workers that may run the step, each with its ticket.
  std::vector<std::pair<WorkerId, std::string>> tickets;
  std::optional<Milliseconds> ticket_lifetime;
};

/// Progress of jobs that must be stored before anything that rests on it is
/// done. Batches are stored in the order of their sequence.
struct ProgressBatch {
  std::uint64_t sequence = 0;
  std::vector<std::pair<JobId, std::string>> records;
};

/// A line for the log.
struct Note {
  Event event = Event::kProcessStarted;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// What a scheduler wants done.
struct Decisions {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<HoldOrder> holds;
  std::vector<AdviceQuery> advice;
  std::optional<ProgressBatch> batch;
  std::vector<Note> notes;
};

}  // namespace shallotbank::cell
