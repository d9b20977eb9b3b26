#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::configuration {

/// How the tasks of a profile are run.
enum class JobClass { kService, kBatch, kGang, kRequest };

enum class Priority { kNormal, kUrgent };

struct Organisation {
  OrganisationId name;
  std::int64_t weight = 1;

  auto operator==(const Organisation&) const -> bool = default;
};

/// An upper limit, or the allotment of it that a shard holds.
struct Limit {
  Resources resources;
  std::int64_t tasks = 0;

  auto operator==(const Limit&) const -> bool = default;
};

struct Team {
  TeamId name;
  OrganisationId organisation;
  std::int64_t weight = 1;
  Limit limit;      ///< Maximum use of the team across the fleet.
  Resources share;  ///< Entitlement of the team; fits in the limit.

  auto operator==(const Team&) const -> bool = default;
};

struct Key {
  KeyId name;
  TeamId team;
  std::string sha256;  ///< Lower-case hex of the SHA-256 of the secret.

  auto operator==(const Key&) const -> bool = default;
};

struct Queue {
  QueueName name;
  bool open = false;  ///< Work is accepted without a key.

  auto operator==(const Queue&) const -> bool = default;
};

/// A service that minions offer.
struct Service {
  ServiceName name;

  auto operator==(const Service&) const -> bool = default;
};

/// The actions allowed on a running task to free capacity for urgent work.
struct UrgentConcessions {
  bool checkpoint = false;
  bool throttle = false;
  bool stop = false;

  auto operator==(const UrgentConcessions&) const -> bool = default;
};

struct Profile {
  ProfileName name;
  QueueName queue;
  JobClass job_class = JobClass::kBatch;
  Priority priority = Priority::kNormal;
  bool idempotent = false;
  bool single_run = false;
  Resources need;  ///< Per task; zero for requests.
  std::int64_t tasks = 1;
  std::int64_t max_tasks = 1;
  std::int64_t attempts = 1;
  UrgentConcessions allow;
  ServiceName service;  ///< For requests only.
  /// From arrival to the response; set for requests and only for them.
  std::optional<std::chrono::milliseconds> deadline;
  /// Maximum time from acceptance to start; unlimited if absent. Never set for
  /// requests.
  std::optional<std::chrono::milliseconds> patience;
  std::chrono::milliseconds lease{0};  ///< Zero for requests.
  std::optional<std::chrono::milliseconds> expected_run;

  auto operator==(const Profile&) const -> bool = default;
};

struct Policy {
  /// Weights of waiting time and share deficit in the order of waiting work.
  std::int64_t waiting_weight = 1;
  std::int64_t share_weight = 1;
  /// How long ids of non-idempotent requests are kept to detect duplicates.
  std::chrono::milliseconds request_id_window = std::chrono::hours(24);
  std::int64_t shards = 1;
  /// If not empty, every task profile must fit in one of these.
  std::vector<Resources> largest_workers;

  auto operator==(const Policy&) const -> bool = default;
};

}  // namespace shallotbank::configuration
