#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/verdict.h"

namespace shallotbank::rpc {

/// `kUnknown` also represents a role sent by a peer of a newer version.
enum class Role { kUnknown, kEntry, kSched };

struct OwnedResource {
  ResourceId resource{};
  Epoch epoch = 0;

  auto operator==(const OwnedResource&) const -> bool = default;
};

struct HeardPeer {
  ProcessId process{};
  Duration silence{};  ///< Since the last message from it; sent in whole
                       ///< milliseconds.

  auto operator==(const HeardPeer&) const -> bool = default;
};

struct FreeSlots {
  ServiceName service{};
  std::uint32_t slots = 0;

  auto operator==(const FreeSlots&) const -> bool = default;
};

/// The state that a process reports in a heartbeat and in the response to one.
struct PeerState {
  ProcessId process{};
  std::uint64_t incarnation = 0;
  std::string host{};
  Role role = Role::kUnknown;
  std::string http_address{};  ///< "IP:port".
  std::string rpc_address{};   ///< "IP:port".
  FailureDomain failure_domain{};
  Offset log_head = 0;
  Duration
      log_age{};  ///< Since the last successful log read; whole milliseconds.
  std::vector<OwnedResource> owned{};
  std::vector<HeardPeer> heard{};
  bool draining = false;
  std::vector<FreeSlots> free_slots{};

  auto operator==(const PeerState&) const -> bool = default;
};

struct HeartbeatResponse {
  PeerState callee{};
};
struct HeartbeatRequest {
  using Response = HeartbeatResponse;
  PeerState sender{};
};

struct WitnessResponse {
  Epoch highest_seen = 0;
};
/// Announces the epoch in which the sender owns `resource`; the callee responds
/// with the highest epoch that it has seen for it.
struct WitnessRequest {
  using Response = WitnessResponse;
  ResourceId resource{};
  Epoch epoch = 0;
};

struct LogRecord {
  Offset offset = 0;
  std::string data{};

  auto operator==(const LogRecord&) const -> bool = default;
};
struct ReadRecordsResponse {
  std::vector<LogRecord> records{};
  Offset first = 0;  ///< Lowest offset available at the callee.
  Offset next = 0;   ///< Offset of the next read.
};
struct ReadRecordsRequest {
  using Response = ReadRecordsResponse;
  Offset from = 0;
  std::uint32_t max = 0;
};

struct JobStatus {
  JobId job{};
  bool owned = false;  ///< Whether the callee owns the job's shard.
  std::string status_json{};

  auto operator==(const JobStatus&) const -> bool = default;
};
struct JobStatusResponse {
  std::vector<JobStatus> jobs{};
};
struct JobStatusRequest {
  using Response = JobStatusResponse;
  std::vector<JobId> jobs{};
};

struct ListJobsResponse {
  std::vector<JobStatus> jobs{};
  std::string next_cursor{};  ///< Empty after the last page.
};
struct ListJobsRequest {
  using Response = ListJobsResponse;
  TeamId team{};
  std::string cursor{};  ///< Empty for the first page.
  std::uint32_t max = 0;
};

struct Header {
  std::string name{};
  std::string value{};

  auto operator==(const Header&) const -> bool = default;
};
/// `verdict` applies to the forwarded request. A callee that refuses the call
/// because of its own limits responds with kNotRun and a reason.
struct ForwardResponse {
  Verdict verdict = Verdict::kMayHaveRun;
  std::uint16_t status = 0;  ///< HTTP status; 0 if there is no response.
  std::vector<Header> headers{};
  std::string body{};
  std::string reason{};  ///< Empty unless refused or failed.
};
struct ForwardRequest {
  using Response = ForwardResponse;
  ServiceName service{};
  TeamId team{};
  ProfileName profile{};
  RequestId request_id{};
  /// Sent in whole milliseconds, less the time spent waiting for a connection.
  Duration deadline_left{};
  bool idempotent = false;
  std::string body{};
  std::vector<Header> headers{};
};

struct ExplainResponse {
  std::string json{};
};
/// Asks the owner of the shard `id` for the shares of its teams (if `kind` is
/// "shares") or its workers, as JSON.
struct ExplainRequest {
  using Response = ExplainResponse;
  std::string kind{};
  std::string id{};
};

using AnyRequest = std::variant<HeartbeatRequest,
                                WitnessRequest,
                                ReadRecordsRequest,
                                JobStatusRequest,
                                ListJobsRequest,
                                ForwardRequest,
                                ExplainRequest>;
using AnyResponse = std::variant<HeartbeatResponse,
                                 WitnessResponse,
                                 ReadRecordsResponse,
                                 JobStatusResponse,
                                 ListJobsResponse,
                                 ForwardResponse,
                                 ExplainResponse>;

}  // namespace shallotbank::rpc
