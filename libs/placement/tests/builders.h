#pragma once

#include <string>

#include <boost/test/unit_test.hpp>

#include "placement/placer.h"

namespace shallotbank::placement {

inline constexpr TimePoint kStart{std::chrono::hours(1)};

inline auto NumberedId(char kind, std::size_t number) -> std::string {
  return kind + std::to_string(number);
}

inline auto MakeTask(const std::string& task,
                     Resources need,
                     TaskClass task_class = TaskClass::kBatch,
                     const std::string& job = "job") -> TaskRequest {
  TaskRequest request;
  request.task = TaskId(task);
  request.job = JobId(job);
  request.need = need;
  request.task_class = task_class;
  return request;
}

inline auto MakeGang(const std::string& job, std::size_t count, Resources need)
    -> GangRequest {
  GangRequest gang{.job = JobId(job), .tasks = {}, .waiting_since = kStart};
  for (std::size_t i = 0; i < count; ++i) {
    gang.tasks.push_back({TaskId(job + "-" + std::to_string(i)), need});
  }
  return gang;
}

inline auto AddWorker(WorkerIndex& index,
                      const std::string& id,
                      Resources capacity,
                      const std::string& domain = "lages",
                      const std::string& rack = "r0") -> void {
  BOOST_TEST_REQUIRE(static_cast<bool>(index.PutWorker(
      {WorkerId(id), FailureDomain(domain), RackId(rack), capacity})));
}

}  // namespace shallotbank::placement
