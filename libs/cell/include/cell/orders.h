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

/// Result of an order sent to a worker.
enum class OrderOutcome {
  kDone,
  kFenced,  ///< The worker has seen a higher fence.
  /// That run, or a later one, already ended or was stopped on the worker.
  kSuperseded,
  kLate,  ///< The lease in the order has expired.
  kNoRoom,
  kNoTicket,
  kMalformed,
  kOtherIncarnation,  ///< Another incarnation of a worker listens at that
                      ///< address.
  kUnhealthy,         ///< The worker refused and did nothing.
  kNoAnswer,  ///< The order may have been executed, or may be executed later.
};

/// The worker that receives an order.
struct OrderTarget {
  WorkerId worker;
  std::string address;
  /// Higher than that of all orders to earlier incarnations of the worker and
  /// of all earlier leaders, which the worker rejects from then on.
  std::uint64_t fence = 0;
  /// Incarnation that the order was decided for. Not sent: the worker checks
  /// only its ID and the fence.
  std::int64_t born_unix_ms = 0;
};

struct StartOrder {
  OrderTarget target;
  TaskId task;
  int run = 0;
  std::string payload;
  Milliseconds lease_until{};  ///< By the worker's clock.
  std::string checkpoint;      ///< Empty to start from the beginning.
  std::string ticket;          ///< Empty if the queue needs none.
};

struct StopOrder {
  OrderTarget target;
  TaskId task;
  int run = 0;
};

/// A worker's answer to a start or stop order.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::optional<Milliseconds> worker_clock;
  /// An earlier copy of the order got no answer and may be executed later.
  bool has_unanswered_copy = false;
  /// Without an answer: nothing of the order was sent.
  bool is_undelivered = false;
};

/// Polls a worker: renews its lease, acknowledges completions and requests the
/// list of running tasks.
struct PollOrder {
  OrderTarget target;
  /// The worker discards completions up to this number.
  std::uint64_t acknowledged = 0;
  std::optional<Milliseconds> lease_until;  ///< By the worker's clock.
  /// How long the worker may delay its answer while no task ends.
  Milliseconds wait{};
};

struct RunningTask {
  TaskId task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
};

/// How a run ended, as reported by the worker. After any end other than kDone
/// the task waits for another run, but only kFailed counts as a failure.
enum class EndKind {
  kDone,
  /// Counts against the worker and towards `QueuePolicy::max_failures`. Also
  /// stands for an end that the worker reports under an unknown name.
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kAlone
};

struct EndedTask {
  /// Increases from 1 in each incarnation of the worker.
  std::uint64_t number = 0;
  TaskId task;
  int run = 0;
  EndKind how = EndKind::kFailed;
  std::string checkpoint;
};

struct PollReply {
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  Milliseconds worker_clock{};
  std::optional<std::int64_t> born_unix_ms;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /// The list of ends is full, so runs that are in neither list may have ended.
  bool may_omit_ends = false;
};

/// Asks the advice service which workers may run a step.
struct AdviceQuery {
  std::uint64_t number = 0;
  std::size_t advisor = 0;  ///< Index of the host that sends the query.
  std::string step;
  std::vector<WorkerId> workers;
  /// Estimated time until the answer by the service's cost model: the cost of
  /// the same host's earlier queries and of this one.
  Duration expected{};
};

struct AdviceReply {
  enum class Outcome { kAnswered, kBusy, kNoAnswer };
  Outcome outcome = Outcome::kNoAnswer;
  /// The workers that may run the step, each with its ticket.
  std::vector<std::pair<WorkerId, std::string>> tickets;
  std::optional<Milliseconds> ticket_lifetime;
};

/// Progress of jobs that must be stored before any action that depends on it.
/// Batches are stored in the order of their sequence numbers.
struct ProgressBatch {
  std::uint64_t sequence = 0;
  std::vector<std::pair<JobId, std::string>> records;
  /// Segments of the progress by key; no value removes one. They are stored
  /// before the records, in the same call.
  std::vector<std::pair<std::string, std::optional<std::string>>> segments;
};

/// An event to be logged.
struct Note {
  Event event = Event::kProcessStarted;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Actions that the scheduler requests from its caller.
struct Decisions {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PollOrder> polls;
  std::vector<AdviceQuery> advice;
  std::optional<ProgressBatch> batch;
  std::vector<Note> notes;
};

}  // namespace shallotbank::cell
