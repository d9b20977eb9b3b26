#pragma once

namespace shallotbank::cell {

/// Topics that this system writes. All keep the newest record of each key.
inline constexpr const char* kJobsTopic = "keyed.jobs";
inline constexpr const char* kProgressTopic = "keyed.progress";
inline constexpr const char* kLeaderTopic = "keyed.leader";
inline constexpr const char* kHostsTopic = "keyed.hosts";

/// Key of all records of the leadership topic.
inline constexpr const char* kLeaderKey = "leader";
/// Name under which leaders write progress; epochs order them.
inline constexpr const char* kProgressProducer = "leader";

/// Path at which the leader takes records of others in, to store them.
inline constexpr const char* kRecordsPath = "/v1/records";

/// Path at which hosts hear of progress that the leader has stored.
inline constexpr const char* kNewsPath = "/v1/progress";

/// Path and headers by which a host has a peer call a platform service for it.
inline constexpr const char* kRelayPath = "/v1/relay";
inline constexpr const char* kRelayMethodHeader = "Shallotbank-Relay-Method";
inline constexpr const char* kRelayUrlHeader = "Shallotbank-Relay-Url";
inline constexpr const char* kRelayTimeoutHeader =
    "Shallotbank-Relay-Timeout-Ms";
/// Marks an answer as the service's own and not the relaying peer's.
inline constexpr const char* kRelayedHeader = "Shallotbank-Relayed";

}  // namespace shallotbank::cell
