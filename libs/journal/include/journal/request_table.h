#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "journal/record_outcome.h"
#include "journal/records.h"
#include "journal/replica_limits.h"
#include "journal/snapshot_sink.h"

namespace shallotbank::journal {

/// The recorded response to a request.
struct Answer {
  int status = 0;
  std::string content_type;
  /// Absent if it was too large or was dropped in favour of newer ones.
  std::optional<std::string> body;
  std::string body_digest;

  auto operator==(const Answer&) const -> bool = default;
};

/// The first intent with a request id, and its outcome if it is known.
struct RequestEntry {
  std::string digest;
  ProcessId writer;
  std::uint64_t token = 0;
  WallTime recorded_at;  ///< Log time, not the time of a writer.
  std::optional<Answer> answer;

  auto operator==(const RequestEntry&) const -> bool = default;
};

/// Ids of non-idempotent requests within the `request_id_window` of the policy.
class RequestTable {
 public:
  explicit RequestTable(const ReplicaLimits& limits) : limits(limits) {}

  auto Find(const TeamId& team, const RequestId& request) const
      -> const RequestEntry*;
  /// True if the intent with this writer and token came first, and its writer
  /// may therefore forward the request.
  auto IsFirstIntent(const TeamId& team,
                     const RequestId& request,
                     const ProcessId& writer,
                     std::uint64_t token) const -> bool;
  /// Intents are rejected while the table is full, because dropping an id early
  /// could let its request run twice.
  auto IsFull() const -> bool {
    return this->entries.size() >= this->limits.max_request_ids;
  }
  auto Count() const -> std::size_t { return this->entries.size(); }

  auto Apply(const RequestIntent& record,
             const ProcessId& writer,
             WallTime log_time) -> RecordOutcome;
  auto Apply(const RequestOutcome& record, const ProcessId& writer)
      -> RecordOutcome;
  auto Expire(WallTime log_time, std::chrono::milliseconds window) -> void;
  auto Save(const SnapshotSink& sink) const -> void;
  auto Load(const nlohmann::json& item) -> bool;

 private:
  using Entries = std::unordered_map<std::string, RequestEntry>;

  auto Add(std::string key, RequestEntry entry) -> void;
  auto StoreBody(Entries::value_type& entry) -> void;
  auto DropOldestBodies() -> void;

  ReplicaLimits limits;
  Entries entries;
  std::deque<const std::string*> by_age;
  // Requests whose body is stored, in the order of their outcomes.
  std::deque<const std::string*> stored_bodies;
  std::size_t body_bytes = 0;
};

}  // namespace shallotbank::journal
