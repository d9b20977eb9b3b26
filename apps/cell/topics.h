#pragma once

#include "adapter/store_calls.h"

namespace shallotbank::cell {

/// Topics that this system writes. All are compacted: the store keeps the
/// latest record of each key.
inline constexpr const char* kJobsTopic = "keyed.jobs";
inline constexpr const char* kProgressTopic = "keyed.progress";
inline constexpr const char* kLeaderTopic = "keyed.leader";
inline constexpr const char* kHostsTopic = "keyed.hosts";

/// A topic that every host reads.
struct FollowedTopic {
  const char* name;   ///< In the store.
  const char* label;  ///< In counters and log lines.
};
inline constexpr FollowedTopic kFollowedConfiguration{
    adapter::kConfigurationTopic, "configuration"};
inline constexpr FollowedTopic kFollowedWorkers{adapter::kWorkersTopic,
                                                "workers"};
inline constexpr FollowedTopic kFollowedJobs{kJobsTopic, "jobs"};
inline constexpr FollowedTopic kFollowedProgress{kProgressTopic, "progress"};
inline constexpr FollowedTopic kFollowedLeader{kLeaderTopic, "leader"};
inline constexpr FollowedTopic kFollowedHosts{kHostsTopic, "hosts"};

/// Key of all records of the leadership topic.
inline constexpr const char* kLeaderKey = "leader";
/// Producer name under which all leaders write progress; epochs order them.
inline constexpr const char* kProgressProducer = "leader";

/// Path at which the collector accepts records of other hosts.
inline constexpr const char* kRecordsPath = "/v1/records";

/// Path at which hosts receive changes of state that the leader has stored. The
/// first version carried whole progress, which its receivers kept.
inline constexpr const char* kProgressUpdatesPath = "/v2/progress";

/// Paths at which hosts receive calls to workers that they make for the leader,
/// and at which the leader receives the replies.
inline constexpr const char* kOrdersPath = "/v1/orders";
inline constexpr const char* kOrderRepliesPath = "/v1/order-replies";

/// Path at which a standby serves digests of the topics that it reads; the
/// parameters are the label of the topic and the first offset.
inline constexpr const char* kDigestPath = "/v1/digest";
inline constexpr const char* kDigestTopicParameter = "topic";
inline constexpr const char* kDigestFromParameter = "from";

/// Path and headers with which a host asks a peer to call a platform service on
/// its behalf.
inline constexpr const char* kRelayPath = "/v1/relay";
inline constexpr const char* kRelayMethodHeader = "Shallotbank-Relay-Method";
inline constexpr const char* kRelayUrlHeader = "Shallotbank-Relay-Url";
inline constexpr const char* kRelayTimeoutHeader =
    "Shallotbank-Relay-Timeout-Ms";
/// Marks a response as that of the service, not of the relaying peer. The value
/// tells whether a copy of the call was sent before and got no response.
inline constexpr const char* kRelayedHeader = "Shallotbank-Relayed";
inline constexpr const char* kRelayedOnce = "1";
inline constexpr const char* kRelayedRepeatedly = "2";

}  // namespace shallotbank::cell
