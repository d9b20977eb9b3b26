#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::cell {

/// A call to a worker that another host makes for the leader.
struct CarriedCall {
  std::uint64_t id = 0;
  std::string worker;
  std::string method;
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::chrono::milliseconds timeout{};  ///< What remains of it.
};

/// How a carried call ended.
enum class CarriedOutcome : std::uint8_t {
  kAnswered,  ///< The worker answered.
  kNotSent,   ///< The carrier did not try; another host may.
  kNotRun,    ///< The worker was not reached.
  kMayHaveRun,
  /// The worker answered a repeated call; the first copy may run as well.
  /// Hosts of earlier releases read it as kMayHaveRun.
  kAnsweredRepeat,
};

struct CarriedReply {
  std::uint64_t id = 0;
  CarriedOutcome outcome = CarriedOutcome::kNotSent;
  int status = 0;
  std::string body;  ///< Or the description of the error.
};

struct CallBatch {
  Epoch epoch = 0;
  std::string leader;  ///< Peer endpoint that receives the replies.
  std::vector<CarriedCall> calls;
};

struct ReplyBatch {
  Epoch epoch = 0;
  std::vector<CarriedReply> replies;
};

auto EncodeCallBatch(const CallBatch& batch) -> std::string;
auto DecodeCallBatch(const std::string& bytes) -> std::optional<CallBatch>;
auto EncodeReplyBatch(const ReplyBatch& batch) -> std::string;
auto DecodeReplyBatch(const std::string& bytes) -> std::optional<ReplyBatch>;

/// Selects the hosts that carry the calls to `workers` workers. Empty if the
/// leader makes the calls itself. The choice changes little when a candidate is
/// added or lost.
auto ChooseCarriers(std::vector<std::string> candidates, std::size_t workers)
    -> std::vector<std::string>;
/// Assigns a worker to one of the carriers; empty if there are none. The loss
/// of a carrier moves only its own workers.
auto CarrierOf(const std::string& worker,
               const std::vector<std::string>& carriers) -> std::string;

/// The calls that carriers have been given, until they end.
class CarriedCalls {
 public:
  struct Batch {
    std::uint64_t number = 0;
    std::string carrier;
    std::vector<CarriedCall> calls;
  };
  /// The calls of a carrier that failed. Their timeouts are what remains.
  struct Lost {
    std::vector<CarriedCall> not_run;  ///< To be sent on another path.
    std::vector<CarriedCall> unknown;  ///< These may have run.
  };

  /// Adds a call, with a new id, to the carrier's next batch.
  auto Add(const std::string& carrier, CarriedCall call, TimePoint now) -> void;
  /// Returns the batches that are due.
  auto TakeBatches(TimePoint now) -> std::vector<Batch>;
  /// The carrier has accepted the batch; `process` names its incarnation.
  /// Returns the calls that an earlier incarnation has lost.
  auto OnAccepted(std::uint64_t batch,
                  const std::string& process,
                  TimePoint now) -> Lost;
  /// The carrier did not accept the batch; `may_have_run` tells whether it may
  /// have arrived. Ends all calls of the carrier.
  auto OnFailed(std::uint64_t batch, bool may_have_run, TimePoint now) -> Lost;
  /// Ends the call. Returns nothing if it is unknown or has ended.
  auto OnReply(std::uint64_t id, TimePoint now) -> std::optional<CarriedCall>;
  /// Returns a carrier with a call that should have ended long ago.
  auto OverdueCarrier(TimePoint now) const -> std::optional<std::string>;
  /// Ends all calls of the carrier.
  auto OnLost(const std::string& carrier, TimePoint now) -> Lost;
  auto Size() const -> std::size_t { return this->calls.size(); }

 private:
  enum class Stage { kPending, kSent, kAccepted };
  struct Outstanding {
    CarriedCall call;
    std::string carrier;
    TimePoint deadline;
    Stage stage = Stage::kPending;
  };
  struct Carrier {
    std::deque<std::uint64_t> pending;
    int batches_in_flight = 0;
    std::string process;
  };
  struct BatchInFlight {
    std::string carrier;
    std::vector<std::uint64_t> ids;
  };

  static auto Remaining(TimePoint deadline, TimePoint now)
      -> std::chrono::milliseconds;
  auto FinishBatch(std::uint64_t batch) -> BatchInFlight;
  auto EndCalls(TimePoint now,
                const std::function<bool(const Outstanding&)>& is_affected)
      -> Lost;

  std::map<std::uint64_t, Outstanding> calls;
  std::map<std::string, Carrier> carriers;
  std::map<std::uint64_t, BatchInFlight> batches;
  std::uint64_t next_batch = 1;
  TimePoint next_flush;
};

}  // namespace shallotbank::cell
