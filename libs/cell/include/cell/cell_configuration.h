#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::cell {

/// Cost model of the advice service for a queue, and the lifetime of its
/// tickets.
struct AdvicePolicy {
  std::chrono::microseconds base_cost{};
  std::chrono::microseconds cost_per_worker{};
  std::chrono::milliseconds ticket_lifetime{};
};

struct QueuePolicy {
  QueueName name;
  ServiceName service;
  int priority = 0;      ///< 0 is the highest priority.
  int max_failures = 1;  ///< Failed runs of one task after which the job fails.
  /// Objective as a multiple of the job's estimated time.
  double objective_stretch = 1;
  /// Constant added to the objective.
  std::chrono::milliseconds objective_slack{};
  std::optional<AdvicePolicy> advice;
  bool is_open = false;  ///< Accepts requests without an API key.
};

struct ServicePolicy {
  ServiceName name;
  bool is_spare = false;
};

struct OrganisationPolicy {
  OrganisationId id;
  /// Share under full load; also the steady rate in jobs per second.
  double weight = 1;
  Resources limit;  ///< Maximum resources in use; 0 means no limit.
};

/// The subset of the operator's configuration that scheduling uses.
struct CellConfiguration {
  std::int64_t version = 0;
  std::unordered_map<QueueName, QueuePolicy> queues;
  std::unordered_map<ServiceName, ServicePolicy> services;
  std::unordered_map<OrganisationId, OrganisationPolicy> organisations;
};

/// What a worker reports about itself in the platform's worker list.
struct WorkerReport {
  WorkerId id;
  std::int64_t born_unix_ms = 0;
  std::string address;  ///< Numeric host and port.
  ServiceName service;
  FailureDomain domain;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;

  auto operator==(const WorkerReport&) const -> bool = default;
};

}  // namespace shallotbank::cell
