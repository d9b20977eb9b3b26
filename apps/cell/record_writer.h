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

/// Stores records whose relative order does not matter, batched into few calls.
/// A record may be stored more than once.
///
/// A partition of the store processes one append at a time, so all hosts send
/// their records to one of them, the collector, which batches them. With a slow
/// store, six independent writers would exceed the queue of the partition. A
/// host appends a record itself if the collector failed to store it.
class RecordWriter {
 public:
  /// Called with kRan once the record is stored, kNotRun if it never will be,
  /// else kMayHaveRun.
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
  /// Stores the records that a peer has sent, then answers the peer.
  auto WriteForPeer(const http::Request& request,
                    std::shared_ptr<http::Responder> responder) -> void;
  /// Sets the endpoint of the collector; empty if it is this host. Records that
  /// the previous collector has not answered are sent again.
  auto SetCollector(const std::string& endpoint) -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  struct Entry {
    adapter::KeyedRecord record;
    TimePoint deadline;
    Done done;
    bool is_in_flight = false;
    /// Not sent to a collector: it came from a peer, or a collector failed to
    /// store it.
    bool append_locally = false;
    std::string sent_to;  ///< The collector that has not answered yet.
    /// An unanswered call contained it, so it may be stored now or later.
    bool has_unknown_outcome = false;
  };
  using Batch = std::vector<std::shared_ptr<Entry>>;

  auto ExpireEntries(TimePoint now) -> void;
  /// Takes the entries that wait for their next call, up to the size of a
  /// batch.
  auto TakeBatch(bool append_locally) -> Batch;
  auto SendToCollector(const Batch& batch) -> void;
  auto OnCollectorReply(const Batch& batch,
                        const std::string& endpoint,
                        const http::Reply& reply) -> void;
  auto Append(const Batch& batch, TimePoint now) -> void;
  auto OnAppended(const Batch& batch, const adapter::AppendResult& result)
      -> void;
  /// Handles the end of a call that contained the entries and removes those
  /// whose outcome is final.
  auto OnCallEnded(const Batch& batch, Verdict verdict, bool is_final) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const std::string topic;
  const OnStored on_stored;
  std::string collector;
  std::deque<std::shared_ptr<Entry>> entries;
  int appends_in_flight = 0;
  int groups_in_flight = 0;  ///< Not answered by a collector yet.
  TimePoint next_append;
};

}  // namespace shallotbank::cell
