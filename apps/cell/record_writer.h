#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapter/store_calls.h"
#include "base/verdict.h"
#include "http/responder.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Stores records whose order among each other does not matter, grouped into
/// few calls. A record may be stored more than once.
///
/// A partition of the store takes one append at a time, so all hosts hand their
/// records to one of them, the collector, which groups them; behind a slow
/// store six writers would queue up beyond what it takes. A host appends a
/// record itself if the collector failed with it.
class RecordWriter {
 public:
  /// kRan once stored, kNotRun if it never will be, else kMayHaveRun.
  using Done = std::function<void(Verdict)>;
  /// Called with each record that is known to be stored.
  using OnStored = std::function<void(const adapter::KeyedRecord&)>;

  RecordWriter(Runtime& runtime,
               StoreGateway& store,
               std::string topic,
               OnStored on_stored);

  /// Stores the record or gives up at `deadline`.
  auto Write(adapter::KeyedRecord record, TimePoint deadline, Done done)
      -> void;
  /// Stores the records of a peer and answers it.
  auto WriteForPeer(const http::Request& request,
                    std::shared_ptr<http::Responder> responder) -> void;
  /// The endpoint of the host that records are handed to; empty if it is this
  /// one. What another collector has not answered is handed on anew.
  auto SetCollector(const std::string& endpoint) -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  struct Entry {
    adapter::KeyedRecord record;
    TimePoint deadline;
    Done done;
    bool is_in_flight = false;
    /// It is not handed on: it came from a peer, or a collector failed with it.
    bool is_direct = false;
    std::string handed_to;  ///< The collector that has not answered yet.
    /// A call without an answer held it, so it may be stored, also later.
    bool is_uncertain = false;
  };
  using Batch = std::vector<std::shared_ptr<Entry>>;

  auto GiveUpOverdue(TimePoint now) -> void;
  /// Entries that wait for their next call, up to the size of a batch.
  auto Collect(bool is_direct) -> Batch;
  auto HandOn(const Batch& batch) -> void;
  auto OnHandedOn(const Batch& batch,
                  const std::string& endpoint,
                  const http::Reply& reply) -> void;
  auto Append(const Batch& batch, TimePoint now) -> void;
  auto OnAppended(const Batch& batch, const adapter::AppendResult& result)
      -> void;
  /// One call with the entries has ended; those that are settled leave.
  auto Settle(const Batch& batch, Verdict verdict, bool is_final) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const std::string topic;
  const OnStored on_stored;
  std::string collector;
  std::deque<std::shared_ptr<Entry>> entries;
  int open_appends = 0;
  int open_groups = 0;  ///< On their way to a collector.
  TimePoint next_try;
};

}  // namespace shallotbank::cell
