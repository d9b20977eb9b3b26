#pragma once

#include "admission_estimate.h"
#include "deadline_queue.h"
#include "outlier_detector.h"
#include "retry_budget.h"

namespace shallotbank::routing {

/// Per-service state of the router, apart from the minions.
struct ServiceState {
  ServiceState(const RouterPolicy& policy, ServiceIndex index)
      : budget(policy), detector(policy, index) {}

  DeadlineQueue queue;
  AdmissionEstimate estimate;
  RetryBudget budget;
  OutlierDetector detector;
};

}  // namespace shallotbank::routing
