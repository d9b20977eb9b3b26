#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapter/operator_documents.h"
#include "adapter/store_calls.h"
#include "base/ids.h"
#include "base/metrics.h"
#include "cell/topic_digest.h"
#include "order_carrier.h"

namespace shallotbank::cell {

/// The workers that have a valid entry in the store.
class WorkerEntries {
 public:
  struct Handlers {
    /// Called for each valid entry, before it is kept.
    std::function<void(const WorkerReport&)> on_worker;
    /// Called with the ID of a worker whose entry was removed.
    std::function<void(const std::string&)> on_gone;
  };

  WorkerEntries(Metrics& metrics, OrderCarrier& carrier, Handlers handlers);

  auto OnSnapshot(const std::vector<adapter::KeyedRecord>& records) -> void;
  auto OnRecord(const adapter::KeyedRecord& record) -> void;
  /// Returns the record if it was the last one of its worker and has changed
  /// what is known of it. Most entries only show that the worker is up.
  auto MakeDigest(const adapter::KeyedRecord& record) const
      -> std::optional<DigestRecord>;
  /// By ID.
  auto Workers() const -> const std::map<std::string, WorkerReport>& {
    return this->workers;
  }

 private:
  /// Returns whether the worker was known.
  auto Remove(const std::string& id) -> bool;

  Metrics& metrics;
  OrderCarrier& carrier;
  const Handlers handlers;
  std::map<std::string, WorkerReport> workers;
  std::map<std::string, Offset> latest_offsets;
  /// Offset of the last record that changed the worker, by worker.
  std::map<std::string, Offset> changed_offsets;  ///< By worker.
};

}  // namespace shallotbank::cell
